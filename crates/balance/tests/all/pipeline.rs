//! Pipelined requests of one connection.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::pipeline::{Bounds, Pipeline, Request};
use clock::Instant;

use crate::cases;
use crate::support::at;

const BOUNDS: Bounds = Bounds {
    requests: 4,
    bytes: 100,
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Ready,
    Writing,
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    idempotent: bool,
    closes: bool,
    bytes: usize,
    state: State,
}

/// A model that keeps all requests of a connection and looks at each of them for every decision.
#[derive(Debug, Default)]
struct Model {
    entries: Vec<Entry>,
    is_closed: bool,
}

impl Model {
    /// Returns the indexes of requests whose responses have not been written.
    fn held(&self) -> Vec<usize> {
        let all = 0..self.entries.len();
        all.filter(|i| self.entries[*i].state != State::Gone)
            .collect()
    }

    fn has_room(&self) -> bool {
        let held = self.held();
        let is_front = |i: usize| {
            held.first() == Some(&i)
                && matches!(self.entries[i].state, State::Waiting | State::Running)
        };
        let counted = held.iter().filter(|i| !is_front(**i));
        counted.map(|i| self.entries[*i].bytes).sum::<usize>() < BOUNDS.bytes
    }

    fn may_read(&self) -> bool {
        let is_sealed = self.held().iter().any(|i| self.entries[*i].closes);
        !self.is_closed && !is_sealed && self.held().len() < BOUNDS.requests && self.has_room()
    }

    fn may_begin(&self, index: usize, is_stopping: bool) -> bool {
        let entry = self.entries[index];
        let held = self.held();
        let before = || held.iter().filter(|i| **i < index);
        let is_first = before().count() == 0;
        let may_run_ahead = entry.idempotent
            && !is_stopping
            && self.has_room()
            && before().all(|i| self.entries[*i].idempotent && !self.entries[*i].closes);
        entry.state == State::Waiting && (is_first || may_run_ahead)
    }

    fn with_state(&self, state: State) -> Vec<usize> {
        let held = self.held().into_iter();
        held.filter(|i| self.entries[*i].state == state).collect()
    }
}

fn index(id: u64) -> usize {
    usize::try_from(id).unwrap()
}

/// The requests have time enough, so that only their order and the bounds decide.
fn request(idempotent: bool, closes: bool, bytes: usize) -> Request {
    Request {
        idempotent,
        closes,
        bytes,
        deadline: at(1_000_000),
        expected: Duration::from_millis(100),
    }
}

fn step(u: &mut Unstructured<'_>, pipeline: &mut Pipeline, model: &mut Model) -> Result<()> {
    let is_stopping = u.ratio(1, 10)?;
    match u.int_in_range(0..=12)? {
        0..=3 => {
            assert_eq!(pipeline.may_read(), model.may_read(), "{model:?}");
            if model.may_read() {
                let entry = Entry {
                    idempotent: u.ratio(4, 5)?,
                    closes: u.ratio(1, 12)?,
                    bytes: u.int_in_range(0..=60)?,
                    state: State::Waiting,
                };
                let request = request(entry.idempotent, entry.closes, entry.bytes);
                assert_eq!(index(pipeline.push(request)), model.entries.len());
                model.entries.push(entry);
            }
        }
        4..=6 => {
            let candidates = 0..model.entries.len();
            let expected = candidates
                .into_iter()
                .find(|i| model.may_begin(*i, is_stopping));
            let begun = pipeline.begin(is_stopping, at(5)).map(index);
            assert_eq!(begun, expected, "{model:?}");
            if let Some(i) = begun {
                model.entries[i].state = State::Running;
            }
        }
        7..=8 => {
            let running = model.with_state(State::Running);
            if !running.is_empty() {
                let i = *u.choose(&running)?;
                let bytes = u.int_in_range(0..=150)?;
                pipeline.complete(i as u64, bytes);
                model.entries[i].state = State::Ready;
                model.entries[i].bytes = bytes;
            }
        }
        9 => {
            let first = model.held().first().copied();
            let first = first.filter(|i| model.entries[*i].state == State::Ready);
            let write = pipeline.write(is_stopping);
            assert_eq!(write.as_ref().map(|w| index(w.id)), first, "{model:?}");
            if let (Some(write), Some(i)) = (write, first) {
                assert_eq!(write.closes, is_stopping || model.entries[i].closes);
                model.entries[i].state = State::Writing;
                let behind = if write.closes {
                    model.held()[1..].to_vec()
                } else {
                    Vec::new()
                };
                let cancelled: Vec<usize> = write.cancelled.into_iter().map(index).collect();
                assert_eq!(cancelled, behind, "{model:?}");
                for i in behind {
                    model.entries[i].state = State::Gone;
                }
                model.is_closed |= write.closes;
            }
        }
        10 => {
            pipeline.finish_write();
            for i in model.with_state(State::Writing) {
                model.entries[i].state = State::Gone;
                model.is_closed |= model.entries[i].closes;
            }
        }
        11 if model.may_read() && u.ratio(1, 4)? => {
            let bytes = u.int_in_range(0..=60)?;
            assert_eq!(
                index(pipeline.push_error(bytes, at(5))),
                model.entries.len()
            );
            model.entries.push(Entry {
                idempotent: true,
                closes: true,
                bytes,
                state: State::Ready,
            });
        }
        12 if u.ratio(1, 10)? => {
            pipeline.close();
            model.is_closed = true;
            for entry in &mut model.entries {
                entry.state = State::Gone;
            }
        }
        _ => {}
    }
    assert!(model.held().len() <= BOUNDS.requests);
    assert_eq!(pipeline.is_empty(), model.held().is_empty());
    assert_eq!(pipeline.may_read(), model.may_read(), "{model:?}");
    Ok(())
}

/// Guards against responses out of order, requests begun behind a close or beyond the bounds,
/// non-idempotent requests that run ahead, and requests that are never begun.
#[test]
fn decisions_match_a_naive_model() {
    arbtest(|u| {
        let mut pipeline = Pipeline::new(BOUNDS);
        let mut model = Model::default();
        while !u.is_empty() {
            step(u, &mut pipeline, &mut model)?;
        }
        Ok(())
    })
    .budget_ms(2_000);
}

/// Begins a request expected to take 100 ms until `first_deadline`, at 0. Returns whether one behind it
/// that has until `deadline` is begun `now`.
fn is_begun(now: Instant, first_deadline: Instant, deadline: Instant) -> bool {
    let mut pipeline = Pipeline::new(BOUNDS);
    pipeline.push(Request {
        deadline: first_deadline,
        ..request(true, false, 1)
    });
    assert_eq!(pipeline.begin(false, at(0)), Some(0));
    pipeline.push(Request {
        deadline,
        ..request(true, false, 1)
    });
    pipeline.begin(false, now) == Some(1)
}

// Guards against requests at servers whose responses would be delivered too late, behind a slow
// request, and against requests held back although there is time.
cases! {
    time_enough => assert!(is_begun(at(10), at(5_000), at(150)));
    less_time_than_it_takes => assert!(!is_begun(at(10), at(5_000), at(109)));
    first_one_ends_too_late => assert!(!is_begun(at(10), at(5_000), at(99)));
    first_one_takes_long => assert!(!is_begun(at(1_000), at(5_000), at(1_900)));
    first_one_takes_long_but_there_is_time => assert!(is_begun(at(1_000), at(5_000), at(2_000)));
    first_one_ends_by_its_deadline => assert!(is_begun(at(1_000), at(1_500), at(1_500)));
}

/// Guards against a request that waits for ever because it could not be begun ahead.
#[test]
fn request_held_back_is_begun_in_its_turn() {
    let mut pipeline = Pipeline::new(BOUNDS);
    pipeline.push(request(true, false, 1));
    assert_eq!(pipeline.begin(false, at(0)), Some(0));
    pipeline.push(Request {
        deadline: at(50),
        ..request(true, false, 1)
    });
    pipeline.push(request(true, false, 1));
    assert_eq!(pipeline.begin(false, at(0)), Some(2));
    assert_eq!(pipeline.begin(false, at(0)), None);
    pipeline.complete(0, 1);
    assert!(pipeline.write(false).is_some());
    assert_eq!(pipeline.begin(false, at(100)), None);
    pipeline.finish_write();
    assert_eq!(pipeline.begin(false, at(100)), Some(1));
}
