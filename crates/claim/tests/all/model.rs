//! Random callers, owners and stores, beside a naive ledger.
//!
//! Callers number their attempts truly, or give no number. Owners crash, are replaced while they
//! still write, and lose answers of the store; lost writes may arrive later.

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

use crate::naive;

const RETENTION: Duration = Duration::from_secs(86_400);
const KEYS: u8 = 3;
const STEPS: usize = 120;

/// A call that was granted and has not ended.
#[derive(Clone)]
struct Call {
    key: Key,
    claimant: Claimant,
}

struct World {
    now: Instant,
    store_up: bool,
    store: Vec<Segment>,
    /// Writes whose answer was lost and that have not arrived.
    late: Vec<Segment>,
    owner: Ledger,
    /// Former owners that still write.
    zombies: Vec<(Shard, Ledger)>,
    writers: u8,
    calls: u64,
    attempts: BTreeMap<Key, u32>,
    waiting: BTreeMap<(Shard, Token), Call>,
    running: Vec<Call>,
    /// The claims that were given back.
    released: Vec<Claimant>,
    /// The keys that may have run.
    ran: BTreeMap<Key, Claimant>,
    /// Releases that were sent and may arrive once more.
    sent: Vec<Call>,
    /// Whether the present owner has granted a claim in memory.
    memory: bool,
    /// Whether claims in memory were lost and no durable takeover says so.
    lost: bool,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(1),
            store_up: true,
            store: Vec::new(),
            late: Vec::new(),
            owner: Ledger::new(Shard(0), RETENTION),
            zombies: Vec::new(),
            writers: 0,
            calls: 0,
            attempts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            released: Vec::new(),
            ran: BTreeMap::new(),
            sent: Vec::new(),
            memory: false,
            lost: false,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += Duration::from_micros(u.int_in_range(0..=5000)?);
        match u.int_in_range(0..=13u8)? {
            0..=3 => self.claim(u)?,
            4..=5 => self.append(u)?,
            6 => self.end(u)?,
            7 => self.repeat_release(u)?,
            8 => self.replace(u)?,
            9 => self.toggle_store(),
            10 => self.zombie_appends(u)?,
            11 => self.late_write_arrives(),
            _ => self.open(u)?,
        }
        self.compare_log();
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
        let known = naive::find(self.records(), key);
        let decision = self.owner.claim(&request, self.store_up, self.now);
        if self.owner.is_open() {
            let expected = naive::decide(known, &request, self.is_log_uncertain(), self.store_up);
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
                self.memory = true;
                self.run(call);
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns all records that count for the present owner.
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
        assert_eq!(before, None, "second run, of {:?}", call.key);
        assert!(!self.released.contains(&call.claimant), "run after release");
        self.running.push(call);
    }

    /// Writes `segment` and returns what the writer learns.
    fn write(
        &mut self,
        segment: Segment,
        u: &mut Unstructured<'_>,
    ) -> Result<claim::append::Outcome> {
        if !self.store_up {
            return Ok(Indeterminate);
        }
        let decoded = Segment::decode(&segment.encode().expect("encoded")).expect("decoded");
        assert_eq!(decoded, segment);
        let fate = u.int_in_range(0..=5u8)?;
        if fate == 0 {
            self.late.push(segment);
            return Ok(Indeterminate);
        }
        let created = self.create(segment);
        Ok(match (fate, created) {
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
        let decided = self.drive(&mut ledger, u)?;
        self.owner = ledger;
        self.settle(Shard(0), decided);
        if self.owner.is_open() {
            self.lost = false;
            self.memory &= self.owner.unsaved().next().is_some();
        }
        Ok(())
    }

    fn drive(
        &mut self,
        ledger: &mut Ledger,
        u: &mut Unstructured<'_>,
    ) -> Result<Vec<(Token, Decision)>> {
        if let Some(number) = ledger.unresolved() {
            if !self.store_up {
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

    fn settle(&mut self, owner: Shard, decided: Vec<(Token, Decision)>) {
        for (token, decision) in decided {
            let call = self.waiting.remove(&(owner, token)).expect("one answer");
            match decision {
                Decision::Run => self.run(call),
                Decision::Refused | Decision::Unknown => {}
                other => panic!("{other:?} for a claim that waited"),
            }
        }
    }

    /// Ends a granted call, or gives up one that waits.
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
        let place = u.choose_index(self.running.len())?;
        let call = self.running.swap_remove(place);
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
            // The entry dies.
            _ => {}
        }
        Ok(())
    }

    fn release(&mut self, call: Call) {
        self.owner.release(call.key, &call.claimant, self.now);
        self.released.push(call.claimant.clone());
        self.sent.push(call);
    }

    fn repeat_release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.sent.is_empty() {
            let call = u.choose(&self.sent)?.clone();
            self.owner.release(call.key, &call.claimant, self.now);
        }
        Ok(())
    }

    /// Ends the owner's authority; it may go on writing.
    fn replace(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ledger = std::mem::replace(&mut self.owner, Ledger::new(Shard(0), RETENTION));
        self.lost |= std::mem::take(&mut self.memory);
        self.writers += 1;
        let zombie = Shard(u32::from(self.writers));
        let waiting = std::mem::take(&mut self.waiting);
        let moved = waiting.into_iter().map(|((owner, token), call)| {
            let owner = if owner == Shard(0) { zombie } else { owner };
            ((owner, token), call)
        });
        self.waiting = moved.collect();
        if u.ratio(1, 2)? {
            self.zombies = vec![(zombie, ledger)];
        }
        Ok(())
    }

    fn toggle_store(&mut self) {
        self.store_up = !self.store_up;
        if !self.store_up {
            let decided = self.owner.grant_in_memory();
            self.memory |= !decided.is_empty();
            self.settle(Shard(0), decided);
        }
    }

    fn zombie_appends(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some((name, mut ledger)) = self.zombies.pop() else {
            return Ok(());
        };
        let decided = self.drive(&mut ledger, u)?;
        self.settle(name, decided);
        if !ledger.is_fenced() {
            self.zombies.push((name, ledger));
        }
        Ok(())
    }

    fn late_write_arrives(&mut self) {
        if let (true, Some(segment)) = (self.store_up, self.late.pop()) {
            self.create(segment);
        }
    }

    /// Lets the owner read what it has not read, and take over.
    fn open(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.store_up || self.owner.is_fenced() {
            return Ok(());
        }
        for segment in &self.store {
            // Fails for what was read before.
            let _ = self.owner.replay(segment);
        }
        let history = if self.lost || u.ratio(1, 16)? {
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

    /// Compares an open ledger without unsaved records to the stored records.
    fn compare_log(&self) {
        if !self.owner.is_open() || self.owner.unsaved().next().is_some() {
            return;
        }
        let stored = || self.store.iter().flat_map(|segment| &segment.records);
        for key in (0..KEYS).map(|n| Key([n; 16])) {
            let known = self.owner.entries().find(|(k, _)| *k == key);
            let known = known.map(|(_, entry)| naive::untimed(entry.clone()));
            assert_eq!(known, naive::find(stored(), key));
        }
    }
}

#[test]
fn no_key_runs_twice_and_the_log_holds_the_state() {
    arbtest::arbtest(|u| {
        let mut world = World::new();
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            world.step(u)?;
        }
        Ok(())
    })
    .size_min(STEPS as u32)
    .budget_ms(2000);
}
