//! System tests: run `chivewheeld` processes against simulated backend servers and a simulated
//! platform.

mod bundles;
mod cluster;
mod failures;
mod moves;
mod path;
mod traffic;
