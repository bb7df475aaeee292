//! Detects a rise in the rate of bad responses while the new version carries all traffic, when the
//! old version has no responses to compare with.

/// The odds ratio of a bad response that the test detects.
const DETECTED_ODDS_RATIO: f64 = 4.0;

/// The ratio to the reference rate up to which a rate counts as unchanged.
const TOLERATED_RATE_RATIO: f64 = 2.0;

/// The logarithm of the likelihood ratio at which the alarm is raised.
const THRESHOLD: f64 = 7.0;

/// The cumulative sum test of E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954).
///
/// It raises an alarm only. The old version might be as bad by now, so a comparison with it
/// decides.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum(f64);

impl Cusum {
    /// Adds `calls` calls, `bad` of them bad. `reference` is the expected rate of bad calls, raised
    /// to `min_reference` if lower.
    pub(crate) fn observe(&mut self, calls: u64, bad: u64, reference: f64, min_reference: f64) {
        let base = (reference * TOLERATED_RATE_RATIO).clamp(min_reference, 0.5);
        let odds = base / (1.0 - base) * DETECTED_ODDS_RATIO;
        let detected = odds / (1.0 + odds);
        let good = (calls - bad) as f64;
        let gain =
            bad as f64 * (detected / base).ln() + good * ((1.0 - detected) / (1.0 - base)).ln();
        self.0 = (self.0 + gain).clamp(0.0, 2.0 * THRESHOLD);
    }

    /// Returns whether the alarm is raised.
    pub(crate) fn is_raised(&self) -> bool {
        self.0 >= THRESHOLD
    }
}
