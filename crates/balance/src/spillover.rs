//! Limits on the requests that spill over to other data centres.

use std::collections::HashMap;

/// The number of requests allowed in a data centre that has not announced its headroom.
const DEFAULT_LIMIT: f64 = 2.0;

/// How many requests of this data centre may be at servers of others, by data centre and service.
#[derive(Debug, Default)]
pub struct Limits(HashMap<String, HashMap<String, f64>>);

impl Limits {
    /// Sets how many requests may be at servers of `service` in `centre`.
    pub fn set(&mut self, centre: &str, service: &str, limit: f64) {
        let services = self.0.entry(centre.to_owned()).or_default();
        services.insert(service.to_owned(), limit);
    }

    /// Returns whether one more request than `current` is allowed.
    pub fn allows(&self, centre: &str, service: &str, current: f64) -> bool {
        let limit = self
            .0
            .get(centre)
            .and_then(|services| services.get(service));
        current + 1.0 <= limit.copied().unwrap_or(DEFAULT_LIMIT)
    }
}
