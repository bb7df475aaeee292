//! The messages between instances and their replies.

use contract::digest::Digest;
use contract::id;
use membership::roster::Roster;
use membership::{epoch, member, vote};
use policy::quarantine::Suspicion;
use rollout::evidence::Evidence;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

use crate::claims::{Claim, Settlement, Unsaved, Verdict};
use crate::holding::{LiveCredits, Transfer};
use crate::{grant, Grant};

/// A heartbeat: the state of its sender and the sender's requests for support.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: member::Member,
    /// The roster epoch of the sender.
    pub epoch: epoch::Epoch,
    /// Whether the sender wants to leave the roster.
    pub leaving: bool,
    /// The members that the sender considers silent.
    pub silent: Vec<id::Instance>,
    /// The version of the sender's bundle, or 0 if it has none.
    pub bundle: u64,
    /// Whether the sender may hold claims in memory only, because the store is unavailable.
    pub volatile: bool,
    /// The sender's requests for support, one for each duty on which it acts.
    pub requests: Vec<vote::Request>,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The instance that replies.
    pub from: id::Instance,
    /// Its roster epoch.
    pub epoch: epoch::Epoch,
    /// The members that it considers silent.
    pub silent: Vec<id::Instance>,
    /// The version of its bundle, or 0 if it has none.
    pub bundle: u64,
    /// Its answers to the requests for support, in the order of the requests.
    pub answers: Vec<vote::Answer>,
}

/// What an instance reports to a new owner that takes over a duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The live credits that the instance holds.
    pub held: Vec<LiveCredits>,
    /// The instances that reported in heartbeats that they may hold claims in memory only.
    pub volatile: Vec<id::Instance>,
}

/// A request of one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a credit.
    #[serde(rename = "Ask")]
    Acquire(grant::Request),
    /// Releases credits and withdraws requests.
    #[serde(rename = "Return")]
    Release(grant::Releases),
    /// Shows that the sender is alive, and requests support.
    Heartbeat(Heartbeat),
    /// Sends the latest roster, which the receiver adopts if it is newer than its own.
    Roster(Roster),
    /// Requests the roster that the receiver has adopted.
    #[serde(rename = "AskRoster")]
    GetRoster,
    /// Requests the [`Report`] of the receiver. The receiver must have adopted the epoch, and
    /// abandons its pending requests to earlier owners.
    #[serde(rename = "Report")]
    GetReport(epoch::Epoch),
    /// Requests a claim.
    Claim(Claim),
    /// Reports how a claimed call ended.
    Settle(Settlement),
    /// Reports responses of a service's backend servers to the lead owner of its rollout.
    Evidence {
        /// The service.
        service: id::Service,
        /// The responses, counted since the last report.
        evidence: Evidence,
    },
    /// Sends the requests of a service that are suspected of crashing backend servers.
    Suspicions {
        /// The service.
        service: id::Service,
        /// The suspected requests.
        suspicions: Vec<Suspicion>,
    },
    /// Requests what the receiver knows about rollouts.
    #[serde(rename = "Moves")]
    GetRollouts,
    /// Requests the signed root of the bundle in force.
    #[serde(rename = "Bundle")]
    GetBundle,
    /// Requests a part of the bundle in force.
    #[serde(rename = "Part")]
    GetPart(Digest),
    /// Requests the pools on which the receiver acts and which the sender owns in `epoch`.
    Reclaim {
        /// The sender.
        from: id::Instance,
        /// The roster epoch.
        epoch: epoch::Epoch,
    },
}

/// The reply to a [`Message`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The granted credit.
    Granted(Grant),
    /// No credit was granted.
    Refused(grant::Refusal),
    /// The message was processed.
    Done,
    /// The decision on a request for a claim.
    Claimed(Verdict),
    /// The reply to a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// The report to a new owner.
    Report(Report),
    /// The reply to [`Message::Reclaim`].
    #[serde(rename = "Handed")]
    Reclaimed {
        /// Proof that lets members support the owner of a duty which a deputy has released.
        #[serde(rename = "relief")]
        release: Option<vote::Release>,
        /// The pools that the replying instance handed over.
        pools: Vec<Transfer>,
        /// The claims that only the replying instance knew.
        claims: Vec<Unsaved>,
    },
    /// What the instance knows about rollouts, encoded.
    #[serde(rename = "Moves")]
    Rollouts(#[serde_as(as = "Bytes")] Vec<u8>),
    /// The roster that the instance has adopted.
    Roster(Roster),
    /// The signed root of the bundle, encoded, if the instance has one.
    Bundle(#[serde_as(as = "Option<Bytes>")] Option<Vec<u8>>),
    /// The part of the bundle, encoded, if the instance has it.
    Part(#[serde_as(as = "Option<Bytes>")] Option<Vec<u8>>),
    /// The instance did not expect the message.
    Unexpected,
}
