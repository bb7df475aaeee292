//! Passes records that were read from the store on between instances.
//!
//! An instance that is behind pulls the changes from one that announces newer records ([`pull`]), first
//! of all from the reader.
//!
//! Invariant: an exchange that makes progress is not begun again elsewhere.

mod pull;
mod serve;

use balance::record::Kind;
use balance::replica::Delta;
use thiserror::Error;

pub(crate) use pull::{pull_any, run};
pub(crate) use serve::handler;

/// The path at which instances request changes from each other.
const CHANGES_PATH: &str = "/changes";

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
    #[error("the request cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("the response cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}
