//! Why a command failed.

use std::io;
use std::path::PathBuf;

use contract::change::Danger;
use contract::digest::Digest;
use contract::fault::Faults;
use contract::{codec, keyring, part, root, signature, signed, succession, text};
use thiserror::Error;

use crate::exit::Code;
use crate::port;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A file could not be read or written.
    #[error("{}: {error}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The terminal could not be read or written.
    #[error("the terminal: {0}")]
    Terminal(io::Error),
    /// A result could not be written as JSON.
    #[error("the result cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A file of signatures is malformed.
    #[error("{}: no file of signatures: {error}", .path.display())]
    SignedFile {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        error: serde_json::Error,
    },
    /// A bundle breaks its rules.
    #[error("{}: the bundle is faulty\n{faults}", .path.display())]
    Faulty {
        /// The file of the bundle.
        path: PathBuf,
        /// What is wrong.
        faults: Faults,
    },
    /// No secret key was given.
    #[error("no secret key to sign with")]
    NoKey,
    /// A secret key is malformed.
    #[error("the secret key: {0}")]
    Key(signature::Error),
    /// A first signature needs to know which bundle is replaced.
    #[error("it is not known which bundle this one replaces")]
    NoParent,
    /// The keyring is malformed.
    #[error("the signers: {0}")]
    Keyring(#[from] keyring::Error),
    /// Signatures cannot be verified without a keyring.
    #[error("no public keys to verify signatures with")]
    NoKeyring,
    /// The signatures do not suffice.
    #[error("{0}")]
    Signature(#[from] signed::Fault),
    /// Both signatures are there already.
    #[error("{}: the bundle is signed by both operators already", .path.display())]
    SignedAlready {
        /// The file of signatures.
        path: PathBuf,
    },
    /// The bundle is not the one that was signed.
    #[error("{} is not the bundle that was signed in {}", .bundle.display(), .signed.display())]
    OtherBundle {
        /// The file of the bundle.
        bundle: PathBuf,
        /// The file of signatures.
        signed: PathBuf,
    },
    /// The bundle may not take the place of the one in force.
    #[error("{0}")]
    Succession(#[from] succession::Fault),
    /// The bundle could do harm.
    #[error("the bundle could do harm:{}", list(.0))]
    Dangerous(Vec<Danger>),
    /// The operator did not confirm.
    #[error("not confirmed; nothing has changed")]
    Declined,
    /// No address of the platform was given.
    #[error("no address of the platform")]
    NoPlatform,
    /// The platform refused, or could not be reached.
    #[error("{0}")]
    Platform(#[from] platform::Error),
    /// Another bundle was accepted first.
    #[error(
        "bundle {version} with digest {digest} was accepted first; nothing of yours is in force"
    )]
    Conflict {
        /// The version of the winner.
        version: u64,
        /// The digest of the winner.
        digest: Digest,
    },
    /// The head was removed by somebody while it was to be replaced.
    #[error(
        "the bundle in force was removed from the store meanwhile; nothing of yours is in force"
    )]
    HeadRemoved,
    /// The answer of the head's write was lost and could not be read back.
    #[error("it is not known whether bundle {version} with digest {digest} is in force: {reason}")]
    Unknown {
        /// The version of the bundle.
        version: u64,
        /// The digest of the bundle.
        digest: Digest,
        /// The last failure.
        reason: platform::Error,
    },
    /// There is no bundle yet.
    #[error("no bundle is in force yet")]
    NoBundle,
    /// The store's head is malformed.
    #[error("the head in the store: {0}")]
    Head(#[from] codec::Error),
    /// A part in the store is malformed.
    #[error("the part {digest} in the store: {error}")]
    Part {
        /// The digest that the part should have.
        digest: Digest,
        /// What is wrong.
        error: part::Error,
    },
    /// A part is not in the store.
    #[error("the part {0} is not in the store")]
    PartMissing(Digest),
    /// The parts in the store do not make up a bundle.
    #[error("the bundle in the store: {0}")]
    Root(#[from] root::Error),
    /// The bundle cannot be written as text.
    #[error("{0}")]
    Text(#[from] text::Error),
    /// No address of an instance was given.
    #[error("no address of an instance")]
    NoInstance,
    /// No instance answered.
    #[error("no instance answered:{}", list(.0))]
    AllUnreachable(Vec<port::Error>),
    /// The table of explanations has no such entry.
    #[error("there is no explanation of {0:?}")]
    NotExplained(String),
}

impl Error {
    /// Returns the stable code of the error, which `chivewheel explain` takes.
    pub fn code(&self) -> &'static str {
        match self {
            Error::File { .. } => "file",
            Error::Terminal(_) => "terminal",
            Error::Json(_) => "json",
            Error::SignedFile { .. } => "signed-file",
            Error::Faulty { .. } => "faulty",
            Error::NoKey => "no-key",
            Error::Key(_) => "bad-key",
            Error::NoParent => "no-parent",
            Error::Keyring(_) => "bad-signers",
            Error::NoKeyring => "no-signers",
            Error::Signature(fault) => fault.code(),
            Error::SignedAlready { .. } => "signed-already",
            Error::OtherBundle { .. } => "other-bundle",
            Error::Succession(fault) => fault.code(),
            Error::Dangerous(_) => "dangerous",
            Error::Declined => "declined",
            Error::NoPlatform => "no-platform",
            Error::Platform(error) => platform_code(error),
            Error::Conflict { .. } => "conflict",
            Error::HeadRemoved => "head-removed",
            Error::Unknown { .. } => "unknown-outcome",
            Error::NoBundle => "no-bundle",
            Error::Head(_) | Error::Part { .. } | Error::PartMissing(_) | Error::Root(_) => {
                "damaged"
            }
            Error::Text(_) => "text",
            Error::NoInstance => "no-instance",
            Error::AllUnreachable(_) => "all-unreachable",
            Error::NotExplained(_) => "not-explained",
        }
    }

    /// Returns what the operator may do about the error.
    pub fn advice(&self) -> &'static str {
        match crate::explain::find(self.code()) {
            Some(entry) => entry.advice,
            None => "run `chivewheel explain` for a list of all codes",
        }
    }

    /// Returns the exit code.
    pub fn exit(&self) -> Code {
        match self {
            Error::File { .. } | Error::Terminal(_) | Error::Json(_) => Code::File,
            Error::NoKey
            | Error::NoParent
            | Error::Keyring(_)
            | Error::NoKeyring
            | Error::NoPlatform
            | Error::NoInstance
            | Error::NotExplained(_) => Code::Usage,
            Error::Platform(platform::Error::TooLarge { .. }) => Code::Refused,
            Error::Platform(_) | Error::AllUnreachable(_) => Code::Unreachable,
            Error::Unknown { .. } => Code::Unknown,
            Error::Conflict { .. } | Error::HeadRemoved => Code::Conflict,
            _ => Code::Refused,
        }
    }

    /// Returns the faults of a faulty bundle.
    pub fn faults(&self) -> Option<&Faults> {
        match self {
            Error::Faulty { faults, .. } => Some(faults),
            _ => None,
        }
    }
}

fn platform_code(error: &platform::Error) -> &'static str {
    match error {
        platform::Error::Unavailable { .. } => "platform-unavailable",
        platform::Error::Indeterminate { .. } => "platform-silent",
        platform::Error::Malformed { .. } => "platform-malformed",
        platform::Error::TooLarge { .. } => "too-large",
    }
}

/// Returns the items on a line each.
fn list<T>(items: &[T]) -> String
where
    T: ToString,
{
    items
        .iter()
        .map(|item| format!("\n  {}", item.to_string()))
        .collect()
}
