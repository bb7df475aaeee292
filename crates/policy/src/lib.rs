//! Decisions about credits, server health, probes, retries and quarantine, without I/O.
//!
//! The instance that owns a pool uses [`pool::Pool`] to decide, for the backend servers of one
//! service in one data centre, which call gets a credit for which server, and to track each
//! server's state from the feedback returned with credits. The instance that received a call uses
//! [`retry::Decision`] and [`retry::Budget`] to decide about retries. Nothing here reads a clock:
//! callers pass the current instant to each step.

pub mod credit;
pub mod feedback;
pub mod pool;
pub mod probe;
pub mod quarantine;
pub mod ramp;
pub mod retry;
pub mod server;
pub mod ticket;
