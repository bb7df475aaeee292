//! The writing end of a log: a queue of records, and one append in flight.

use std::collections::VecDeque;
use std::time::Duration;

use crate::append::Outcome;
use crate::key::Key;
use crate::record::Record;
use crate::segment::{Segment, MAX_SIZE};
use crate::shard::Shard;
use crate::table::Table;
use crate::writer::Writer;

/// The number of segments from which a snapshot is worth its writes.
const SNAPSHOT_SEGMENTS: u64 = 512;

/// The sum of the sizes of the entries that one segment copies, in bytes.
const COPY_SIZE: usize = 256_000;

/// How long a segment stays in the store after a snapshot has replaced it.
///
/// It outlasts the reading of a log by a new owner, and every write that a former owner sent while
/// it had authority: such a write must find its number taken.
const REMOVAL_AGE: Duration = Duration::from_secs(3600);

/// Where an append stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The write has been handed out.
    Sent,
    /// The number must be read before anything else.
    Unresolved,
    /// The number was free when it was read: the same segment is written again.
    Retry,
}

/// An append under way.
#[derive(Debug)]
struct Flight {
    segment: Segment,
    stage: Stage,
    /// Whether an earlier try may have reached the store.
    repeated: bool,
    /// The number of records in front of those that came from the queue.
    heads: usize,
    /// The number of records that came from the queue.
    queued: usize,
}

/// Entries being copied forward.
#[derive(Debug)]
struct Copying {
    start: u64,
    last: Option<Key>,
}

/// What the answer to an append showed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing yet.
    Open,
    /// Records with sequence numbers below this are durable.
    Durable(u64),
    /// The number belongs to another ledger.
    Taken,
}

/// The writing end of a log.
#[derive(Debug)]
pub(crate) struct Log {
    shard: Shard,
    next: Option<u64>,
    queue: VecDeque<Record>,
    /// The sequence number of the first record in the queue.
    base: u64,
    flight: Option<Flight>,
    /// The segments in the store, oldest first, with their times.
    stored: VecDeque<(u64, Duration)>,
    /// Segments below this are replaced by a snapshot.
    replaced: u64,
    copying: Option<Copying>,
    /// The number of segments that the last snapshot took.
    snapshot: u64,
}

impl Log {
    /// Returns a log of which nothing has been read.
    pub(crate) fn new(shard: Shard) -> Self {
        Self {
            shard,
            next: None,
            queue: VecDeque::new(),
            base: 0,
            flight: None,
            stored: VecDeque::new(),
            replaced: 0,
            copying: None,
            snapshot: 0,
        }
    }

    /// Returns the number that comes next, unless nothing was read.
    pub(crate) fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the records that are not known to be durable, in order.
    pub(crate) fn unsaved(&self) -> impl Iterator<Item = &Record> {
        let flying = self.flight.iter().flat_map(|flight| {
            let records = flight.segment.records.iter();
            records.skip(flight.heads).take(flight.queued)
        });
        flying.chain(&self.queue)
    }

    /// Queues `record` and returns its sequence number.
    pub(crate) fn push(&mut self, record: Record) -> u64 {
        let flying = self.flight.as_ref().map_or(0, |flight| flight.queued);
        let number = self.base + (flying + self.queue.len()) as u64;
        self.queue.push_back(record);
        number
    }

    /// Takes note of a stored segment.
    pub(crate) fn note(&mut self, segment: &Segment) {
        self.next = Some(segment.number + 1);
        if self.stored.is_empty() {
            self.replaced = self.replaced.max(segment.number);
        }
        self.stored.push_back((segment.number, segment.time));
        for record in &segment.records {
            if let Record::Snapshot { start, .. } = record {
                self.replaced = *start;
                self.snapshot = segment.number + 1 - start;
            }
        }
    }

    /// Returns the number to read back, if a write's answer was lost.
    pub(crate) fn unresolved(&self) -> Option<u64> {
        let flight = self.flight.as_ref()?;
        (flight.stage == Stage::Unresolved).then_some(flight.segment.number)
    }

    /// Returns the segment to write next, led by `head`, unless a write is under way or nothing is
    /// to be written.
    pub(crate) fn next_segment(
        &mut self,
        writer: Writer,
        head: Option<Record>,
        table: &Table,
        time: Duration,
    ) -> Option<Segment> {
        if let Some(flight) = &mut self.flight {
            if flight.stage != Stage::Retry {
                return None;
            }
            flight.stage = Stage::Sent;
            flight.repeated = true;
            return Some(flight.segment.clone());
        }
        self.form(writer, head, table, time)
    }

    /// Forms the next segment.
    fn form(
        &mut self,
        writer: Writer,
        head: Option<Record>,
        table: &Table,
        time: Duration,
    ) -> Option<Segment> {
        let mut records = Vec::from_iter(head);
        let heads = records.len();
        let size = self.take(&mut records);
        let queued = records.len() - heads;
        if heads == 0 && self.queue.is_empty() && size + COPY_SIZE < MAX_SIZE {
            self.copy(&mut records, table);
        }
        if records.is_empty() {
            return None;
        }
        let segment = Segment {
            shard: self.shard,
            number: self.next.unwrap_or(0),
            writer,
            time,
            records,
        };
        self.flight = Some(Flight {
            segment: segment.clone(),
            stage: Stage::Sent,
            repeated: false,
            heads,
            queued,
        });
        Some(segment)
    }

    /// Moves records from the queue to `records` up to the size of a segment, which is returned.
    fn take(&mut self, records: &mut Vec<Record>) -> usize {
        let mut size = records.iter().map(Record::size).sum::<usize>();
        while let Some(record) = self.queue.front() {
            size += record.size();
            if size > MAX_SIZE && !records.is_empty() {
                break;
            }
            records.extend(self.queue.pop_front());
        }
        size
    }

    /// Copies a part of the table forward if a snapshot is due.
    fn copy(&mut self, records: &mut Vec<Record>, table: &Table) {
        if self.copying.is_none() && self.is_snapshot_due() {
            self.copying = Some(Copying {
                start: self.next.unwrap_or(0),
                last: None,
            });
        }
        let Some(copying) = &mut self.copying else {
            return;
        };
        let mut size = 0;
        let mut rest = table.after(copying.last);
        loop {
            let Some((key, entry)) = rest.next() else {
                records.push(Record::Snapshot {
                    start: copying.start,
                    uncertain_until: table.uncertain_until(),
                });
                self.copying = None;
                return;
            };
            let record = Record::Copy {
                key,
                entry: entry.clone(),
            };
            size += record.size();
            if size > COPY_SIZE {
                return;
            }
            copying.last = Some(key);
            records.push(record);
        }
    }

    /// Returns whether the log is long enough for its entries to be copied forward.
    fn is_snapshot_due(&self) -> bool {
        let length = self.next.unwrap_or(0) - self.replaced;
        length >= SNAPSHOT_SEGMENTS.max(2 * self.snapshot)
    }

    /// Takes the answer to the write of segment `number`.
    pub(crate) fn handle_append(&mut self, number: u64, outcome: Outcome) -> Verdict {
        let Some(flight) = &mut self.flight else {
            return Verdict::Open;
        };
        if flight.segment.number != number || flight.stage != Stage::Sent {
            return Verdict::Open;
        }
        match outcome {
            Outcome::Durable => self.land(),
            Outcome::Conflict if !flight.repeated => self.give_back(),
            // An earlier try of this very segment may be what has the number.
            Outcome::Conflict | Outcome::Indeterminate => {
                flight.stage = Stage::Unresolved;
                Verdict::Open
            }
        }
    }

    /// Takes what was read at the number of a write whose answer was lost.
    pub(crate) fn handle_read_back(&mut self, found: Option<&Segment>) -> Verdict {
        let Some(flight) = &mut self.flight else {
            return Verdict::Open;
        };
        if flight.stage != Stage::Unresolved {
            return Verdict::Open;
        }
        let Some(found) = found else {
            // The lost write may still arrive, so only the same segment may take this number.
            flight.stage = Stage::Retry;
            return Verdict::Open;
        };
        if found.writer == flight.segment.writer && found.number == flight.segment.number {
            self.land()
        } else {
            self.give_back()
        }
    }

    /// Notes that the segment under way is in the store.
    fn land(&mut self) -> Verdict {
        if let Some(flight) = self.flight.take() {
            self.base += flight.queued as u64;
            self.note(&flight.segment);
        }
        Verdict::Durable(self.base)
    }

    /// Puts the records under way back in front of the queue.
    fn give_back(&mut self) -> Verdict {
        if let Some(flight) = self.flight.take() {
            let records = flight.segment.records.into_iter();
            let own = Vec::from_iter(records.skip(flight.heads).take(flight.queued));
            own.into_iter()
                .rev()
                .for_each(|record| self.queue.push_front(record));
        }
        Verdict::Taken
    }

    /// Returns the number of the oldest segment if it can be removed at `time`.
    pub(crate) fn removable(&self, time: Duration) -> Option<u64> {
        let &(number, stored) = self.stored.front()?;
        (number < self.replaced && stored + REMOVAL_AGE <= time).then_some(number)
    }

    /// Notes that segment `number`, the oldest one, is gone.
    pub(crate) fn handle_removal(&mut self, number: u64) {
        if self
            .stored
            .front()
            .is_some_and(|&(oldest, _)| oldest == number)
        {
            self.stored.pop_front();
        }
    }
}
