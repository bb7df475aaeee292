//! Two-by-two contingency tables: calls of both versions, bad or not.

/// Calls of both versions in one period and data centre, bad or not.
///
/// Given the margins, and if an old call and a new call have odds of being bad in the ratio `r`,
/// the number of bad new calls has Fisher's noncentral hypergeometric distribution: R. A. Fisher,
/// "The logic of inductive inference", Journal of the Royal Statistical Society 98 (1935).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The calls of the old version.
    pub old: u64,
    /// The number of these calls that were bad.
    pub old_bad: u64,
    /// The calls of the new version.
    pub new: u64,
    /// The number of these calls that were bad.
    pub new_bad: u64,
}

impl Table {
    /// Returns whether the likelihood of the table depends on the odds ratio.
    pub fn is_informative(&self) -> bool {
        let bad = self.old_bad + self.new_bad;
        self.old > 0 && self.new > 0 && bad > 0 && bad < self.old + self.new
    }

    /// Returns the logarithm of the probability of the table, given its margins, for each odds
    /// ratio in `ratios`.
    pub fn log_likelihoods<const N: usize>(&self, ratios: &[f64; N]) -> [f64; N] {
        let logs = ratios.map(f64::ln);
        let mut sums = [LogSum::default(); N];
        let mut observed = 0.0;
        let bad = self.old_bad + self.new_bad;
        let first = bad.saturating_sub(self.old);
        let last = bad.min(self.new);
        // The weight of `x` at an odds ratio of 1, relative to that of `first`.
        let mut weight = 0.0;
        for x in first..=last {
            if x == self.new_bad {
                observed = weight;
            }
            for (sum, log) in sums.iter_mut().zip(logs) {
                sum.add(weight + x as f64 * log);
            }
            let growth = (self.new - x) as f64 * (bad - x) as f64;
            weight += (growth / ((x + 1) as f64 * (self.old + x + 1 - bad) as f64)).ln();
        }
        let mut result = [0.0; N];
        for (value, (sum, log)) in result.iter_mut().zip(sums.iter().zip(logs)) {
            *value = observed + self.new_bad as f64 * log - sum.value();
        }
        result
    }
}

/// The logarithm of a sum of exponentials, without overflow.
#[derive(Clone, Copy, Debug)]
struct LogSum {
    max: f64,
    /// The sum, divided by the exponential of `max`.
    scaled: f64,
}

impl Default for LogSum {
    fn default() -> Self {
        Self {
            max: f64::NEG_INFINITY,
            scaled: 0.0,
        }
    }
}

impl LogSum {
    /// Adds the exponential of `log`.
    fn add(&mut self, log: f64) {
        if log > self.max {
            self.scaled = self.scaled * (self.max - log).exp() + 1.0;
            self.max = log;
        } else {
            self.scaled += (log - self.max).exp();
        }
    }

    /// Returns the logarithm of the sum.
    fn value(&self) -> f64 {
        self.max + self.scaled.ln()
    }
}
