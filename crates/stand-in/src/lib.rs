//! In-memory platform and backend servers for tests, the quick start and measurements.
//!
//! [`platform::Platform`] serves the platform's object API and lists from memory.
//! [`backend::Backend`] responds to calls like a backend server that is easily overloaded. Both
//! inject, on demand, the faults that chivewheel must tolerate. [`fixed::Server`] sends prepared bytes,
//! which need not be a response, and ends its connections in a chosen way.

pub mod backend;
pub mod fixed;
pub mod platform;
mod port;
