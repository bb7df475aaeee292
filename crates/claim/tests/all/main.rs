//! Tests of the claims.

mod flow;
mod model;
mod naive;
