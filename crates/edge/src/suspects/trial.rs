//! A copy of a suspected request that is tried after a probation.

use clock::Instant;
use parking_lot::Mutex;
use policy::quarantine::Fingerprint;

use super::Suspects;

/// A copy of a suspected request that is tried after a probation, until dropped.
pub(crate) struct Trial<'a> {
    suspects: &'a Mutex<Suspects>,
    request: Fingerprint,
}

impl<'a> Trial<'a> {
    /// Begins a trial of the request if it needs one.
    pub(crate) fn begin(
        suspects: &'a Mutex<Suspects>,
        request: Fingerprint,
        now: Instant,
    ) -> Option<Self> {
        let is_needed = suspects.lock().begin_trial(request, now);
        is_needed.then_some(Self { suspects, request })
    }
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.suspects.lock().trials.remove(&self.request);
    }
}
