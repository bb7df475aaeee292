//! Ed25519 keys and signatures of operators (RFC 8032).

use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as, DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

use crate::digest::{read_hex, write_hex};

/// The size of a secret or public key, in bytes.
pub const KEY_BYTES: usize = 32;

/// The size of a signature, in bytes.
pub const SIGNATURE_BYTES: usize = 64;

/// The secret key of an operator. Its `Debug` output contains only the public key.
#[derive(Clone)]
pub struct Key(SigningKey);

impl Key {
    /// Returns the key derived from `seed`, which must be random and secret.
    pub fn from_seed(seed: [u8; KEY_BYTES]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the secret key as hexadecimal, to be written to the key file.
    pub fn to_secret_hex(&self) -> String {
        let bytes = self.0.as_bytes().iter();
        bytes.map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the public key that verifies signatures made with this key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs `message`.
    pub fn sign(&self, message: &[u8]) -> Signature {
        Signature {
            key: self.public(),
            bytes: self.0.sign(message).to_bytes(),
        }
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let seed = read_hex(text.trim()).ok_or(Error::NotSecret)?;
        Ok(Self::from_seed(seed))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key(secret of {})", self.public())
    }
}

/// The public key of an operator. Serialised and displayed as hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct PublicKey([u8; KEY_BYTES]);

impl FromStr for PublicKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bytes = read_hex(text.trim()).ok_or(Error::NotPublic)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| Error::NotPublic)?;
        match key.is_weak() {
            true => Err(Error::Weak),
            false => Ok(Self(bytes)),
        }
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

/// A signature and the key that verifies it.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Signature {
    /// The public key of the signer.
    pub key: PublicKey,
    /// The bytes of the signature.
    #[serde_as(as = "Hex")]
    pub bytes: [u8; SIGNATURE_BYTES],
}

impl Signature {
    /// Returns whether this is a valid signature of `message` by [`Signature::key`].
    pub fn verifies(&self, message: &[u8]) -> bool {
        let signature = ed25519_dalek::Signature::from_bytes(&self.bytes);
        let key = VerifyingKey::from_bytes(&self.key.0);
        key.is_ok_and(|key| key.verify_strict(message, &signature).is_ok())
    }
}

/// Why text cannot be parsed as a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not a secret key.
    #[error("a secret key is 64 hexadecimal digits")]
    NotSecret,
    /// The text is not a public key.
    #[error("a public key is 64 hexadecimal digits of a point of Ed25519")]
    NotPublic,
    /// The public key is weak: signatures for it can be made without a secret key.
    #[error("the public key is weak")]
    Weak,
}
