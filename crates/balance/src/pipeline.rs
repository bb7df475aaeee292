//! Pipelined requests of one connection: which may be read, begun, written and cancelled next.
//!
//! Invariants:
//!
//! - Responses are written in the order of the requests.
//! - Only idempotent requests are begun before all earlier responses have been written. Nothing is
//!   begun behind a non-idempotent request.
//! - Nothing is read, begun or written behind a response that closes the connection.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Instant;

/// What a connection may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of requests that have been read and whose responses have not been written.
    pub requests: usize,
    /// The bytes of requests read ahead and of responses not yet written from which on nothing more
    /// is read or begun ahead. The last request or response may exceed them.
    pub bytes: usize,
}

/// A request that has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether it may run although its response may never be delivered.
    pub idempotent: bool,
    /// Whether the connection closes after its response.
    pub closes: bool,
    /// Its size.
    pub bytes: usize,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// How long a server is expected to take.
    pub expected: Duration,
}

/// A request whose response is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The request.
    pub id: u64,
    /// Whether the connection closes after the response.
    pub closes: bool,
    /// The requests behind a response that closes the connection. They are no longer held.
    pub cancelled: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running(Instant),
    Ready,
    Writing,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: Request,
    state: State,
    /// The size of the request, or of its response once that is ready.
    bytes: usize,
}

impl Entry {
    /// Returns when the response is expected to be ready, if all before it are written at `before`.
    fn expected_end(&self, before: Instant, now: Instant) -> Instant {
        let deadline = self.request.deadline;
        match self.state {
            State::Ready | State::Writing => now,
            State::Running(since) => {
                let elapsed = now.since(since);
                // A request that takes longer than expected is taken to be half done, as nothing else
                // is known about it.
                let duration = if elapsed < self.request.expected {
                    self.request.expected
                } else {
                    elapsed * 2
                };
                (since + duration).min(deadline)
            }
            // It is begun in its turn, and refused if it is then too late.
            State::Waiting => (before + self.request.expected).min(deadline.max(before)),
        }
    }
}

/// The requests of a connection whose responses have not been written, in the order of arrival.
#[derive(Clone, Debug)]
pub struct Pipeline {
    bounds: Bounds,
    entries: VecDeque<Entry>,
    /// The id of the first entry.
    first: u64,
    /// Whether nothing more may be read.
    closed: bool,
}

impl Pipeline {
    /// Returns an empty pipeline.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: VecDeque::new(),
            first: 0,
            closed: false,
        }
    }

    /// Returns whether all responses have been written.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the next request may be read.
    pub fn may_read(&self) -> bool {
        !self.closed && self.entries.len() < self.bounds.requests && self.has_room()
    }

    fn has_room(&self) -> bool {
        let held = |(i, entry): (usize, &Entry)| match entry.state {
            // The first request has not been read ahead.
            State::Waiting | State::Running(_) if i == 0 => 0,
            _ => entry.bytes,
        };
        let held: usize = self.entries.iter().enumerate().map(held).sum();
        held < self.bounds.bytes
    }

    /// Adds a request that has been read. Returns its id.
    pub fn push(&mut self, request: Request) -> u64 {
        self.push_entry(request, State::Waiting)
    }

    /// Adds a response of `bytes` to a request that could not be read. It closes the connection.
    pub fn push_error(&mut self, bytes: usize, now: Instant) -> u64 {
        let request = Request {
            idempotent: true,
            closes: true,
            bytes,
            deadline: now,
            expected: Duration::ZERO,
        };
        self.push_entry(request, State::Ready)
    }

    fn push_entry(&mut self, request: Request, state: State) -> u64 {
        self.closed |= request.closes;
        self.entries.push_back(Entry {
            request,
            state,
            bytes: request.bytes,
        });
        self.first + self.entries.len() as u64 - 1
    }

    /// Returns the next request to begin, which then counts as running. While the instance stops, the
    /// first response closes the connection, so nothing is begun behind it.
    pub fn begin(&mut self, is_stopping: bool, now: Instant) -> Option<u64> {
        let has_room = self.has_room();
        let mut before = now;
        for (i, id) in (0..self.entries.len()).zip(self.first..) {
            let entry = self.entries[i];
            let is_first = i == 0;
            if !is_first && (is_stopping || !has_room || !entry.request.idempotent) {
                return None;
            }
            let delivered_at = before.max(now + entry.request.expected);
            let is_due = is_first || delivered_at <= entry.request.deadline;
            if entry.state == State::Waiting && is_due {
                self.entries[i].state = State::Running(now);
                return Some(id);
            }
            if !entry.request.idempotent {
                return None;
            }
            before = before.max(entry.expected_end(before, now));
        }
        None
    }

    /// Returns whether `id` is the first request whose response has not been written.
    pub fn is_first(&self, id: u64) -> bool {
        id == self.first && !self.entries.is_empty()
    }

    /// Records that the response to `id`, of `bytes`, is ready.
    pub fn complete(&mut self, id: u64, bytes: usize) {
        let index = id.checked_sub(self.first).map(usize::try_from);
        let Some(Ok(index)) = index else { return };
        if let Some(entry) = self.entries.get_mut(index) {
            entry.state = State::Ready;
            entry.bytes = bytes;
        }
    }

    /// Returns the next response to write, if it is ready and no other is being written.
    pub fn write(&mut self, is_stopping: bool) -> Option<Write> {
        let entry = self.entries.front_mut()?;
        if entry.state != State::Ready {
            return None;
        }
        entry.state = State::Writing;
        let closes = entry.request.closes || is_stopping;
        let id = self.first;
        let mut cancelled = Vec::new();
        if closes {
            self.closed = true;
            cancelled.extend((id + 1..).take(self.entries.len() - 1));
            self.entries.truncate(1);
        }
        Some(Write {
            id,
            closes,
            cancelled,
        })
    }

    /// Records that the response being written has been written.
    pub fn finish_write(&mut self) {
        if self
            .entries
            .pop_front_if(|e| e.state == State::Writing)
            .is_some()
        {
            self.first += 1;
        }
    }

    /// Ends the connection after a failed write or when the caller has left. All requests are
    /// cancelled.
    pub fn close(&mut self) {
        self.closed = true;
        self.first += self.entries.len() as u64;
        self.entries.clear();
    }
}
