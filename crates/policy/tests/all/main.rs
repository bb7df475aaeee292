//! Tests of the decisions about one pool.

mod differential;
mod naive;
mod quarantine;
mod retry;
mod scenarios;
mod support;
