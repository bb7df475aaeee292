//! Which root may take the place of which.
//!
//! A submitted root follows its parent by one ([`check`]). An instance that missed versions may
//! jump ahead ([`check_newer`]), since the store's head is replaced only under [`check`]. Neither ever
//! goes back.

use thiserror::Error;

use crate::digest::Digest;
use crate::root::Root;

/// The version of the first bundle.
pub const FIRST_VERSION: u64 = 1;

/// Checks that `next` is the direct successor of `current`, or the first bundle where there is
/// none.
pub fn check(current: Option<&Root>, next: &Root) -> Result<(), Fault> {
    check_newer(current, next)?;
    let (expected, parent) = match current {
        Some(current) => (current.version.saturating_add(1), Some(current.digest())),
        None => (FIRST_VERSION, None),
    };
    if next.version != expected {
        return Err(Fault::Skipped {
            expected,
            found: next.version,
        });
    }
    if next.previous != parent {
        return Err(Fault::OtherParent {
            expected: parent,
            found: next.previous,
        });
    }
    Ok(())
}

/// Checks that `next` is newer than `current`, and names it as its parent if it is the next one.
pub fn check_newer(current: Option<&Root>, next: &Root) -> Result<(), Fault> {
    let Some(current) = current else {
        return Ok(());
    };
    let (current_digest, next_digest) = (current.digest(), next.digest());
    if current_digest == next_digest {
        return Err(Fault::Replayed {
            version: next.version,
        });
    }
    if next.version == current.version {
        return Err(Fault::Rival {
            version: next.version,
            digest: current_digest,
        });
    }
    if next.version < current.version {
        return Err(Fault::Older {
            current: current.version,
            found: next.version,
        });
    }
    let is_next = next.version == current.version.saturating_add(1);
    if is_next && next.previous != Some(current_digest) {
        return Err(Fault::OtherParent {
            expected: Some(current_digest),
            found: next.previous,
        });
    }
    Ok(())
}

/// Why a root may not take the place of another.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The bundle is the one in force.
    #[error("bundle {version} is in force already")]
    Replayed {
        /// The version.
        version: u64,
    },
    /// Another bundle of the same version is in force.
    #[error("another bundle {version} is in force already, with digest {digest}")]
    Rival {
        /// The version of both.
        version: u64,
        /// The digest of the one in force.
        digest: Digest,
    },
    /// The bundle is older than the one in force.
    #[error("bundle {found} is older than bundle {current}, which is in force")]
    Older {
        /// The version in force.
        current: u64,
        /// The version of the refused bundle.
        found: u64,
    },
    /// The bundle leaves out versions.
    #[error("the next bundle is {expected}, not {found}")]
    Skipped {
        /// The next version.
        expected: u64,
        /// The version of the refused bundle.
        found: u64,
    },
    /// The bundle was made to replace another one than that in force.
    #[error(
        "the bundle was made to replace {}, but {} is in force",
        identify(found),
        identify(expected)
    )]
    OtherParent {
        /// The digest of the root in force, if any.
        expected: Option<Digest>,
        /// The parent that the bundle names, if any.
        found: Option<Digest>,
    },
}

impl Fault {
    /// Returns the stable code of the fault.
    pub fn code(&self) -> &'static str {
        match self {
            Fault::Replayed { .. } => "replayed",
            Fault::Rival { .. } => "rival",
            Fault::Older { .. } => "older",
            Fault::Skipped { .. } => "skipped",
            Fault::OtherParent { .. } => "other-parent",
        }
    }
}

/// Returns how a message names a root.
fn identify(digest: &Option<Digest>) -> String {
    match digest {
        Some(digest) => digest.short(),
        None => "none".into(),
    }
}
