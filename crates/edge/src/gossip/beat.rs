//! What an instance repeats of itself.

use std::time::Duration;

use balance::lending::Loans;
use balance::loan::Usage;
use balance::record::Kind;
use balance::rollout::Stage;
use balance::server::Key;
use balance::verdict::Tally;
use serde::{Deserialize, Serialize};

use super::Identity;

/// The answers that an instance, or a data centre, has seen of both versions in a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MoveReport {
    /// The service.
    pub(crate) service: String,
    /// The revision at which the order was created, and the version that it names.
    pub(crate) order: (u64, String),
    /// The answers, by route.
    pub(crate) tallies: Vec<(String, Tally)>,
}

/// What the leader of moves has decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Plan {
    /// The service.
    pub(crate) service: String,
    /// The order: see [`MoveReport::order`].
    pub(crate) order: (u64, String),
    /// How long the move has lasted.
    pub(crate) elapsed: Duration,
    /// The versions to use.
    pub(crate) stage: Stage,
}

/// What is known of a data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CentreState {
    /// The data centre.
    pub(crate) centre: String,
    /// The instances that live there.
    pub(crate) members: u32,
    /// The one that reads the store, if there is one.
    pub(crate) reader: Option<Identity>,
    /// The revisions of what it has read.
    pub(crate) revisions: [u64; Kind::ALL.len()],
    /// The requests that its servers have room for, by service.
    pub(crate) room: Vec<(String, f64)>,
    /// What its callers need and its servers can do, by service.
    pub(crate) balances: Vec<(String, Usage)>,
    /// Its servers that others are to use.
    pub(crate) loans: Loans,
    /// The answers that its instances have seen in moves.
    pub(crate) moves: Vec<MoveReport>,
    /// What its reader has decided, or has heard from the leader.
    pub(crate) plans: Vec<Plan>,
    /// How old all this is.
    pub(crate) age: Duration,
}

/// What an instance repeats to its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Beat {
    /// The sender.
    pub(crate) from: Identity,
    /// Whether it reads the store for the data centre.
    pub(crate) reads: bool,
    /// Whether it is about to read the store, and has had no answer yet.
    pub(crate) begins: bool,
    /// Whether it has lately failed to read the store.
    pub(crate) cut_off: bool,
    /// The revisions of what it knows.
    pub(crate) revisions: [u64; Kind::ALL.len()],
    /// The requests that it has at servers; it has none at all others.
    pub(crate) held: Vec<(Key, u32)>,
    /// The answers that it has seen in moves.
    pub(crate) moves: Vec<MoveReport>,
    /// The work that its callers ask for, by service.
    pub(crate) needs: Vec<(String, f64)>,
    /// From a reader: the servers of the data centre that others are to use.
    pub(crate) loans: Loans,
    /// From a reader: what is known of the other data centres.
    pub(crate) centres: Vec<CentreState>,
    /// From a reader: what has been decided on moves.
    pub(crate) plans: Vec<Plan>,
}

/// What a reader tells other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CentreBeat {
    /// The sender.
    pub(crate) from: Identity,
    /// Its data centre.
    pub(crate) state: CentreState,
    /// Whether an answer is asked for.
    pub(crate) reply: bool,
}
