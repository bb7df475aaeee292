//! Tests of the claims.

mod flow;
