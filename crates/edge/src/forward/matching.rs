//! Decides which responses belong to a request.

use client::{Connection, Exchange, Usage};

use crate::headers::ResponseMetadata;

/// How the response of an attempt is matched to the request.
///
/// A faulty server sends responses too many, also late, where the next one is due: copies of responses
/// to earlier requests or probes on the connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Matching {
    /// The connection, and how often it was used before.
    pub(crate) usage: Usage,
    /// Whether responses on the connection have named their requests before.
    has_named_requests: bool,
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
            has_named_requests: connection.names_requests(),
            skipped_responses: 0,
            names_request: None,
        }
    }

    /// Returns whether a response that names the request `named` belongs to the request `id`. A
    /// server that has named requests names each that has an id.
    pub(super) fn accepts(&self, named: Option<&str>, id: Option<&str>) -> bool {
        match named {
            Some(named) => id == Some(named),
            None => id.is_none() || !self.has_named_requests,
        }
    }

    /// Records the accepted response.
    pub(super) fn record(&mut self, exchange: &Exchange, metadata: &ResponseMetadata) {
        self.skipped_responses = exchange.skipped_responses;
        self.names_request = Some(metadata.request_id.is_some());
    }

    /// Returns whether a refusal in the response can be of no other request. That is so if the response
    /// names the request, or if at most one exchange came before: a connection is not kept after a
    /// refusal of a probe, so the copy of that response would be no refusal. A second probe may have
    /// taken the copy of the first one's response for its own, and its refusal may still arrive.
    pub(super) fn is_certain(&self) -> bool {
        self.names_request == Some(true) || self.usage.requests <= 1
    }
}
