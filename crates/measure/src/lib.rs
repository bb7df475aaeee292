//! Queueing model that measures the policy against others.
//!
//! One service, its backend servers in three data centres and the entry instances in front of them,
//! as a discrete-event simulation. A [`balancer::Balancer`] decides where calls go; the one of
//! [`balancer::credit`] drives the pools of the `policy` crate. Each run is determined by its seed.
//!
//! Invariants: all balancers see the same calls, which depend on the scenario and the seed alone;
//! events at the same instant happen in the order in which they were scheduled.

pub mod backend;
pub mod balancer;
pub mod call;
pub mod contender;
pub mod event;
pub mod fit;
pub mod ideal;
pub mod random;
pub mod scenario;
pub mod site;
pub mod summary;
pub mod table;
pub mod tally;
pub mod traffic;
pub mod world;
