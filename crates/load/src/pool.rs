//! Pool of persistent connections to one target.

use std::net::SocketAddr;
use std::time::Duration;

use clock::{Boottime, Clock};
use parking_lot::Mutex;
use smol::future::FutureExt;
use smol::lock::Semaphore;

use crate::connection::Connection;
use crate::response::{Failure, Response};

/// Persistent connections to one target. A connection is closed if its response was incomplete or
/// does not permit reuse.
#[derive(Debug)]
pub(crate) struct Pool {
    target: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Semaphore,
}

impl Pool {
    /// Returns a pool of at most `max_connections` connections.
    pub(crate) fn new(target: SocketAddr, max_connections: usize) -> Self {
        Self {
            target,
            idle: Mutex::default(),
            permits: Semaphore::new(max_connections),
        }
    }

    /// Sends `request` and returns the complete response if it arrives within `time_limit`, which
    /// includes the wait for a connection.
    pub(crate) async fn call(
        &self,
        request: &[u8],
        time_limit: Duration,
    ) -> Result<Response, Failure> {
        let timeout = async {
            Boottime.sleep(time_limit).await;
            Err(Failure::Timeout)
        };
        self.exchange(request).or(timeout).await
    }

    async fn exchange(&self, request: &[u8]) -> Result<Response, Failure> {
        let _permit = self.permits.acquire().await;
        let idle = self.idle.lock().pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(self.target).await?,
        };
        let response = connection.call(request).await?;
        if response.is_reusable {
            self.idle.lock().push(connection);
        }
        Ok(response)
    }
}
