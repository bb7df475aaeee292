//! Rollouts: shift the traffic of services from one version to another.
//!
//! Each service has a leader among the instances, assigned like the owner of a pool, that decides
//! on the service's rollout with a [`rollout::controller::Controller`]. Owners of pools count the
//! responses of both versions, send the counts to the leader, and give the new version the traffic
//! share that the leader replies with.
//!
//! Invariants:
//!
//! - Only the instance that has exclusive authority on the leader's duty decides.
//! - A decision is sent with the whole state of the rollout ([`rollout::progress::Progress`]), and
//!   every owner of a pool keeps it. A new leader asks all members and the store, and resumes from
//!   the most advanced state, so an outcome that any instance has applied is not decided again.
//! - An owner that knows of no decision gives the new version no traffic.

mod leader;
mod status;
mod table;
mod tasks;

pub use leader::Leader;
pub use status::Status;
pub use table::Table;
pub(crate) use tasks::run;
