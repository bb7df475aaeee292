//! Searches all orders of events for a report that must not be sent.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use super::world::{Faults, Planted, Setup, World};
use crate::cases;

/// What happened until a state was reached.
struct Trail {
    event: String,
    before: Option<Rc<Trail>>,
}

impl Trail {
    fn events(&self) -> Vec<&str> {
        let before = self.before.as_ref();
        let mut events = before.map_or_else(Vec::new, |before| before.events());
        events.push(&self.event);
        events
    }
}

/// Result of a search.
struct Found {
    states: usize,
    /// The first violation, with the events that led to it.
    violation: Option<String>,
    /// The most windows that were reported in a state.
    windows: usize,
    /// Whether reports of two holders were accepted in one run.
    has_takeover: bool,
}

/// Visits all states in the order of the number of events that lead to them.
fn search(setup: &Setup) -> Found {
    let digest = |world: &World| {
        let mut hasher = DefaultHasher::new();
        world.hash(&mut hasher);
        hasher.finish()
    };
    let mut found = Found {
        states: 0,
        violation: None,
        windows: 0,
        has_takeover: false,
    };
    let start = World::new(setup);
    let mut seen = HashSet::from([digest(&start)]);
    let mut queue: VecDeque<(World, Option<Rc<Trail>>)> = VecDeque::from([(start, None)]);
    while let Some((world, trail)) = queue.pop_front() {
        found.states += 1;
        found.windows = found.windows.max(world.receiver.counts.len());
        found.has_takeover |= world.receiver.holders() > 1;
        let successors = match world.successors(setup) {
            Ok(successors) => successors,
            Err(violation) => {
                let events = trail.map(|trail| trail.events().join("\n"));
                found.violation = Some(format!(
                    "{violation}, after\n{}",
                    events.unwrap_or_default()
                ));
                return found;
            }
        };
        for (event, next) in successors {
            if seen.insert(digest(&next)) {
                let before = trail.clone();
                queue.push_back((next, Some(Rc::new(Trail { event, before }))));
            }
        }
    }
    found
}

/// Adds seconds to each search, for runs that take minutes.
const EXTRA_TIME_VARIABLE: &str = "DUTY_SEARCH_EXTRA_SECONDS";

const NONE: Faults = Faults {
    lost: 0,
    frozen: 0,
    crashed: 0,
    stopped: 0,
    restored: 0,
    silent: 0,
};

const SETUP: Setup = Setup {
    instances: 2,
    horizon: 6,
    faults: NONE,
    gossip: false,
    planted: Planted::Nothing,
};

/// Checks that no order of events leads to a violation, and that the search is not empty: two
/// windows are reported, and the duty changes hands.
fn holds(setup: Setup) {
    let extra = std::env::var(EXTRA_TIME_VARIABLE);
    let extra: u64 = extra.map_or(0, |text| text.parse().unwrap());
    let found = search(&Setup {
        horizon: setup.horizon + extra,
        ..setup
    });
    println!("{:?}: {} states", setup.faults, found.states);
    assert!(found.violation.is_none(), "{}", found.violation.unwrap());
    assert!(found.windows >= 2, "windows reported: {}", found.windows);
    assert!(found.has_takeover, "the duty never changes hands");
}

/// Checks that the search finds a planted fault.
fn finds(planted: Planted, faults: Faults, expected: &str) {
    let found = search(&Setup {
        planted,
        faults,
        ..SETUP
    });
    let violation = found.violation.expect("the planted fault is not found");
    assert!(violation.contains(expected), "{violation}");
}

/// Returns a setup with these faults until `horizon`.
fn until(horizon: u64, faults: Faults) -> Setup {
    Setup {
        horizon,
        faults,
        ..SETUP
    }
}

/// Returns the setup in which instances hear each other.
fn with_gossip(setup: Setup) -> Setup {
    Setup {
        gossip: true,
        ..setup
    }
}

cases! {
    takeovers => holds(until(6, NONE));
    three_instances => holds(Setup { instances: 3, ..until(4, NONE) });
    lost_responses_and_late_writes => holds(until(5, Faults { lost: 1, ..NONE }));
    freeze_and_thaw => holds(until(5, Faults { frozen: 1, ..NONE }));
    power_loss => holds(until(5, Faults { crashed: 1, ..NONE }));
    hand_over => holds(until(5, Faults { stopped: 1, ..NONE }));
    calls_without_response => holds(until(5, Faults { silent: 1, ..NONE }));
    store_that_comes_back_older => holds(until(5, Faults { restored: 1, ..NONE }));
    hand_over_and_power_loss => holds(until(4, Faults { stopped: 2, crashed: 1, ..NONE }));
    lost_responses_and_restored_store => holds(until(4, Faults { lost: 1, restored: 1, ..NONE }));
    freeze_with_gossip => holds(with_gossip(until(6, Faults { frozen: 1, ..NONE })));
    power_loss_and_restored_store_with_gossip =>
        holds(with_gossip(until(5, Faults { crashed: 1, restored: 1, ..NONE })));
    late_write_into_a_restored_store =>
        holds(with_gossip(until(7, Faults { lost: 1, restored: 1, ..NONE })));
    planted_unconfirmed_write_is_found =>
        finds(Planted::ActsOnUnconfirmedWrites, Faults { lost: 1, ..NONE }, "other counts");
    planted_lease_from_the_response_is_found =>
        finds(Planted::CountsLeaseFromResponse, NONE, "a lower generation");
    planted_neglect_of_the_era_is_found =>
        finds(Planted::IgnoresEra, Faults { restored: 1, ..NONE }, "");
}
