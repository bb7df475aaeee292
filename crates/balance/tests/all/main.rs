//! Tests of decisions.
