//! Bounds on what others may send and hold.

use super::Reader;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Bounds on what others may send and hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The connections that callers may have open.
    pub connections: usize,
    /// The calls that may be under way at once, waiting or running.
    pub calls: usize,
    /// The calls that may wait for one pool.
    pub queue: usize,
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub request_body: usize,
    /// The largest body of an answer, in bytes.
    pub answer_body: usize,
    /// The idle connections kept to one backend server.
    pub idle_connections: usize,
}

impl Limits {
    pub(super) fn collect(reader: &mut Reader<'_>) -> Option<Self> {
        let connections = reader.number("max-connections", 1, 100_000);
        let calls = reader.number("max-calls", 1, 100_000);
        let queue = reader.number("max-queue", 1, 100_000);
        let head = reader.number("max-head-bytes", KIB, MIB);
        let request_body = reader.number("max-request-bytes", 0, 64 * MIB);
        let answer_body = reader.number("max-answer-bytes", 0, 64 * MIB);
        let idle_connections = reader.number("max-idle-connections", 0, 260);
        Some(Self {
            connections: size(connections?),
            calls: size(calls?),
            queue: size(queue?),
            head: size(head?),
            request_body: size(request_body?),
            answer_body: size(answer_body?),
            idle_connections: size(idle_connections?),
        })
    }
}

fn size(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
