//! Sends messages to other instances and receives their replies.

use std::net::SocketAddr;
use std::time::Duration;

use client::{ConnectionPool, Limits, Request};
use clock::Clock;
use smol::future::FutureExt;
use thiserror::Error;
use wire::{Frame, Key, Message, Reply};

/// The path to which frames are posted.
pub(crate) const PATH: &str = "/v1/message";

const OK: u16 = 200;
const IDLE_LINKS: usize = 64;
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

/// Why an instance gave no reply.
#[derive(Debug, Error)]
pub enum Error {
    /// The message could not be sealed, or the reply could not be opened.
    #[error(transparent)]
    Frame(#[from] wire::Fault),
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] client::Error),
    /// The other instance rejected the frame.
    #[error("the instance answered with status {0}")]
    Refused(u16),
    /// No reply came in time.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
}

/// Connections to other instances, opened as needed and kept while idle.
#[derive(Debug)]
pub struct Links<C> {
    key: Key,
    clock: C,
    idle: ConnectionPool<C>,
    time_limit: Duration,
}

impl<C> Links<C>
where
    C: Clock,
{
    /// Returns links that seal frames with `key`. A call takes at most `time_limit`, plus its wait.
    pub fn new(key: Key, clock: C, time_limit: Duration) -> Self {
        let idle = ConnectionPool::new(clock.clone(), IDLE_LINKS);
        Self {
            key,
            clock,
            idle,
            time_limit,
        }
    }

    /// Sends `message` to the instance at `to` and returns its reply.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]. The message may have been processed unless the error is
    /// [`client::Error::Connect`].
    pub async fn call(&self, to: SocketAddr, message: &Message) -> Result<Reply, Error> {
        self.call_waiting(to, message, Duration::ZERO).await
    }

    /// Like [`Self::call`], for a message to which the other instance may delay its reply by
    /// `wait`.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn call_waiting(
        &self,
        to: SocketAddr,
        message: &Message,
        wait: Duration,
    ) -> Result<Reply, Error> {
        let limit = self.time_limit + wait;
        let timeout = async {
            self.clock.sleep(limit).await;
            Err(Error::Timeout(limit))
        };
        self.exchange(to, message).or(timeout).await
    }

    async fn exchange(&self, to: SocketAddr, message: &Message) -> Result<Reply, Error> {
        let frame = Frame::request(&self.key, message)?;
        let host = to.to_string();
        let request = Request {
            method: "POST",
            target: PATH,
            host: &host,
            headers: &[],
            body: frame.as_bytes(),
        };
        let limits = Limits {
            max_body_bytes: wire::MAX_FRAME_BYTES,
            ..Limits::default()
        };
        let connection = self.idle.take(to, MAX_IDLE_AGE).await?;
        let (answer, connection) = connection.exchange(&request, limits).await?;
        if let Some(connection) = connection {
            self.idle.put(to, connection);
        }
        if answer.status != OK {
            return Err(Error::Refused(answer.status));
        }
        Ok(Frame::open_reply(&self.key, &answer.body)?)
    }
}
