//! The claims of one shard.

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
use crate::log::{Log, Verdict};
use crate::record::{Outcome, Record};
use crate::request::Request;
use crate::segment::Segment;
use crate::shard::Shard;
use crate::table::Table;
use crate::timeline::Timeline;
use crate::token::Token;
use crate::writer::Writer;

/// How far a ledger is.
#[derive(Debug)]
enum Phase {
    /// The log has not been read to its end.
    Reading,
    /// The takeover record is not durable yet.
    Opening { writer: Writer, takeover: Record },
    /// The log is read, and no former owner can append.
    Open { writer: Writer },
    /// Another ledger has appended: this one is finished.
    Fenced,
}

/// A call that waits for its claim to be durable.
#[derive(Debug)]
struct Waiter {
    key: Key,
    claimant: Claimant,
    first: bool,
}

/// The claims of one shard.
///
/// A new owner lists the log, replays every segment in order, and then takes over. Until the
/// takeover is durable it claims nothing but first attempts, and these only while the store is down.
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
    /// Returns a ledger that has read nothing. Entries are kept for `retention`.
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

    /// Returns whether the log is read and taken over, so that claims can be decided.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open { .. })
    }

    /// Returns whether another ledger has taken the shard over. This one grants nothing more.
    pub fn is_fenced(&self) -> bool {
        matches!(self.phase, Phase::Fenced)
    }

    /// Returns the entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.table.iter()
    }

    /// Reads `segment` of the log.
    ///
    /// # Errors
    ///
    /// Fails, without effect, if the segment is of another shard, if one before it is missing, or if
    /// the ledger has begun to write.
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
                self.read(segment);
                Ok(())
            }
        }
    }

    /// Applies the records of `segment`.
    fn read(&mut self, segment: &Segment) {
        self.timeline.reach(segment.time);
        for record in &segment.records {
            self.table.apply(record, segment.time);
        }
        self.table.expire(segment.time);
        self.log.note(segment);
    }

    /// Ends the reading of the log: `owner` takes it over, writing as `writer`.
    ///
    /// `history` says whether the log is known to hold every claim made before. Without effect
    /// unless the ledger is reading.
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
        // What was claimed and reported in memory comes after all that was read.
        for record in self.log.unsaved() {
            self.table.apply(record, time);
        }
        self.phase = Phase::Opening { writer, takeover };
    }

    /// Decides whether the call of `request` may run. `store_up` says whether the store takes writes.
    pub fn claim(&mut self, request: &Request, store_up: bool, now: Instant) -> Decision {
        let time = self.timeline.advance(now);
        if self.is_fenced() {
            return refusal(request.is_first_attempt());
        }
        self.table.expire(time);
        if let Some(entry) = self.table.get(request.key) {
            return answer(entry, request);
        }
        if !self.is_unrun(request, time) {
            return Decision::Unknown;
        }
        if store_up && !self.is_open() {
            return refusal(request.is_first_attempt());
        }
        let token = self.hold(request, time);
        if !store_up {
            return Decision::Run;
        }
        let waiter = Waiter {
            key: request.key,
            claimant: request.claimant.clone(),
            first: request.is_first_attempt(),
        };
        self.waiters.insert(token, waiter);
        Decision::Pending(token)
    }

    /// Returns whether a call of a key without an entry is known not to have run before.
    fn is_unrun(&self, request: &Request, time: Duration) -> bool {
        let known = self.is_open() && time >= self.table.uncertain_until();
        known || request.is_first_attempt()
    }

    /// Takes the claim of `request` and queues its record.
    fn hold(&mut self, request: &Request, time: Duration) -> Token {
        let record = Record::Claim {
            key: request.key,
            digest: request.digest,
            claimant: request.claimant.clone(),
        };
        self.table.apply(&record, time);
        Token(self.log.push(record))
    }

    /// Takes note that the call of `claimant` ended with `outcome`.
    ///
    /// A report on a key without a claim is kept too: its claim was held in the memory of an owner
    /// that is gone.
    pub fn finish(&mut self, key: Key, claimant: &Claimant, outcome: Outcome, now: Instant) {
        let record = Record::Finish {
            key,
            claimant: claimant.clone(),
            outcome: outcome.bounded(),
        };
        self.report(record, now);
    }

    /// Gives the claim of `claimant` back: nothing ran, and nothing will.
    ///
    /// Without effect if the claim is held by another or has an outcome.
    pub fn release(&mut self, key: Key, claimant: &Claimant, now: Instant) {
        let record = Record::Release {
            key,
            claimant: claimant.clone(),
        };
        self.report(record, now);
    }

    /// Applies `record` and queues it.
    fn report(&mut self, record: Record, now: Instant) {
        let time = self.timeline.advance(now);
        if self.is_fenced() {
            return;
        }
        let changed = self.table.apply(&record, time);
        // Until the log is read, the claim that the record ends may stand there.
        if changed || !self.is_open() {
            self.log.push(record);
        }
    }

    /// Returns the segment to append next, or nothing while one is under way.
    ///
    /// The caller creates its object and reports to [`handle_append`](Self::handle_append).
    pub fn next_segment(&mut self) -> Option<Segment> {
        let (writer, head) = match &self.phase {
            Phase::Opening { writer, takeover } => (*writer, Some(takeover.clone())),
            Phase::Open { writer } => (*writer, None),
            Phase::Reading | Phase::Fenced => return None,
        };
        let time = self.timeline.now();
        self.log.next_segment(writer, head, &self.table, time)
    }

    /// Takes the answer to the append of segment `number`, and returns what it decides.
    ///
    /// After a lost answer, [`unresolved`](Self::unresolved) names the number to read back. If a
    /// takeover meets a conflict, the ledger is reading again: the caller replays what is new and
    /// takes over once more.
    pub fn handle_append(
        &mut self,
        number: u64,
        outcome: append::Outcome,
    ) -> Vec<(Token, Decision)> {
        let verdict = self.log.handle_append(number, outcome);
        self.settle(verdict)
    }

    /// Returns the number to read back before anything else is appended.
    pub fn unresolved(&self) -> Option<u64> {
        self.log.unresolved()
    }

    /// Takes what is stored at the [unresolved](Self::unresolved) number, and returns what it
    /// decides.
    pub fn handle_read_back(&mut self, found: Option<&Segment>) -> Vec<(Token, Decision)> {
        let verdict = self.log.handle_read_back(found);
        self.settle(verdict)
    }

    /// Draws the consequences of what is known of the append under way.
    fn settle(&mut self, verdict: Verdict) -> Vec<(Token, Decision)> {
        match verdict {
            Verdict::Open => Vec::new(),
            Verdict::Durable(end) => {
                if let Phase::Opening { writer, takeover } = &self.phase {
                    self.table.apply(takeover, self.timeline.now());
                    self.phase = Phase::Open { writer: *writer };
                }
                let later = self.waiters.split_off(&Token(end));
                let durable = std::mem::replace(&mut self.waiters, later);
                self.grant(durable)
            }
            Verdict::Taken => self.lose(),
        }
    }

    /// Ends this ledger, or its takeover, because another has the number.
    fn lose(&mut self) -> Vec<(Token, Decision)> {
        if matches!(self.phase, Phase::Opening { .. }) {
            self.phase = Phase::Reading;
            return Vec::new();
        }
        self.phase = Phase::Fenced;
        let waiters = std::mem::take(&mut self.waiters);
        let refuse = |(token, waiter): (Token, Waiter)| (token, refusal(waiter.first));
        waiters.into_iter().map(refuse).collect()
    }

    /// Lets the waiting claims be held in memory, since the store has gone down.
    pub fn grant_in_memory(&mut self) -> Vec<(Token, Decision)> {
        let waiters = std::mem::take(&mut self.waiters);
        self.grant(waiters)
    }

    /// Grants each waiter whose claim was not given back in the meantime.
    fn grant(&self, waiters: BTreeMap<Token, Waiter>) -> Vec<(Token, Decision)> {
        let decide = |(token, waiter): (Token, Waiter)| {
            let entry = self.table.get(waiter.key);
            let held = entry.is_some_and(|e| e.claimant == waiter.claimant && e.outcome.is_none());
            let decision = if held {
                Decision::Run
            } else {
                refusal(waiter.first)
            };
            (token, decision)
        };
        waiters.into_iter().map(decide).collect()
    }

    /// Returns the records that are not known to be durable, for a new owner to adopt.
    pub fn unsaved(&self) -> impl Iterator<Item = &Record> {
        self.log.unsaved()
    }

    /// Takes over the records that a former owner, alive but fenced, could not append.
    pub fn adopt(&mut self, records: &[Record], now: Instant) {
        for record in records {
            // A report that came first knows more than the claim that it answers.
            let known = record.key().and_then(|key| self.table.get(key)).is_some();
            let stale = known && matches!(record, Record::Claim { .. });
            if record.key().is_some() && !stale {
                self.report(record.clone(), now);
            }
        }
    }

    /// Returns the number of the oldest segment once it may be removed from the store.
    ///
    /// Segments are removed one by one, oldest first, so that what remains has no gap.
    pub fn removable(&self) -> Option<u64> {
        self.log.removable(self.timeline.now())
    }

    /// Takes note that segment `number` has been removed.
    pub fn handle_removal(&mut self, number: u64) {
        self.log.handle_removal(number);
    }
}

/// Returns the decision on a key that has an entry.
fn answer(entry: &Entry, request: &Request) -> Decision {
    if entry.digest.is_some_and(|digest| digest != request.digest) {
        return Decision::Mismatch;
    }
    match &entry.outcome {
        None => Decision::Running,
        Some(Outcome::Unknown) => Decision::Unknown,
        Some(complete) => Decision::Replay(complete.clone()),
    }
}

/// Returns the decision on a call that gets no claim. Only a first attempt is known not to have run.
fn refusal(first: bool) -> Decision {
    if first {
        Decision::Refused
    } else {
        Decision::Unknown
    }
}
