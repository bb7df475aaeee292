//! The messages.

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

/// What an instance tells another with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: member::Member,
    /// The epoch of the sender.
    pub epoch: epoch::Epoch,
    /// Whether the sender wants to leave the roster.
    pub leaving: bool,
    /// The members that the sender calls silent.
    pub silent: Vec<id::Instance>,
    /// The number of the sender's bundle, or 0.
    pub bundle: u64,
    /// Whether the sender may hold claims in memory alone, because the store is down.
    pub volatile: bool,
    /// The sender's requests for support, one for each duty that it acts on.
    pub requests: Vec<vote::Request>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering instance.
    pub from: id::Instance,
    /// Its epoch.
    pub epoch: epoch::Epoch,
    /// The members that it calls silent.
    pub silent: Vec<id::Instance>,
    /// The number of its bundle, or 0.
    pub bundle: u64,
    /// Its answers to the requests for support, in their order.
    pub answers: Vec<vote::Answer>,
}

/// What a new owner has to know of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The credits that the instance holds.
    pub held: Vec<LiveCredits>,
    /// The instances that told this one that they may hold claims in memory alone.
    pub volatile: Vec<id::Instance>,
}

/// A request of one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a credit.
    #[serde(rename = "Ask")]
    Acquire(grant::Request),
    /// Gives credits back.
    #[serde(rename = "Return")]
    Release(grant::Releases),
    /// Says that the sender lives, and asks for support.
    Heartbeat(Heartbeat),
    /// Tells the latest roster, which the receiver adopts if it is later than its own.
    Roster(Roster),
    /// Asks for the roster that the receiver has adopted.
    #[serde(rename = "AskRoster")]
    GetRoster,
    /// Asks which credits the receiver holds. The receiver, which must have adopted the epoch,
    /// abandons its demands to earlier owners.
    #[serde(rename = "Report")]
    GetReport(epoch::Epoch),
    /// Asks for a claim.
    Claim(Claim),
    /// Reports how a claimed call ended.
    Settle(Settlement),
    /// Reports answers of a service's backend servers to the lead of its move.
    Evidence {
        /// The service.
        service: id::Service,
        /// The answers, counted since the last report.
        evidence: Evidence,
    },
    /// Tells which requests of a service are suspected of ending backend servers.
    Suspicions {
        /// The service.
        service: id::Service,
        /// The requests.
        suspicions: Vec<Suspicion>,
    },
    /// Asks what the receiver knows of moves.
    #[serde(rename = "Moves")]
    GetRollouts,
    /// Asks for the signed root of the bundle in force.
    #[serde(rename = "Bundle")]
    GetBundle,
    /// Asks for a part of the bundle in force.
    #[serde(rename = "Part")]
    GetPart(Digest),
    /// Asks for the pools that the receiver acts on and the sender owns in `epoch`.
    Reclaim {
        /// The sender.
        from: id::Instance,
        /// The epoch.
        epoch: epoch::Epoch,
    },
}

/// The reply to a [`Message`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A credit.
    Granted(Grant),
    /// No credit.
    Refused(grant::Refusal),
    /// The message was taken in.
    Done,
    /// The answer to a request for a claim.
    Claimed(Verdict),
    /// The answer to a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// What a new owner has to know.
    Report(Report),
    /// The pools that the receiver of the request gave up.
    #[serde(rename = "Handed")]
    Reclaimed {
        /// Allows members to support the owner of a duty that a deputy gave back.
        #[serde(rename = "relief")]
        release: Option<vote::Release>,
        /// The pools.
        pools: Vec<Transfer>,
        /// The claims that only the receiver of the request knew.
        claims: Vec<Unsaved>,
    },
    /// What the instance knows of moves, encoded.
    #[serde(rename = "Moves")]
    Rollouts(#[serde_as(as = "Bytes")] Vec<u8>),
    /// The roster that the instance has adopted.
    Roster(Roster),
    /// The signed root, encoded, if there is one.
    Bundle(#[serde_as(as = "Option<Bytes>")] Option<Vec<u8>>),
    /// The part, encoded, if the receiver has it.
    Part(#[serde_as(as = "Option<Bytes>")] Option<Vec<u8>>),
    /// The receiver did not expect the message.
    Unexpected,
}
