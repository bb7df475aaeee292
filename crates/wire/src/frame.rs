//! Frames: the authenticated bytes in which messages and replies are sent.
//!
//! ```text
//! byte 0        format version
//! bytes 1..33   HMAC-SHA256 over the format version, the direction and the message
//! bytes 33..    the message, MessagePack
//! ```
//!
//! The tag covers the direction (`request` or `reply`), so a recorded message cannot be replayed as
//! a reply.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::key::TAG_BYTES;
use crate::{Fault, Key, Message, Reply};

/// The largest size of a frame.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

const FORMAT_VERSION: u8 = 1;
const HEAD_BYTES: usize = 1 + TAG_BYTES;
const REQUEST: &[u8] = b"request";
const REPLY: &[u8] = b"reply";

/// A sealed message or reply: its bytes as sent over HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Vec<u8>);

impl Frame {
    /// Returns the bytes of the frame.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Consumes the frame and returns its bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Seals a message to another instance.
    ///
    /// # Errors
    ///
    /// [`Fault::Encoding`] and [`Fault::TooLarge`].
    pub fn request(key: &Key, message: &Message) -> Result<Self, Fault> {
        seal(key, REQUEST, message)
    }

    /// Seals the reply to a message.
    ///
    /// # Errors
    ///
    /// [`Fault::Encoding`] and [`Fault::TooLarge`].
    pub fn reply(key: &Key, reply: &Reply) -> Result<Self, Fault> {
        seal(key, REPLY, reply)
    }

    /// Authenticates and decodes a message from another instance.
    ///
    /// # Errors
    ///
    /// Any [`Fault`] except [`Fault::Encoding`] and [`Fault::WeakKey`].
    pub fn open_request(key: &Key, bytes: &[u8]) -> Result<Message, Fault> {
        open(key, REQUEST, bytes)
    }

    /// Authenticates and decodes the reply to a message.
    ///
    /// # Errors
    ///
    /// Any [`Fault`] except [`Fault::Encoding`] and [`Fault::WeakKey`].
    pub fn open_reply(key: &Key, bytes: &[u8]) -> Result<Reply, Fault> {
        open(key, REPLY, bytes)
    }
}

fn seal<T>(key: &Key, direction: &[u8], value: &T) -> Result<Frame, Fault>
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(value).map_err(|e| Fault::Encoding {
        reason: e.to_string(),
    })?;
    check_size(HEAD_BYTES + body.len())?;
    let tag = key.tag(&[&[FORMAT_VERSION], direction, &body]);
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&tag);
    bytes.extend_from_slice(&body);
    Ok(Frame(bytes))
}

fn open<T>(key: &Key, direction: &[u8], bytes: &[u8]) -> Result<T, Fault>
where
    T: DeserializeOwned,
{
    check_size(bytes.len())?;
    if bytes.len() < HEAD_BYTES {
        return Err(Fault::TooShort { size: bytes.len() });
    }
    let (head, body) = bytes.split_at(HEAD_BYTES);
    if head[0] != FORMAT_VERSION {
        return Err(Fault::Version { version: head[0] });
    }
    if !key.verifies(&[&[FORMAT_VERSION], direction, body], &head[1..]) {
        return Err(Fault::Tag);
    }
    rmp_serde::from_slice(body).map_err(|e| Fault::Malformed {
        reason: e.to_string(),
    })
}

fn check_size(size: usize) -> Result<(), Fault> {
    if size > MAX_FRAME_BYTES {
        return Err(Fault::TooLarge {
            size,
            limit: MAX_FRAME_BYTES,
        });
    }
    Ok(())
}
