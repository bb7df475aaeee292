//! A message about the counts of one instance.

use serde::{Deserialize, Serialize};

/// The largest size of a message in bytes, as part of a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1400;

/// The size of a message without counts, as part of a datagram, in bytes, at most.
const BASE_BYTES: usize = 72;

/// The size of a count beside its tenant's name, in bytes, at most.
const COUNT_BYTES: usize = 16;

/// Which part of the complete counts of a window that has ended a message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The number of the part, from 0.
    pub index: u32,
    /// The number of parts. They have consecutive sequence numbers.
    pub count: u32,
}

/// Counts of one instance in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The number of the message, unique and ascending for one run of an instance.
    pub sequence: u64,
    /// The window.
    pub window: u64,
    /// If the message and others have all counts of a window that has ended: which of them it is.
    pub part: Option<Part>,
    /// The requests since the beginning of the window, by tenant.
    pub counts: Vec<(String, u64)>,
}

/// Divides counts into parts that each fit into a message. At least one, which may be empty.
pub(super) fn divide(counts: Vec<(String, u64)>) -> Vec<Vec<(String, u64)>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = BASE_BYTES;
    for (tenant, count) in counts {
        let added = tenant.len() + COUNT_BYTES;
        let is_full = bytes + added > MAX_MESSAGE_BYTES;
        match parts.last_mut() {
            Some(part) if part.is_empty() || !is_full => {
                bytes += added;
                part.push((tenant, count));
            }
            _ => {
                bytes = BASE_BYTES + added;
                parts.push(vec![(tenant, count)]);
            }
        }
    }
    parts
}
