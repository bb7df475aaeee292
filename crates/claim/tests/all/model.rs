//! Checks the ledger against random sequences of calls, owners and store failures.
//!
//! Callers number their attempts correctly or not at all. Owners crash, are replaced while they
//! still write, and lose replies of the store. A write whose reply was lost may reach the store
//! later.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use claim::append::Outcome::{Conflict, Durable, Indeterminate};
use claim::claimant::Claimant;
use claim::decision::Decision;
use claim::history::History;
use claim::key::Key;
use claim::ledger::Ledger;
use claim::record::{Outcome, Record};
use claim::request::Request;
use claim::segment::Segment;
use claim::shard::Shard;
use claim::token::Token;
use claim::writer::Writer;
use clock::Instant;
use contract::id;

use crate::reference;

const RETENTION: Duration = Duration::from_secs(86_400);
const KEYS: u8 = 3;
const STEPS: usize = 120;

/// A call that waits for its claim or runs under it.
#[derive(Clone)]
struct Call {
    key: Key,
    claimant: Claimant,
}

struct Model {
    now: Instant,
    store_available: bool,
    store: Vec<Segment>,
    /// Writes whose reply was lost and that have not reached the store.
    delayed: Vec<Segment>,
    owner: Ledger,
    /// Former owners that still write, each under a shard number of its own in `waiting`.
    former_owners: Vec<(Shard, Ledger)>,
    writers: u8,
    calls: u64,
    attempts: BTreeMap<Key, u32>,
    waiting: BTreeMap<(Shard, Token), Call>,
    running: Vec<Call>,
    /// The claims that were released.
    released: Vec<Claimant>,
    /// The keys whose call may have run, with the claimant.
    ran: BTreeMap<Key, Claimant>,
    /// Releases that were sent and may be delivered again.
    sent_releases: Vec<Call>,
    /// Whether the current owner holds claims that may be in memory only.
    in_memory: bool,
    /// Whether claims in memory were lost and no durable takeover records that yet.
    claims_lost: bool,
}

impl Model {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(1),
            store_available: true,
            store: Vec::new(),
            delayed: Vec::new(),
            owner: Ledger::new(Shard(0), RETENTION),
            former_owners: Vec::new(),
            writers: 0,
            calls: 0,
            attempts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            released: Vec::new(),
            ran: BTreeMap::new(),
            sent_releases: Vec::new(),
            in_memory: false,
            claims_lost: false,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += Duration::from_micros(u.int_in_range(0..=5000)?);
        match u.int_in_range(0..=13u8)? {
            0..=3 => self.claim(u)?,
            4..=5 => self.append(u)?,
            6 => self.end(u)?,
            7 => self.repeat_release(u)?,
            8 => self.replace_owner(u)?,
            9 => self.toggle_store(),
            10 => self.former_owner_appends(u)?,
            11 => self.deliver_delayed_write(),
            _ => self.open(u)?,
        }
        self.check_entries();
        Ok(())
    }

    fn claim(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = Key([u.int_in_range(0..=KEYS - 1)?; 16]);
        let attempts = self.attempts.entry(key).or_default();
        *attempts += 1;
        let numbered = u.ratio(3, 4)?;
        self.calls += 1;
        let request = Request {
            key,
            digest: [u8::from(u.ratio(1, 10)?); 16],
            attempt: numbered.then_some(*attempts),
            claimant: Claimant {
                instance: id::Instance::from("entry"),
                call: self.calls,
            },
        };
        let existing = reference::find(self.records(), key);
        let decision = self.owner.claim(&request, self.store_available, self.now);
        if self.owner.is_open() {
            let expected = reference::decide(
                existing,
                &request,
                self.is_log_uncertain(),
                self.store_available,
            );
            match (&decision, &expected) {
                (Decision::Pending(_), Decision::Pending(_)) => {}
                _ => assert_eq!(decision, expected, "{request:?}"),
            }
        }
        let call = Call {
            key,
            claimant: request.claimant,
        };
        match decision {
            Decision::Pending(token) => {
                self.waiting.insert((Shard(0), token), call);
            }
            Decision::Run => {
                self.in_memory = true;
                self.run(call);
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns all records that determine the state of the current owner.
    fn records(&self) -> impl Iterator<Item = &Record> {
        let stored = self.store.iter().flat_map(|segment| &segment.records);
        stored.chain(self.owner.unsaved())
    }

    fn is_log_uncertain(&self) -> bool {
        let uncertain = |record: &Record| matches!(record, Record::Takeover { history, .. } if *history == History::Uncertain);
        self.records().any(uncertain)
    }

    fn run(&mut self, call: Call) {
        let before = self.ran.insert(call.key, call.claimant.clone());
        assert_eq!(before, None, "second run of {:?}", call.key);
        assert!(!self.released.contains(&call.claimant), "run after release");
        self.running.push(call);
    }

    /// Writes `segment` and returns the result that the writer receives.
    fn write(
        &mut self,
        segment: Segment,
        u: &mut Unstructured<'_>,
    ) -> Result<claim::append::Outcome> {
        if !self.store_available {
            return Ok(Indeterminate);
        }
        let decoded = Segment::decode(&segment.encode().expect("encoded")).expect("decoded");
        assert_eq!(decoded, segment);
        let case = u.int_in_range(0..=5u8)?;
        if case == 0 {
            self.delayed.push(segment);
            return Ok(Indeterminate);
        }
        let created = self.create(segment);
        Ok(match (case, created) {
            (1, _) => Indeterminate,
            (_, true) => Durable,
            (_, false) => Conflict,
        })
    }

    fn create(&mut self, segment: Segment) -> bool {
        let free = segment.number == self.store.len() as u64;
        if free {
            self.store.push(segment);
        }
        free
    }

    fn append(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut ledger = std::mem::replace(&mut self.owner, Ledger::new(Shard(0), RETENTION));
        let decisions = self.drive(&mut ledger, u)?;
        self.owner = ledger;
        self.resolve(Shard(0), decisions);
        if self.owner.is_open() {
            self.claims_lost = false;
            self.in_memory &= self.owner.unsaved().next().is_some();
        }
        Ok(())
    }

    fn drive(
        &mut self,
        ledger: &mut Ledger,
        u: &mut Unstructured<'_>,
    ) -> Result<Vec<(Token, Decision)>> {
        if let Some(number) = ledger.unresolved() {
            if !self.store_available {
                return Ok(Vec::new());
            }
            let found = usize::try_from(number).ok().and_then(|n| self.store.get(n));
            return Ok(ledger.handle_read_back(found));
        }
        let Some(segment) = ledger.next_segment() else {
            return Ok(Vec::new());
        };
        let number = segment.number;
        let outcome = self.write(segment, u)?;
        Ok(ledger.handle_append(number, outcome))
    }

    fn resolve(&mut self, owner: Shard, decisions: Vec<(Token, Decision)>) {
        for (token, decision) in decisions {
            let call = self
                .waiting
                .remove(&(owner, token))
                .expect("one decision per claim");
            match decision {
                Decision::Run => self.run(call),
                Decision::Refused | Decision::Unknown => {}
                other => panic!("unexpected decision {other:?} on a waiting claim"),
            }
        }
    }

    /// Ends a running call, or releases the claim of a waiting call if none runs.
    fn end(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.running.is_empty() {
            let waits = self
                .waiting
                .iter()
                .find(|((owner, _), _)| *owner == Shard(0));
            if let Some(call) = waits.map(|(_, call)| call.clone()) {
                self.release(call);
            }
            return Ok(());
        }
        let index = u.choose_index(self.running.len())?;
        let call = self.running.swap_remove(index);
        match u.int_in_range(0..=3u8)? {
            0 => {
                self.ran.remove(&call.key);
                self.release(call);
            }
            1 => {
                self.owner
                    .finish(call.key, &call.claimant, Outcome::Unknown, self.now);
            }
            2 => {
                let outcome = Outcome::Complete {
                    status: 200,
                    response: Some(call.claimant.call.to_be_bytes().to_vec()),
                };
                self.owner
                    .finish(call.key, &call.claimant, outcome, self.now);
            }
            // The entry instance crashes without a report.
            _ => {}
        }
        Ok(())
    }

    fn release(&mut self, call: Call) {
        self.owner.release(call.key, &call.claimant, self.now);
        self.released.push(call.claimant.clone());
        self.sent_releases.push(call);
    }

    fn repeat_release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.sent_releases.is_empty() {
            let call = u.choose(&self.sent_releases)?.clone();
            self.owner.release(call.key, &call.claimant, self.now);
        }
        Ok(())
    }

    /// Ends the owner's authority. The former owner may continue to write.
    fn replace_owner(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ledger = std::mem::replace(&mut self.owner, Ledger::new(Shard(0), RETENTION));
        self.claims_lost |= std::mem::take(&mut self.in_memory);
        self.writers += 1;
        let former = Shard(u32::from(self.writers));
        let waiting = std::mem::take(&mut self.waiting);
        let moved = waiting.into_iter().map(|((owner, token), call)| {
            let owner = if owner == Shard(0) { former } else { owner };
            ((owner, token), call)
        });
        self.waiting = moved.collect();
        if u.ratio(1, 2)? {
            self.former_owners = vec![(former, ledger)];
        }
        Ok(())
    }

    fn toggle_store(&mut self) {
        self.store_available = !self.store_available;
        if !self.store_available {
            let decisions = self.owner.grant_in_memory();
            self.in_memory |= !decisions.is_empty();
            self.resolve(Shard(0), decisions);
        }
    }

    fn former_owner_appends(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some((former, mut ledger)) = self.former_owners.pop() else {
            return Ok(());
        };
        let decisions = self.drive(&mut ledger, u)?;
        self.resolve(former, decisions);
        if !ledger.is_fenced() {
            self.former_owners.push((former, ledger));
        }
        Ok(())
    }

    fn deliver_delayed_write(&mut self) {
        if let (true, Some(segment)) = (self.store_available, self.delayed.pop()) {
            self.create(segment);
        }
    }

    /// Makes the owner replay all segments that it has not replayed and take over.
    fn open(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.store_available || self.owner.is_fenced() {
            return Ok(());
        }
        for segment in &self.store {
            // Replaying a segment again fails, which is expected here.
            let _ = self.owner.replay(segment);
        }
        let history = if self.claims_lost || u.ratio(1, 16)? {
            History::Uncertain
        } else {
            History::Complete
        };
        if !self.owner.is_open() {
            let name = id::Instance::from("owner");
            self.writers += 1;
            self.owner
                .take_over(&name, Writer([self.writers; 16]), history, self.now);
        }
        Ok(())
    }

    /// Checks that the entries of an open ledger without unsaved records match the stored records.
    fn check_entries(&self) {
        if !self.owner.is_open() || self.owner.unsaved().next().is_some() {
            return;
        }
        let stored = || self.store.iter().flat_map(|segment| &segment.records);
        for key in (0..KEYS).map(|n| Key([n; 16])) {
            let existing = self.owner.entries().find(|(k, _)| *k == key);
            let existing = existing.map(|(_, entry)| reference::without_time(entry.clone()));
            assert_eq!(existing, reference::find(stored(), key));
        }
    }
}

#[test]
fn no_key_runs_twice_and_the_log_matches_the_entries() {
    arbtest::arbtest(|u| {
        let mut model = Model::new();
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            model.step(u)?;
        }
        Ok(())
    })
    .size_min(STEPS as u32)
    .budget_ms(2000);
}
