//! What can be wrong with a bundle.

use thiserror::Error;

use super::Path;

/// What is wrong with a bundle. Each message says what to do where that is not plain.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Kind {
    /// The text is not UTF-8.
    #[error("the text is not UTF-8 from byte {at} on")]
    NotText {
        /// The number of bytes before the fault.
        at: usize,
    },
    /// The text is no TOML.
    #[error("this is not TOML: {message}")]
    Syntax {
        /// What the parser says.
        message: String,
    },
    /// Something has more bytes than the bound.
    #[error("{size} bytes are more than the bound of {limit}")]
    TooLong {
        /// The size in bytes.
        size: usize,
        /// The bound in bytes.
        limit: usize,
    },
    /// A list has more items than the bound.
    #[error("{count} items are more than the bound of {limit}")]
    TooMany {
        /// The number of items.
        count: usize,
        /// The bound.
        limit: usize,
    },
    /// A table has a key that means nothing.
    #[error("unknown key; the keys here are {known}")]
    UnknownKey {
        /// The keys that mean something.
        known: String,
    },
    /// A key is missing.
    #[error("missing; add {expected}")]
    Missing {
        /// What the value is.
        expected: &'static str,
    },
    /// A value is of another type.
    #[error("{found} stands where {expected} belongs")]
    WrongType {
        /// What the value is to be.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// A number is out of its bounds.
    #[error("{found} is out of bounds; take {min} to {max}")]
    OutOfBounds {
        /// The number.
        found: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// A list that needs an item has none.
    #[error("empty; state at least one")]
    Empty,
    /// A name has characters that names do not have, or is too long.
    #[error("{name:?} is no name; take up to 64 letters, digits, '-', '_' and '.'")]
    BadName {
        /// The text.
        name: String,
    },
    /// A host has characters that hosts do not have.
    #[error("{host:?} is no host; take lower-case letters, digits, '-' and '.', without a port")]
    BadHost {
        /// The text.
        host: String,
    },
    /// A method has characters that methods do not have.
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
    /// A name stands twice.
    #[error("{name:?} stands at {first} already; names are unique")]
    Duplicate {
        /// The name.
        name: String,
        /// Where it stands first.
        first: Path,
    },
    /// A host leads to two services.
    #[error("{host:?} leads to {first} already; a host leads to one service")]
    SharedHost {
        /// The host.
        host: String,
        /// Where it stands first.
        first: Path,
    },
    /// Two routes take the same calls.
    #[error("takes the same calls as {first}; part them by path or method")]
    SameCalls {
        /// The other route.
        first: Path,
    },
    /// No data centre is in service.
    #[error("no data centre is in service; nothing could answer")]
    NoCentreInService,
    /// A move names a version that the service does not list.
    #[error("{name:?} is no version of the service; the versions are {known}")]
    NoSuchVersion {
        /// The version that the move names.
        name: String,
        /// The versions of the service.
        known: String,
    },
    /// A move ends where it starts.
    #[error("the move goes from {name:?} to itself")]
    SameVersion {
        /// The version.
        name: String,
    },
}

impl Kind {
    /// Returns the stable code of the fault, which `chivewheel explain` takes.
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
