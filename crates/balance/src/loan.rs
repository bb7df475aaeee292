//! Servers that one data centre lends to another.
//!
//! Requests of two data centres at one server do not know of each other until the server reports.
//! So a data centre that lacks servers is lent whole ones by those that have more than their part,
//! and the lender stays away from them meanwhile.
//!
//! Invariants:
//!
//! - A server is lent by its own data centre, to one other at a time.
//! - A lender keeps at least what its own callers need at the level that all would have if the
//!   work were spread evenly.

use serde::{Deserialize, Serialize};

/// The part of its capacity that a data centre has to need before it is lent more. Below it, own
/// servers serve as well as others, and what crosses is paid for by the byte.
const LACK_SHARE: f64 = 0.9;

/// The part of its capacity up to which a data centre has room for requests of others that it cannot
/// see coming. Beyond it, its own requests take what gets free.
const ROOM_SHARE: f64 = 0.8;

/// The part that it has to need to keep what it has been lent: servers that change hands are idle for
/// a moment.
const KEEP_SHARE: f64 = 0.7;

/// What the callers of a data centre need of a service, and what its servers can do. Both are in
/// requests that run at a time on servers of the usual pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The work that callers ask for.
    #[serde(rename = "need")]
    pub demand: f64,
    /// The work that the servers bear without slowing down.
    pub capacity: f64,
}

impl Usage {
    /// Returns whether there is room for requests of others beyond `lent`, a part of the capacity.
    pub fn has_headroom(&self, lent: f64) -> bool {
        self.demand < self.capacity * (1.0 - lent) * ROOM_SHARE
    }

    /// Returns the capacity beyond what is needed, where `level` of it would be used everywhere.
    fn surplus(&self, level: f64) -> f64 {
        (self.capacity - self.demand / level).max(0.0)
    }

    /// Returns the capacity that is missing, where `level` of it would be used everywhere. `borrows`
    /// says whether some is lent already.
    fn lack(&self, level: f64, borrows: bool) -> f64 {
        let share = if borrows { KEEP_SHARE } else { LACK_SHARE };
        if self.demand > self.capacity * share {
            (self.demand / level - self.capacity).max(0.0)
        } else {
            0.0
        }
    }
}

/// What is known of another data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remote<'a> {
    /// The data centre.
    pub centre: &'a str,
    /// What it needs and has.
    pub usage: Usage,
    /// Whether servers are lent to it already.
    pub borrows: bool,
}

/// Returns the part of its capacity that a data centre with `own` lends to each of `others`.
pub fn shares<'a>(own: Usage, others: &[Remote<'a>]) -> Vec<(&'a str, f64)> {
    let all = || others.iter().map(|o| o.usage).chain([own]);
    let need: f64 = all().map(|b| b.demand).sum();
    let capacity: f64 = all().map(|b| b.capacity).sum();
    if need <= 0.0 || own.capacity <= 0.0 {
        return Vec::new();
    }
    let level = need / capacity;
    let lacks = || others.iter().map(|o| (o, o.usage.lack(level, o.borrows)));
    let lack: f64 = lacks().map(|(_, lack)| lack).sum();
    let surplus: f64 = all().map(|b| b.surplus(level)).sum();
    let lent = own.surplus(level) / own.capacity / lack.max(surplus);
    lacks()
        .filter(|(_, lack)| *lack > 0.0)
        .map(|(other, lack)| (other.centre, lent * lack))
        .collect()
}
