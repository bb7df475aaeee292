//! A sequential test of an odds ratio, valid when evaluated after every period.

use serde::{Deserialize, Serialize};

use crate::contingency::Table;

/// The greatest odds ratio of new to old that counts as no difference.
pub const TOLERATED_ODDS_RATIO: f64 = 1.5;

/// The odds ratios that the test detects: a slight, a clear and a total fault.
const DETECTED_ODDS_RATIOS: [f64; 3] = [4.0, 20.0, 200.0];

/// The number of the new version's calls above which the recent counts are halved, so that older
/// calls weigh less.
const MAX_RECENT_CALLS: f32 = 400.0;

/// The upper limit of the likelihood ratio, at which a fault is certain. Greater values could
/// overflow.
const MAX_RATIO: f64 = 1e30;

/// A sequential test of whether the odds of a bad response are higher for the new version, from
/// some period on.
///
/// The e-value is a mixture of likelihood ratios: over the odds ratios to detect, as in H. Robbins,
/// "Statistical methods related to the law of the iterated logarithm", Annals of Mathematical
/// Statistics 41 (1970), and over the period in which the fault begins. While the odds ratio is at
/// most [`TOLERATED_ODDS_RATIO`] it is a nonnegative supermartingale that begins at 1, so the
/// probability that it ever reaches `c` is at most `1/c` (J. Ville, "Étude critique de la notion de
/// collectif", 1939). R. Johari, P. Koomen, L. Pekelis and D. Walsh, "Always valid inference",
/// Operations Research 70 (2022), describe such tests for comparisons that are monitored while they
/// run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Test {
    /// The likelihood ratio for each odds ratio to detect: the weighted sum over the periods in
    /// which a fault may have begun.
    #[serde(rename = "begun")]
    ratios: [f32; DETECTED_ODDS_RATIOS.len()],
    /// The number of informative periods.
    periods: u32,
    /// The recent calls of the new version.
    calls: f32,
    /// The number of bad calls among these beyond the number expected, period by period, if both
    /// versions behaved alike: the difference in the test of N. Mantel and W. Haenszel, Journal of
    /// the National Cancer Institute 22 (1959).
    excess: f32,
}

impl Test {
    /// Returns a test without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the calls of one period.
    pub fn observe(&mut self, table: &Table) {
        self.update_excess(table);
        if !table.is_informative() {
            return;
        }
        self.periods += 1;
        let periods = f64::from(self.periods);
        // The weights 1/(n(n+1)) add up to 1.
        let weight = 1.0 / (periods * (periods + 1.0));
        let [base, detected @ ..] = table.log_likelihoods(&[
            TOLERATED_ODDS_RATIO,
            DETECTED_ODDS_RATIOS[0],
            DETECTED_ODDS_RATIOS[1],
            DETECTED_ODDS_RATIOS[2],
        ]);
        for (sum, log) in self.ratios.iter_mut().zip(detected) {
            let ratio = (log - base).exp();
            *sum = ((f64::from(*sum) + weight) * ratio).min(MAX_RATIO) as f32;
        }
    }

    /// Adds the calls of one period to the excess.
    fn update_excess(&mut self, table: &Table) {
        if table.old == 0 {
            return;
        }
        let share = table.new as f64 / (table.old + table.new) as f64;
        let expected = share * (table.old_bad + table.new_bad) as f64;
        self.calls += table.new as f32;
        self.excess += (table.new_bad as f64 - expected) as f32;
        if self.calls > MAX_RECENT_CALLS {
            self.calls /= 2.0;
            self.excess /= 2.0;
        }
    }

    /// Returns the recent excess of the new version's rate of bad calls, from -1 to 1.
    pub fn excess(&self) -> f64 {
        f64::from(self.excess / self.calls.max(1.0))
    }

    /// Returns the e-value against the new version, which is 1 at first.
    pub fn e_value(&self) -> f64 {
        let begun = self.ratios.iter().copied().map(f64::from).sum::<f64>()
            / DETECTED_ODDS_RATIOS.len() as f64;
        // The weight of faults that begin in later periods, whose likelihood ratio is still 1.
        let not_begun = 1.0 / (f64::from(self.periods) + 1.0);
        begun + not_begun
    }
}
