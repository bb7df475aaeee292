//! The part of the requests that goes before all others, so that nobody starves.
//!
//! If a part `r` of all requests goes first, and the servers can take a larger part of them, then all
//! of these are served, and each tenant is served at least `r` times for each request. This holds for
//! a tenant with one request a minute, without any count of its requests.
//!
//! It does not take more from urgent requests than needed. Let the servers take a part `s` of all
//! requests, and let a part `u` of the requests be so urgent that strict priority would serve them
//! all. The others would be served at `(s - u) / (1 - u)`. With `r` reserved, urgent ones are
//! displaced only if `u + r (1 - u) > s`, which is the same as `(s - u) / (1 - u) < r`: only if the
//! others would be served too little.

use super::{Standing, Total};

/// How often each tenant is served at least, relative to all clients together. The requirement is a
/// quarter. The rest covers chance, as reserved requests are drawn: at 0.35, groups of 200 requests
/// were served 0.17 to 0.32 of the time where 0.25 was expected.
pub const FLOOR: f64 = 0.4;

/// The largest part of the capacity of a service that is reserved. A service with much less capacity
/// than others cannot serve everybody as often as they do.
const MAX_CAPACITY_SHARE: f64 = 0.6;

/// The part of refused requests from which on a class has its whole reserve. Far more than the reserve
/// is served in a class with fewer refusals.
const FULL_RESERVE_REFUSALS: f64 = 0.25;

/// The weight of the assumption that requests of a class are refused, in requests. It decides where
/// a class has few requests.
const PRIOR: f64 = 1.0;

/// The parts of the requests that were passed on to servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Served {
    /// Of all requests of the fleet, as far as known.
    pub overall: f64,
    /// Of those for the service, in the data centre.
    pub here: f64,
}

impl Default for Served {
    fn default() -> Self {
        Self {
            overall: 1.0,
            here: 1.0,
        }
    }
}

impl Served {
    /// Returns the part of the requests to reserve capacity for, if others would not be served.
    pub fn reserve(self) -> f64 {
        (FLOOR * self.overall).min(MAX_CAPACITY_SHARE * self.here)
    }
}

/// Returns the probability with which a request is reserved.
///
/// `fraction` is the part of the tenant's requests that is within its fair share, and `standing` tells
/// whether this one is. `within` and `over` are the outcomes of the class's requests with either
/// standing.
pub fn probability(
    served: Served,
    fraction: f64,
    standing: Standing,
    within: Total,
    over: Total,
) -> f64 {
    let reserve = served.reserve();
    match standing {
        Standing::Reserved => 1.0,
        Standing::Within => reserve * need(within),
        Standing::Over => {
            // What the tenant gets within its fair share counts towards the reserve.
            let granted = fraction * certainty(within);
            let missing = (reserve - granted) / (1.0 - fraction).max(f64::EPSILON);
            missing.clamp(0.0, reserve) * need(over)
        }
    }
}

/// Returns how much of its reserve a class needs, from 0 to 1.
fn need(outcomes: Total) -> f64 {
    let refused = f64::from(outcomes.refused) + PRIOR;
    let share = refused / (f64::from(outcomes.asked) + PRIOR);
    (share / FULL_RESERVE_REFUSALS).min(1.0)
}

/// Returns the part of the requests that is certainly served.
fn certainty(outcomes: Total) -> f64 {
    let asked = f64::from(outcomes.asked);
    (asked - f64::from(outcomes.refused)).max(0.0) / (asked + PRIOR)
}
