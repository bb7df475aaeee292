//! Whether the other side of a connection still waits.

use smol::net::TcpStream;

/// Tells whether the other side of a connection still waits for its answer.
#[derive(Clone, Debug)]
pub struct Presence(Option<TcpStream>);

impl Presence {
    /// Watches `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Some(stream))
    }

    /// Returns the presence of one that never goes, for requests that come from no connection.
    pub fn lasting() -> Self {
        Self(None)
    }

    /// Completes when the other side has closed the connection.
    ///
    /// Peeking leaves what the other side has sent ahead where it is. Once there is such data, an end
    /// behind it can no longer be seen, and this never completes.
    pub async fn gone(&self) {
        if let Some(stream) = &self.0 {
            let mut byte = [0];
            if !matches!(stream.peek(&mut byte).await, Ok(n) if n > 0) {
                return;
            }
        }
        std::future::pending().await
    }
}
