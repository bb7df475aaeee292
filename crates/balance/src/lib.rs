//! What instances decide about requests, servers and moves, without I/O.
//!
//! How the parts meet:
//!
//! - A [`replica::Replica`] holds one kind of [`record::Record`] as the store had it at a revision. Feeds
//!   only move to higher revisions, so that what was learned is never unlearned in one boot.
//! - A [`table::Table`] holds a [`backend::Backend`] for each server of the feed: who has requests
//!   there, what it last reported, whether it is cold, failing or out of reach.
//! - A request asks [`table::Table::choose`] for a server. A second server costs a token of the
//!   [`budget::Budget`]; a cold server is fed by one instance, at the rate of its [`warmup::Limiter`].
//! - A data centre whose callers need more than its servers bear borrows whole servers of others
//!   ([`loan`]), so that each server is used by instances that know all of its requests.
//! - Instances whose requests wait for the same servers take turns ([`turn`]).
//! - A [`rollout::Stage`] says which versions of a service a request may use, and a
//!   [`verdict::Tally`] whether the new one answers like the old one.
//!
//! Bounds over the whole fleet are kept by shares that hold without hearing from anybody: a share
//! of the budget an instance, one feeder a cold server, one drawn share of requests a new version.
//!
//! Nothing here reads a clock: each call takes the present [`clock::Instant`].

pub mod backend;
pub mod budget;
pub mod config;
pub mod demand;
pub mod lender;
pub mod lending;
pub mod loan;
pub mod order;
pub mod query;
pub mod record;
pub mod rendezvous;
pub mod replica;
pub mod report;
pub mod rollout;
pub mod route;
pub mod server;
pub mod service;
pub mod slowdown;
pub mod spillover;
pub mod summary;
pub mod table;
pub mod tombstone;
pub mod turn;
pub mod verdict;
pub mod warmup;
