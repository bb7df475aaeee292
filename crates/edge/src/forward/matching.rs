//! Decides which responses belong to a request.

use client::{Connection, Usage};

/// How the response of an attempt is matched to the request.
///
/// A faulty server sends responses too many, also late, where the next one is due: copies of responses
/// to earlier requests or probes on the connection. A response to a request with an id names it, at
/// least if it is a success; probes have no id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Matching {
    /// The connection, and how often it was used before.
    pub(crate) usage: Usage,
    /// The number of responses to other requests that arrived before.
    pub(crate) skipped_responses: usize,
    /// Whether the response names the request, if there was one.
    pub(crate) names_request: Option<bool>,
}

impl Matching {
    /// Returns the state before a request is sent on `connection`.
    pub(super) fn new(connection: &Connection) -> Self {
        Self {
            usage: connection.usage(),
            skipped_responses: 0,
            names_request: None,
        }
    }

    /// Returns whether a response with `status` that names the request `named` may belong to the
    /// request `id`.
    pub(super) fn accepts(&self, status: u16, named: Option<&str>, id: Option<&str>) -> bool {
        if named.is_some() {
            return named == id;
        }
        let is_success = (200..300).contains(&status);
        id.is_none() || self.usage.requests == 0 || !is_success
    }

    /// Returns whether the accepted response can belong to no other request.
    ///
    /// A connection is kept after a response that names no request only if that is the success of a
    /// probe. So no copy is a refusal or failure without an id. But if two or more requests or probes
    /// were sent before, the last of them may have taken such a copy for its own response, which is
    /// then still to come.
    pub(super) fn is_certain(&self) -> bool {
        self.names_request == Some(true) || self.usage.requests <= 1
    }
}
