//! The form in which instances exchange the crashes that requests are suspected of.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::Fingerprint;

/// One crash of a server while it ran a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The server that crashed.
    pub server: id::Server,
    /// How long ago it crashed, in milliseconds when serialised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// How long before that it was last known to run, in milliseconds when serialised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub uncertainty: Duration,
}

/// The crashes that a request is suspected of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes, the earliest first.
    pub crashes: Vec<Crash>,
}
