//! The write side of a log: a queue of records and at most one append in flight.
//!
//! Segments are numbered consecutively. After an append whose result is unknown, nothing else is
//! written until its number has been read back. Once the log is long enough, the entries of the
//! table are copied into new segments, so that older ones can be removed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::append::Outcome;
use crate::key::Key;
use crate::record::Record;
use crate::segment::{Segment, MAX_SEGMENT_BYTES};
use crate::shard::Shard;
use crate::table::Table;
use crate::writer::Writer;

/// The number of segments below which a snapshot costs more writes than it is worth.
const SNAPSHOT_SEGMENTS: u64 = 512;

/// The largest sum of the sizes of the entries that one segment copies for a snapshot.
const MAX_COPY_BYTES: usize = 256_000;

/// The age at which a segment that a snapshot has replaced may be removed from the store.
///
/// Longer than a new owner takes to replay a log, and longer than a write that a former owner sent
/// while it had authority can be delayed: such a write must find its number in use.
const REMOVAL_AGE: Duration = Duration::from_secs(3600);

/// The stage of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The segment was returned to the caller for writing.
    Sent,
    /// The result is unknown: the number must be read back first.
    Unresolved,
    /// The number was free when read back: the same segment is written again.
    Retry,
}

/// An append in flight.
#[derive(Debug)]
struct Append {
    segment: Segment,
    stage: Stage,
    /// Whether an earlier attempt to write the segment may have reached the store.
    retried: bool,
    /// The number of records before those from the queue.
    head_count: usize,
    /// The number of records that came from the queue.
    queued_count: usize,
}

/// The progress of a snapshot, which may span several segments.
#[derive(Debug)]
struct Snapshot {
    /// The first segment of the snapshot.
    start: u64,
    /// The last key copied.
    last: Option<Key>,
}

/// What is known of the append in flight.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// The result is not known yet.
    Pending,
    /// All records with sequence numbers below this are durable.
    Durable(u64),
    /// Another ledger has written a segment under the number.
    Conflict,
}

/// The write side of a log.
#[derive(Debug)]
pub(crate) struct Log {
    shard: Shard,
    /// The number of the next segment; `None` until a segment has been read or written.
    next: Option<u64>,
    /// The records that are in no segment yet.
    queue: VecDeque<Record>,
    /// The sequence number of the first record that is not known to be durable.
    first_unsaved: u64,
    in_flight: Option<Append>,
    /// The segments in the store, oldest first, with their times.
    stored: VecDeque<(u64, Duration)>,
    /// Segments with numbers below this are replaced by a snapshot.
    replaced_below: u64,
    /// The snapshot in progress.
    snapshot: Option<Snapshot>,
    /// The number of segments that the last complete snapshot spans.
    snapshot_length: u64,
}

impl Log {
    /// Returns a log of which no segment has been read.
    pub(crate) fn new(shard: Shard) -> Self {
        Self {
            shard,
            next: None,
            queue: VecDeque::new(),
            first_unsaved: 0,
            in_flight: None,
            stored: VecDeque::new(),
            replaced_below: 0,
            snapshot: None,
            snapshot_length: 0,
        }
    }

    /// Returns the number of the next segment, or `None` if no segment has been read or written.
    pub(crate) fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the records that are not known to be durable, in order.
    pub(crate) fn unsaved(&self) -> impl Iterator<Item = &Record> {
        let in_flight = self.in_flight.iter().flat_map(|append| {
            let records = append.segment.records.iter();
            records.skip(append.head_count).take(append.queued_count)
        });
        in_flight.chain(&self.queue)
    }

    /// Queues `record` and returns its sequence number.
    pub(crate) fn push(&mut self, record: Record) -> u64 {
        let in_flight = self
            .in_flight
            .as_ref()
            .map_or(0, |append| append.queued_count);
        let number = self.first_unsaved + (in_flight + self.queue.len()) as u64;
        self.queue.push_back(record);
        number
    }

    /// Records that `segment` is in the store.
    pub(crate) fn record_stored(&mut self, segment: &Segment) {
        self.next = Some(segment.number + 1);
        if self.stored.is_empty() {
            self.replaced_below = self.replaced_below.max(segment.number);
        }
        self.stored.push_back((segment.number, segment.time));
        for record in &segment.records {
            if let Record::Snapshot { start, .. } = record {
                self.replaced_below = *start;
                self.snapshot_length = segment.number + 1 - start;
            }
        }
    }

    /// Returns the number of the segment to read back, if the result of its write is unknown.
    pub(crate) fn unresolved(&self) -> Option<u64> {
        let append = self.in_flight.as_ref()?;
        (append.stage == Stage::Unresolved).then_some(append.segment.number)
    }

    /// Returns the segment to write next, with `head` as its first record, or `None` if a write is
    /// in flight or there is nothing to write.
    pub(crate) fn next_segment(
        &mut self,
        writer: Writer,
        head: Option<Record>,
        table: &Table,
        time: Duration,
    ) -> Option<Segment> {
        if let Some(append) = &mut self.in_flight {
            if append.stage != Stage::Retry {
                return None;
            }
            append.stage = Stage::Sent;
            append.retried = true;
            return Some(append.segment.clone());
        }
        self.build_segment(writer, head, table, time)
    }

    /// Builds the next segment from `head` and the queue. A segment that has no `head` and empties
    /// the queue also takes the next part of a snapshot, if there is room.
    fn build_segment(
        &mut self,
        writer: Writer,
        head: Option<Record>,
        table: &Table,
        time: Duration,
    ) -> Option<Segment> {
        let mut records = Vec::from_iter(head);
        let head_count = records.len();
        let size = self.drain_queue(&mut records);
        let queued_count = records.len() - head_count;
        if head_count == 0 && self.queue.is_empty() && size + MAX_COPY_BYTES < MAX_SEGMENT_BYTES {
            self.copy_entries(&mut records, table);
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
        self.in_flight = Some(Append {
            segment: segment.clone(),
            stage: Stage::Sent,
            retried: false,
            head_count,
            queued_count,
        });
        Some(segment)
    }

    /// Moves records from the queue to `records` until a segment is full, and returns their size in
    /// bytes.
    fn drain_queue(&mut self, records: &mut Vec<Record>) -> usize {
        let mut size = records.iter().map(Record::size).sum::<usize>();
        while let Some(record) = self.queue.front() {
            size += record.size();
            if size > MAX_SEGMENT_BYTES && !records.is_empty() {
                break;
            }
            records.extend(self.queue.pop_front());
        }
        size
    }

    /// Copies the next part of the table to `records` if a snapshot is due or in progress.
    fn copy_entries(&mut self, records: &mut Vec<Record>, table: &Table) {
        if self.snapshot.is_none() && self.is_snapshot_due() {
            self.snapshot = Some(Snapshot {
                start: self.next.unwrap_or(0),
                last: None,
            });
        }
        let Some(snapshot) = &mut self.snapshot else {
            return;
        };
        let mut size = 0;
        let mut remaining = table.after(snapshot.last);
        loop {
            let Some((key, entry)) = remaining.next() else {
                records.push(Record::Snapshot {
                    start: snapshot.start,
                    uncertain_until: table.uncertain_until(),
                });
                self.snapshot = None;
                return;
            };
            let record = Record::Copy {
                key,
                entry: entry.clone(),
            };
            size += record.size();
            if size > MAX_COPY_BYTES {
                return;
            }
            snapshot.last = Some(key);
            records.push(record);
        }
    }

    /// Returns whether the log has grown enough since the last snapshot for the next one.
    fn is_snapshot_due(&self) -> bool {
        let length = self.next.unwrap_or(0) - self.replaced_below;
        length >= SNAPSHOT_SEGMENTS.max(2 * self.snapshot_length)
    }

    /// Handles the result of writing segment `number`.
    pub(crate) fn handle_append(&mut self, number: u64, outcome: Outcome) -> Status {
        let Some(append) = &mut self.in_flight else {
            return Status::Pending;
        };
        if append.segment.number != number || append.stage != Stage::Sent {
            return Status::Pending;
        }
        match outcome {
            Outcome::Durable => self.confirm(),
            Outcome::Conflict if !append.retried => self.requeue(),
            // An earlier attempt to write this same segment may be what occupies the number.
            Outcome::Conflict | Outcome::Indeterminate => {
                append.stage = Stage::Unresolved;
                Status::Pending
            }
        }
    }

    /// Handles the segment read back under the number of a write whose result is unknown.
    pub(crate) fn handle_read_back(&mut self, found: Option<&Segment>) -> Status {
        let Some(append) = &mut self.in_flight else {
            return Status::Pending;
        };
        if append.stage != Stage::Unresolved {
            return Status::Pending;
        }
        let Some(found) = found else {
            // The write may still reach the store, so only the same segment may be written here.
            append.stage = Stage::Retry;
            return Status::Pending;
        };
        if found.writer == append.segment.writer && found.number == append.segment.number {
            self.confirm()
        } else {
            self.requeue()
        }
    }

    /// Records that the segment in flight is durable.
    fn confirm(&mut self) -> Status {
        if let Some(append) = self.in_flight.take() {
            self.first_unsaved += append.queued_count as u64;
            self.record_stored(&append.segment);
        }
        Status::Durable(self.first_unsaved)
    }

    /// Returns the queued records of the append in flight to the front of the queue.
    fn requeue(&mut self) -> Status {
        if let Some(append) = self.in_flight.take() {
            let records = append.segment.records.into_iter();
            let queued = Vec::from_iter(records.skip(append.head_count).take(append.queued_count));
            queued
                .into_iter()
                .rev()
                .for_each(|record| self.queue.push_front(record));
        }
        Status::Conflict
    }

    /// Returns the number of the oldest segment if it may be removed at `time`.
    pub(crate) fn removable(&self, time: Duration) -> Option<u64> {
        let &(number, stored) = self.stored.front()?;
        (number < self.replaced_below && stored + REMOVAL_AGE <= time).then_some(number)
    }

    /// Records that segment `number`, the oldest one, has been removed.
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
