//! Faults of a backend stand-in.

use std::time::Duration;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is executed and answered 500.
    Error,
    /// It is executed, and answered 500 while more than this many requests are at hand.
    ErrorOver(usize),
    /// It is answered 503 without being executed.
    Shed,
    /// It takes this much longer, and keeps its slot.
    Slow(Duration),
    /// It is executed, and answered this much later.
    Delayed(Duration),
    /// Its answer ends before the length that the head states.
    ShortBody,
    /// Its answer has a chunk of a broken size.
    BrokenChunk,
    /// Its answer goes on past the length that the head states.
    LongBody,
    /// Its answer is that to another request.
    Mismatched,
    /// The connection is reset in the midst of its answer.
    Reset,
    /// It is executed and never answered.
    NoResponse,
}

impl Fault {
    /// Returns the fault that the control API calls `name`. `delay` is that of a slow or late answer,
    /// `over` the number of requests that it takes.
    pub fn parse(name: &str, delay: Duration, over: usize) -> Option<Self> {
        match name {
            "error" => Some(Self::Error),
            "error-over" => Some(Self::ErrorOver(over)),
            "slow" => Some(Self::Slow(delay)),
            "shed" => Some(Self::Shed),
            "late" => Some(Self::Delayed(delay)),
            "short-body" => Some(Self::ShortBody),
            "broken-chunk" => Some(Self::BrokenChunk),
            "long-body" => Some(Self::LongBody),
            "crossed" => Some(Self::Mismatched),
            "reset" => Some(Self::Reset),
            "silent" => Some(Self::NoResponse),
            _ => None,
        }
    }
}

/// Which requests a fault befalls.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The prefix of their targets.
    pub path_prefix: String,
    /// Their share, from 0 to 1, spread evenly over the requests in order.
    pub share: f64,
    /// The fault.
    pub fault: Fault,
}

/// The rules in force, with the share of each that is due.
#[derive(Debug, Default)]
pub(super) struct Rules {
    rules: Vec<(Rule, f64)>,
}

impl Rules {
    pub(super) fn new(rules: Vec<Rule>) -> Self {
        let rules = rules.into_iter().map(|rule| (rule, 0.0)).collect();
        Self { rules }
    }

    /// Adds one rule after the others.
    pub(super) fn push(&mut self, rule: Rule) {
        self.rules.push((rule, 0.0));
    }

    /// Returns the fault that befalls a request for `target`.
    pub(super) fn next(&mut self, target: &str) -> Option<Fault> {
        let rules = self.rules.iter_mut();
        let mut matching = rules.filter(|(rule, _)| target.starts_with(&rule.path_prefix));
        matching.find_map(|(rule, due)| {
            *due += rule.share;
            if *due < 1.0 {
                return None;
            }
            *due -= 1.0;
            Some(rule.fault)
        })
    }
}
