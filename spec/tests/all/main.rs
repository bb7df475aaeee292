//! Tests of the specification.

mod grant;
