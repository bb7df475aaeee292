//! Lower bound of the latency: one queue in front of all slots, without network delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use clock::Instant;

use crate::call::Call;
use crate::site::Site;
use crate::tally::Tally;

/// Serves `calls` in order of arrival from one queue in front of all slots, with all servers warm
/// and in service, and counts the calls that arrive at `settled` or later.
pub fn run(site: &Site, calls: &[Call], settled: Instant) -> Tally {
    let mut tally = Tally::default();
    let mut free: BinaryHeap<Reverse<Instant>> =
        (0..site.slots()).map(|_| Reverse(Instant::ZERO)).collect();
    for call in calls {
        let slot = free.pop().map_or(Instant::ZERO, |Reverse(at)| at);
        let ends = slot.max(call.at) + call.work;
        free.push(Reverse(ends));
        if call.at >= settled {
            tally.latencies.push(ends - call.at);
        }
    }
    tally
}
