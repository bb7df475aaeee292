//! Following one object through its versions and through outages.

use std::time::Duration;

use clock::{Clock, Instant};

use crate::backoff::{random, Backoff};
use crate::{Error, Object, Revision, Store};

/// How an object is followed.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long one watch waits.
    pub watch_limit: Duration,
    /// The least time between two calls of the platform.
    pub min_interval: Duration,
    /// The largest bound of a pause after a failure.
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

/// What the follower has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Nothing,
    Revision(Option<Revision>),
}

/// Follows one object. Versions between two calls are skipped, and the latest is always seen.
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
    /// Begins to follow the object at `path`.
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

    /// Waits for the next version and returns it; `None` where the object is absent then.
    ///
    /// The first call returns the present version. Failures are waited out.
    pub async fn next(&mut self) -> Option<Object> {
        loop {
            let called = self.call().await;
            self.last_call = Some(self.clock.now());
            let Ok(object) = called else {
                let pause = self.backoff.next(random());
                self.clock.sleep(pause).await;
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

    /// Returns when the platform last answered.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    async fn call(&self) -> Result<Option<Object>, Error> {
        if let Some(last) = self.last_call {
            // A platform that answers watches at once must not be asked without end.
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
