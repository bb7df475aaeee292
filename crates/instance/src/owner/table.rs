//! The pools that this instance acts on.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use clock::Instant;
use membership::duty::Duty;
use membership::takeover::Handover;
use policy::{credit, pool};
use wire::holding::Transfer;
use wire::Pool;

use super::{Desk, Standing};
use crate::moves;
use crate::telemetry::Credits;
use crate::view::View;

/// The credits of one desk are numbered by the lower half of the number.
const CREDIT_BITS: u32 = 32;

/// The pools that this instance acts on.
#[derive(Debug)]
pub struct Table {
    config: pool::Config,
    /// Differs between runs of instances.
    run: u32,
    /// The desks opened so far.
    opened: u64,
    desks: HashMap<Pool, Desk>,
    /// Counts of credits, kept also for pools that went to another instance.
    credits: HashMap<Pool, Arc<Credits>>,
}

impl Table {
    /// Returns an empty table. `run` differs between instances.
    pub fn new(config: pool::Config, run: u32) -> Self {
        Self {
            config,
            run,
            opened: 0,
            desks: HashMap::new(),
            credits: HashMap::new(),
        }
    }

    /// Returns the desk of `pool`, which may grant only if it is admitted.
    pub fn desk(
        &mut self,
        pool: &Pool,
        standing: &Standing,
        view: &View,
        moves: &moves::Table,
        now: Instant,
    ) -> &mut Desk {
        self.opened += 1;
        let first = first_credit(self.run, self.opened);
        let config = &self.config;
        let credits = &mut self.credits;
        self.desks.entry(pool.clone()).or_insert_with(|| {
            let config = pool_config(config, first, pool, view);
            let mut desk = Desk::new(pool.clone(), standing.duty.clone(), config, now);
            desk.credits = credits.entry(pool.clone()).or_default().clone();
            desk.refresh(view, moves, now);
            desk
        })
    }

    /// Returns the desk of `pool`, admitted or not.
    pub fn get(&mut self, pool: &Pool) -> Option<&mut Desk> {
        self.desks.get_mut(pool)
    }

    /// Returns the counts of credits of every pool that was ever acted on.
    pub(crate) fn credits(&self) -> impl Iterator<Item = (&Pool, &Credits)> {
        self.credits
            .iter()
            .map(|(pool, credits)| (pool, &**credits))
    }

    /// Returns all desks.
    pub fn desks(&self) -> impl Iterator<Item = &Desk> {
        self.desks.values()
    }

    /// Returns all desks.
    pub fn desks_mut(&mut self) -> impl Iterator<Item = &mut Desk> {
        self.desks.values_mut()
    }

    /// Closes the desks that `moves` picks and that were admitted on `duty`, held since `since`.
    pub fn hand_over<F>(
        &mut self,
        duty: &Duty,
        since: Instant,
        handover: &Handover,
        now: Instant,
        moves: F,
    ) -> Vec<Transfer>
    where
        F: Fn(&Pool) -> bool,
    {
        let picked = self
            .desks
            .values()
            .filter(|d| d.holds(duty, since) && moves(&d.name));
        let names: Vec<Pool> = picked.map(|d| d.name.clone()).collect();
        let desks = names.iter().filter_map(|name| self.desks.remove(name));
        desks.map(|d| d.hand_over(handover.clone(), now)).collect()
    }
}

/// Returns the number of a desk's first credit.
///
/// A late return to another owner, or to a later desk of the same pool, must end no credit there.
fn first_credit(run: u32, opened: u64) -> credit::Id {
    let mut hasher = DefaultHasher::new();
    (run, opened).hash(&mut hasher);
    credit::Id(hasher.finish() >> CREDIT_BITS << CREDIT_BITS)
}

fn pool_config(base: &pool::Config, first: credit::Id, pool: &Pool, view: &View) -> pool::Config {
    let mut config = base.clone();
    config.first_credit = first;
    let bundle = view.bundle();
    let centres = bundle
        .centres
        .iter()
        .filter(|c| c.in_service)
        .count()
        .max(1);
    if let Some(service) = bundle.services.iter().find(|s| s.name == pool.service) {
        config.slots = service.slots;
        // Each data centre's pool has its own budget; together they stay within the service's.
        config.probes_per_second = service.probes_per_second / centres as f64;
    }
    config
}
