//! A cache of the platform's lists of backend servers and instances, which keeps the last known
//! lists during outages.

use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::backoff::{random, Backoff};
use crate::{Error, Instance, Server, Store};

/// When the lists are read.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between reads.
    pub interval: Duration,
    /// The upper limit of the random part of the delay after a failure.
    pub max_backoff: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// The last known lists.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// The live and leaving backend servers.
    pub servers: Arc<[Server]>,
    /// The live and leaving instances.
    pub instances: Arc<[Instance]>,
    /// When the lists were requested; `None` if they were never read.
    pub requested_at: Option<Instant>,
}

impl Lists {
    /// Returns the age of the lists, without the platform's own lag; `None` if they were never
    /// read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.requested_at.map(|requested_at| now - requested_at)
    }
}

/// Keeps the last known lists and refreshes them periodically. After a failure they remain
/// unchanged.
#[derive(Clone, Debug)]
pub struct Directory<S, C> {
    store: S,
    clock: C,
    config: Config,
    lists: Arc<Mutex<Lists>>,
}

impl<S, C> Directory<S, C>
where
    S: Store,
    C: Clock,
{
    /// Creates a directory with empty lists. [`Directory::run`] keeps them up to date.
    pub fn open(store: S, clock: C, config: Config) -> Self {
        Self {
            store,
            clock,
            config,
            lists: Arc::default(),
        }
    }

    /// Returns the last known lists.
    pub fn lists(&self) -> Lists {
        self.lists.lock().clone()
    }

    /// Reads both lists. If either cannot be read, both remain unchanged.
    ///
    /// # Errors
    ///
    /// The error of the failed read.
    pub async fn refresh(&self) -> Result<(), Error> {
        let requested_at = self.clock.now();
        let servers = self.store.servers().await?;
        let instances = self.store.instances().await?;
        let fresh = Lists {
            servers: servers.into(),
            instances: instances.into(),
            requested_at: Some(requested_at),
        };
        let mut lists = self.lists.lock();
        // Of concurrent refreshes, the one requested last wins.
        if lists.requested_at <= fresh.requested_at {
            *lists = fresh;
        }
        Ok(())
    }

    /// Refreshes the lists forever.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(self.config.interval, self.config.max_backoff);
        loop {
            let delay = match self.refresh().await {
                Ok(()) => {
                    backoff.reset();
                    self.config.interval
                }
                // The fixed part prevents delays close to zero, which would double the load on a
                // failing platform.
                Err(_) => self.config.interval / 2 + backoff.next(random()),
            };
            self.clock.sleep(delay).await;
        }
    }
}
