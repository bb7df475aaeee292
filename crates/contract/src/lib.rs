//! The bundle: the configuration that operators sign.
//!
//! A [`Bundle`] defines which services exist, which versions of each carry traffic, which data
//! centres are in service and how many probes are allowed. All other crates only read it; it
//! changes only when a newer bundle replaces it.
//!
//! # From text to deployment
//!
//! [`text::parse`] parses a bundle and [`check::check`] validates it. [`Bundle::split`] produces a
//! small [`root::Root`], which references one [`part::Part`] per service by digest, so that only
//! changed parts are transferred. The root is signed twice ([`signed::Signed`]), with keys of a
//! [`keyring::Keyring`], and replaces its parent under the rules of [`succession`].
//!
//! # Invariants
//!
//! - Two equivalent bundles have the same digest, regardless of the layout of their text.
//! - A [`signed::Verified`] root has valid signatures from two different keys of the keyring.
//! - [`root::Root::join`] returns only bundles that pass [`check::check`].

mod bundle;
mod canonical;
mod centre;
pub mod change;
pub mod check;
pub mod codec;
pub mod digest;
pub mod fault;
pub mod id;
pub mod keyring;
pub mod part;
mod reader;
pub mod report;
mod rollout;
pub mod root;
mod route;
mod service;
pub mod signature;
pub mod signed;
pub mod succession;
pub mod text;
mod version;

pub use bundle::Bundle;
pub use centre::Centre;
pub use rollout::Rollout;
pub use route::Route;
pub use service::Service;
pub use version::Version;
