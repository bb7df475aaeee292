//! Pools of idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::{Connection, Error, Memory};

#[derive(Debug)]
struct Entry {
    connection: Connection,
    since: Instant,
    /// When the other side may close the connection.
    expires: Instant,
}

/// Idle connections, by address. The most recently used one is taken first.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    clock: C,
    limit: usize,
    memory: Option<Memory>,
    entries: Mutex<HashMap<SocketAddr, Vec<Entry>>>,
}

impl<C> ConnectionPool<C>
where
    C: Clock,
{
    /// Creates an empty pool that keeps at most `limit` connections per address.
    pub fn new(clock: C, limit: usize) -> Self {
        Self {
            clock,
            limit,
            memory: None,
            entries: Mutex::default(),
        }
    }

    /// Counts the bodies of responses against `memory` while they are received.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Returns a connection to `address` that has been idle for at most `max_age`, or opens one.
    ///
    /// The other side may close a connection that has been idle for long, and a request sent at
    /// that moment is lost with an unknown outcome. For a request that must not be repeated,
    /// `max_age` should be low.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn take(&self, address: SocketAddr, max_age: Duration) -> Result<Connection, Error> {
        self.take_for(address, max_age, None).await
    }

    /// Like [`Self::take`], but returns no connection on which the request `id` has been answered.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn take_for(
        &self,
        address: SocketAddr,
        max_age: Duration,
        id: Option<&str>,
    ) -> Result<Connection, Error> {
        while let Some(entry) = self.pop(address, id) {
            let mut connection = entry.connection;
            let now = self.clock.now();
            if now < entry.expires && now - entry.since <= max_age && connection.is_reusable().await
            {
                return Ok(connection);
            }
        }
        let connection = Connection::open(address).await?;
        Ok(match &self.memory {
            Some(memory) => connection.with_memory(memory.clone()),
            None => connection,
        })
    }

    /// Keeps a connection for later requests. Closes it if the pool has as many for `address` as
    /// its limit allows.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        self.put_until(address, connection, Instant::MAX);
    }

    /// Like [`Self::put`], but keeps the connection until `expires` at most.
    pub fn put_until(&self, address: SocketAddr, connection: Connection, expires: Instant) {
        let entry = Entry {
            connection,
            since: self.clock.now(),
            expires,
        };
        let mut entries = self.entries.lock();
        let kept = entries.entry(address).or_default();
        if kept.len() < self.limit {
            kept.push(entry);
        }
    }

    /// Returns whether the pool has an unexpired connection to `address`.
    pub fn has(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        let entries = self.entries.lock();
        entries
            .get(&address)
            .is_some_and(|kept| kept.iter().any(|entry| now < entry.expires))
    }

    /// Closes all idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.entries.lock().remove(&address);
    }

    /// Closes the connections that have expired or been idle for longer than `max_age`.
    pub fn prune(&self, max_age: Duration) {
        let now = self.clock.now();
        self.entries.lock().retain(|_, kept| {
            kept.retain(|entry| now < entry.expires && now - entry.since <= max_age);
            !kept.is_empty()
        });
    }

    fn pop(&self, address: SocketAddr, id: Option<&str>) -> Option<Entry> {
        let mut entries = self.entries.lock();
        let kept = entries.get_mut(&address)?;
        let has_answered = |entry: &Entry| id.is_some_and(|id| entry.connection.has_answered(id));
        let last = kept.iter().rposition(|entry| !has_answered(entry))?;
        Some(kept.remove(last))
    }
}
