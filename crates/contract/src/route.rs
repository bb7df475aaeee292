//! A route of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::id;

/// Calls of one kind: how they are recognised, and what may be done with them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// The name of the route, unique within its service.
    pub name: id::Route,
    /// The methods that the route takes, in capitals; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The prefix of the paths that the route takes. The longest prefix that fits decides.
    pub path: String,
    /// Whether a call may run more than once without harm. By method when absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Whether calls may wait behind those of routes that cannot.
    #[serde(default)]
    pub can_wait: bool,
    /// The longest time that a call may take, in milliseconds.
    #[serde(rename = "time-limit-ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_limit: Duration,
}

impl Route {
    /// Returns whether the route takes calls of `method` to `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path)
    }

    /// Returns whether a call of `method` may run more than once without harm.
    ///
    /// Without a word of the bundle, the safe methods of RFC 9110, section 9.2.1, count.
    pub fn is_idempotent(&self, method: &str) -> bool {
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
        self.idempotent.unwrap_or(safe)
    }
}
