//! Watches one object across its versions and through outages of the platform.

use std::time::Duration;

use clock::{Clock, Instant};

use crate::backoff::{random, Backoff};
use crate::{Error, Object, Revision, Store};

/// Timing of a watcher.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long each watch call waits for a change.
    pub watch_limit: Duration,
    /// The least time between two calls to the platform.
    pub min_interval: Duration,
    /// The upper limit of the delay after a failure.
    pub max_backoff: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            watch_limit: Duration::from_secs(20),
            min_interval: Duration::from_millis(20),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// The last version that the watcher has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Nothing,
    Revision(Option<Revision>),
}

/// Watches one object. Versions between two calls may be skipped, but the latest is always
/// returned.
#[derive(Debug)]
pub struct Watcher<S, C> {
    store: S,
    clock: C,
    path: String,
    config: Config,
    seen: Seen,
    last_call: Option<Instant>,
    last_response: Option<Instant>,
    backoff: Backoff,
}

impl<S, C> Watcher<S, C>
where
    S: Store,
    C: Clock,
{
    /// Creates a watcher of the object at `path`.
    pub fn open(store: S, clock: C, path: &str, config: Config) -> Self {
        Self {
            store,
            clock,
            path: path.to_owned(),
            config,
            seen: Seen::Nothing,
            last_call: None,
            last_response: None,
            backoff: Backoff::new(config.min_interval, config.max_backoff),
        }
    }

    /// Waits for the next version and returns it, or `None` if the object is absent.
    ///
    /// The first call returns the current version. Failed calls are retried until they succeed.
    pub async fn next(&mut self) -> Option<Object> {
        loop {
            let called = self.call().await;
            self.last_call = Some(self.clock.now());
            let Ok(object) = called else {
                let delay = self.backoff.next(random());
                self.clock.sleep(delay).await;
                continue;
            };
            self.last_response = self.last_call;
            self.backoff.reset();
            let seen = Seen::Revision(object.as_ref().map(|object| object.revision));
            if self.seen != seen {
                self.seen = seen;
                return object;
            }
        }
    }

    /// Returns when the platform last responded.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    async fn call(&self) -> Result<Option<Object>, Error> {
        if let Some(last) = self.last_call {
            // Limits the rate of calls if the platform responds to watches immediately.
            self.clock
                .sleep_until(last + self.config.min_interval)
                .await;
        }
        match self.seen {
            Seen::Nothing => self.store.read(&self.path).await,
            Seen::Revision(seen) => {
                let limit = self.config.watch_limit;
                self.store.watch(&self.path, seen, limit).await
            }
        }
    }
}
