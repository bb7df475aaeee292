//! In-memory platform and backend servers for tests, the quick start and measurements.
//!
//! [`platform::Platform`] serves the platform's object API and lists from memory.
//! [`backend::Backend`] responds to calls like a backend server that is easily overloaded. Both
//! inject, on demand, the faults that chivewheel must tolerate.

pub mod backend;
pub mod platform;
mod port;
