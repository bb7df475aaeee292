//! Cluster membership: the roster of instances, leases, takeovers and placement of duties, without
//! I/O.
//!
//! Each instance acts on the duty of its own name, and a deputy acts on the duty of a silent
//! member. An actor needs a lease from a majority of the members ([`vote`], [`authority`]) and has
//! to take over the state of earlier actors ([`takeover`]) before it grants credits.
//!
//! Invariants, provided that clocks drift apart by less than the margin:
//!
//! - The epoch that an instance has adopted never decreases.
//! - At most one actor has [`authority::Authority`] on a duty of an epoch at any instant: a member
//!   supports one actor per duty at a time, and majorities of one roster intersect.
//! - An actor grants only while it has authority and after its [`takeover::Takeover`] is ready: no
//!   earlier actor on the same key can still grant, and each credit of such an actor has ended or
//!   is known.
//! - Epoch E + 1 is written only after E is settled, that is, after majorities of its members and
//!   of those of the previous epoch have seen it. So at most two rosters are in use at any instant.
//!
//! Each step takes `now` as an argument. Instants of different processes are never compared:
//! durations reported by another instance are counted from before the request was sent.

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
