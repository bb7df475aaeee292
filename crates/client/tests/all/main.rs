//! Tests of connections.

fn main() {}
