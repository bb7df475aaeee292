//! Servers that cannot be reached, or that have changed without a word.
//!
//! Patterns: *a data centre goes dark while many instances send* (each would find out by itself), and
//! *a busy server becomes cold* (its answers do not say so).

use std::time::Duration;

use balance::backend::Outcome;

use crate::cases;
use crate::support::{at, table, ME, PEER};

const THIRD: u64 = 3;

/// Checks whether a server is passed by after these instances could not reach it, at these times.
fn passed_by(voices: &[(u64, u64)], at_millis: u64, expected: bool) {
    let (mut table, keys) = table(1, at(0));
    let backend = table.get_mut(keys[0]).unwrap();
    for (instance, millis) in voices {
        backend.record_unreachable(*instance, at(*millis));
    }
    assert_eq!(backend.is_unreachable(at(at_millis)), expected);
}

cases! {
    not_on_the_word_of_one => passed_by(&[(PEER, 1)], 2, false);
    not_on_the_same_word_twice => passed_by(&[(PEER, 1), (PEER, 50)], 51, false);
    on_the_word_of_two => passed_by(&[(PEER, 1), (THIRD, 50)], 51, true);
    for_a_while_only => passed_by(&[(PEER, 1), (THIRD, 50)], 400, false);
    not_on_words_far_apart => passed_by(&[(PEER, 1), (THIRD, 1500)], 1501, false);
}

#[test]
fn answer_takes_the_words_back() {
    for answered in [true, false] {
        let (mut table, keys) = table(1, at(0));
        let backend = table.get_mut(keys[0]).unwrap();
        backend.record_unreachable(PEER, at(1));
        if answered {
            backend.record_outcome(Outcome::Answered, at(2));
        } else {
            backend.record_probe(Duration::ZERO, at(2));
        }
        backend.record_unreachable(ME, at(3));
        assert!(!backend.is_unreachable(at(4)));
    }
}

#[test]
fn requests_since_the_last_probe_are_counted() {
    let (mut table, keys) = table(1, at(0));
    let key = keys[0];
    table.start(key, at(1));
    table.start(key, at(2));
    table.finish(key, at(3));
    table.get_mut(key).unwrap().set_in_flight(PEER, 3, at(4));
    table.get_mut(key).unwrap().set_in_flight(PEER, 2, at(5));
    assert_eq!(table.get(key).unwrap().started_since_probe(), 5);
    table
        .get_mut(key)
        .unwrap()
        .record_probe(Duration::ZERO, at(6));
    assert_eq!(table.get(key).unwrap().started_since_probe(), 0);
}
