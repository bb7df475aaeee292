//! Decisions about credits, cold starts, probes, retries and quarantine, without I/O.
//!
//! A [`pool::Pool`] decides for one service's backend servers in one data centre: who gets a
//! credit, for which server, and what a returned credit says of it. The entry decides about retries
//! with a [`retry::Budget`]. Nothing here reads a clock: each step takes the present instant.

pub mod credit;
pub mod feedback;
pub mod pool;
pub mod probe;
pub mod quarantine;
pub mod ramp;
pub mod retry;
pub mod server;
pub mod ticket;
