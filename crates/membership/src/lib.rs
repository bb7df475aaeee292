//! Roster, leases and authority, without I/O.
//!
//! Invariants, which hold with clocks that drift by less than the margin:
//!
//! - The epoch that an instance has adopted never falls.
//! - At most one actor has [`authority::Authority`] on a duty of an epoch at any instant: a member
//!   supports one actor a duty at a time, and majorities of one roster intersect.
//! - An actor grants only while it has authority and after its [`takeover::Takeover`] is ready: no
//!   earlier actor on the same key can grant any more, and each of its credits has ended or is known.
//! - Epoch E + 1 is written only after E is settled, so that only two rosters matter at any instant.
//!
//! Each step is given `now` and returns what to do. Instants of different processes are never
//! compared: what is learned from another instance is counted from before the request was sent.

pub mod authority;
pub mod change;
pub mod detector;
pub mod duty;
pub mod epoch;
pub mod member;
pub mod placement;
pub mod quorum;
pub mod roster;
pub mod takeover;
pub mod vote;
