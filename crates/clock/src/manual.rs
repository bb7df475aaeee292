//! A clock for tests, which advances only on request.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::Duration;

use parking_lot::Mutex;

use crate::{Clock, Instant};

#[derive(Debug, Default)]
struct State {
    now: Instant,
    /// The wakers of sleeping tasks, by deadline.
    sleepers: BTreeMap<Instant, Vec<Waker>>,
}

/// A clock for tests, which advances only on request. All clones share one time.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    state: Arc<Mutex<State>>,
}

impl Manual {
    /// Returns a clock at the origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by `duration` and wakes the tasks whose deadline has passed.
    pub fn advance(&self, duration: Duration) {
        let due = {
            let mut state = self.state.lock();
            state.now += duration;
            let first_pending = state.now + Duration::from_micros(1);
            let pending = state.sleepers.split_off(&first_pending);
            std::mem::replace(&mut state.sleepers, pending)
        };
        due.into_values().flatten().for_each(Waker::wake);
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.state.lock().now
    }

    fn time_of_day(&self) -> Duration {
        self.now().since(Instant::ZERO)
    }

    async fn sleep_until(&self, deadline: Instant) {
        poll_fn(|context| {
            let mut state = self.state.lock();
            if state.now >= deadline {
                return Poll::Ready(());
            }
            let waker = context.waker().clone();
            state.sleepers.entry(deadline).or_default().push(waker);
            Poll::Pending
        })
        .await;
    }
}
