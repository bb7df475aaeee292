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

use super::{Allocator, Tenure};
use crate::moves;
use crate::telemetry::Credits;
use crate::view::View;

/// The lower bits of a credit's number, which count the credits of one allocator.
const CREDIT_BITS: u32 = 32;

/// The pools that this instance acts on.
#[derive(Debug)]
pub struct Table {
    config: pool::Config,
    /// Differs between runs of instances; part of the credit numbers.
    run_id: u32,
    /// The number of calls of [`Self::get_or_open`] so far.
    opened_count: u64,
    allocators: HashMap<Pool, Allocator>,
    /// Counts of credits, kept also for pools that were handed over.
    credits: HashMap<Pool, Arc<Credits>>,
}

impl Table {
    /// Returns an empty table. `run_id` differs between instances.
    pub fn new(config: pool::Config, run_id: u32) -> Self {
        Self {
            config,
            run_id,
            opened_count: 0,
            allocators: HashMap::new(),
            credits: HashMap::new(),
        }
    }

    /// Returns the allocator of `pool`, opened if needed. It may grant only once activated.
    pub fn get_or_open(
        &mut self,
        pool: &Pool,
        tenure: &Tenure,
        view: &View,
        moves: &moves::Table,
        now: Instant,
    ) -> &mut Allocator {
        self.opened_count += 1;
        let first = first_credit(self.run_id, self.opened_count);
        let config = &self.config;
        let credits = &mut self.credits;
        self.allocators.entry(pool.clone()).or_insert_with(|| {
            let config = pool_config(config, first, pool, view);
            let mut allocator = Allocator::new(pool.clone(), tenure.duty.clone(), config, now);
            allocator.credits = credits.entry(pool.clone()).or_default().clone();
            allocator.refresh(view, moves, now);
            allocator
        })
    }

    /// Returns the allocator of `pool`, active or not.
    pub fn get(&mut self, pool: &Pool) -> Option<&mut Allocator> {
        self.allocators.get_mut(pool)
    }

    /// Returns the credit counts of every pool that this instance has acted on.
    pub(crate) fn credits(&self) -> impl Iterator<Item = (&Pool, &Credits)> {
        self.credits
            .iter()
            .map(|(pool, credits)| (pool, &**credits))
    }

    /// Returns all allocators.
    pub fn iter(&self) -> impl Iterator<Item = &Allocator> {
        self.allocators.values()
    }

    /// Returns all allocators.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Allocator> {
        self.allocators.values_mut()
    }

    /// Removes the allocators that `picks` selects and that were activated on `duty`, held since
    /// `since`, and returns their credits.
    pub fn hand_over<F>(
        &mut self,
        duty: &Duty,
        since: Instant,
        handover: &Handover,
        now: Instant,
        picks: F,
    ) -> Vec<Transfer>
    where
        F: Fn(&Pool) -> bool,
    {
        let picked = self
            .allocators
            .values()
            .filter(|a| a.is_active(duty, since) && picks(&a.name));
        let names: Vec<Pool> = picked.map(|a| a.name.clone()).collect();
        let allocators = names.iter().filter_map(|name| self.allocators.remove(name));
        allocators
            .map(|a| a.hand_over(handover.clone(), now))
            .collect()
    }
}

/// Returns the number of an allocator's first credit.
///
/// Numbers are unique across owners and allocators: a late release that reaches another owner, or a
/// later allocator of the same pool, must end no credit there.
fn first_credit(run_id: u32, opened_count: u64) -> credit::Id {
    let mut hasher = DefaultHasher::new();
    (run_id, opened_count).hash(&mut hasher);
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
        // The service's probe budget is divided among the pools of its data centres.
        config.probes_per_second = service.probes_per_second / centres as f64;
    }
    config
}
