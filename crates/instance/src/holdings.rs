//! The credits held by this instance.

use std::collections::HashMap;

use clock::Instant;
use contract::id;
use parking_lot::Mutex;
use policy::credit;
use wire::holding::{Credit, LiveCredits};
use wire::Pool;

#[derive(Debug)]
struct Holding {
    server: id::Server,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    generation: u64,
    credits: HashMap<Pool, HashMap<credit::Id, Holding>>,
}

/// Marks a credit request, so requests sent before a report can be recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

/// The credits held by this instance, used and unused.
///
/// A new owner requests a report of them. A credit that was in transit at that moment is missing
/// from the report, and is therefore not accepted afterwards.
#[derive(Debug, Default)]
pub struct Holdings {
    state: Mutex<State>,
}

impl Holdings {
    /// Returns the mark for a credit request that is about to be sent.
    pub fn generation(&self) -> Generation {
        Generation(self.state.lock().generation)
    }

    /// Accepts a credit, live until `until`, for a request marked with `generation`. Returns
    /// whether the credit may be used.
    pub fn accept(
        &self,
        generation: Generation,
        pool: &Pool,
        credit: &credit::Credit,
        until: Instant,
    ) -> bool {
        let mut state = self.state.lock();
        if state.generation != generation.0 {
            return false;
        }
        let holding = Holding {
            server: credit.server.clone(),
            until,
        };
        state
            .credits
            .entry(pool.clone())
            .or_default()
            .insert(credit.id, holding);
        true
    }

    /// Removes a credit that is no longer used.
    pub fn release(&self, pool: &Pool, id: credit::Id) {
        if let Some(credits) = self.state.lock().credits.get_mut(pool) {
            credits.remove(&id);
        }
    }

    /// Releases all live credits, and rejects from now on those that are in transit.
    pub fn report(&self, now: Instant) -> Vec<LiveCredits> {
        let mut state = self.state.lock();
        state.generation += 1;
        let held = state.credits.iter().map(|(pool, credits)| LiveCredits {
            pool: pool.clone(),
            credits: live(credits, now),
        });
        held.filter(|held| !held.credits.is_empty()).collect()
    }
}

fn live(credits: &HashMap<credit::Id, Holding>, now: Instant) -> Vec<Credit> {
    let live = credits.iter().filter(|(_, holding)| holding.until > now);
    let credits = live.map(|(id, holding)| Credit {
        id: *id,
        server: holding.server.clone(),
        remaining: holding.until - now,
    });
    credits.collect()
}
