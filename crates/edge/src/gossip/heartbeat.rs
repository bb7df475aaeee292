//! State that an instance repeats in every heartbeat.

use std::net::SocketAddr;
use std::time::Duration;

use balance::lending::Loans;
use balance::loan::Usage;
use balance::record::Kind;
use balance::rollout::Stage;
use balance::server::Key;
use balance::share::{Report, Total};
use balance::verdict::Tally;
use policy::quarantine::Suspicion;
use serde::{Deserialize, Serialize};

use super::Identity;

/// Request results per version of a rollout, as counted by one instance or one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    /// The service.
    pub(crate) service: String,
    /// The store revision at which the order was created, and the version that it names.
    pub(crate) order: (u64, String),
    /// The results of both versions, by route.
    pub(crate) tallies: Vec<(String, Tally)>,
}

/// A decision of the rollout leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutPlan {
    /// The service.
    pub(crate) service: String,
    /// The order: see [`RolloutReport::order`].
    pub(crate) order: (u64, String),
    /// How long the rollout has lasted.
    pub(crate) elapsed: Duration,
    /// The versions to send requests to.
    pub(crate) stage: Stage,
}

/// State of an instance that concerns tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tenancy {
    /// The sender's time of day, since the start of 1970.
    pub(crate) time_of_day: Option<Duration>,
    /// Its use of capacity by tenants, while requests are refused.
    pub(crate) shares: Option<Report>,
}

/// State of a data centre that concerns tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CentreTenancy {
    /// The addresses of the instances that collect its usage, the first one first.
    pub(crate) collectors: Vec<SocketAddr>,
    /// Outcomes of its requests, while some are refused.
    pub(crate) outcomes: Option<Total>,
}

impl Tenancy {
    /// Returns the state, or `None` if there is nothing to tell.
    pub(super) fn new(time_of_day: Option<Duration>, shares: Option<Report>) -> Option<Self> {
        let is_empty = time_of_day.is_none() && shares.is_none();
        (!is_empty).then_some(Self {
            time_of_day,
            shares,
        })
    }
}

impl CentreTenancy {
    /// Returns the state, or `None` if there is nothing to tell.
    pub(super) fn new(collectors: Vec<SocketAddr>, outcomes: Option<Total>) -> Option<Self> {
        let is_empty = collectors.is_empty() && outcomes.is_none();
        (!is_empty).then_some(Self {
            collectors,
            outcomes,
        })
    }
}

/// Summary of a data centre, sent by its reader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CentreState {
    /// The data centre.
    pub(crate) centre: String,
    /// The number of its live instances.
    pub(crate) members: u32,
    /// The instance that reads the store, if there is one.
    pub(crate) reader: Option<Identity>,
    /// The store revisions that it has read, by [`Kind::index`].
    pub(crate) revisions: [u64; Kind::ALL.len()],
    /// Free capacity of its servers in requests, by service.
    #[serde(rename = "room")]
    pub(crate) headroom: Vec<(String, f64)>,
    /// Demand of its callers and capacity of its servers, by service.
    #[serde(rename = "balances")]
    pub(crate) usage: Vec<(String, Usage)>,
    /// Its servers that are lent to other data centres.
    pub(crate) loans: Loans,
    /// Rollout results summed over its instances.
    #[serde(rename = "moves")]
    pub(crate) rollouts: Vec<RolloutReport>,
    /// Rollout decisions that its reader has made or received from the leader.
    pub(crate) plans: Vec<RolloutPlan>,
    /// The age of this state.
    pub(crate) age: Duration,
    /// Whether its reader reads the store itself, and the store responds to it.
    #[serde(default)]
    pub(crate) reads_store: bool,
    /// What concerns tenants, if the data centre serves any. An instance of a build before tenants
    /// cannot decode a longer state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tenancy: Option<CentreTenancy>,
}

/// Heartbeat of an instance to the other instances of its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The sender.
    pub(crate) from: Identity,
    /// Whether it reads the store for the data centre.
    #[serde(rename = "reads")]
    pub(crate) is_reader: bool,
    /// Whether it has become the reader, but the store has not responded yet.
    #[serde(rename = "begins")]
    pub(crate) starting_reader: bool,
    /// Whether a call of the store has failed recently.
    #[serde(rename = "cut_off")]
    pub(crate) store_failed: bool,
    /// The store revisions that it has applied, by [`Kind::index`].
    pub(crate) revisions: [u64; Kind::ALL.len()],
    /// Its requests in flight by server; it has none at servers that are not listed.
    #[serde(rename = "held")]
    pub(crate) in_flight: Vec<(Key, u32)>,
    /// Rollout results that it has counted.
    #[serde(rename = "moves")]
    pub(crate) rollouts: Vec<RolloutReport>,
    /// Demand of its callers, by service.
    #[serde(rename = "needs")]
    pub(crate) demand: Vec<(String, f64)>,
    /// From a reader: servers of this data centre that are lent to others.
    pub(crate) loans: Loans,
    /// From a reader: the state of the other data centres.
    pub(crate) centres: Vec<CentreState>,
    /// From a reader: rollout decisions.
    pub(crate) plans: Vec<RolloutPlan>,
    /// Servers that the sender probes and that cannot take requests.
    #[serde(default)]
    pub(crate) unusable: Vec<Key>,
    /// From a reader: whether it reads the store itself, and the store responds to it.
    #[serde(default)]
    pub(crate) reads_store: bool,
    /// From the reader of a large data centre: some of its instances.
    #[serde(default)]
    pub(crate) members: Vec<Identity>,
    /// Requests that servers crashed under.
    #[serde(default)]
    pub(crate) suspicions: Vec<Suspicion>,
    /// What concerns tenants, if there are any. An instance of a build before tenants cannot decode a
    /// longer heartbeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tenancy: Option<Tenancy>,
}

/// Heartbeat of a reader to other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CentreHeartbeat {
    /// The sender.
    pub(crate) from: Identity,
    /// The state of its data centre.
    pub(crate) state: CentreState,
    /// Whether the receiver is to reply with its own state.
    #[serde(rename = "reply")]
    pub(crate) reply_requested: bool,
    /// Requests that servers crashed under.
    #[serde(default)]
    pub(crate) suspicions: Vec<Suspicion>,
    /// The sender's time of day, since the start of 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) time_of_day: Option<Duration>,
}
