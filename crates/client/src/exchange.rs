//! An answer and what is left of its connection.

use std::time::Duration;

use crate::{Connection, Response};

/// An answer and what is left of its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response,
    /// Whether the answer lasted until the connection was closed.
    pub close_delimited: bool,
    /// Whether bytes followed that belong to no request.
    pub has_extra_bytes: bool,
    /// The answers to other requests that came before.
    pub skipped_responses: usize,
    /// How long the other side says to keep the connection when it is idle.
    pub keep_alive_timeout: Option<Duration>,
    /// The connection, if it can carry another request.
    pub connection: Option<Connection>,
}
