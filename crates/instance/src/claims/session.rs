//! The ledger of one shard, while this instance acts on the shard.

use std::collections::HashMap;
use std::time::Duration;

use claim::decision::Decision;
use claim::ledger::Ledger;
use claim::request::Request;
use claim::segment::Segment;
use claim::shard::Shard;
use claim::token::Token;
use clock::Instant;
use smol::channel::{Receiver, Sender};
use wire::claims::{End, Settlement, Unsaved, Verdict};

/// How long a key is retained after its last change.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The answer to a claim request.
pub(super) enum Answer {
    /// The verdict is known.
    Decided(Verdict),
    /// The verdict arrives once the claim is in the log.
    Pending(Receiver<Verdict>),
}

/// The next step for a shard.
pub(super) enum Step {
    /// Read the log and take it over.
    Load,
    /// Read back the segment of this number.
    ReadBack(u64),
    /// Append a segment.
    Append(Segment),
    /// Remove the segment of this number.
    Remove(u64),
    /// Nothing is due.
    Wait,
}

/// The ledger of one shard, while this instance acts on the shard.
pub(super) struct Session {
    pub(super) ledger: Ledger,
    /// Since when the instance has acted on the shard.
    pub(super) since: Instant,
    /// Whether the log has been read.
    pub(super) loaded: bool,
    /// Whether the last call to the store failed.
    failing: bool,
    waiters: HashMap<Token, Sender<Verdict>>,
}

impl Session {
    pub(super) fn new(shard: Shard, since: Instant) -> Self {
        let ledger = Ledger::new(shard, RETENTION);
        Self {
            ledger,
            since,
            loaded: false,
            failing: false,
            waiters: HashMap::new(),
        }
    }

    /// Restarts with a new ledger that contains only the unsaved records of the current one.
    pub(super) fn restart(&mut self, since: Instant, now: Instant) {
        let unsaved: Vec<_> = self.ledger.unsaved().cloned().collect();
        let mut fresh = Self::new(self.ledger.shard(), since);
        fresh.ledger.adopt(&unsaved, now);
        fresh.failing = self.failing;
        self.refuse_waiters();
        *self = fresh;
    }

    /// Requests a claim. `in_memory` allows claims that are held only in memory.
    ///
    /// While the log is being read, the answer is `NotOwner`, and the call requests the claim
    /// again.
    pub(super) fn claim(&mut self, request: &Request, in_memory: bool, now: Instant) -> Answer {
        if !in_memory && !self.ledger.is_open() {
            return Answer::Decided(Verdict::NotOwner);
        }
        match self.ledger.claim(request, !in_memory, now) {
            Decision::Pending(token) => {
                let (sender, receiver) = smol::channel::bounded(1);
                self.waiters.insert(token, sender);
                Answer::Pending(receiver)
            }
            decision => Answer::Decided(self.verdict(decision)),
        }
    }

    /// Records how a claimed call ended.
    pub(super) fn settle(&mut self, settlement: &Settlement, now: Instant) {
        let Settlement {
            key, claimant, end, ..
        } = settlement;
        match end {
            End::Finished(outcome) => self.ledger.finish(*key, claimant, outcome.clone(), now),
            End::Released => self.ledger.release(*key, claimant, now),
        }
    }

    /// Sends decisions to the waiting claim requests.
    pub(super) fn deliver(&mut self, decisions: Vec<(Token, Decision)>) {
        for (token, decision) in decisions {
            let verdict = self.verdict(decision);
            if let Some(sender) = self.waiters.remove(&token) {
                // A call that has stopped waiting releases its claim itself.
                let _gone = sender.try_send(verdict);
            }
        }
    }

    /// Returns the next step.
    pub(super) fn next(&mut self) -> Step {
        if self.ledger.is_fenced() {
            self.loaded = false;
        }
        if !self.loaded {
            return Step::Load;
        }
        if let Some(number) = self.ledger.unresolved() {
            return Step::ReadBack(number);
        }
        if let Some(segment) = self.ledger.next_segment() {
            return Step::Append(segment);
        }
        if !self.ledger.is_open() {
            // The takeover found a segment of another writer, so the log has grown.
            self.loaded = false;
            return Step::Load;
        }
        self.ledger.removable().map_or(Step::Wait, Step::Remove)
    }

    /// Records that a call to the store failed.
    pub(super) fn fail(&mut self) {
        self.failing = true;
    }

    /// Records that a call to the store succeeded.
    pub(super) fn succeed(&mut self) {
        self.failing = false;
    }

    /// Returns whether the last call to the store failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Returns whether all records are in the log and the store accepts writes.
    pub(super) fn is_saved(&self) -> bool {
        !self.failing && self.ledger.unsaved().next().is_none()
    }

    /// Refuses the waiting claim requests and returns the records that are not in the log.
    pub(super) fn close(&mut self) -> Unsaved {
        self.refuse_waiters();
        self.unsaved()
    }

    /// Returns the records that are not in the log.
    fn unsaved(&self) -> Unsaved {
        let records = self.ledger.unsaved().cloned().collect();
        Unsaved {
            shard: self.ledger.shard(),
            records,
        }
    }

    fn refuse_waiters(&mut self) {
        for (_, sender) in self.waiters.drain() {
            let _gone = sender.try_send(Verdict::NotOwner);
        }
    }

    fn verdict(&self, decision: Decision) -> Verdict {
        match decision {
            Decision::Run => Verdict::Run,
            Decision::Replay(outcome) => Verdict::Replay(outcome),
            // A fenced ledger has no information on keys that it does not hold.
            Decision::Unknown | Decision::Refused if self.ledger.is_fenced() => Verdict::NotOwner,
            Decision::Unknown => Verdict::Unknown,
            Decision::Running => Verdict::Running,
            Decision::Mismatch => Verdict::Mismatch,
            Decision::Refused | Decision::Pending(_) => Verdict::Refused,
        }
    }
}
