//! The requests that a data centre may have in others.

use std::collections::HashMap;

/// The requests that a data centre may have in another one of which nothing is known.
const UNKNOWN_ROOM: f64 = 2.0;

/// The requests that a data centre may have at servers of others, by data centre and service.
#[derive(Debug, Default)]
pub struct Limits(HashMap<String, HashMap<String, f64>>);

impl Limits {
    /// Sets the requests that may be at servers of `service` in `centre`.
    pub fn set(&mut self, centre: &str, service: &str, room: f64) {
        let services = self.0.entry(centre.to_owned()).or_default();
        services.insert(service.to_owned(), room);
    }

    /// Returns whether there may be one more than `ours`.
    pub fn allows(&self, centre: &str, service: &str, ours: f64) -> bool {
        let room = self
            .0
            .get(centre)
            .and_then(|services| services.get(service));
        ours + 1.0 <= room.copied().unwrap_or(UNKNOWN_ROOM)
    }
}
