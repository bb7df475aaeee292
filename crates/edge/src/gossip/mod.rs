//! What instances tell each other by datagrams.
//!
//! Invariants:
//!
//! - What a message says of its sender is absolute (so many requests at a server, this revision),
//!   never a difference, so that a lost or repeated message does no lasting harm.
//! - Each instance speaks to all of its data centre. Between data centres only readers speak, and
//!   the newcomer that looks for its peers.

mod event;
pub(crate) mod events;
mod heartbeat;
mod identity;
mod members;
mod message;
mod queue;
mod socket;

pub(crate) use event::{Event, RequestOutcome};
pub(crate) use heartbeat::{CentreHeartbeat, CentreState, Heartbeat, RolloutPlan, RolloutReport};
pub(crate) use identity::Identity;
pub(crate) use members::Members;
pub(crate) use message::Message;
pub(crate) use queue::QueueState;
pub(crate) use socket::{push, run_heartbeats, run_receiver, send_heartbeat, Socket};
