//! Detects that a client has disconnected while its request is being handled.

use smol::net::TcpStream;

/// Detects that the client has closed the connection before it received the response.
#[derive(Clone, Debug)]
pub struct Presence(Option<TcpStream>);

impl Presence {
    /// Monitors `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Some(stream))
    }

    /// Returns the presence of a client that never disconnects, for requests without a connection.
    pub fn always_connected() -> Self {
        Self(None)
    }

    /// Completes when the client has closed the connection.
    ///
    /// This peeks at the stream, which leaves pipelined data unread. Once there is such data, a
    /// close after it cannot be detected, and this never completes.
    pub async fn disconnected(&self) {
        if let Some(stream) = &self.0 {
            let mut byte = [0];
            if !matches!(stream.peek(&mut byte).await, Ok(n) if n > 0) {
                return;
            }
        }
        std::future::pending().await
    }
}
