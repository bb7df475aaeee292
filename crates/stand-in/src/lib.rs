//! Small platform and backend servers for tests, the quick start and measurements.
//!
//! [`platform::Platform`] keeps the platform's objects and lists in memory. [`backend::Backend`]
//! answers calls as a fragile backend server does. Both produce, on demand, the faults that
//! chivewheel has to bear.

pub mod backend;
pub mod platform;
mod port;
