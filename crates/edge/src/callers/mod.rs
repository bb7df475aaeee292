//! The port for callers.
//!
//! The head of a request is parsed by `httparse`, and bodies are read by [`client::Reader`]. The
//! HTTP library's server neither responds to a head that is too large or too slow, nor reports that
//! a caller has disconnected while its request is in progress.
//!
//! Invariants:
//!
//! - A complete request gets a response, unless its connection ends because the caller
//!   disconnected.
//! - Each response is complete, and is the only one to its request.
//! - A connection is closed after the response to a request that could not be read completely.
//! - Requests behind a response that closes the connection count as not read. See
//!   [`balance::pipeline::Pipeline`].

mod connection;
mod disconnect;
mod error;
mod exchanges;
mod request;
mod response;
mod server;

pub(crate) use disconnect::{Disconnect, Place};
pub(crate) use request::Request;
pub(crate) use response::Response;
pub(crate) use server::Server;
