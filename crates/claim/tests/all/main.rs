//! Tests of the claims.

mod ledger;
mod model;
mod reference;
