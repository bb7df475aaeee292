//! Suspicion of a version that carries all traffic, where nothing can be compared.

/// The ratio of the odds of a bad answer that the suspicion looks for.
const SOUGHT: f64 = 4.0;

/// How many times the reference rate is still taken for equal.
const TOLERATED_RATE_RATIO: f64 = 2.0;

/// The logarithm of the likelihood ratio from which on there is suspicion.
const THRESHOLD: f64 = 7.0;

/// The cumulative sum test of E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954).
///
/// It raises a suspicion only. The old version may have got as bad by now, so a comparison decides.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum(f64);

impl Cusum {
    /// Takes `bad` of `calls` into account, against a `reference` rate of bad answers that is taken
    /// for at least `least`.
    pub(crate) fn observe(&mut self, calls: u64, bad: u64, reference: f64, least: f64) {
        let base = (reference * TOLERATED_RATE_RATIO).clamp(least, 0.5);
        let odds = base / (1.0 - base) * SOUGHT;
        let sought = odds / (1.0 + odds);
        let good = (calls - bad) as f64;
        let gain = bad as f64 * (sought / base).ln() + good * ((1.0 - sought) / (1.0 - base)).ln();
        self.0 = (self.0 + gain).clamp(0.0, 2.0 * THRESHOLD);
    }

    /// Returns whether there is suspicion.
    pub(crate) fn is_raised(&self) -> bool {
        self.0 >= THRESHOLD
    }
}
