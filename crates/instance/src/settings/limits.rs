//! Limits on connections, calls and message sizes.

use super::Reader;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Limits on connections, calls and message sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections from callers.
    pub connections: usize,
    /// The maximum number of concurrent calls, waiting or running.
    pub calls: usize,
    /// The maximum number of calls that wait for one pool.
    pub queue: usize,
    /// The maximum size of a request head, in bytes.
    pub head: usize,
    /// The maximum size of a request body, in bytes.
    pub request_body: usize,
    /// The maximum size of a response body, in bytes.
    pub answer_body: usize,
    /// The maximum number of idle connections kept open to one backend server.
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
            connections: to_usize(connections?),
            calls: to_usize(calls?),
            queue: to_usize(queue?),
            head: to_usize(head?),
            request_body: to_usize(request_body?),
            answer_body: to_usize(answer_body?),
            idle_connections: to_usize(idle_connections?),
        })
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
