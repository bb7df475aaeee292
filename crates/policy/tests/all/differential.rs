//! Compares the pool with a reference model under random events, and checks its invariants.

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use clock::Instant;
use contract::id;
use policy::credit::{self, Grant};
use policy::feedback::{Feedback, Outcome, StartId};
use policy::pool::{Config, Pool};
use policy::quarantine::Fingerprint;
use policy::server::Listing;
use policy::ticket::{self, Ticket};

use crate::model::Model;
use crate::support::cases;

cases! {
    pool_matches_reference_model => compare();
}

const PROBES_PER_SECOND: f64 = 20.0;

/// The pool, its model, and the history that the invariants refer to.
struct Pair {
    pool: Pool,
    model: Model,
    now: Instant,
    listed: Vec<Listing>,
    shares: Vec<(id::Version, f64)>,
    in_service: bool,
    held_until: Instant,
    queued: Vec<Ticket>,
    probes: Vec<Instant>,
    next_ticket: u64,
}

fn compare() {
    arbtest(|u| {
        let config = Config::new(3)
            .queue_limit(6)
            .growth_responses(2)
            .probes_per_second(PROBES_PER_SECOND);
        let mut pair = Pair::new(config);
        while !u.is_empty() {
            pair.step(u)?;
        }
        Ok(())
    })
    .size_min(1 << 10)
    .size_max(1 << 15)
    .budget_ms(budget_ms());
}

/// Returns how long to run the comparison: `ARBTEST_BUDGET_MS`, or 4 s by default.
fn budget_ms() -> u64 {
    let set = std::env::var("ARBTEST_BUDGET_MS").ok();
    set.and_then(|ms| ms.parse().ok()).unwrap_or(4000)
}

impl Pair {
    fn new(config: Config) -> Self {
        let mut pair = Self {
            pool: Pool::new(config.clone(), Instant::ZERO),
            model: Model::new(config),
            now: Instant::ZERO,
            listed: Vec::new(),
            shares: Vec::new(),
            in_service: true,
            held_until: Instant::ZERO,
            queued: Vec::new(),
            probes: Vec::new(),
            next_ticket: 0,
        };
        let names = ["s0", "s1", "s2", "s3"];
        pair.listed = names.map(|name| crate::support::listed(name, "v0")).into();
        pair.pool.set_servers(&pair.listed, pair.now);
        pair.model.set_servers(&pair.listed, pair.now);
        pair.set_shares(vec![("v0".into(), 1.0)]);
        pair
    }

    /// Applies one random event to both pools and compares them.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let longest = if u.ratio(1, 64)? { 4_000_000 } else { 20_000 };
        self.now += Duration::from_micros(u.int_in_range(0..=longest)?);
        match u.int_in_range(0..=63)? {
            0..=17 => self.enqueue(u)?,
            18..=19 => self.withdraw(u)?,
            20..=33 => self.grant(),
            34..=52 => self.release(u)?,
            53..=54 => self.expire(),
            55..=56 => self.change_listing(u)?,
            57 => self.change_shares(u)?,
            58 => self.toggle_service(u)?,
            59 => self.adopt(u)?,
            60 => self.hold(u)?,
            _ => self.probe(),
        }
        self.compare();
        Ok(())
    }

    fn enqueue(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.next_ticket += 1;
        let mut avoid = Vec::new();
        while u.ratio(1, 6)? && avoid.len() < 3 {
            avoid.push(server(u)?);
        }
        let ticket = Ticket {
            id: ticket::Id(self.next_ticket),
            instance: if u.arbitrary()? { "i0" } else { "i1" }.into(),
            can_wait: u.arbitrary()?,
            deadline: self.now + Duration::from_millis(u.int_in_range(0..=400)?),
            time_limit: Duration::from_millis(u.int_in_range(0..=100)?),
            avoid,
            fingerprint: fingerprint(u)?,
        };
        let asked = self.pool.enqueue(ticket.clone(), self.now);
        assert_eq!(asked, self.model.enqueue(ticket.clone(), self.now));
        if asked.is_ok() {
            // Queueing a ticket again has no effect.
            assert_eq!(self.pool.enqueue(ticket.clone(), self.now), Ok(()));
            self.queued.push(ticket);
        }
        Ok(())
    }

    fn withdraw(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = ticket::Id(self.next_ticket.saturating_sub(u.int_in_range(0..=9)?));
        let withdrawn = self.pool.withdraw(id);
        assert_eq!(withdrawn, self.model.withdraw(id));
        self.queued.retain(|t| t.id != id);
        Ok(())
    }

    fn grant(&mut self) {
        let grants = self.pool.grant(self.now);
        assert_eq!(grants, self.model.grant(self.now));
        for grant in &grants {
            self.check_grant(grant);
        }
        self.check_priority(&grants);
        assert!(grants.is_empty() || self.in_service && self.now >= self.held_until);
    }

    /// Checks that the server is listed, has a share, and is within its allowance.
    fn check_grant(&self, grant: &Grant) {
        let credit = &grant.credit;
        let mut listed = self.listed.iter();
        assert!(listed.any(|l| l.name == credit.server && !l.leaving));
        let mut shares = self.shares.iter();
        assert!(shares.any(|(version, share)| *version == credit.version && *share > 0.0));
        let states = self.pool.snapshot();
        let state = states
            .iter()
            .find(|s| s.name == credit.server)
            .expect("granted servers are known");
        assert!(state.live <= state.allowance, "{state:?}");
        assert!(!state.cold || state.live == 1, "{state:?}");
        assert!(!state.ejected && !state.leaving, "{state:?}");
    }

    /// Checks that granted tickets were queued, and that none that can wait was granted before an
    /// unconstrained one that cannot.
    fn check_priority(&mut self, grants: &[Grant]) {
        let granted: BTreeSet<ticket::Id> = grants.iter().map(|g| g.ticket).collect();
        let (granted, left) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition::<Vec<_>, _>(|t| granted.contains(&t.id));
        assert_eq!(granted.len(), grants.len(), "granted twice or not queued");
        let unconstrained = |t: &&Ticket| t.avoid.is_empty() && t.fingerprint.is_none();
        let now = self.now;
        let mut skipped = left.iter().filter(unconstrained);
        let skipped = skipped.any(|t| !t.can_wait && t.deadline > now);
        assert!(!skipped || granted.iter().all(|t| !t.can_wait));
        self.queued = left;
    }

    fn release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let live = self.model.live();
        let id = match u.ratio(1, 16)? || live.is_empty() {
            true => credit::Id(u.int_in_range(0..=50)?),
            false => *u.choose(&live)?,
        };
        let feedback = match u.ratio(1, 12)? {
            true => None,
            false => Some(feedback(u)?),
        };
        let was_live = self.model.release(id, feedback.as_ref(), self.now);
        assert_eq!(self.pool.release(id, feedback, self.now), was_live);
        assert!(!self.pool.release(id, None, self.now));
        Ok(())
    }

    /// Advances to the next event, by at most 50 ms, and checks that nothing is due after handling
    /// it; otherwise a caller that waits for the next event would spin.
    fn expire(&mut self) {
        let next = self.pool.next_event().unwrap_or(self.now);
        self.now = self.now.max(next.min(self.now + Duration::from_millis(50)));
        self.pool.expire(self.now);
        self.model.advance(self.now);
        self.grant();
        self.probe();
        assert!(self.pool.next_event().is_none_or(|next| next > self.now));
    }

    fn change_listing(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = Listing {
            name: server(u)?,
            version: version(u)?,
            leaving: u.ratio(1, 4)?,
        };
        self.listed.retain(|l| l.name != server.name);
        if u.ratio(3, 4)? {
            self.listed.push(server);
        }
        self.pool.set_servers(&self.listed, self.now);
        self.model.set_servers(&self.listed, self.now);
        Ok(())
    }

    fn change_shares(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let share = f64::from(u.int_in_range(0..=10u32)?) / 10.0;
        let first = version(u)?;
        let second = version(u)?;
        let mut shares = vec![(first.clone(), share)];
        if first != second {
            shares.push((second, 1.0 - share));
        }
        self.set_shares(shares);
        Ok(())
    }

    fn set_shares(&mut self, shares: Vec<(id::Version, f64)>) {
        self.pool.set_shares(&shares);
        self.model.set_shares(&shares);
        self.shares = shares;
    }

    fn toggle_service(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.in_service = u.ratio(3, 4)?;
        self.pool.set_in_service(self.in_service);
        self.model.set_in_service(self.in_service);
        Ok(())
    }

    fn adopt(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ends_at = self.now + Duration::from_millis(u.int_in_range(0..=500)?);
        let held = [(credit::Id(u.int_in_range(0..=60)?), server(u)?, ends_at)];
        self.pool.adopt(&held, self.now);
        self.model.adopt(&held, self.now);
        Ok(())
    }

    fn hold(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let until = self.now + Duration::from_millis(u.int_in_range(0..=100)?);
        self.held_until = self.held_until.max(until);
        self.pool.hold_until(until);
        self.model.hold_until(until);
        Ok(())
    }

    fn probe(&mut self) {
        let candidates = self.model.probe_candidates(self.now);
        let Some(task) = self.pool.probe(self.now) else {
            let gap = Duration::from_secs_f64(1.0 / PROBES_PER_SECOND + 1e-5);
            let ready = self
                .probes
                .last()
                .is_none_or(|last| *last + gap <= self.now);
            assert!(
                candidates.is_empty() || !ready,
                "{candidates:?} need a probe"
            );
            return;
        };
        assert!(candidates.contains(&task.credit.server));
        let credit = self.model.probe(&task.credit.server, self.now);
        assert_eq!(task.credit, credit);
        self.probes.push(self.now);
        for (count, earlier) in self.probes.iter().rev().enumerate() {
            let window = (self.now - *earlier).as_secs_f64();
            assert!(count as f64 <= window * PROBES_PER_SECOND);
        }
    }

    fn compare(&mut self) {
        let dropped = self.pool.take_dropped();
        let expected = std::mem::take(&mut self.model.dropped);
        let ids = |list: &[ticket::Dropped]| -> BTreeSet<_> {
            list.iter().map(|d| (d.id, d.refusal.to_string())).collect()
        };
        assert_eq!(ids(&dropped), ids(&expected));
        self.queued.retain(|t| dropped.iter().all(|d| d.id != t.id));
        assert_eq!(self.pool.queued(), self.queued.len());
        let mut states = self.pool.snapshot();
        states.iter_mut().for_each(|s| s.latency = Duration::ZERO);
        assert_eq!(states, self.model.snapshot());
        let next = self.pool.next_event();
        assert!(next.is_some() || self.model.next_event().is_none());
        assert!(self.model.next_event().is_none_or(|n| next <= Some(n)));
    }
}

fn server(u: &mut Unstructured<'_>) -> Result<id::Server> {
    Ok(format!("s{}", u.int_in_range(0..=5)?).as_str().into())
}

fn version(u: &mut Unstructured<'_>) -> Result<id::Version> {
    Ok(format!("v{}", u.int_in_range(0..=2)?).as_str().into())
}

fn fingerprint(u: &mut Unstructured<'_>) -> Result<Option<Fingerprint>> {
    let has_fingerprint = u.ratio(1, 4)?;
    Ok(has_fingerprint.then_some(Fingerprint(u.int_in_range(0..=3)?)))
}

fn feedback(u: &mut Unstructured<'_>) -> Result<Feedback> {
    use Outcome::{Abandoned, Answered, Crashed, Failed, Shed, TimedOut, Unreachable};
    let rare = [Failed, Shed, Crashed, Unreachable, TimedOut, Abandoned];
    let outcome = match u.ratio(3, 5)? {
        true => Answered,
        false => *u.choose(&rare)?,
    };
    let slow = u.ratio(1, 4)?;
    let latency = u.int_in_range(1..=if slow { 200 } else { 10 })?;
    let latency = match u.ratio(1, 256)? {
        true => Duration::MAX,
        false => Duration::from_millis(latency),
    };
    let has_start = u.ratio(1, 2)?;
    let run = u.int_in_range(0..=31)?;
    Ok(Feedback {
        outcome,
        latency,
        start_id: has_start.then_some(StartId(u64::from(run == 0) + u64::from(run < 2))),
        route: format!("r{}", u.int_in_range(0..=1)?).as_str().into(),
        fingerprint: fingerprint(u)?,
        draining: u.ratio(1, 64)?,
    })
}
