//! Tests of the decisions about one pool.

mod scenarios;
mod support;
