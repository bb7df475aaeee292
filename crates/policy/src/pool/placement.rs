//! The contribution of a server's record to the indexes and counters of its pool.

use std::time::Duration;

use clock::Instant;

use super::fleet::Key;
use super::rank::Rank;
use crate::server::record::Record;

/// How long a server that needs a probe stays without feedback before it is probed.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// Scale of the integer costs, so that divisions keep enough precision.
const COST_SCALE: u64 = 1 << 16;

/// The contribution of a record to the indexes and counters of its pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Placement {
    /// The sort key, if the server has room.
    pub(crate) rank: Option<Rank>,
    /// When the record next changes without further input.
    pub(crate) next_change: Option<Instant>,
    /// When a probe is due, if the server needs one.
    pub(crate) probe_due: Option<Instant>,
    /// 1 if the server is listed and not leaving.
    pub(crate) member: u32,
    /// 1 if the server may get credits.
    pub(crate) usable: u32,
    /// The number of credits that may be live at once.
    pub(crate) capacity: u32,
    /// The number of credits that may be granted now.
    pub(crate) room: u32,
}

impl Placement {
    /// Computes the placement of a record whose version has a share of the grants or not.
    pub(crate) fn of(record: &Record, key: Key, has_share: bool) -> Self {
        let usable = record.is_usable();
        let capacity = if usable { record.allowance() } else { 0 };
        let room = capacity.saturating_sub(record.live);
        let rank = Rank {
            cost: cost(record),
            sequence: record.sequence,
            key,
        };
        let needs_probe = usable && has_share && record.live == 0 && record.needs_probe();
        Self {
            rank: (room > 0).then_some(rank),
            next_change: record.listed.then(|| record.next_change()).flatten(),
            probe_due: needs_probe.then(|| probe_due(record)),
            member: u32::from(record.is_member()),
            usable: u32::from(usable),
            capacity,
            room,
        }
    }
}

/// Returns the relative load of a server with one more request, weighted by its slowness.
///
/// An idle cold server costs no more than an idle warm one, because it would stay cold without
/// requests.
fn cost(record: &Record) -> u64 {
    let requests = u64::from(record.live) + 1;
    let scale = COST_SCALE * requests * record.slowness();
    if record.live == 0 {
        scale / u64::from(record.slots())
    } else {
        scale / u64::from(record.allowance())
    }
}

/// Returns when the probe of a server that needs one is due. A half-open server is probed
/// without delay.
fn probe_due(record: &Record) -> Instant {
    if record.is_half_open() {
        record.idle_since
    } else {
        record.idle_since + PROBE_DELAY
    }
}
