//! Forwards requests to backend servers, or refuses them.
//!
//! Invariants:
//!
//! - A non-idempotent request is sent to a second server only if the first one stated that it did
//!   not run it, or no byte of it can have arrived there.
//! - A status that means "not run" (408, 421, 429, 503) is returned only if no server that the request
//!   was sent to can have run it.
//! - A connection is kept only after a response that names its request, so that a repeated one is
//!   not taken for the response to another.
//! - A request that has been answered on a connection, and may be sent again, gets another one: its id
//!   cannot tell the repeated response from the next one.
//! - A response that names no request counts only if no earlier request or probe on its connection can
//!   have caused it.
//! - An attempt is sent only if the configuration in force then lets its caller have it run, and all
//!   attempts of a request are for the same tenant.
//! - A response is passed on only if it is complete, signed by its server, and belongs to this
//!   request.

mod access;
mod attempt;
mod dispatch;
mod forecast;
mod hedge;
mod matching;
mod outcome;
mod queue;
mod refusal;
mod service_time;

pub(crate) use dispatch::handle;
pub(crate) use forecast::Forecast;
pub(crate) use queue::Queues;
pub(crate) use service_time::ServiceTimes;
