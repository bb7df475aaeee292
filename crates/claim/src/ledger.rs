//! Decides whether the calls of one shard may run, and drives the shard's log.
//!
//! The [`Ledger`] does no I/O. Its owner [replays](Ledger::replay) the stored segments,
//! [takes over](Ledger::take_over) the log, writes the [next segments](Ledger::next_segment) to the
//! store, and passes the results back ([`handle_append`](Ledger::handle_append),
//! [`handle_read_back`](Ledger::handle_read_back)).

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::append;
use crate::claimant::Claimant;
use crate::decision::Decision;
use crate::entry::Entry;
use crate::error::Error;
use crate::history::History;
use crate::key::Key;
use crate::log::{Log, Status};
use crate::record::{Outcome, Record};
use crate::request::Request;
use crate::segment::Segment;
use crate::shard::Shard;
use crate::table::Table;
use crate::timeline::Timeline;
use crate::token::Token;
use crate::writer::Writer;

/// The state of a ledger.
#[derive(Debug)]
enum Phase {
    /// The log is being replayed.
    Reading,
    /// The log is replayed, but the takeover record is not durable yet.
    TakingOver { writer: Writer, takeover: Record },
    /// The takeover record is durable: no former owner can append any more.
    Open { writer: Writer },
    /// Another ledger has appended to the log: this one grants nothing more.
    Fenced,
}

/// A call whose claim is not durable yet.
#[derive(Debug)]
struct Waiter {
    key: Key,
    claimant: Claimant,
    first_attempt: bool,
}

/// The claims of one shard.
///
/// A new owner lists the log, replays every segment in order, and then takes over. Until the
/// takeover is durable it grants only first attempts, and only while the store is unavailable.
#[derive(Debug)]
pub struct Ledger {
    shard: Shard,
    phase: Phase,
    table: Table,
    log: Log,
    waiters: BTreeMap<Token, Waiter>,
    timeline: Timeline,
}

impl Ledger {
    /// Returns a ledger that has replayed nothing. Entries expire `retention` after their last
    /// change.
    pub fn new(shard: Shard, retention: Duration) -> Self {
        Self {
            shard,
            phase: Phase::Reading,
            table: Table::new(retention),
            log: Log::new(shard),
            waiters: BTreeMap::new(),
            timeline: Timeline::default(),
        }
    }

    /// Returns the ledger's shard.
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// Returns whether the takeover is durable, so that all claims can be decided.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open { .. })
    }

    /// Returns whether another ledger has taken over the shard. If so, this one grants nothing.
    pub fn is_fenced(&self) -> bool {
        matches!(self.phase, Phase::Fenced)
    }

    /// Returns the entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.table.iter()
    }

    /// Applies the stored `segment`, which must follow the last one replayed.
    ///
    /// # Errors
    ///
    /// Fails, without effect, if the segment belongs to another shard, if it is not the next one,
    /// or if the ledger has already begun its takeover.
    pub fn replay(&mut self, segment: &Segment) -> Result<(), Error> {
        if segment.shard != self.shard {
            return Err(Error::Shard {
                expected: self.shard,
                found: segment.shard,
            });
        }
        let number = segment.number;
        if !matches!(self.phase, Phase::Reading) {
            return Err(Error::Opened { number });
        }
        match self.log.next() {
            Some(expected) if expected != number => Err(Error::Gap {
                expected,
                found: number,
            }),
            _ => {
                self.apply_segment(segment);
                Ok(())
            }
        }
    }

    /// Applies the records of `segment`.
    fn apply_segment(&mut self, segment: &Segment) {
        self.timeline.advance_to(segment.time);
        for record in &segment.records {
            self.table.apply(record, segment.time);
        }
        self.table.expire(segment.time);
        self.log.record_stored(segment);
    }

    /// Ends the replay: `owner` takes over the log and writes to it as `writer`.
    ///
    /// `history` states whether the log is known to hold every earlier claim. Has no effect unless
    /// the log is being replayed.
    pub fn take_over(
        &mut self,
        owner: &id::Instance,
        writer: Writer,
        history: History,
        now: Instant,
    ) {
        if !matches!(self.phase, Phase::Reading) {
            return;
        }
        let time = self.timeline.advance(now);
        let takeover = Record::Takeover {
            owner: owner.clone(),
            history,
        };
        // Records held in memory are newer than all that was replayed.
        for record in self.log.unsaved() {
            self.table.apply(record, time);
        }
        self.phase = Phase::TakingOver { writer, takeover };
    }

    /// Decides whether the call of `request` may run.
    ///
    /// While `store_available` is false, it grants claims in memory and keeps their records queued.
    pub fn claim(&mut self, request: &Request, store_available: bool, now: Instant) -> Decision {
        let time = self.timeline.advance(now);
        if self.is_fenced() {
            return refusal(request.is_first_attempt());
        }
        self.table.expire(time);
        if let Some(entry) = self.table.get(request.key) {
            return existing(entry, request);
        }
        if !self.is_known_unrun(request, time) {
            return Decision::Unknown;
        }
        if store_available && !self.is_open() {
            return refusal(request.is_first_attempt());
        }
        let token = self.take_claim(request, time);
        if !store_available {
            return Decision::Run;
        }
        let waiter = Waiter {
            key: request.key,
            claimant: request.claimant.clone(),
            first_attempt: request.is_first_attempt(),
        };
        self.waiters.insert(token, waiter);
        Decision::Pending(token)
    }

    /// Returns whether the call of `request`, whose key has no entry, is known not to have run.
    fn is_known_unrun(&self, request: &Request, time: Duration) -> bool {
        let complete = self.is_open() && time >= self.table.uncertain_until();
        complete || request.is_first_attempt()
    }

    /// Inserts the claim of `request` into the table and queues its record.
    fn take_claim(&mut self, request: &Request, time: Duration) -> Token {
        let record = Record::Claim {
            key: request.key,
            digest: request.digest,
            claimant: request.claimant.clone(),
        };
        self.table.apply(&record, time);
        Token(self.log.push(record))
    }

    /// Records that the call of `claimant` ended with `outcome`.
    ///
    /// The outcome of a key without a claim is kept too: the claim was held in memory by an owner
    /// that has since failed.
    pub fn finish(&mut self, key: Key, claimant: &Claimant, outcome: Outcome, now: Instant) {
        let record = Record::Finish {
            key,
            claimant: claimant.clone(),
            outcome: outcome.bounded(),
        };
        self.submit(record, now);
    }

    /// Releases the claim of `claimant`, whose call did not run and will not.
    ///
    /// Has no effect if another claimant holds the claim or its outcome is recorded.
    pub fn release(&mut self, key: Key, claimant: &Claimant, now: Instant) {
        let record = Record::Release {
            key,
            claimant: claimant.clone(),
        };
        self.submit(record, now);
    }

    /// Applies `record` and queues it for the log.
    fn submit(&mut self, record: Record, now: Instant) {
        let time = self.timeline.advance(now);
        if self.is_fenced() {
            return;
        }
        let changed = self.table.apply(&record, time);
        // Until the takeover is durable, the log may hold the claim that the record ends.
        if changed || !self.is_open() {
            self.log.push(record);
        }
    }

    /// Returns the segment to append next, or `None` if an append is in flight or there is nothing
    /// to append.
    ///
    /// The caller creates the segment's object, only if its path is free, and passes the result to
    /// [`handle_append`](Self::handle_append).
    pub fn next_segment(&mut self) -> Option<Segment> {
        let (writer, takeover) = match &self.phase {
            Phase::TakingOver { writer, takeover } => (*writer, Some(takeover.clone())),
            Phase::Open { writer } => (*writer, None),
            Phase::Reading | Phase::Fenced => return None,
        };
        let time = self.timeline.now();
        self.log.next_segment(writer, takeover, &self.table, time)
    }

    /// Handles the result of appending segment `number`, and returns the decisions on waiting
    /// claims that follow from it.
    ///
    /// After an indeterminate result, [`unresolved`](Self::unresolved) returns the number to read
    /// back. If a takeover fails with a conflict, the ledger is replaying again: the caller replays
    /// the new segments and takes over once more.
    pub fn handle_append(
        &mut self,
        number: u64,
        outcome: append::Outcome,
    ) -> Vec<(Token, Decision)> {
        let status = self.log.handle_append(number, outcome);
        self.resolve(status)
    }

    /// Returns the number of the segment to read back before anything else is appended.
    pub fn unresolved(&self) -> Option<u64> {
        self.log.unresolved()
    }

    /// Handles the segment that is stored under the [unresolved](Self::unresolved) number (`None`
    /// if the number is free), and returns the decisions that follow from it.
    pub fn handle_read_back(&mut self, found: Option<&Segment>) -> Vec<(Token, Decision)> {
        let status = self.log.handle_read_back(found);
        self.resolve(status)
    }

    /// Updates the phase after an append and returns the decisions on waiting claims.
    fn resolve(&mut self, status: Status) -> Vec<(Token, Decision)> {
        match status {
            Status::Pending => Vec::new(),
            Status::Durable(end) => {
                if let Phase::TakingOver { writer, takeover } = &self.phase {
                    self.table.apply(takeover, self.timeline.now());
                    self.phase = Phase::Open { writer: *writer };
                }
                let waiting = self.waiters.split_off(&Token(end));
                let durable = std::mem::replace(&mut self.waiters, waiting);
                self.grant(durable)
            }
            Status::Conflict => self.handle_conflict(),
        }
    }

    /// Fences this ledger, or cancels its takeover, after another ledger has used the segment
    /// number.
    fn handle_conflict(&mut self) -> Vec<(Token, Decision)> {
        if matches!(self.phase, Phase::TakingOver { .. }) {
            self.phase = Phase::Reading;
            return Vec::new();
        }
        self.phase = Phase::Fenced;
        let waiters = std::mem::take(&mut self.waiters);
        let refuse = |(token, waiter): (Token, Waiter)| (token, refusal(waiter.first_attempt));
        waiters.into_iter().map(refuse).collect()
    }

    /// Grants the waiting claims in memory, because the store has become unavailable.
    pub fn grant_in_memory(&mut self) -> Vec<(Token, Decision)> {
        let waiters = std::mem::take(&mut self.waiters);
        self.grant(waiters)
    }

    /// Grants each of `waiters` whose claim was not released in the meantime.
    fn grant(&self, waiters: BTreeMap<Token, Waiter>) -> Vec<(Token, Decision)> {
        let decide = |(token, waiter): (Token, Waiter)| {
            let entry = self.table.get(waiter.key);
            let held = entry.is_some_and(|e| e.claimant == waiter.claimant && e.outcome.is_none());
            let decision = if held {
                Decision::Run
            } else {
                refusal(waiter.first_attempt)
            };
            (token, decision)
        };
        waiters.into_iter().map(decide).collect()
    }

    /// Returns the records that are not known to be durable, for a new owner to adopt.
    pub fn unsaved(&self) -> impl Iterator<Item = &Record> {
        self.log.unsaved()
    }

    /// Adopts the records that a former owner, still running but fenced, could not append.
    pub fn adopt(&mut self, records: &[Record], now: Instant) {
        for record in records {
            // An outcome that was reported first supersedes the claim.
            let known = record.key().and_then(|key| self.table.get(key)).is_some();
            let stale = known && matches!(record, Record::Claim { .. });
            if record.key().is_some() && !stale {
                self.submit(record.clone(), now);
            }
        }
    }

    /// Returns the number of the oldest segment if it may be removed from the store.
    ///
    /// Segments are removed one by one, oldest first, so that the remaining log has no gap.
    pub fn removable(&self) -> Option<u64> {
        self.log.removable(self.timeline.now())
    }

    /// Records that segment `number` has been removed from the store.
    pub fn handle_removal(&mut self, number: u64) {
        self.log.handle_removal(number);
    }
}

/// Returns the decision on a request whose key has an entry.
fn existing(entry: &Entry, request: &Request) -> Decision {
    if entry.digest.is_some_and(|digest| digest != request.digest) {
        return Decision::Mismatch;
    }
    match &entry.outcome {
        None => Decision::Running,
        Some(Outcome::Unknown) => Decision::Unknown,
        Some(complete) => Decision::Replay(complete.clone()),
    }
}

/// Returns the decision on a call that gets no claim.
///
/// Only a first attempt is known not to have run.
fn refusal(first_attempt: bool) -> Decision {
    if first_attempt {
        Decision::Refused
    } else {
        Decision::Unknown
    }
}
