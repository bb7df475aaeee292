//! The rules under which one root replaces another.
//!
//! The version of a submitted root must be one above that of its parent ([`check`]). An instance
//! that has missed versions may skip them ([`check_newer`]), because the head in the store is
//! replaced only under [`check`]. Neither accepts an older version.

use thiserror::Error;

use crate::digest::Digest;
use crate::root::Root;

/// The version of the first bundle.
pub const FIRST_VERSION: u64 = 1;

/// Checks that `next` is the direct successor of `current`, or the first bundle if `current` is
/// absent.
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

/// Checks that `next` is newer than `current`. If its version is the next one, it must also name
/// `current` as its parent.
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

/// Why a root must not replace another.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The bundle is already in force.
    #[error("bundle {version} is in force already")]
    Replayed {
        /// The version.
        version: u64,
    },
    /// Another bundle with the same version is in force.
    #[error("another bundle {version} is in force already, with digest {digest}")]
    Rival {
        /// The version of both bundles.
        version: u64,
        /// The digest of the bundle in force.
        digest: Digest,
    },
    /// The bundle is older than the one in force.
    #[error("bundle {found} is older than bundle {current}, which is in force")]
    Older {
        /// The version in force.
        current: u64,
        /// The version of the rejected bundle.
        found: u64,
    },
    /// The version of the bundle is not the next one.
    #[error("the next bundle is {expected}, not {found}")]
    Skipped {
        /// The expected version.
        expected: u64,
        /// The version of the rejected bundle.
        found: u64,
    },
    /// The parent of the bundle is not the bundle in force.
    #[error(
        "the bundle was made to replace {}, but {} is in force",
        identify(found),
        identify(expected)
    )]
    OtherParent {
        /// The digest of the root in force, if any.
        expected: Option<Digest>,
        /// The digest of the parent named in the bundle, if any.
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

/// Returns the text that identifies a root in messages.
fn identify(digest: &Option<Digest>) -> String {
    match digest {
        Some(digest) => digest.short(),
        None => "none".into(),
    }
}
