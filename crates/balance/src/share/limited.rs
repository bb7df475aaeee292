//! The tenants that are limited now, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;

use super::usage::Excess;

/// The most tenants that are named.
const MAX_NAMES: usize = 16;

/// The part of its requests within its fair share below which a tenant is named.
const NAMED_FRACTION: f64 = 0.5;

/// The recent requests from which on a tenant is named. Few requests exceed what is usual by chance.
const NAMED_REQUESTS: f64 = 8.0;

/// How long a tenant stays named after it exceeded its share, so that it does not come and go.
const NAMED_TIME: Duration = Duration::from_secs(3);

/// The name of requests without a tenant.
const NO_TENANT: &str = "(none)";

/// The tenants that have begun and ceased to be limited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Those that have begun.
    pub begun: Vec<String>,
    /// Those that have ceased.
    pub ended: Vec<String>,
}

impl Change {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// The tenants that are limited now.
#[derive(Debug, Default)]
pub(super) struct Limited(BTreeMap<String, Instant>);

impl Limited {
    /// Updates the tenants from those that exceed their fair shares.
    pub(super) fn update<'a>(
        &mut self,
        excesses: impl Iterator<Item = &'a Excess>,
        now: Instant,
    ) -> Change {
        let mut change = Change::default();
        let named =
            excesses.filter(|e| e.fraction < NAMED_FRACTION && e.requests >= NAMED_REQUESTS);
        for excess in named {
            let name = excess.name.as_deref().unwrap_or(NO_TENANT);
            if let Some(at) = self.0.get_mut(name) {
                *at = now;
            } else if self.0.len() < MAX_NAMES {
                self.0.insert(name.to_owned(), now);
                change.begun.push(name.to_owned());
            }
        }
        self.0.retain(|name, at| {
            let stays = now.since(*at) < NAMED_TIME;
            if !stays {
                change.ended.push(name.clone());
            }
            stays
        });
        change
    }

    /// Returns the names.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}
