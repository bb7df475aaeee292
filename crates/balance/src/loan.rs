//! How much of its capacity one data centre lends to others.
//!
//! A data centre learns of requests from others at a server only when the server reports its load.
//! Therefore a data centre that lacks capacity borrows whole servers from those with a surplus, and
//! the lender sends no requests to them meanwhile.
//!
//! Invariants:
//!
//! - A server is lent by its own data centre, to one other at a time.
//! - A lender keeps at least the capacity that its own callers need at the utilisation that an even
//!   distribution of all requests would give.

use serde::{Deserialize, Serialize};

/// The utilisation above which a data centre may borrow. Below it, its own servers do as well as
/// others, and traffic between data centres is paid for by the byte.
const BORROW_UTILISATION: f64 = 0.9;

/// The utilisation below which a data centre takes requests that spill over from others, which it
/// cannot foresee. Above it, its own requests take the slots that become free.
const SPILLOVER_UTILISATION: f64 = 0.8;

/// The utilisation above which a data centre keeps the servers that it borrows. It is lower because
/// servers are idle for a moment when they change hands.
const KEEP_UTILISATION: f64 = 0.7;

/// The demand for a service in a data centre and the capacity of its servers. Both are in
/// concurrent requests on servers of normal speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The demand of the callers.
    #[serde(rename = "need")]
    pub demand: f64,
    /// The requests that the servers can run without slowing down.
    pub capacity: f64,
}

impl Usage {
    /// Returns whether the servers can take requests of other data centres. `lent_share` is the
    /// share of the capacity that is lent already.
    pub fn has_headroom(&self, lent_share: f64) -> bool {
        self.demand < self.capacity * (1.0 - lent_share) * SPILLOVER_UTILISATION
    }

    /// Returns the capacity beyond what the demand needs at `utilisation`.
    fn surplus(&self, utilisation: f64) -> f64 {
        (self.capacity - self.demand / utilisation).max(0.0)
    }

    /// Returns the capacity that the demand lacks at `utilisation`. `borrows` is whether servers
    /// are already lent to the data centre.
    fn deficit(&self, utilisation: f64, borrows: bool) -> f64 {
        let threshold = if borrows {
            KEEP_UTILISATION
        } else {
            BORROW_UTILISATION
        };
        if self.demand > self.capacity * threshold {
            (self.demand / utilisation - self.capacity).max(0.0)
        } else {
            0.0
        }
    }
}

/// The usage of another data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remote<'a> {
    /// The name of the data centre.
    pub centre: &'a str,
    /// Its demand and capacity.
    pub usage: Usage,
    /// Whether servers are already lent to it.
    pub borrows: bool,
}

/// Returns the share of its capacity that a data centre with the usage `own` lends to each of
/// `others`. Data centres that are lent nothing are left out.
pub fn shares<'a>(own: Usage, others: &[Remote<'a>]) -> Vec<(&'a str, f64)> {
    let all = || others.iter().map(|o| o.usage).chain([own]);
    let demand: f64 = all().map(|u| u.demand).sum();
    let capacity: f64 = all().map(|u| u.capacity).sum();
    if demand <= 0.0 || own.capacity <= 0.0 {
        return Vec::new();
    }
    let utilisation = demand / capacity;
    let deficits = || {
        others
            .iter()
            .map(|o| (o, o.usage.deficit(utilisation, o.borrows)))
    };
    let deficit: f64 = deficits().map(|(_, deficit)| deficit).sum();
    let surplus: f64 = all().map(|u| u.surplus(utilisation)).sum();
    let lent = own.surplus(utilisation) / own.capacity / deficit.max(surplus);
    deficits()
        .filter(|(_, deficit)| *deficit > 0.0)
        .map(|(other, deficit)| (other.centre, lent * deficit))
        .collect()
}
