//! A list whose changes become visible after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use clock::{Boottime, Clock, Instant};
use parking_lot::Mutex;

#[derive(Debug)]
struct State<T> {
    lag: Duration,
    visible: Vec<T>,
    /// Later lists in order, each with the time at which it becomes visible.
    pending: VecDeque<(Instant, Vec<T>)>,
}

/// A list whose changes become visible after a lag.
#[derive(Debug)]
pub(super) struct Listing<T> {
    state: Mutex<State<T>>,
}

impl<T> Default for Listing<T> {
    fn default() -> Self {
        let state = Mutex::new(State {
            lag: Duration::ZERO,
            visible: Vec::new(),
            pending: VecDeque::new(),
        });
        Self { state }
    }
}

impl<T> Listing<T>
where
    T: Clone,
{
    /// Sets the lag of later changes.
    pub(super) fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Replaces the list by `items` once the lag has passed.
    pub(super) fn set(&self, items: Vec<T>) {
        let mut state = self.state.lock();
        let visible_at = Boottime.now() + state.lag;
        state.pending.push_back((visible_at, items));
    }

    /// Returns the list that is visible now.
    pub(super) fn get(&self) -> Vec<T> {
        let now = Boottime.now();
        let mut state = self.state.lock();
        while state
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            if let Some((_, items)) = state.pending.pop_front() {
                state.visible = items;
            }
        }
        state.visible.clone()
    }
}
