//! When a response counts as stalled.

use std::pin::pin;
use std::time::Duration;

use client::Received;
use clock::Manual;
use smol::future::{block_on, poll_once};

const FIRST_LIMIT: Duration = Duration::from_millis(1600);
const LIMIT: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(100);

/// Advances by `STEP` as often as `arrivals` has entries, with so many bytes each time. Returns the
/// number of steps after which the response counted as stalled, if it did.
fn stalled_after(arrivals: &[usize]) -> Option<usize> {
    let (clock, received) = (Manual::new(), Received::default());
    let mut stalled = pin!(received.stalled(&clock, FIRST_LIMIT, LIMIT));
    block_on(async {
        for (step, bytes) in arrivals.iter().enumerate() {
            if poll_once(stalled.as_mut()).await.is_some() {
                return Some(step);
            }
            received.add(*bytes);
            clock.advance(STEP);
        }
        poll_once(stalled.as_mut()).await.map(|()| arrivals.len())
    })
}

fn check(arrivals: &[usize], expected: Option<usize>) {
    assert_eq!(stalled_after(arrivals), expected);
}

cases! {
    silence_is_a_stall_after_the_first_limit: check(&[0; 20], Some(16));
    bytes_without_a_pause_are_no_stall: check(&[1; 100], None);
    late_first_byte_is_no_stall: check(&[[0; 15], [1; 15]].concat(), None);
    short_pause_is_no_stall: check(&[1, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1], None);
    pause_after_the_first_byte_is_a_stall: check(&[[1].as_slice(), &[0; 10]].concat(), Some(5));
}
