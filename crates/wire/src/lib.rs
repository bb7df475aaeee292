//! Messages between instances.
//!
//! Instances talk HTTP with MessagePack bodies. Each body is a [`Frame`]: a format version, an
//! authentication tag (HMAC-SHA256 under a key that all instances have in their settings) and one
//! [`Message`] or [`Reply`]. A frame that is too large, of another format version or with a wrong
//! tag is refused before it is decoded, with a typed [`Fault`], and changes nothing.
//!
//! Times travel as durations, never as points in time, since clocks are not synchronised. A receiver
//! of a duration counts from the moment that is safe for it: an entry from before it sent the
//! request, an owner from when it granted.

pub mod claims;
mod fault;
mod frame;
pub mod grant;
pub mod holding;
mod key;
mod message;
mod pool;
pub mod trace;

pub use fault::Fault;
pub use frame::{Frame, MAX_FRAME_BYTES};
pub use grant::Grant;
pub use key::Key;
pub use message::{Heartbeat, HeartbeatReply, Message, Reply, Report};
pub use pool::Pool;
