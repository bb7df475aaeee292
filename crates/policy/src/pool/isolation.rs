//! Detection of instances that cannot reach servers which other instances reach.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

/// Number of distinct servers that an instance must fail to reach in a row before it may be
/// considered isolated.
const MIN_SERVERS: usize = 2;

/// How long a response to one instance is evidence that another instance is isolated.
const RESPONSE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of tracked instances.
const MAX_INSTANCES: usize = 1024;

/// A response that an instance received.
#[derive(Clone, Debug)]
struct Response {
    instance: id::Instance,
    at: Instant,
}

/// Distinguishes isolated instances from servers that are down.
///
/// While an instance reaches none of several servers and other instances receive responses, its
/// failures do not count against the servers. When no other instance receives responses either,
/// the failures of all instances count again.
#[derive(Debug, Default)]
pub(crate) struct Detector {
    /// The servers that each instance failed to reach since its last response.
    unreachable: BTreeMap<id::Instance, Vec<id::Server>>,
    latest: Option<Response>,
    /// The latest response to an instance other than the one in `latest`.
    other: Option<Response>,
}

impl Detector {
    /// Records that `instance` received a response.
    pub(crate) fn record_response(&mut self, instance: &id::Instance, now: Instant) {
        self.unreachable.remove(instance);
        let response = Response {
            instance: instance.clone(),
            at: now,
        };
        let previous = self.latest.replace(response);
        if let Some(previous) = previous.filter(|r| r.instance != *instance) {
            self.other = Some(previous);
        }
    }

    /// Records that `instance` failed to reach `server`, and returns whether the failure counts
    /// against the server.
    pub(crate) fn record_unreachable(
        &mut self,
        instance: &id::Instance,
        server: &id::Server,
        now: Instant,
    ) -> bool {
        if self.unreachable.len() == MAX_INSTANCES && !self.unreachable.contains_key(instance) {
            // Most of these instances no longer exist.
            self.unreachable.clear();
        }
        let servers = self.unreachable.entry(instance.clone()).or_default();
        if servers.len() < MIN_SERVERS && !servers.contains(server) {
            servers.push(server.clone());
        }
        let suspected = servers.len() == MIN_SERVERS;
        let responses = self.latest.iter().chain(&self.other);
        let mut others = responses.filter(|r| r.instance != *instance);
        !(suspected && others.any(|r| now < r.at + RESPONSE_WINDOW))
    }
}
