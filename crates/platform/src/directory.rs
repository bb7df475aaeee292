//! The platform's lists of backend servers and instances, kept through outages.

use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::backoff::{random, Backoff};
use crate::{Error, Instance, Server, Store};

/// How often the lists are read.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between two reads.
    pub interval: Duration,
    /// The largest bound of a pause after a failure.
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
    /// The backend servers, live and leaving.
    pub servers: Arc<[Server]>,
    /// The instances, live and leaving.
    pub instances: Arc<[Instance]>,
    /// When they were asked for; `None` where they were never read.
    pub requested_at: Option<Instant>,
}

impl Lists {
    /// Returns the age of the lists, the platform's own lag apart; `None` where they were never
    /// read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.requested_at.map(|requested_at| now - requested_at)
    }
}

/// The last known lists, read again and again. A failure leaves them as they were.
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
    /// Opens a directory with empty lists. [`Directory::run`] keeps them fresh.
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

    /// Reads both lists; where one cannot be read, both stay as they were.
    ///
    /// # Errors
    ///
    /// Fails as the reads do.
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
        // Of two refreshes at once the later asked one counts.
        if lists.requested_at <= fresh.requested_at {
            *lists = fresh;
        }
        Ok(())
    }

    /// Reads the lists again and again, for ever.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(self.config.interval, self.config.max_backoff);
        loop {
            let pause = match self.refresh().await {
                Ok(()) => {
                    backoff.reset();
                    self.config.interval
                }
                // A pause of nearly nothing would double the load of an ailing platform.
                Err(_) => self.config.interval / 2 + backoff.next(random()),
            };
            self.clock.sleep(pause).await;
        }
    }
}
