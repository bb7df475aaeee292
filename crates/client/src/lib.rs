//! HTTP/1.1 connections on which it is known whether a byte may have reached the other side.
//!
//! A caller may be told that its request did not run only when no byte of it can have reached a
//! backend server, and an answer may be passed on only when it is whole. General HTTP clients hide
//! both. A [`Connection`] carries one request at a time and is given back only after a whole answer;
//! whatever else happens closes it, so that a late answer meets nobody. [`ConnectionPool`] keeps connections
//! between requests. Parsing is left to `httparse`.

mod connection;
mod error;
mod exchange;
mod limits;
mod pool;
mod reader;
mod request;
mod response;
pub mod socket;

pub use connection::Connection;
pub use error::{Delivery, Error};
pub use exchange::Exchange;
pub use limits::Limits;
pub use pool::ConnectionPool;
pub use reader::Reader;
pub use request::Request;
pub use response::Response;
