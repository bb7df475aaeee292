//! How tenants share capacity.
//!
//! Each request gets a [`Standing`] when it arrives, and keeps it. It determines, with the
//! [`Priority`], which of the waiting requests goes next ([`Admission::rank`]), and so also which
//! ones still wait at the end of their time and are refused.
//!
//! Invariants:
//!
//! - A request does not gain by waiting or by another attempt: its standing is drawn once.
//! - The requests that go before all others are drawn from all requests alike, as a part of them
//!   that is smaller than the part of requests which the servers can take. So they are served, and a
//!   tenant is served at least that often, whatever it sends and whoever else waits
//!   ([`reserve`]).
//! - No part of the state grows with the number of tenants ([`Summary`]).
//! - What other instances report adds to what this one has counted, and expires. Without reports, an
//!   instance decides by its own counts.

mod admission;
mod class;
mod limited;
mod priority;
mod report;
pub mod reserve;
mod shares;
mod summary;
mod tally;
mod total;
mod usage;
pub mod water_level;

pub use admission::{Admission, Standing};
pub use limited::Change;
pub use priority::Priority;
pub use report::{ClassReport, Report, TenantReport};
pub use shares::Shares;
pub use summary::Summary;
pub use total::Total;

use std::time::Duration;

/// The time constant of recent counts. An instance that sees 7 requests a second needs this long to
/// see enough of a tenant that sends a tenth of them.
const RECENT: Duration = Duration::from_secs(8);

/// The time constant of what is usual for a tenant. A higher load counts as usual if it lasts for
/// about as long without exceeding the tenant's fair share.
const USUAL: Duration = Duration::from_secs(600);

/// Returns the factor by which a count shrinks within `age`.
fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
