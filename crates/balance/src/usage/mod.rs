//! Usage of tenants: how many of their requests servers began to run, by windows of true time.
//!
//! - Each instance has a [`Counter`]. A request counts once, in the window in which the first of its
//!   [`Attempts`] that began was sent. It counts from the moment at which it is sent, and no more if
//!   the server states that it did not run it.
//! - A [`Message`] has cumulative counts of one window, so that a later one makes good for one that
//!   was lost. Two instances of a data centre, which all others derive alike ([`Ranking`]), receive
//!   them, and sum them up in a [`Collector`].
//!
//! Invariant: of two messages about a tenant in a window, the one with the higher sequence number
//! counts, in whichever order they arrive, and however often.

mod attempts;
mod collector;
mod counter;
mod message;
mod ranking;
mod report;
mod sums;
mod tenure;

pub use attempts::{Attempt, Attempts};
pub use collector::Collector;
pub use counter::Counter;
pub use message::{Message, Part, MAX_MESSAGE_BYTES};
pub use ranking::Ranking;
pub use report::Report;
pub use sums::Sums;
pub use tenure::{Tenure, SETTLING_TIME};

use std::time::Duration;

/// Returns the number of the window of this `length` that contains `time`, since the start of 1970.
pub fn window(time: Duration, length: Duration) -> u64 {
    let number = time.as_micros() / length.as_micros().max(1);
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Returns when `window` ends, since the start of 1970.
pub fn window_end(window: u64, length: Duration) -> Duration {
    let micros = (u128::from(window) + 1).saturating_mul(length.as_micros());
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
