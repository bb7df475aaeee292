//! The evidence of a fault, on one route or on all.

use crate::counts::Counts;
use crate::jury::Jury;
use crate::pair::Pair;
use crate::stratum::Stratum;

/// The number of tests in a verdict.
pub(crate) const TESTS: usize = 2;

/// The number of the new version's calls at which older ones begin to weigh less in the recent
/// rates.
const RECENT_CALLS: u64 = 400;

/// The excess of the new version's failure rate below which it is not taken back.
const LEAST_FAILURES: f64 = 0.005;

/// The excess of the new version's rate of slow answers below which it is not taken back.
const LEAST_SLOW: f64 = 0.05;

/// The excess of the new version's failure rate from which the share waits for more answers.
const NOTABLE_FAILURES: f64 = 0.02;

/// The excess of the new version's rate of slow answers from which the share waits for more answers.
const NOTABLE_SLOW: f64 = 0.1;

/// The number of bad answers below which the share waits for none.
const NOTABLE_COUNT: u64 = 3;

/// A way in which the new version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It fails more often.
    Failing,
    /// It is slower.
    Slow,
}

/// The evidence that the new version is worse than the old one.
#[derive(Clone, Debug)]
pub(crate) struct Verdict {
    failing: Jury,
    slow: Jury,
    recent: Pair,
}

impl Verdict {
    /// Returns a verdict without evidence.
    pub(crate) fn new() -> Self {
        Self {
            failing: Jury::new(),
            slow: Jury::new(),
            recent: Pair::default(),
        }
    }

    /// Takes the answers of one period into account.
    pub(crate) fn observe(&mut self, stratum: &Stratum) {
        let old = stratum.old;
        let calls = |counts: &Counts| (counts.calls, counts.failed);
        let timed = |counts: &Counts| (counts.timed, counts.slow);
        let new = |part: fn(&Counts) -> (u64, u64)| {
            let servers = stratum.new.iter();
            servers
                .map(|(server, counts)| (server.clone(), part(counts)))
                .collect()
        };
        self.failing.observe(calls(&old), &new(calls));
        self.slow.observe(timed(&old), &new(timed));
        self.recent.add(old, stratum.new_total());
        if self.recent.new.calls > RECENT_CALLS {
            self.recent.halve();
        }
    }

    /// Returns the fault for which there is evidence of at least `threshold`, if it is great enough
    /// to matter.
    pub(crate) fn fault(&self, threshold: f64) -> Option<Fault> {
        let Pair { old, new } = self.recent;
        let failing = new.failure_rate() - old.failure_rate() >= LEAST_FAILURES;
        let slow = new.slow_rate() - old.slow_rate() >= LEAST_SLOW;
        if failing && self.failing.evidence() >= threshold {
            Some(Fault::Failing)
        } else if slow && self.slow.evidence() >= threshold {
            Some(Fault::Slow)
        } else {
            None
        }
    }

    /// Returns whether the new version has lately looked worse, be it by chance.
    pub(crate) fn is_notable(&self) -> bool {
        let Pair { old, new } = self.recent;
        let failing = new.failure_rate() - old.failure_rate() >= NOTABLE_FAILURES;
        let slow = new.slow_rate() - old.slow_rate() >= NOTABLE_SLOW;
        (failing && new.failed >= NOTABLE_COUNT) || (slow && new.slow >= NOTABLE_COUNT)
    }

    /// Returns the evidence that the new version fails more often: 1 for none.
    pub(crate) fn failing(&self) -> f64 {
        self.failing.evidence()
    }

    /// Returns the evidence that the new version is slower: 1 for none.
    pub(crate) fn slow(&self) -> f64 {
        self.slow.evidence()
    }

    /// Returns the evidence of a fault, of whatever kind, that one server alone may make up.
    pub(crate) fn suspicion(&self) -> f64 {
        self.failing.suspicion().max(self.slow.suspicion())
    }
}
