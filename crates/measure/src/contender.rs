//! The balancers that are compared.

use crate::balancer::choice::Choice;
use crate::balancer::credit::{Config, Credits, Layout};
use crate::balancer::report::Report;
use crate::balancer::rotation::Rotation;
use crate::call::Call;
use crate::scenario::Scenario;
use crate::tally::Tally;
use crate::world;

/// A balancer that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// Round robin.
    Rotation,
    /// Two random choices.
    Choice,
    /// Least load by a stale report.
    Report,
    /// A credit asked for per call, one owner a data centre.
    PerCall,
    /// A credit asked for ahead while there is room, one owner a data centre.
    Ahead,
    /// A credit asked for per call, and passed on to the next call if it comes too late.
    PassedOn,
    /// A credit asked for per call, one owner for the service.
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

    /// The contenders that grant credits.
    pub const CREDITS: [Self; 4] = [Self::PerCall, Self::Ahead, Self::PassedOn, Self::Whole];

    /// Returns the name.
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

    /// Runs `scenario` and returns what was counted.
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

    /// Returns how the contender asks for credits.
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
