//! Stamps: values with the ids of the writes that led to them.
//!
//! The ids let a writer find out whether a value read back is the one that it wrote itself.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use uuid::Uuid;

use crate::{Error, Object, Revision};

/// The number of write ids in a stamp: the latest write and those before it.
const HISTORY: usize = 8;

/// The unique id of one write.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(#[serde_as(as = "Bytes")] [u8; 16]);

impl Id {
    /// Returns a new unique id.
    pub fn unique() -> Self {
        Self(Uuid::new_v4().into_bytes())
    }
}

/// The stored form of a value: the value and the ids of the writes that led to it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The ids of this write and of earlier ones, the latest first. At most [`HISTORY`].
    history: Vec<Id>,
    /// The value.
    #[serde_as(as = "Bytes")]
    value: Vec<u8>,
}

/// A stamped value read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamped {
    /// The revision of the object.
    pub revision: Revision,
    /// The ids of the writes that led to the value, the latest first.
    history: Vec<Id>,
    /// The value.
    pub value: Vec<u8>,
}

/// The status of a write, as determined from a value read back later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The value is that of the write.
    Present,
    /// The write took effect, and later writes have replaced its value.
    Superseded,
    /// Another write replaced the base value first: the write never took effect and never will.
    Displaced,
    /// The object still has the base value that the write was to replace.
    Unchanged,
    /// Too many writes have followed, or the object was removed, so the status is unknown.
    Unknown,
}

impl Stamped {
    /// Decodes the stamped value of `object`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the value has no stamp.
    pub fn parse(object: &Object) -> Result<Self, Error> {
        let malformed = |error: rmp_serde::decode::Error| Error::Malformed {
            reason: format!("the value has no stamp: {error}"),
        };
        let stamp: Stamp = rmp_serde::from_slice(&object.value).map_err(malformed)?;
        Ok(Self {
            revision: object.revision,
            history: stamp.history,
            value: stamp.value,
        })
    }

    /// Returns the id of the write that stored this value.
    fn id(&self) -> Option<Id> {
        self.history.first().copied()
    }

    /// Returns the id of the write that directly followed `base`, or of the first write if `base`
    /// is `None`. Returns `None` if that write is not in the history.
    fn successor(&self, base: Option<Id>) -> Option<Id> {
        let index = match base {
            Some(base) => self.history.iter().position(|id| *id == base)?,
            None if self.history.len() < HISTORY => self.history.len(),
            None => return None,
        };
        self.history.get(index.checked_sub(1)?).copied()
    }
}

/// Encodes `value` with the stamp of the write `id`, which replaces `base`.
pub(crate) fn encode(id: Id, base: Option<&Stamped>, value: &[u8]) -> Result<Vec<u8>, Error> {
    let earlier = base.map_or(&[][..], |base| &base.history);
    let history = std::iter::once(&id).chain(earlier).take(HISTORY);
    let stamp = Stamp {
        history: history.copied().collect(),
        value: value.to_vec(),
    };
    rmp_serde::to_vec(&stamp).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

/// Returns the status of the write `id`, which was to replace `base`, given the value `found` that
/// was read back.
pub(crate) fn status(id: Id, base: Option<&Stamped>, found: Option<&Stamped>) -> Status {
    let revision = |stamped: &Stamped| stamped.revision;
    if found.map(revision) == base.map(revision) {
        return Status::Unchanged;
    }
    let Some(found) = found else {
        // The object was removed by a writer that had read the base value or the written one.
        return Status::Unknown;
    };
    if found.id() == Some(id) {
        return Status::Present;
    }
    if found.history.contains(&id) {
        return Status::Superseded;
    }
    match found.successor(base.and_then(Stamped::id)) {
        Some(_) => Status::Displaced,
        None => Status::Unknown,
    }
}
