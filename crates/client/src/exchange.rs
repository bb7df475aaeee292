//! An answer and what is left of its connection.

use std::time::Duration;

use crate::{Answer, Connection};

/// An answer and what is left of its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub answer: Answer,
    /// Whether the answer lasted until the connection was closed.
    pub until_close: bool,
    /// Whether bytes followed that belong to no request.
    pub extra: bool,
    /// The answers to other requests that came before.
    pub crossed: usize,
    /// How long the other side says to keep the connection when it is idle.
    pub idle_time: Option<Duration>,
    /// The connection, if it can carry another request.
    pub connection: Option<Connection>,
}
