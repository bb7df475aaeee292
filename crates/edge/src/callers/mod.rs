//! The port for callers.
//!
//! The head of a request is parsed by `httparse` and bodies are read by [`client::Reader`]: the
//! HTTP library's server neither answers a head that is too large or too slow, nor tells when a
//! caller has gone while it waits.
//!
//! Invariants:
//!
//! - A request that was read whole gets an answer, or its connection ends because the caller left.
//! - Each answer is whole and is the only one to its request.
//! - A connection is closed after an answer to a request that could not be read to its end.

mod connection;
mod disconnect;
mod error;
mod request;
mod response;
mod server;

pub(crate) use disconnect::Disconnect;
pub(crate) use request::Request;
pub(crate) use response::Response;
pub(crate) use server::Server;
