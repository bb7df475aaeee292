//! The priority of a request.

use serde::{Deserialize, Serialize};

/// The lowest priority that can be told apart. Lower ones count as this one, as a rank has to fit
/// into the 32 bits that instances exchange.
const LOWEST: u32 = (1 << Priority::BITS) - 1;

/// The priority of a request where the configuration has tenants. 0 is the most urgent one. The
/// tenant's priority is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority {
    tenant: u32,
    route: u32,
}

impl Priority {
    /// The bits that each part takes in a rank.
    pub(super) const BITS: u32 = 14;

    /// Returns the priority of a request of a tenant on a route. A request without a tenant, or whose
    /// tenant has no priority, uses the route's in both comparisons.
    pub fn new(tenant: Option<u32>, route: u32) -> Self {
        Self {
            tenant: tenant.unwrap_or(route).min(LOWEST),
            route: route.min(LOWEST),
        }
    }

    /// Returns the part that is compared first.
    pub fn tenant(self) -> u32 {
        self.tenant
    }

    /// Returns the priority as a number that compares like it.
    pub(super) fn bits(self) -> u32 {
        self.tenant << Self::BITS | self.route
    }
}
