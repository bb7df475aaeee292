//! Writes that learn what became of them, although answers are lost.
//!
//! Each value carries the unique ids of its own write and of a few before it. A write whose answer
//! was lost is read back, and tried again only where the object is still the one that it was to
//! replace. Two copies of one write cannot both take effect, since both are conditional on that
//! revision; the later copy conflicts, and reading back tells that apart from another's write.
//!
//! Limit: a created object must not be removed while its writer still waits for an answer, or the
//! object is created again.

mod write;

use std::time::Duration;

use clock::Clock;

use crate::stamp::{self, Id, Stamped};
use crate::{Error, Revision, Store};
use write::Write;

/// How long and how often a writer tries.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The most calls of the platform for one write, reads included.
    pub attempts: u32,
    /// The bound of the first pause.
    pub base_backoff: Duration,
    /// The largest bound of a pause.
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

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect, and the object has this revision.
    Written(Revision),
    /// It took effect, and others replaced its value since.
    Superseded,
    /// It took no effect: another write came first.
    Conflict,
    /// It took no effect: the platform took none of its copies.
    NotWritten(Error),
    /// It may have taken effect, or may yet.
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
    /// Opens a writer to `store`.
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
    /// Fails as a read does, and where the value bears no stamp.
    pub async fn read(&self, path: &str) -> Result<Option<Stamped>, Error> {
        let object = self.store.read(path).await?;
        object.as_ref().map(Stamped::parse).transpose()
    }

    /// Writes `value` at `path` in place of `base`, which was read there; `None` creates it.
    pub async fn write(&self, path: &str, base: Option<&Stamped>, value: &[u8]) -> Verdict {
        let id = Id::unique();
        match stamp::encode(id, base, value) {
            Ok(stamped) => Write::new(self, path, id, base, stamped).run().await,
            Err(error) => Verdict::NotWritten(error),
        }
    }
}
