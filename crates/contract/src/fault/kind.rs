//! The kinds of faults that a bundle can have, with their messages and stable codes.

use thiserror::Error;

use super::Path;

/// What is wrong with a bundle. Messages include how to correct the fault unless that is obvious.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Kind {
    /// The text is not UTF-8.
    #[error("the text is not UTF-8 from byte {at} on")]
    NotText {
        /// The number of valid bytes before the fault.
        at: usize,
    },
    /// The text is not TOML.
    #[error("this is not TOML: {message}")]
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// A text is longer than the limit.
    #[error("{size} bytes are more than the bound of {limit}")]
    TooLong {
        /// The size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A list has more items than the limit.
    #[error("{count} items are more than the bound of {limit}")]
    TooMany {
        /// The number of items.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// A table has an unknown key.
    #[error("unknown key; the keys here are {known}")]
    UnknownKey {
        /// The known keys.
        known: String,
    },
    /// A required key is missing.
    #[error("missing; add {expected}")]
    Missing {
        /// The expected type of the value.
        expected: &'static str,
    },
    /// A value has the wrong type.
    #[error("{found} stands where {expected} belongs")]
    WrongType {
        /// The expected type.
        expected: &'static str,
        /// The actual type.
        found: &'static str,
    },
    /// A number is out of range.
    #[error("{found} is out of bounds; take {min} to {max}")]
    OutOfBounds {
        /// The number.
        found: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// A list that needs at least one item is empty.
    #[error("empty; state at least one")]
    Empty,
    /// A name is empty, too long or has forbidden characters.
    #[error("{name:?} is no name; take up to 64 letters, digits, '-', '_' and '.'")]
    BadName {
        /// The text.
        name: String,
    },
    /// A host is empty, too long or has forbidden characters.
    #[error("{host:?} is no host; take lower-case letters, digits, '-' and '.', without a port")]
    BadHost {
        /// The text.
        host: String,
    },
    /// A method is empty, too long or has forbidden characters.
    #[error("{method:?} is no method; take capital letters, as in GET")]
    BadMethod {
        /// The text.
        method: String,
    },
    /// A path does not start with a slash, or has white space or control characters.
    #[error("{path:?} is no path; it starts with '/' and has no white space, '?' or '#'")]
    BadPath {
        /// The text.
        path: String,
    },
    /// A name that must be unique occurs more than once.
    #[error("{name:?} stands at {first} already; names are unique")]
    Duplicate {
        /// The name.
        name: String,
        /// The path of its first occurrence.
        first: Path,
    },
    /// A host occurs more than once, in one service or in two.
    #[error("{host:?} leads to {first} already; a host leads to one service")]
    SharedHost {
        /// The host.
        host: String,
        /// The path of its first occurrence.
        first: Path,
    },
    /// Two routes match the same calls.
    #[error("takes the same calls as {first}; part them by path or method")]
    SameCalls {
        /// The path of the earlier route.
        first: Path,
    },
    /// No data centre is in service.
    #[error("no data centre is in service; nothing could answer")]
    NoCentreInService,
    /// A rollout names a version that the service does not list.
    #[error("{name:?} is no version of the service; the versions are {known}")]
    NoSuchVersion {
        /// The version named in the rollout.
        name: String,
        /// The versions of the service.
        known: String,
    },
    /// A rollout has the same old and new version.
    #[error("the move goes from {name:?} to itself")]
    SameVersion {
        /// The version.
        name: String,
    },
}

impl Kind {
    /// Returns the stable code of the fault, which `chivewheel explain` accepts.
    pub fn code(&self) -> &'static str {
        match self {
            Kind::NotText { .. } => "not-text",
            Kind::Syntax { .. } => "syntax",
            Kind::TooLong { .. } => "too-long",
            Kind::TooMany { .. } => "too-many",
            Kind::UnknownKey { .. } => "unknown-key",
            Kind::Missing { .. } => "missing-key",
            Kind::WrongType { .. } => "wrong-type",
            Kind::OutOfBounds { .. } => "out-of-bounds",
            Kind::Empty => "empty",
            Kind::BadName { .. } => "bad-name",
            Kind::BadHost { .. } => "bad-host",
            Kind::BadMethod { .. } => "bad-method",
            Kind::BadPath { .. } => "bad-path",
            Kind::Duplicate { .. } => "duplicate",
            Kind::SharedHost { .. } => "shared-host",
            Kind::SameCalls { .. } => "same-calls",
            Kind::NoCentreInService => "no-centre-in-service",
            Kind::NoSuchVersion { .. } => "no-such-version",
            Kind::SameVersion { .. } => "same-version",
        }
    }
}
