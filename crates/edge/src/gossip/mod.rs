//! Gossip between instances over UDP.
//!
//! Invariants:
//!
//! - A message carries absolute state of its sender (requests in flight at a server, revisions),
//!   never differences, so a lost or repeated message does no lasting harm.
//! - Within a data centre, an instance tells its group ([`balance::group`]) of requests, and sends
//!   heartbeats to a bounded number of instances at a time, a reader to all. Between data centres
//!   only readers send, and instances that are joining.

mod confirmation;
mod event;
pub(crate) mod events;
mod heartbeat;
mod identity;
mod members;
mod message;
mod queue;
mod socket;

pub(crate) use confirmation::Confirmation;
pub(crate) use event::{Event, Limit, RequestOutcome};
pub(crate) use heartbeat::{CentreHeartbeat, CentreState, Heartbeat, RolloutPlan, RolloutReport};
pub(crate) use identity::Identity;
pub(crate) use members::Members;
pub(crate) use message::{Message, MAX_DATAGRAM_BYTES};
pub(crate) use queue::QueueState;
pub(crate) use socket::{
    push, run_heartbeats, run_receiver, send_centre_heartbeats, send_due_heartbeats,
    send_heartbeat, Socket,
};
