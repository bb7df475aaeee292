//! A TCP stream with an idle timeout.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol::Timer;

/// A TCP stream whose reads and writes fail after an idle timeout.
///
/// The timeout applies when the other side neither sends data nor accepts any.
#[derive(Debug)]
pub(super) struct Transport {
    stream: TcpStream,
    idle_timeout: Duration,
    timer: Option<Timer>,
}

impl Transport {
    pub(super) fn new(stream: TcpStream, idle_timeout: Duration) -> Self {
        Self {
            stream,
            idle_timeout,
            timer: None,
        }
    }

    /// Returns `progress`, or an error once there has been none for the idle timeout.
    fn check_idle<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let idle_timeout = self.idle_timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(idle_timeout));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.check_idle(context, progress)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.check_idle(context, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.check_idle(context, progress)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
