//! Two-by-two tables: calls of both versions, bad or not.

/// Calls of both versions in one period and place, bad or not.
///
/// Given the margins, and if an old call and a new call have odds of being bad in the ratio `r`, the
/// number of bad new calls has Fisher's noncentral hypergeometric distribution: R. A. Fisher, "The
/// logic of inductive inference", Journal of the Royal Statistical Society 98 (1935).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The calls of the old version.
    pub old: u64,
    /// The bad ones among them.
    pub old_bad: u64,
    /// The calls of the new version.
    pub new: u64,
    /// The bad ones among them.
    pub new_bad: u64,
}

impl Table {
    /// Returns whether the table can tell odds ratios apart.
    pub fn is_informative(&self) -> bool {
        let bad = self.old_bad + self.new_bad;
        self.old > 0 && self.new > 0 && bad > 0 && bad < self.old + self.new
    }

    /// Returns the logarithms of the probability of the table under each of `ratios`.
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
            let ways = (self.new - x) as f64 * (bad - x) as f64;
            weight += (ways / ((x + 1) as f64 * (self.old + x + 1 - bad) as f64)).ln();
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
    greatest: f64,
    scaled: f64,
}

impl Default for LogSum {
    fn default() -> Self {
        Self {
            greatest: f64::NEG_INFINITY,
            scaled: 0.0,
        }
    }
}

impl LogSum {
    /// Adds the exponential of `log`.
    fn add(&mut self, log: f64) {
        if log > self.greatest {
            self.scaled = self.scaled * (self.greatest - log).exp() + 1.0;
            self.greatest = log;
        } else {
            self.scaled += (log - self.greatest).exp();
        }
    }

    /// Returns the logarithm of the sum.
    fn value(&self) -> f64 {
        self.greatest + self.scaled.ln()
    }
}
