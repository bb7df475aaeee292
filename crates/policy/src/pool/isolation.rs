//! Instances that fail to reach servers which others reach.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

/// The different servers that an instance must fail to reach in a row before it is doubted.
const MIN_SERVERS: usize = 2;

/// How long an answer to one instance casts doubt on another.
const RESPONSE_WINDOW: Duration = Duration::from_secs(1);

/// The instances that are watched at once.
const MAX_INSTANCES: usize = 1024;

/// An instance that got an answer.
#[derive(Clone, Debug)]
struct Response {
    instance: id::Instance,
    at: Instant,
}

/// Tells an instance that is cut off from servers that are down.
///
/// An instance that reaches none of several servers, while others get answers, shows nothing of the
/// servers. When no instance gets answers any more, all are believed again.
#[derive(Debug, Default)]
pub(crate) struct Detector {
    /// The servers that each instance failed to reach since its last answer.
    unreachable: BTreeMap<id::Instance, Vec<id::Server>>,
    latest: Option<Response>,
    /// The latest answer to another instance than that of the latest.
    other: Option<Response>,
}

impl Detector {
    /// Counts an answer that `instance` got.
    pub(crate) fn record_response(&mut self, instance: &id::Instance, now: Instant) {
        self.unreachable.remove(instance);
        let response = Response {
            instance: instance.clone(),
            at: now,
        };
        let previous = self.latest.replace(response);
        if let Some(previous) = previous.filter(|a| a.instance != *instance) {
            self.other = Some(previous);
        }
    }

    /// Counts that `instance` failed to reach `server`, and returns whether that is believed.
    pub(crate) fn record_unreachable(
        &mut self,
        instance: &id::Instance,
        server: &id::Server,
        now: Instant,
    ) -> bool {
        if self.unreachable.len() == MAX_INSTANCES && !self.unreachable.contains_key(instance) {
            // Mostly instances that are gone.
            self.unreachable.clear();
        }
        let servers = self.unreachable.entry(instance.clone()).or_default();
        if servers.len() < MIN_SERVERS && !servers.contains(server) {
            servers.push(server.clone());
        }
        let suspected = servers.len() == MIN_SERVERS;
        let responses = self.latest.iter().chain(&self.other);
        let mut others = responses.filter(|a| a.instance != *instance);
        !(suspected && others.any(|a| now < a.at + RESPONSE_WINDOW))
    }
}
