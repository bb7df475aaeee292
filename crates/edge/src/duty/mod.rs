//! The duty to report the usage of tenants, which one instance has at a time.
//!
//! [`balance::duty`] decides; a [`Task`] runs its decisions on each instance of a deployment with the
//! duty. The readers of the data centres are the candidates. Others take part only to hear of the
//! holder, in case they become readers.
//!
//! The steps of a task follow each other: no report is sent while a write is under way. The holder is
//! announced beside them, so that a slow call does not make it seem lost.

mod announcement;
mod error;
mod host;
mod inbox;
mod receiver;
mod source;
mod task;

pub use error::Error;
pub(crate) use host::NodeHost;
pub use host::{End, Host};
pub(crate) use inbox::Inbox;
pub use receiver::Receiver;
pub(crate) use source::NodeSource;
pub use source::Source;
pub use task::Task;

pub use crate::usage::Collected;
