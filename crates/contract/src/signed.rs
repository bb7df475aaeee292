//! Signed roots.
//!
//! The author and a second operator each sign the root's digest, together with the role in which
//! they sign, so that neither signature can stand in for the other.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::Digest;
use crate::keyring::Keyring;
use crate::root::Root;
use crate::signature::{Key, PublicKey, Signature};
use crate::{codec, id};

/// The largest encoding of a signed root, in bytes.
pub const MAX_BYTES: usize = 512 * 1024;

const DOMAIN: &[u8] = b"chivewheel/signature/1\0";

/// In which role an operator signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Who wrote the bundle.
    Author,
    /// Who signs it off.
    Operator,
}

impl Role {
    /// Returns the message that is signed in this role for the root with `digest`.
    fn message(self, digest: &Digest) -> Vec<u8> {
        let role: &[u8] = match self {
            Role::Author => b"author\0",
            Role::Operator => b"operator\0",
        };
        [DOMAIN, role, &digest.0].concat()
    }
}

/// A root with its signatures. A signature is absent until it is made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Signed {
    /// The root.
    pub root: Root,
    /// The signature of the author.
    pub author: Option<Signature>,
    /// The signature of the operator who signs the bundle off.
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

    /// Returns `root` signed by both.
    pub fn new(root: Root, author: &Key, operator: &Key) -> Self {
        let mut signed = Self::unsigned(root);
        signed.sign(Role::Author, author);
        signed.sign(Role::Operator, operator);
        signed
    }

    /// Signs the root in `role`, in place of an earlier signature.
    pub fn sign(&mut self, role: Role, key: &Key) {
        let signature = key.sign(&role.message(&self.root.digest()));
        match role {
            Role::Author => self.author = Some(signature),
            Role::Operator => self.operator = Some(signature),
        }
    }

    /// Verifies that two operators of `keyring` have signed the root.
    pub fn verify(&self, keyring: &Keyring) -> Result<Verified, Fault> {
        let (author, operator) = self.signatures()?;
        if author.key == operator.key {
            return Err(Fault::SameKey(author.key));
        }
        let digest = self.root.digest();
        Ok(Verified {
            author: attest(Role::Author, author, &digest, keyring)?,
            operator: attest(Role::Operator, operator, &digest, keyring)?,
            root: self.root.clone(),
            digest,
        })
    }

    /// Verifies the author's signature alone and returns the author: what a second operator asks
    /// before signing off.
    pub fn verify_author(&self, keyring: &Keyring) -> Result<id::Operator, Fault> {
        let author = self.author.as_ref().ok_or(Fault::Unsigned)?;
        attest(Role::Author, author, &self.root.digest(), keyring)
    }

    /// Encodes the signed root for the store and for other instances.
    pub fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        codec::encode(self, MAX_BYTES)
    }

    /// Decodes a signed root. Its signatures are yet to be verified.
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

/// Returns the operator who made `signature` in `role`.
fn attest(
    role: Role,
    signature: &Signature,
    digest: &Digest,
    keyring: &Keyring,
) -> Result<id::Operator, Fault> {
    let known = keyring.operator(&signature.key);
    let name = known.ok_or(Fault::UnknownKey {
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

/// A root whose signatures have been verified. Only [`Signed::verify`] makes one.
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

    /// Returns the operator who signed the bundle off.
    pub fn operator(&self) -> &id::Operator {
        &self.operator
    }
}

/// Why a signed root is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nobody has signed.
    #[error("the bundle is not signed")]
    Unsigned,
    /// The signature of this role is missing.
    #[error("the bundle is signed by one operator only: the {0}'s signature is missing")]
    HalfSigned(Role),
    /// One key has signed twice.
    #[error("both signatures are by the same key, {0}")]
    SameKey(PublicKey),
    /// A signature is by a key that is not in the keyring.
    #[error("the {role}'s key is none of a known signer: {key}")]
    UnknownKey {
        /// The role of the signature.
        role: Role,
        /// The key.
        key: PublicKey,
    },
    /// A signature is not one of this root by its key in its role.
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
