//! The bundle: what operators agree to.
//!
//! A [`Bundle`] states which services exist, which versions of each carry traffic, which data
//! centres are in service and how much measuring is allowed. Everything else in chivewheel reads
//! it; nothing but a newer bundle changes it.

mod bundle;
mod centre;
pub mod id;
mod route;
mod service;
mod shift;
mod version;

pub use bundle::Bundle;
pub use centre::Centre;
pub use route::Route;
pub use service::Service;
pub use shift::Shift;
pub use version::Version;
