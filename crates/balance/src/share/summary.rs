//! The heaviest of any number of tenants.

use std::time::Duration;

use clock::Instant;

use super::decay;

/// A count below which an entry is dropped.
const NEGLIGIBLE: f64 = 0.02;

#[derive(Clone, Debug)]
struct Entry {
    tenant: Option<String>,
    count: f64,
    /// How much of `count` may belong to tenants that had the entry before.
    error: f64,
}

/// The requests of the heaviest of any number of tenants, as counts that decay.
///
/// This is the Space-Saving summary of Metwally et al.: a tenant without an entry takes that of the
/// tenant with the lowest count, and inherits the count as its error. A tenant with more than
/// `1 / capacity` of all requests always has an entry. Requests without a tenant count as those of one
/// tenant without a name.
#[derive(Clone, Debug)]
pub struct Summary {
    capacity: usize,
    time_constant: Duration,
    entries: Vec<Entry>,
    total: f64,
    at: Instant,
}

impl Summary {
    /// Returns an empty summary of at most `capacity` tenants, whose counts decay by `time_constant`.
    pub fn new(capacity: usize, time_constant: Duration) -> Self {
        Self {
            capacity,
            time_constant,
            entries: Vec::new(),
            total: 0.0,
            at: Instant::ZERO,
        }
    }

    /// Counts a request of `tenant`.
    pub fn record(&mut self, tenant: Option<&str>, now: Instant) {
        self.advance(now);
        self.total += 1.0;
        let known = self
            .entries
            .iter_mut()
            .find(|e| e.tenant.as_deref() == tenant);
        if let Some(entry) = known {
            entry.count += 1.0;
            return;
        }
        let mut entry = Entry {
            tenant: tenant.map(str::to_owned),
            count: 1.0,
            error: 0.0,
        };
        if self.entries.len() < self.capacity {
            self.entries.push(entry);
            return;
        }
        let lightest = self
            .entries
            .iter_mut()
            .min_by(|a, b| a.count.total_cmp(&b.count));
        if let Some(lightest) = lightest {
            entry.count += lightest.count;
            entry.error = lightest.count;
            *lightest = entry;
        }
    }

    /// Lets the counts decay up to `now`.
    fn advance(&mut self, now: Instant) {
        let factor = decay(now.since(self.at), self.time_constant);
        for entry in &mut self.entries {
            entry.count *= factor;
            entry.error *= factor;
        }
        self.entries.retain(|e| e.count >= NEGLIGIBLE);
        self.total *= factor;
        self.at = self.at.max(now);
    }

    /// Returns the count of all requests.
    pub fn total(&self, now: Instant) -> f64 {
        self.total * decay(now.since(self.at), self.time_constant)
    }

    /// Returns the number of tenants in the summary.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the summary has no tenants.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tenants with their counts, of which at least this much is theirs.
    pub fn tenants(&self, now: Instant) -> impl Iterator<Item = (Option<&str>, f64)> {
        let factor = decay(now.since(self.at), self.time_constant);
        let counts = self.entries.iter();
        counts.map(move |e| (e.tenant.as_deref(), (e.count - e.error) * factor))
    }

    /// Returns the count of `tenant`, of which at least this much is its own.
    pub fn count(&self, tenant: Option<&str>, now: Instant) -> f64 {
        let mut tenants = self.tenants(now);
        let found = tenants.find(|(name, _)| *name == tenant);
        found.map_or(0.0, |(_, count)| count)
    }
}
