//! A small specification of the core protocol and its exhaustive exploration.
