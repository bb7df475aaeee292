//! The bundle in the platform's store.
//!
//! The signed root is the object `bundle/head`; each part is at `bundle/parts/` under its digest.
//! Parts never change, so that a part that exists already is the part. A root is unique by its
//! digest and names its parent, so that a head that was read back tells whose write took effect.

use std::time::Duration;

use clock::Clock;
use contract::digest::Digest;
use contract::part::Part;
use contract::root::Root;
use contract::signed::Signed;
use contract::Bundle;
use platform::{Outcome, Revision, Store};

use crate::Error;

/// The path of the signed root.
pub const HEAD: &str = "bundle/head";

/// The path of the parts.
pub const PARTS: &str = "bundle/parts/";

/// How often a call is tried.
const TRIES: u32 = 5;

/// The pause between two tries.
pub const PAUSE: Duration = Duration::from_millis(500);

/// What the store has at [`HEAD`].
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The revision of the object.
    pub revision: Revision,
    /// The signed root.
    pub signed: Signed,
}

/// The bundle in a store.
#[derive(Clone, Debug)]
pub struct Keeper<S, C> {
    store: S,
    clock: C,
}

impl<S, C> Keeper<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns the keeper of the bundle in `store`.
    pub fn new(store: S, clock: C) -> Self {
        Self { store, clock }
    }

    /// Reads the head, if there is one.
    pub async fn head(&self) -> Result<Option<Head>, Error> {
        let Some(object) = self.read(HEAD).await? else {
            return Ok(None);
        };
        Ok(Some(Head {
            revision: object.revision,
            signed: Signed::decode(&object.value)?,
        }))
    }

    /// Reads the parts of `root` and joins them to a bundle.
    pub async fn bundle(&self, root: &Root) -> Result<Bundle, Error> {
        let mut parts = Vec::new();
        for digest in root.parts.values() {
            parts.push(self.part(digest).await?);
        }
        Ok(root.join(parts)?)
    }

    /// Stores `parts` that are not in the store.
    pub async fn put_parts(&self, parts: &[Part]) -> Result<(), Error> {
        for part in parts {
            self.put_part(part).await?;
        }
        Ok(())
    }

    /// Makes `signed` the head in place of the object with revision `expected`.
    ///
    /// Each try is conditional on the same revision, so that at most one takes effect. A lost
    /// answer is read back before anything else is done.
    pub async fn replace(&self, expected: Option<Revision>, signed: &Signed) -> Result<(), Error> {
        let value = signed.encode()?;
        let mut lost = None;
        for _ in 0..TRIES {
            match self.store.write(HEAD, expected, &value).await {
                Ok(Outcome::Written(_)) => return Ok(()),
                Ok(Outcome::Conflict) => return self.judge_conflict(signed, lost).await,
                Err(error @ platform::Error::TooLarge { .. }) => return Err(error.into()),
                Err(error @ platform::Error::Unavailable { .. }) if lost.is_none() => {
                    return Err(error.into());
                }
                Err(error) => lost = Some(error),
            }
            match self.head().await {
                // The write has not taken effect yet. Another try fences it.
                Ok(head) if revision(&head) == expected => {}
                Ok(head) => return judge(head, signed, lost),
                Err(Error::Platform(error)) => lost = Some(error),
                Err(error) => return Err(error),
            }
            self.clock.sleep(PAUSE).await;
        }
        Err(unknown(signed, lost))
    }

    /// Says who won a conflict: an earlier try of the same write may have.
    async fn judge_conflict(
        &self,
        signed: &Signed,
        lost: Option<platform::Error>,
    ) -> Result<(), Error> {
        match self.head().await {
            Ok(head) => judge(head, signed, lost),
            Err(Error::Platform(_)) if lost.is_some() => Err(unknown(signed, lost)),
            Err(error) => Err(error),
        }
    }

    async fn part(&self, digest: &Digest) -> Result<Part, Error> {
        let object = self.read(&part_path(digest)).await?;
        let object = object.ok_or(Error::PartMissing(*digest))?;
        Part::decode(&object.value, digest).map_err(|error| Error::Part {
            digest: *digest,
            error,
        })
    }

    async fn put_part(&self, part: &Part) -> Result<(), Error> {
        let digest = part.digest();
        let path = part_path(&digest);
        let value = part.encode()?;
        let mut tries = 0;
        loop {
            tries += 1;
            match self.store.write(&path, None, &value).await {
                Ok(Outcome::Written(_)) => return Ok(()),
                // A part that is there must be whole, or the bundle could not be read.
                Ok(Outcome::Conflict) => return self.part(&digest).await.map(drop),
                Err(platform::Error::Indeterminate { .. }) if tries < TRIES => {}
                Err(error) => return Err(error.into()),
            }
            self.clock.sleep(PAUSE).await;
        }
    }

    /// Reads the object at `path`, again where no answer comes.
    async fn read(&self, path: &str) -> Result<Option<platform::Object>, Error> {
        let mut tries = 0;
        loop {
            tries += 1;
            match self.store.read(path).await {
                Err(error) if is_transient(&error) && tries < TRIES => {}
                read => return Ok(read?),
            }
            self.clock.sleep(PAUSE).await;
        }
    }
}

fn part_path(digest: &Digest) -> String {
    format!("{PARTS}{digest}")
}

fn is_transient(error: &platform::Error) -> bool {
    matches!(
        error,
        platform::Error::Indeterminate { .. } | platform::Error::Unavailable { .. }
    )
}

/// Returns the revision of `head`, if there is one.
pub(crate) fn revision(head: &Option<Head>) -> Option<Revision> {
    head.as_ref().map(|head| head.revision)
}

/// Says what became of the write of `signed`, given that `head` has replaced the object that it
/// was to replace. `lost` is there if an answer to a try of the write was lost.
fn judge(head: Option<Head>, signed: &Signed, lost: Option<platform::Error>) -> Result<(), Error> {
    let Some(Head { signed: found, .. }) = head else {
        return Err(Error::HeadRemoved);
    };
    let (found, mine) = (found.root, &signed.root);
    let own = mine.digest();
    let digest = found.digest();
    if digest == own || found.previous == Some(own) {
        return Ok(());
    }
    // A later bundle may have replaced this one or another of the same version.
    if lost.is_some() && found.version > mine.version {
        return Err(unknown(signed, lost));
    }
    Err(Error::Conflict {
        version: found.version,
        digest,
    })
}

fn unknown(signed: &Signed, lost: Option<platform::Error>) -> Error {
    let reason = lost.unwrap_or(platform::Error::Indeterminate {
        reason: "no answer to any try".into(),
    });
    Error::Unknown {
        version: signed.root.version,
        digest: signed.root.digest(),
        reason,
    }
}
