//! A duty that one instance has at a time: to report the usage of tenants.
//!
//! An [`Agent`] is one instance's part. It is told what the store and the receiver have answered, what
//! the holder announces and what time it is, and returns the next [`Step`]. The store has one
//! [`Object`], which only changes by writes on condition of its revision.
//!
//! Invariants:
//!
//! - A report is sent only while the sender's lease lasts, and only if its counts are in an object that
//!   the sender has written in the current era, with a confirmation of the store. So the counts of a
//!   window are fixed once, and whoever takes over sends them unchanged.
//! - An instance takes over only if the object has had the same revision for the time of a lease, or
//!   the holder has ended its term. The holder's lease counts from the start of its last write.
//! - Generations increase with each takeover ([`Generation`]).
//! - After the store was restored, no counts are determined for windows that may have been reported
//!   before.

mod agent;
mod event;
mod generation;
mod notice;
mod object;
mod timing;

pub use agent::{Agent, Call, Context, Delivery, Step};
pub use event::Event;
pub use generation::Generation;
pub use notice::Notice;
pub use object::{Condition, Object, Outcome, Reading, Stored, Write};
pub use timing::{Limits, Timing};
