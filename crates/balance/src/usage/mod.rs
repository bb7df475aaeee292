//! Usage of tenants: how many of their requests servers began to run.

mod report;

pub use report::Report;
