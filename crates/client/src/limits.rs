//! Bounds on what the other side may send.

/// Bounds on what the other side may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of an answer, in bytes.
    pub max_head_bytes: usize,
    /// The largest body of an answer, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const HEAD: usize = 16 * 1024;
        const BODY: usize = 1024 * 1024;
        Self {
            max_head_bytes: HEAD,
            max_body_bytes: BODY,
        }
    }
}
