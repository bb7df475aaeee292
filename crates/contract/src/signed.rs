//! Signed roots and the verification of their signatures.
//!
//! The author and a second operator each sign the root's digest together with their role, so that
//! the signature for one role cannot be used for the other.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::Digest;
use crate::keyring::Keyring;
use crate::root::Root;
use crate::signature::{Key, PublicKey, Signature};
use crate::{codec, id};

/// The maximum size of an encoded signed root, in bytes.
pub const MAX_BYTES: usize = 512 * 1024;

/// Separates these signatures from any others made with the same keys.
const DOMAIN: &[u8] = b"chivewheel/signature/1\0";

/// The role in which an operator signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The operator who wrote the bundle.
    Author,
    /// The second operator, who approves the bundle.
    Operator,
}

impl Role {
    /// Returns the bytes to sign in this role for the root with `digest`.
    fn message(self, digest: &Digest) -> Vec<u8> {
        let role: &[u8] = match self {
            Role::Author => b"author\0",
            Role::Operator => b"operator\0",
        };
        [DOMAIN, role, &digest.0].concat()
    }
}

/// A root with its signatures, each absent until the operator has signed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Signed {
    /// The root.
    pub root: Root,
    /// The signature of the author.
    pub author: Option<Signature>,
    /// The signature of the second operator, who approves the bundle.
    pub operator: Option<Signature>,
}

impl Signed {
    /// Returns `root` without signatures.
    pub fn unsigned(root: Root) -> Self {
        Self {
            root,
            author: None,
            operator: None,
        }
    }

    /// Returns `root` signed with both keys.
    pub fn new(root: Root, author: &Key, operator: &Key) -> Self {
        let mut signed = Self::unsigned(root);
        signed.sign(Role::Author, author);
        signed.sign(Role::Operator, operator);
        signed
    }

    /// Signs the root in `role` and replaces any earlier signature in that role.
    pub fn sign(&mut self, role: Role, key: &Key) {
        let signature = key.sign(&role.message(&self.root.digest()));
        match role {
            Role::Author => self.author = Some(signature),
            Role::Operator => self.operator = Some(signature),
        }
    }

    /// Verifies that two keys of `keyring` have signed the root, one in each role.
    pub fn verify(&self, keyring: &Keyring) -> Result<Verified, Fault> {
        let (author, operator) = self.signatures()?;
        if author.key == operator.key {
            return Err(Fault::SameKey(author.key));
        }
        let digest = self.root.digest();
        Ok(Verified {
            author: verify_signature(Role::Author, author, &digest, keyring)?,
            operator: verify_signature(Role::Operator, operator, &digest, keyring)?,
            root: self.root.clone(),
            digest,
        })
    }

    /// Verifies only the author's signature and returns the author. A second operator does this
    /// before approving the bundle.
    pub fn verify_author(&self, keyring: &Keyring) -> Result<id::Operator, Fault> {
        let author = self.author.as_ref().ok_or(Fault::Unsigned)?;
        verify_signature(Role::Author, author, &self.root.digest(), keyring)
    }

    /// Encodes the signed root for the store and for other instances.
    pub fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        codec::encode(self, MAX_BYTES)
    }

    /// Decodes a signed root without verifying its signatures.
    pub fn decode(bytes: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(bytes, MAX_BYTES)
    }

    fn signatures(&self) -> Result<(&Signature, &Signature), Fault> {
        match (&self.author, &self.operator) {
            (Some(author), Some(operator)) => Ok((author, operator)),
            (None, None) => Err(Fault::Unsigned),
            (Some(_), None) => Err(Fault::HalfSigned(Role::Operator)),
            (None, Some(_)) => Err(Fault::HalfSigned(Role::Author)),
        }
    }
}

/// Verifies `signature` in `role` and returns the operator who owns its key.
fn verify_signature(
    role: Role,
    signature: &Signature,
    digest: &Digest,
    keyring: &Keyring,
) -> Result<id::Operator, Fault> {
    let operator = keyring.operator(&signature.key);
    let name = operator.ok_or(Fault::UnknownKey {
        role,
        key: signature.key,
    })?;
    match signature.verifies(&role.message(digest)) {
        true => Ok(name.clone()),
        false => Err(Fault::BadSignature {
            role,
            name: name.clone(),
        }),
    }
}

/// A root whose signatures have been verified. Only [`Signed::verify`] creates values of this type.
#[derive(Clone, Debug, PartialEq)]
pub struct Verified {
    root: Root,
    digest: Digest,
    author: id::Operator,
    operator: id::Operator,
}

impl Verified {
    /// Returns the root.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// Returns the digest of the root.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the author.
    pub fn author(&self) -> &id::Operator {
        &self.author
    }

    /// Returns the second operator, who approved the bundle.
    pub fn operator(&self) -> &id::Operator {
        &self.operator
    }
}

/// Why the signatures of a root are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nobody has signed.
    #[error("the bundle is not signed")]
    Unsigned,
    /// The signature of this role is missing.
    #[error("the bundle is signed by one operator only: the {0}'s signature is missing")]
    HalfSigned(Role),
    /// Both signatures are made with the same key.
    #[error("both signatures are by the same key, {0}")]
    SameKey(PublicKey),
    /// A signature is made with a key that is not in the keyring.
    #[error("the {role}'s key is none of a known signer: {key}")]
    UnknownKey {
        /// The role of the signature.
        role: Role,
        /// The key.
        key: PublicKey,
    },
    /// A signature does not match the root, its key and its role.
    #[error("the {role}'s signature by {name} does not fit the bundle")]
    BadSignature {
        /// The role of the signature.
        role: Role,
        /// The operator whose key the signature names.
        name: id::Operator,
    },
}

impl Fault {
    /// Returns the stable code of the fault.
    pub fn code(&self) -> &'static str {
        match self {
            Fault::Unsigned => "unsigned",
            Fault::HalfSigned(_) => "half-signed",
            Fault::SameKey(_) => "same-key",
            Fault::UnknownKey { .. } => "unknown-signer",
            Fault::BadSignature { .. } => "bad-signature",
        }
    }
}

impl std::fmt::Display for Role {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Role::Author => "author",
            Role::Operator => "operator",
        })
    }
}
