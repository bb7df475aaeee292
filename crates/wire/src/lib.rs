//! Messages between instances.
//!
//! Instances communicate over HTTP with MessagePack bodies. Each body is a [`Frame`]: a format
//! version, an authentication tag (HMAC-SHA256 with a key that all instances have in their
//! settings) and one [`Message`] or [`Reply`]. A frame that is too large, or has another format
//! version or a wrong tag, is refused with a typed [`Fault`] before it is decoded, and has no
//! effect.
//!
//! Structs are written as arrays and enum variants under their names, so the order of fields and
//! the names set by `#[serde(rename)]` are part of the format.
//!
//! Times are sent as durations, never as points in time, since clocks are not synchronised. Each
//! side counts a duration from the moment that is safe for it: the instance that requests a credit
//! from before it sent the request, the owner from when it granted the credit.

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
