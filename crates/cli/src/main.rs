//! A program.

fn main() {}
