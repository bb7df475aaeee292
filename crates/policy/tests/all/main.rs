//! Tests of the decisions about one pool.

mod differential;
mod naive;
mod scenarios;
mod support;
