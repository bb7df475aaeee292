//! Faults that a backend stand-in injects, and the rules that select requests for them.

use std::time::Duration;

/// A fault injected into a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is executed and gets a 500.
    Error,
    /// The request is executed. It gets a 500 if more than this many requests, including
    /// itself, were in flight when it arrived.
    ErrorOver(usize),
    /// The request gets a 503 and is not executed.
    Shed,
    /// The request takes this much longer and occupies its slot for that time.
    Slow(Duration),
    /// The request is executed and its slot freed; the response is sent this much later.
    Delayed(Duration),
    /// The response body is shorter than its `Content-Length`.
    ShortBody,
    /// The response body has a chunk with an invalid size.
    BrokenChunk,
    /// The response body is followed by bytes past its `Content-Length`.
    LongBody,
    /// The response belongs to another request.
    Mismatched,
    /// The connection is reset in the middle of the response.
    Reset,
    /// The request is executed and gets no response.
    NoResponse,
}

impl Fault {
    /// Returns the fault called `name` in the control API. `delay` applies to [`Fault::Slow`] and
    /// [`Fault::Delayed`], and `over` is the limit of [`Fault::ErrorOver`].
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

/// Selects the requests that a fault is injected into.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Prefix of the targets of matching requests.
    pub path_prefix: String,
    /// Share of the matching requests, from 0 to 1, spread evenly over them in order of arrival.
    pub share: f64,
    /// The fault to inject.
    pub fault: Fault,
}

/// The active rules, each with its accumulated share.
#[derive(Debug, Default)]
pub(super) struct Rules {
    rules: Vec<(Rule, f64)>,
}

impl Rules {
    pub(super) fn new(rules: Vec<Rule>) -> Self {
        let rules = rules.into_iter().map(|rule| (rule, 0.0)).collect();
        Self { rules }
    }

    /// Appends `rule`.
    pub(super) fn push(&mut self, rule: Rule) {
        self.rules.push((rule, 0.0));
    }

    /// Returns the fault to inject into a request for `target`. A rule applies whenever its
    /// accumulated share reaches 1.
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
