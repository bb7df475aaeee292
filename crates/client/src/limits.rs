//! Limits on the size of received messages.

/// Limits on the size of a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a message, in bytes.
    pub max_head_bytes: usize,
    /// The largest body of a message, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const HEAD_BYTES: usize = 16 * 1024;
        const BODY_BYTES: usize = 1024 * 1024;
        Self {
            max_head_bytes: HEAD_BYTES,
            max_body_bytes: BODY_BYTES,
        }
    }
}
