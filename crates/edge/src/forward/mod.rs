//! Sends a request to a backend server, or refuses it.
//!
//! Invariants:
//!
//! - A request that must not repeat is sent to a second server only if the first one said that it
//!   did not run it, or no byte of it can have arrived there.
//! - An answer that says "not run" (429, 503, 408) is given only while that holds for all servers
//!   that the request was sent to.
//! - An answer is passed on only when it is whole, vouched for by its server, and an answer to this
//!   very request.

mod attempt;
mod dispatch;
mod outcome;
mod queue;
mod refusal;
mod service_time;

pub(crate) use dispatch::handle;
pub(crate) use queue::Queues;
pub(crate) use service_time::ServiceTimes;
