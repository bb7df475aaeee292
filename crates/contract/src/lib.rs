//! The bundle: what operators agree to.
//!
//! A [`Bundle`] states which services exist, which versions of each carry traffic, which data
//! centres are in service and how much measuring is allowed. Everything else in chivewheel reads
//! it; nothing but a newer bundle changes it.
//!
//! # From text to force
//!
//! [`text::parse`] reads a bundle and [`check::check`] holds it to its rules. [`Bundle::split`]
//! makes a small [`root::Root`] over one [`part::Part`] a service, so that only changed parts
//! travel. The root is signed twice ([`signed::Signed`]), by keys of a [`keyring::Keyring`], and
//! takes the place of its parent under the rules of [`succession`].
//!
//! # Invariants
//!
//! - Two bundles that mean the same have the same digest, whatever the layout of their text.
//! - A [`signed::Verified`] root carries signatures by two different known keys.
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
