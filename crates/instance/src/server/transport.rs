//! A connection that ends when it has been silent for too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol::Timer;

/// A connection that ends when the other side neither sends nor takes anything for too long.
#[derive(Debug)]
pub(super) struct Transport {
    stream: TcpStream,
    limit: Duration,
    timer: Option<Timer>,
}

impl Transport {
    pub(super) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    /// Passes on `progress`, or fails once none has been made for the limit.
    fn timed<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Timer::after(limit));
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
        self.timed(context, progress)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.timed(context, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.timed(context, progress)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
