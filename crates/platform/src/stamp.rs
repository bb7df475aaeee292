//! What tells a writer's own value from another's.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use uuid::Uuid;

use crate::{Error, Object, Revision};

/// The most ids that a value carries: of its own write and of those before it.
const HISTORY: usize = 8;

/// The unique id of one write.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(#[serde_as(as = "Bytes")] [u8; 16]);

impl Id {
    /// Returns an id that was never used.
    pub fn unique() -> Self {
        Self(Uuid::new_v4().into_bytes())
    }
}

/// A value with the ids of the writes that led to it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The ids of this write and of those before it, the latest first. At most [`HISTORY`].
    history: Vec<Id>,
    /// The value.
    #[serde_as(as = "Bytes")]
    value: Vec<u8>,
}

/// A stamped value as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamped {
    /// The revision of the object.
    pub revision: Revision,
    /// The ids of the writes that led to the value, the latest first.
    history: Vec<Id>,
    /// The value.
    pub value: Vec<u8>,
}

/// What a value read back says of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trace {
    /// The value is that of the write.
    Present,
    /// The write took effect, and others since.
    Superseded,
    /// Another write took its place: it never took effect and never will.
    Displaced,
    /// The value is still the one that the write was to replace.
    Untouched,
    /// So much was written since that it cannot be told.
    Lost,
}

impl Stamped {
    /// Takes the stamp off `object`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Malformed`] where the value bears no stamp.
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

    /// Returns the id of the write that this is the value of.
    fn id(&self) -> Option<Id> {
        self.history.first().copied()
    }

    /// Returns the id of the write that came right after `base`, or, for `None`, the first.
    fn successor(&self, base: Option<Id>) -> Option<Id> {
        let index = match base {
            Some(base) => self.history.iter().position(|id| *id == base)?,
            None if self.history.len() < HISTORY => self.history.len(),
            None => return None,
        };
        self.history.get(index.checked_sub(1)?).copied()
    }
}

/// Returns the encoded `value` of the write `id`, which replaces `base`.
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

/// Returns what `found`, read back, says of the write `id`, which was to replace `base`.
pub(crate) fn trace(id: Id, base: Option<&Stamped>, found: Option<&Stamped>) -> Trace {
    let revision = |stamped: &Stamped| stamped.revision;
    if found.map(revision) == base.map(revision) {
        return Trace::Untouched;
    }
    let Some(found) = found else {
        // Removed since, by whoever read either value.
        return Trace::Lost;
    };
    if found.id() == Some(id) {
        return Trace::Present;
    }
    if found.history.contains(&id) {
        return Trace::Superseded;
    }
    match found.successor(base.and_then(Stamped::id)) {
        Some(_) => Trace::Displaced,
        None => Trace::Lost,
    }
}
