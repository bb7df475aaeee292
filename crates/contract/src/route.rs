//! A route of a service: which calls it matches and how they are handled.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::id;

/// A class of calls, matched by method and path prefix, and the rules for handling them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// The name of the route, unique within its service.
    pub name: id::Route,
    /// The methods that the route matches, in capitals; empty matches all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The prefix of the paths that the route matches. The longest matching prefix wins.
    pub path: String,
    /// Whether a call may run more than once without harm. If absent, the method decides (see
    /// [`Route::is_idempotent`]).
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Whether calls may be queued behind calls of routes that cannot wait.
    #[serde(default)]
    pub can_wait: bool,
    /// The longest time that a call may take, in milliseconds.
    #[serde(rename = "time-limit-ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_limit: Duration,
}

impl Route {
    /// Returns whether the route matches calls of `method` to `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path)
    }

    /// Returns whether a call of `method` may run more than once without harm.
    ///
    /// If the bundle does not specify this, only the safe methods of RFC 9110, section 9.2.1, are
    /// idempotent.
    pub fn is_idempotent(&self, method: &str) -> bool {
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
        self.idempotent.unwrap_or(safe)
    }
}
