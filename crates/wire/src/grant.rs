//! Asking an owner for a credit, and giving it back.

use std::net::SocketAddr;
use std::time::Duration;

use contract::id;
use policy::credit;
use policy::feedback::Feedback;
use policy::quarantine::Fingerprint;
use policy::ticket;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::{trace, Pool};

/// A demand for a credit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The pool.
    pub pool: Pool,
    /// The instance that asks.
    pub from: id::Instance,
    /// The number of the demand, unique among all instances.
    pub ticket: ticket::Id,
    /// Whether the call may wait behind calls that cannot.
    pub can_wait: bool,
    /// The time left until the call's deadline.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "patience")]
    pub time_left: Duration,
    /// The longest time that the call may take once dispatched.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_limit: Duration,
    /// Servers to keep off while any other could take the call.
    pub avoid: Vec<id::Server>,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
    /// How long the owner may hold its reply back while it has no credit.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The span of the call that waits, where the call is traced.
    #[serde(default)]
    pub trace: Option<trace::Context>,
}

/// A credit for a demand.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The credit.
    pub credit: credit::Credit,
    /// Where the backend server takes requests.
    pub address: SocketAddr,
    /// How long the credit may be dispatched on, from before the demand was sent.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub lifetime: Duration,
}

/// Why there is no credit. The call has not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The instance may not grant credits of this pool now.
    NotOwner,
    /// The pool refuses the call.
    Pool(ticket::Refusal),
    /// All credits are in use; the demand may be repeated.
    Busy,
}

/// A credit that goes back to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The credit.
    pub credit: credit::Id,
    /// What the attempt showed, or none where no request was dispatched.
    #[serde(rename = "evidence")]
    pub feedback: Option<Feedback>,
}

/// Credits that go back to the owner of their pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Releases {
    /// The pool.
    pub pool: Pool,
    /// The credits.
    #[serde(rename = "returns")]
    pub releases: Vec<Release>,
    /// Demands that are of no more use.
    pub withdrawn: Vec<ticket::Id>,
}
