//! A sequential test of an odds ratio that may be looked at after every period.

use serde::{Deserialize, Serialize};

use crate::contingency::Table;

/// The greatest odds ratio of new to old that is still taken for equal.
pub const TOLERATED_ODDS_RATIO: f64 = 1.5;

/// The odds ratios that the test looks for: a slight, a clear and a total fault.
const SOUGHT: [f64; 3] = [4.0, 20.0, 200.0];

/// The number of the new version's calls at which older ones begin to weigh less in the recent
/// rates.
const RECENT_CALLS: f32 = 400.0;

/// Beyond this the evidence is as good as certain; more would overflow.
const CERTAIN: f64 = 1e30;

/// The evidence that bad answers of the new version have higher odds, from some period on.
///
/// It is a mixture of likelihood ratios: over the ratios sought, as in H. Robbins, "Statistical
/// methods related to the law of the iterated logarithm", Annals of Mathematical Statistics 41 (1970),
/// and over the period in which the fault begins. While the odds ratio is at most
/// [`TOLERATED_ODDS_RATIO`] it is a nonnegative supermartingale that begins at 1, so the probability that it
/// ever reaches `c` is at most `1/c` (J. Ville, "Étude critique de la notion de collectif", 1939).
/// R. Johari, P. Koomen, L. Pekelis and D. Walsh, "Always valid inference", Operations Research 70
/// (2022), describe such tests for comparisons that are watched while they run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Test {
    /// The likelihood ratio for each ratio sought, summed over the periods in which a fault may
    /// have begun, each with its weight.
    begun: [f32; SOUGHT.len()],
    /// The number of periods that could tell odds ratios apart.
    periods: u32,
    /// The new version's calls of late.
    calls: f32,
    /// How many more of these calls were bad than if both versions had answered alike, period by
    /// period: the difference in the test of N. Mantel and W. Haenszel, Journal of the National
    /// Cancer Institute 22 (1959).
    excess: f32,
}

impl Test {
    /// Returns a test without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the answers of one period into account.
    pub fn observe(&mut self, table: &Table) {
        self.measure(table);
        if !table.is_informative() {
            return;
        }
        self.periods += 1;
        let periods = f64::from(self.periods);
        // The weights 1/(n(n+1)) add up to 1.
        let weight = 1.0 / (periods * (periods + 1.0));
        let [base, sought @ ..] =
            table.log_likelihoods(&[TOLERATED_ODDS_RATIO, SOUGHT[0], SOUGHT[1], SOUGHT[2]]);
        for (begun, log) in self.begun.iter_mut().zip(sought) {
            let ratio = (log - base).exp();
            *begun = ((f64::from(*begun) + weight) * ratio).min(CERTAIN) as f32;
        }
    }

    /// Takes the answers of one period into the excess.
    fn measure(&mut self, table: &Table) {
        if table.old == 0 {
            return;
        }
        let share = table.new as f64 / (table.old + table.new) as f64;
        let expected = share * (table.old_bad + table.new_bad) as f64;
        self.calls += table.new as f32;
        self.excess += (table.new_bad as f64 - expected) as f32;
        if self.calls > RECENT_CALLS {
            self.calls /= 2.0;
            self.excess /= 2.0;
        }
    }

    /// Returns by how much the new version's rate of bad answers has lately been too high.
    pub fn excess(&self) -> f64 {
        f64::from(self.excess / self.calls.max(1.0))
    }

    /// Returns the evidence against the new version: 1 at first.
    pub fn e_value(&self) -> f64 {
        let begun = self.begun.iter().copied().map(f64::from).sum::<f64>() / SOUGHT.len() as f64;
        let rest = 1.0 / (f64::from(self.periods) + 1.0);
        begun + rest
    }
}
