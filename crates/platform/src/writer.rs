//! Writes whose outcome is determined even if responses are lost.
//!
//! Each value is stored with the unique ids of its own write and of a few earlier ones. If the
//! response to a write is lost, the writer reads the object back, and retries only if the object is
//! still the one that the write was to replace. Two copies of one write cannot both take effect,
//! since both are conditional on that revision. The later copy gets a conflict; reading back
//! distinguishes it from a conflict with another writer.
//!
//! Limitation: a created object must not be removed while its writer still waits for a response,
//! because the writer would create the object again.

mod write;

use std::time::Duration;

use clock::Clock;

use crate::stamp::{self, Id, Stamped};
use crate::{Error, Revision, Store};
use write::Write;

/// The number of attempts of a writer and the delays between them.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The most calls to the platform for one write, including reads.
    pub attempts: u32,
    /// The upper limit of the first delay.
    pub base_backoff: Duration,
    /// The upper limit of any delay.
    pub max_backoff: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts: 8,
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect, and the object has this revision.
    Written(Revision),
    /// It took effect, and later writes have replaced its value.
    Superseded,
    /// It had no effect: another write came first.
    Conflict,
    /// It had no effect: the platform processed none of its copies.
    NotWritten(Error),
    /// It may have taken effect, or may still do so.
    Indeterminate(Error),
}

/// Writes stamped values.
#[derive(Clone, Debug)]
pub struct Writer<S, C> {
    store: S,
    clock: C,
    config: Config,
}

impl<S, C> Writer<S, C>
where
    S: Store,
    C: Clock,
{
    /// Creates a writer to `store`.
    pub fn open(store: S, clock: C, config: Config) -> Self {
        Self {
            store,
            clock,
            config,
        }
    }

    /// Reads the stamped value at `path`.
    ///
    /// # Errors
    ///
    /// The error of the read, or [`Error::Malformed`] if the value has no stamp.
    pub async fn read(&self, path: &str) -> Result<Option<Stamped>, Error> {
        let object = self.store.read(path).await?;
        object.as_ref().map(Stamped::parse).transpose()
    }

    /// Replaces `base`, which was read at `path`, with `value`; `None` creates the object.
    pub async fn write(&self, path: &str, base: Option<&Stamped>, value: &[u8]) -> Verdict {
        let id = Id::unique();
        match stamp::encode(id, base, value) {
            Ok(stamped) => Write::new(self, path, id, base, stamped).run().await,
            Err(error) => Verdict::NotWritten(error),
        }
    }
}
