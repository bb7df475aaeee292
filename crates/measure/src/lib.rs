//! Queueing model that compares the credit policy with other load balancers.
//!
//! A discrete-event simulation of one service: its backend servers in three data centres and the
//! entry instances in front of them. A [`balancer::Balancer`] routes the calls; the one in
//! [`balancer::credit`] drives the pools of the `policy` crate. A run is determined by its seed.
//!
//! Invariants: all balancers see the same calls, which depend on the scenario and the seed alone;
//! events at the same instant are handled in the order in which they were scheduled.

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
