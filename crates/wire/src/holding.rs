//! Credits that an instance knows to be live, as reported to or handed over to a new owner.

use std::time::Duration;

use contract::id;
use membership::takeover::Handover;
use policy::{credit, server};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::Pool;

/// A credit that may still be live.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The id of the credit.
    pub id: credit::Id,
    /// The backend server for which it was granted.
    pub server: id::Server,
    /// The longest time for which it may still be live.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub remaining: Duration,
}

/// The live credits of one pool known to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveCredits {
    /// The pool.
    pub pool: Pool,
    /// The credits.
    pub credits: Vec<Credit>,
}

/// A pool handed over to another owner, with all its live credits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The statement of the previous owner that it has handed over the pool.
    pub handover: Handover,
    /// The live credits.
    pub held: LiveCredits,
    /// The states of the backend servers.
    pub servers: Vec<server::State>,
}
