//! Results of exchanges.

use std::time::Duration;

use crate::{Connection, Response};

/// A response and the state of its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response,
    /// Whether the end of the response was marked only by the end of the connection.
    pub close_delimited: bool,
    /// Whether the response was followed by bytes that belong to no request.
    pub has_extra_bytes: bool,
    /// The number of responses to other requests that were received before this one.
    pub skipped_responses: usize,
    /// How long the other side keeps the connection open while it is idle, if it says so.
    pub keep_alive_timeout: Option<Duration>,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
}
