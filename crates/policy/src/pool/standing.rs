//! Where a server stands in the orders of its pool.

use std::time::Duration;

use clock::Instant;

use super::fleet::Slot;
use super::rank::Rank;
use crate::server::record::Record;

/// How long a doubtful server stays without feedback before a probe.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// The steps of a load in comparisons.
const COST_SCALE: u64 = 1 << 16;

/// Where a record stands in the orders.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// Its place among the servers with room.
    pub(crate) rank: Option<Rank>,
    /// When it changes by time alone.
    pub(crate) change: Option<Instant>,
    /// From when on it wants a probe.
    pub(crate) doubt: Option<Instant>,
    /// 1 if it is listed and not leaving.
    pub(crate) member: u32,
    /// 1 if it may get credits.
    pub(crate) usable: u32,
    /// The credits that may be live.
    pub(crate) capacity: u32,
    /// The credits that may be granted at once.
    pub(crate) room: u32,
}

impl Standing {
    /// Returns where a record stands, in a version that has traffic or not.
    pub(crate) fn of(record: &Record, slot: Slot, has_share: bool) -> Self {
        let usable = record.is_usable();
        let capacity = if usable { record.allowance() } else { 0 };
        let room = capacity.saturating_sub(record.live);
        let rank = Rank {
            cost: cost(record),
            turn: record.turn,
            slot,
        };
        let doubtful = usable && has_share && record.live == 0 && record.is_doubtful();
        Self {
            rank: (room > 0).then_some(rank),
            change: record.listed.then(|| record.next_change()).flatten(),
            doubt: doubtful.then(|| doubt(record)),
            member: u32::from(record.is_member()),
            usable: u32::from(usable),
            capacity,
            room,
        }
    }
}

/// Returns the load that one more request would bring to a server, weighted by its slowness.
///
/// The first request of a server counts no more at a cold server than at a warm one: without
/// requests it would stay cold.
fn cost(record: &Record) -> u64 {
    let requests = u64::from(record.live) + 1;
    let scale = COST_SCALE * requests * record.steps();
    if record.live == 0 {
        scale / u64::from(record.slots())
    } else {
        scale / u64::from(record.allowance())
    }
}

/// Returns from when on a doubtful server wants a probe.
fn doubt(record: &Record) -> Instant {
    if record.on_trial() {
        record.quiet_since
    } else {
        record.quiet_since + PROBE_AFTER
    }
}
