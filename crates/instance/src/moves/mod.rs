//! Moves of traffic between versions.
//!
//! Each service has a lead among the instances, placed as pools are, that decides on the service's
//! move. Owners of pools count the answers of both versions, send the counts to the lead, and give
//! the new version the share that the lead replies with.
//!
//! Invariants:
//!
//! - Only the instance that has authority on the lead's duty decides.
//! - A decision travels with all that is known of the move ([`rollout::progress::Progress`]), and
//!   every owner of a pool keeps it. A new lead asks all members and the store, and goes on from the
//!   most advanced one, so that an outcome that anybody has acted on is not decided again.
//! - An owner that knows of no decision gives the new version nothing.

mod leader;
mod status;
mod table;
mod tasks;

pub use leader::Leader;
pub use status::Status;
pub use table::Table;
pub(crate) use tasks::run;
