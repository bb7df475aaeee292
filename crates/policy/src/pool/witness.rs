//! Instances that fail to reach servers which others reach.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

/// The different servers that an instance must fail to reach in a row before it is doubted.
const SERVERS: usize = 2;

/// How long an answer to one instance casts doubt on another.
const DOUBT: Duration = Duration::from_secs(1);

/// The instances that are watched at once.
const CAPACITY: usize = 1024;

/// An instance that got an answer.
#[derive(Clone, Debug)]
struct Answer {
    instance: id::Instance,
    at: Instant,
}

/// Tells an instance that is cut off from servers that are down.
///
/// An instance that reaches none of several servers, while others get answers, shows nothing of the
/// servers. When no instance gets answers any more, all are believed again.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    /// The servers that each instance failed to reach since its last answer.
    failures: BTreeMap<id::Instance, Vec<id::Server>>,
    latest: Option<Answer>,
    /// The latest answer to another instance than that of the latest.
    other: Option<Answer>,
}

impl Witness {
    /// Counts an answer that `instance` got.
    pub(crate) fn answer(&mut self, instance: &id::Instance, now: Instant) {
        self.failures.remove(instance);
        let answer = Answer {
            instance: instance.clone(),
            at: now,
        };
        let before = self.latest.replace(answer);
        if let Some(before) = before.filter(|a| a.instance != *instance) {
            self.other = Some(before);
        }
    }

    /// Counts that `instance` failed to reach `server`, and returns whether that is believed.
    pub(crate) fn believe(
        &mut self,
        instance: &id::Instance,
        server: &id::Server,
        now: Instant,
    ) -> bool {
        if self.failures.len() == CAPACITY && !self.failures.contains_key(instance) {
            // Mostly instances that are gone.
            self.failures.clear();
        }
        let servers = self.failures.entry(instance.clone()).or_default();
        if servers.len() < SERVERS && !servers.contains(server) {
            servers.push(server.clone());
        }
        let doubted = servers.len() == SERVERS;
        let answers = self.latest.iter().chain(&self.other);
        let mut others = answers.filter(|a| a.instance != *instance);
        !(doubted && others.any(|a| now < a.at + DOUBT))
    }
}
