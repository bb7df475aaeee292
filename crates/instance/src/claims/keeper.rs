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

/// How long a key is kept after its last change.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What a claim waits for.
pub(super) enum Claiming {
    /// The verdict is there.
    Decided(Verdict),
    /// The verdict comes once the claim is in the log.
    Waiting(Receiver<Verdict>),
}

/// What is to be done for a shard.
pub(super) enum Next {
    /// Read the log and take it over.
    Load,
    /// Read back the segment of this number.
    ReadBack(u64),
    /// Append a segment.
    Append(Segment),
    /// Remove the segment of this number.
    Remove(u64),
    /// Nothing.
    Wait,
}

/// The ledger of one shard, while this instance acts on the shard.
pub(super) struct Keeper {
    pub(super) ledger: Ledger,
    /// Since when the shard is acted on.
    pub(super) since: Instant,
    /// Whether the log was read.
    pub(super) loaded: bool,
    /// Whether the last call of the store failed.
    failing: bool,
    waiters: HashMap<Token, Sender<Verdict>>,
}

impl Keeper {
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

    /// Starts over with an empty ledger, which knows what the present one had not saved.
    pub(super) fn restart(&mut self, since: Instant, now: Instant) {
        let unsaved: Vec<_> = self.ledger.unsaved().cloned().collect();
        let mut fresh = Self::new(self.ledger.shard(), since);
        fresh.ledger.adopt(&unsaved, now);
        fresh.failing = self.failing;
        self.refuse_waiters();
        *self = fresh;
    }

    /// Asks for a claim. `in_memory` says that claims are held in memory alone.
    ///
    /// While the log is being read, nothing is decided, and the call asks again.
    pub(super) fn claim(&mut self, request: &Request, in_memory: bool, now: Instant) -> Claiming {
        if !in_memory && !self.ledger.is_open() {
            return Claiming::Decided(Verdict::NotOwner);
        }
        match self.ledger.claim(request, !in_memory, now) {
            Decision::Pending(token) => {
                let (sender, receiver) = smol::channel::bounded(1);
                self.waiters.insert(token, sender);
                Claiming::Waiting(receiver)
            }
            decision => Claiming::Decided(self.verdict(decision)),
        }
    }

    /// Takes note of how a claimed call ended.
    pub(super) fn settle(&mut self, settlement: &Settlement, now: Instant) {
        let Settlement {
            key, claimant, end, ..
        } = settlement;
        match end {
            End::Finished(outcome) => self.ledger.finish(*key, claimant, outcome.clone(), now),
            End::Released => self.ledger.release(*key, claimant, now),
        }
    }

    /// Tells those that wait what was decided.
    pub(super) fn deliver(&mut self, decisions: Vec<(Token, Decision)>) {
        for (token, decision) in decisions {
            let verdict = self.verdict(decision);
            if let Some(sender) = self.waiters.remove(&token) {
                // A call that waits no longer releases its claim itself.
                let _gone = sender.try_send(verdict);
            }
        }
    }

    /// Returns what is to be done next.
    pub(super) fn next(&mut self) -> Next {
        if self.ledger.is_fenced() {
            self.loaded = false;
        }
        if !self.loaded {
            return Next::Load;
        }
        if let Some(number) = self.ledger.unresolved() {
            return Next::ReadBack(number);
        }
        if let Some(segment) = self.ledger.next_segment() {
            return Next::Append(segment);
        }
        if !self.ledger.is_open() {
            // The takeover met another's segment: the log has grown.
            self.loaded = false;
            return Next::Load;
        }
        self.ledger.removable().map_or(Next::Wait, Next::Remove)
    }

    /// Notes that a call of the store failed.
    pub(super) fn fail(&mut self) {
        self.failing = true;
    }

    /// Notes that a call of the store succeeded.
    pub(super) fn succeed(&mut self) {
        self.failing = false;
    }

    /// Returns whether the last call of the store failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Returns whether all that is known is in the log.
    pub(super) fn is_saved(&self) -> bool {
        !self.failing && self.ledger.unsaved().next().is_none()
    }

    /// Refuses those that wait, and returns what only this ledger knows.
    pub(super) fn close(&mut self) -> Unsaved {
        self.refuse_waiters();
        self.unsaved()
    }

    /// Returns what only this ledger knows.
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
            // A ledger that was taken over knows nothing of keys that it did not hold.
            Decision::Unknown | Decision::Refused if self.ledger.is_fenced() => Verdict::NotOwner,
            Decision::Unknown => Verdict::Unknown,
            Decision::Running => Verdict::Running,
            Decision::Mismatch => Verdict::Mismatch,
            Decision::Refused | Decision::Pending(_) => Verdict::Refused,
        }
    }
}
