//! Tests of the pool, the quarantine and the retry decisions.

mod differential;
mod model;
mod quarantine;
mod retry;
mod scenarios;
mod support;
