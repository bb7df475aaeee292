//! Requests for credits to the owner of a pool, its grants, and the release of credits.

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

/// A request for a credit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The pool.
    pub pool: Pool,
    /// The instance that sends the request.
    pub from: id::Instance,
    /// The id of the request, unique among all instances.
    pub ticket: ticket::Id,
    /// Whether the call may wait behind calls that cannot wait.
    pub can_wait: bool,
    /// The time left until the call's deadline.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "patience")]
    pub time_left: Duration,
    /// The longest time that the call may take once dispatched.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_limit: Duration,
    /// Servers to avoid while any other server can take the call.
    pub avoid: Vec<id::Server>,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
    /// How long the owner may delay its reply while it has no credit to grant.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The span of the waiting call, if the call is traced.
    #[serde(default)]
    pub trace: Option<trace::Context>,
}

/// A credit granted to a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The credit.
    pub credit: credit::Credit,
    /// The address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// How long a call may be dispatched on the credit, counted from before the request was sent.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub lifetime: Duration,
}

/// Why no credit was granted. The call has not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The instance may not grant credits of this pool at present.
    NotOwner,
    /// The pool refuses the call.
    Pool(ticket::Refusal),
    /// All credits are in use; the request may be repeated.
    Busy,
}

/// A credit released to the owner of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The credit.
    pub credit: credit::Id,
    /// The feedback from the attempt, or `None` if no request was dispatched.
    #[serde(rename = "evidence")]
    pub feedback: Option<Feedback>,
}

/// Credits released, and requests withdrawn, by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Releases {
    /// The pool.
    pub pool: Pool,
    /// The released credits.
    #[serde(rename = "returns")]
    pub releases: Vec<Release>,
    /// Requests that no longer need a credit.
    pub withdrawn: Vec<ticket::Id>,
}
