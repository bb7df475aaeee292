//! The duty that one instance has at a time: all orders of events of a small system.

mod model;
mod search;
mod world;
