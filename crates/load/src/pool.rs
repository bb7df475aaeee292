//! Kept connections to one target.

use std::net::SocketAddr;
use std::time::Duration;

use clock::{Boottime, Clock};
use parking_lot::Mutex;
use smol::future::FutureExt;
use smol::lock::Semaphore;

use crate::connection::Connection;
use crate::response::{Failure, Response};

/// Kept connections to one target. A connection whose answer was not whole is closed.
#[derive(Debug)]
pub(crate) struct Pool {
    target: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    places: Semaphore,
}

impl Pool {
    /// Returns a pool of at most `connections` connections.
    pub(crate) fn new(target: SocketAddr, connections: usize) -> Self {
        Self {
            target,
            idle: Mutex::default(),
            places: Semaphore::new(connections),
        }
    }

    /// Sends `request` and returns the whole answer, if it comes within `limit`.
    pub(crate) async fn call(&self, request: &[u8], limit: Duration) -> Result<Response, Failure> {
        let timeout = async {
            Boottime.sleep(limit).await;
            Err(Failure::Timeout)
        };
        self.exchange(request).or(timeout).await
    }

    async fn exchange(&self, request: &[u8]) -> Result<Response, Failure> {
        let _place = self.places.acquire().await;
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
