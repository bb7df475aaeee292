//! What instances tell each other by datagrams.
//!
//! Invariants:
//!
//! - What a message says of its sender is absolute (so many requests at a server, this revision),
//!   never a difference, so that a lost or repeated message does no lasting harm.
//! - Each instance speaks to all of its data centre. Between data centres only readers speak, and
//!   the newcomer that looks for its peers.

mod beat;
mod event;
pub(crate) mod events;
mod identity;
mod members;
mod message;
mod port;
mod wait;

pub(crate) use beat::{Beat, CentreBeat, CentreState, MoveReport, Plan};
pub(crate) use event::{End, Event};
pub(crate) use identity::Identity;
pub(crate) use members::Members;
pub(crate) use message::Message;
pub(crate) use port::{push, run_beats, run_receiver, send_beat, Port};
pub(crate) use wait::Wait;
