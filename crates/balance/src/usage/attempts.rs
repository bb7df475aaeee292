//! The attempts of one request.

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt(u32);

/// The attempts of one request that may have begun, with the windows in which they were sent, in
/// order. The first one is that in whose window the request counts.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    begun: Vec<(Attempt, u64)>,
    next: u32,
}

impl Attempts {
    /// Returns the window in which the request counts, if it does.
    pub fn window(&self) -> Option<u64> {
        self.begun.first().map(|(_, window)| *window)
    }

    /// Adds an attempt that is sent in `window`.
    pub(super) fn add(&mut self, window: u64) -> Attempt {
        let attempt = Attempt(self.next);
        self.next = self.next.wrapping_add(1);
        self.begun.push((attempt, window));
        attempt
    }

    /// Removes an attempt that did not begin.
    pub(super) fn remove(&mut self, attempt: Attempt) {
        self.begun.retain(|(other, _)| *other != attempt);
    }
}
