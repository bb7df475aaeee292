//! What is known about a request before it is handled.

use std::time::Duration;

use clock::{Clock, Instant};

use crate::callers::Request;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// What is known about a request before it is handled. The configuration may change meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Whether the route is known, and idempotent.
    pub(crate) idempotent: bool,
    /// When the caller stops waiting for the response.
    pub(crate) deadline: Instant,
    /// How long a server is expected to take.
    pub(crate) expected: Duration,
}

impl Forecast {
    /// Returns what is known about a request that arrived at `arrived_at`.
    pub(crate) fn new<S, H, C>(node: &Node<S, H, C>, request: &Request, arrived_at: Instant) -> Self
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let config = node.config.load();
        let route = config
            .as_ref()
            .and_then(|config| config.route(&request.host, request.path()));
        let Some(route) = route else {
            return Self {
                idempotent: false,
                deadline: arrived_at,
                expected: Duration::ZERO,
            };
        };
        let time_left = node.codec.parse_request(&request.headers).time_left;
        let time_left = time_left.map_or(route.timeout, |time| time.min(route.timeout));
        Self {
            idempotent: route.idempotent,
            deadline: arrived_at + time_left,
            expected: node.service_times.expected(&route.name, route.objective),
        }
    }
}
