//! HTTP/1.1 connections on which it is known whether a byte may have reached the other side.
//!
//! A caller may be told that its request did not run only if no byte of it can have reached a
//! backend server, and a response may be forwarded only if it is complete. General-purpose HTTP
//! clients expose neither. A [`Connection`] carries one request at a time and is returned for reuse
//! only after a complete response. In all other cases it is closed, so a late response cannot be
//! taken for that of another request. A server may also repeat a response, so a request that is sent
//! again must not meet a connection on which it has been answered: [`Connection::with_answered`].
//! [`ConnectionPool`] keeps idle connections. Messages are parsed with `httparse`. A [`Memory`]
//! bounds what bodies without end take together.

mod connection;
mod error;
mod exchange;
mod failure;
mod limits;
mod memory;
mod pool;
mod reader;
mod received;
mod request;
mod response;
pub mod socket;
mod usage;

pub use connection::Connection;
pub use error::{Delivery, Error};
pub use exchange::Exchange;
pub use limits::Limits;
pub use memory::{Memory, Reservation};
pub use pool::ConnectionPool;
pub use reader::Reader;
pub use received::Received;
pub use request::Request;
pub use response::Response;
pub use usage::Usage;
