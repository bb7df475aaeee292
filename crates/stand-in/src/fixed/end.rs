//! Ends of connections.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::response::read;

/// What the server does after it has sent its bytes, which it does as soon as the head of the request
/// has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It resets the connection without reading the request's body.
    Reset,
    /// It closes the connection without reading the body, which resets it if there is one.
    CloseUnread,
    /// It reads the body and resets the connection.
    ReadAndReset,
    /// It reads the body and closes the connection.
    ReadAndClose,
    /// It ends its side of the connection, then reads the body.
    FinishAndRead,
    /// It ends its side of the connection, then closes it without reading the body.
    FinishAndCloseUnread,
}

impl End {
    /// Ends the connection on which the body of a request, of `length` bytes, has not been read. Waits
    /// for `pause` before it does so, and after the end of the server's side.
    pub(super) fn perform(
        self,
        mut stream: TcpStream,
        length: usize,
        pause: Duration,
    ) -> io::Result<()> {
        if matches!(self, Self::FinishAndRead | Self::FinishAndCloseUnread) {
            stream.shutdown(Shutdown::Write)?;
        }
        if matches!(self, Self::ReadAndReset | Self::ReadAndClose) {
            read(&mut stream, length)?;
        }
        thread::sleep(pause);
        match self {
            Self::Reset | Self::ReadAndReset => {
                set_socket_linger(&stream, Some(Duration::ZERO))?;
            }
            Self::FinishAndRead => read(&mut stream, length)?,
            Self::CloseUnread | Self::ReadAndClose | Self::FinishAndCloseUnread => {}
        }
        Ok(())
    }
}
