//! Decisions of an instance about requests, backend servers and rollouts, without I/O.
//!
//! How the modules work together:
//!
//! - A [`replica::Replica`] holds one kind of [`record::Record`] as the store had it at a revision.
//!   Replicas only move to higher revisions, so that an instance never returns to an older state
//!   while it runs.
//! - A [`patch::Patch`] has the difference between two versions of the configuration, so that a change
//!   costs its own size between instances.
//! - A [`table::Table`] holds a [`backend::Backend`] for each listed server: the requests in flight
//!   there, its newest load report, and whether it is cold, failing or unreachable.
//! - A request asks [`table::Table::choose`] for a server. Sending it to a second server, after a
//!   failure or because the first one takes too long ([`hedge`]), costs a token of the
//!   [`budget::Budget`]. A cold server is warmed up by one instance, at the rate of
//!   its [`warmup::Limiter`].
//! - A data centre whose callers need more than its own servers can take borrows whole servers of
//!   others ([`loan`]), so that each server is used by instances that know all of its requests.
//! - [`duties::Duties`] are what an instance does for its data centre. In a large one, instances and
//!   servers are divided into groups ([`group`]), and an instance knows the load of its groups' only.
//! - Instances with requests waiting for the same servers take turns ([`turn`]).
//! - Where the configuration has tenants, they share the capacity ([`share`]): each request gets a rank
//!   by which it waits.
//! - A server that asks for a pause, or names a limit on its requests, gets no more than that
//!   ([`condition`], [`throttle`]). A limited server is used by its own data centre or group only,
//!   whose instances know of all its requests.
//! - A [`pipeline::Pipeline`] orders the requests of one connection that run at the same time.
//! - A [`shutdown::Schedule`] determines which requests an instance that stops still passes on.
//! - A [`duty::Agent`] decides whether this instance reports the usage of tenants, which one instance
//!   does at a time under a [`lease::Lease`].
//! - A [`rollout::Stage`] determines which versions of a service a request may use, and a
//!   [`verdict::Tally`] whether the new version performs like the old one.
//! - [`usage`] counts the requests of each tenant that servers began to run, by windows of true time
//!   ([`wall_clock`]).
//!
//! Limits on the whole fleet are divided into shares that hold without communication: a share of
//! the retry budget for each instance, one instance that warms up each cold server, and one
//! randomly drawn share of the requests for a new version.
//!
//! Nothing here reads a clock: the caller passes the current [`clock::Instant`] to each call.

pub mod backend;
pub mod budget;
pub mod condition;
pub mod config;
pub mod demand;
pub mod drift;
pub mod duties;
pub mod duty;
pub mod group;
pub mod heartbeat;
pub mod hedge;
pub mod lead;
pub mod lease;
pub mod lender;
pub mod lending;
pub mod loan;
pub mod order;
pub mod patch;
pub mod pipeline;
pub mod query;
pub mod record;
pub mod rendezvous;
pub mod replica;
pub mod report;
pub mod rollout;
pub mod route;
pub mod server;
pub mod service;
pub mod share;
pub mod shutdown;
pub mod slowdown;
pub mod spillover;
pub mod summary;
pub mod table;
pub mod tenant;
pub mod throttle;
pub mod tombstone;
pub mod turn;
pub mod usage;
pub mod verdict;
pub mod wall_clock;
pub mod warmup;
