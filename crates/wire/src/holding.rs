//! LiveCredits that one instance knows to be live.

use std::time::Duration;

use contract::id;
use membership::takeover::Handover;
use policy::{credit, server};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::Pool;

/// A credit that may be live.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The number of the credit.
    pub id: credit::Id,
    /// The backend server that it is for.
    pub server: id::Server,
    /// The longest time that it may still be live.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub remaining: Duration,
}

/// The live credits of one pool that an instance knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveCredits {
    /// The pool.
    pub pool: Pool,
    /// The credits.
    pub credits: Vec<Credit>,
}

/// A pool that goes to another owner, with all its live credits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The word of the owner that hands the pool over.
    pub handover: Handover,
    /// The live credits.
    pub held: LiveCredits,
    /// What is known of the backend servers.
    pub servers: Vec<server::State>,
}
