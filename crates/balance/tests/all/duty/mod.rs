//! The duty that one instance has at a time: all orders of events of a small system, and single
//! decisions.

mod search;
mod world;
