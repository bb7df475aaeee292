//! Passes records that were read from the store on between instances.
//!
//! An instance that is behind pulls the changes from one that announces newer records ([`pull`]), first
//! of all from the reader. An instance sends large responses in parts, to few others at a time
//! ([`transfer`]), and refuses the rest, who ask those that have the records by then.
//!
//! Invariants:
//!
//! - An exchange that makes progress is not begun again elsewhere.
//! - The bytes of records that an instance has in the queues of its link depend neither on the size of
//!   the records nor on the number of instances that ask it.

mod pull;
mod serve;
mod transfer;

use balance::record::Kind;
use balance::replica::Delta;
use thiserror::Error;

pub(crate) use pull::{pull_any, run};
pub(crate) use serve::handler;

/// The path at which instances request changes from each other.
const CHANGES_PATH: &str = "/changes";

/// The path at which they request further parts of a large response.
const PART_PATH: &str = "/changes/part";

/// The header of the first part of a large response: the number of the transfer and the size of the
/// whole response in bytes, separated by a slash.
const TRANSFER_HEADER: &str = "chivewheel-transfer";

type Revisions = [u64; Kind::ALL.len()];
type Changes = [Option<Delta>; Kind::ALL.len()];

/// Why changes could not be pulled from another instance.
#[derive(Debug, Error)]
enum Error {
    #[error(transparent)]
    Exchange(#[from] client::Error),
    #[error("no complete response in time, {received} bytes of it arrived")]
    TimedOut {
        /// The number of bytes that arrived.
        received: usize,
    },
    #[error("status {0}")]
    Refused(u16),
    #[error("the size of the response is malformed or not that of its parts")]
    Length,
    #[error("the request cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("the response cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}
