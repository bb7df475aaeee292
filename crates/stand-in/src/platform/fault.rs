//! Faults that the platform stand-in injects, and counts of its requests.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How the platform fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Connections are refused.
    Refuse,
    /// Requests get a 503 and have no effect.
    Unavailable,
    /// Requests wait without effect until the outage ends.
    Hang,
}

impl Outage {
    /// Returns the outage called `name` in the control API.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "refuse" => Some(Self::Refuse),
            "unavailable" => Some(Self::Unavailable),
            "hang" => Some(Self::Hang),
            _ => None,
        }
    }
}

/// Counts of the requests received, except those rejected during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of objects.
    pub reads: u64,
    /// Watches of objects.
    pub watches: u64,
    /// Writes of objects.
    pub writes: u64,
    /// Removals of objects.
    pub removes: u64,
    /// Requests for the lists of paths, backend servers and instances.
    pub lists: u64,
}

#[derive(Debug, Default)]
struct State {
    outage: Option<Outage>,
    delay: Duration,
    responses_to_drop: u64,
    counts: Counts,
}

/// The active faults and the counts.
#[derive(Debug, Default)]
pub(super) struct Faults {
    state: Mutex<State>,
}

impl Faults {
    pub(super) fn outage(&self) -> Option<Outage> {
        self.state.lock().outage
    }

    pub(super) fn set_outage(&self, outage: Option<Outage>) {
        self.state.lock().outage = outage;
    }

    pub(super) fn delay(&self) -> Duration {
        self.state.lock().delay
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    pub(super) fn drop_responses(&self, writes: u64) {
        self.state.lock().responses_to_drop = writes;
    }

    /// Returns whether to withhold the response to this write, and counts it as withheld.
    pub(super) fn take_dropped_response(&self) -> bool {
        let mut state = self.state.lock();
        let dropped = state.responses_to_drop > 0;
        state.responses_to_drop = state.responses_to_drop.saturating_sub(1);
        dropped
    }

    pub(super) fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    pub(super) fn update_counts<F>(&self, update: F)
    where
        F: FnOnce(&mut Counts),
    {
        update(&mut self.state.lock().counts);
    }
}
