//! The balancers that are compared.

use crate::balancer::choice::Choice;
use crate::balancer::credit::{Config, Credits, Layout};
use crate::balancer::report::Report;
use crate::balancer::rotation::Rotation;
use crate::call::Call;
use crate::scenario::Scenario;
use crate::tally::Tally;
use crate::world;

/// A balancer under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// Round robin.
    Rotation,
    /// The better of two random choices.
    Choice,
    /// Least load according to a stale report.
    Report,
    /// A credit requested for each call, one owner in each data centre.
    PerCall,
    /// A credit requested ahead of the next call while there is spare capacity, one owner in each
    /// data centre.
    Ahead,
    /// A credit requested for each call, and passed on to the next call if it arrives too late.
    PassedOn,
    /// A credit requested for each call, one owner for the service.
    Whole,
}

impl Contender {
    /// All contenders.
    pub const ALL: [Self; 7] = [
        Self::Rotation,
        Self::Choice,
        Self::Report,
        Self::PerCall,
        Self::Ahead,
        Self::PassedOn,
        Self::Whole,
    ];

    /// The contenders that use credits.
    pub const CREDITS: [Self; 4] = [Self::PerCall, Self::Ahead, Self::PassedOn, Self::Whole];

    /// Returns the name printed in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rotation => "round robin",
            Self::Choice => "two choices",
            Self::Report => "stale report",
            Self::PerCall => "credit per call",
            Self::Ahead => "credit ahead",
            Self::PassedOn => "passed on",
            Self::Whole => "one owner",
        }
    }

    /// Runs `scenario` and returns its counters.
    pub fn run(self, scenario: &Scenario, calls: &[Call], seed: u64) -> Tally {
        let site = &scenario.site;
        match self {
            Self::Rotation => world::run(scenario, calls, Rotation::new(site), seed),
            Self::Choice => world::run(scenario, calls, Choice::new(site), seed),
            Self::Report => world::run(scenario, calls, Report::new(site), seed),
            _ => {
                let credits = Credits::new(site, self.config(), scenario.cold);
                world::run(scenario, calls, credits, seed)
            }
        }
    }

    /// Returns the credit configuration of the contender.
    fn config(self) -> Config {
        let layout = match self {
            Self::Whole => Layout::Whole,
            _ => Layout::PerCentre,
        };
        Config {
            ahead: self == Self::Ahead,
            passes_on: self == Self::PassedOn,
            ..Config::per_call(layout)
        }
    }
}
