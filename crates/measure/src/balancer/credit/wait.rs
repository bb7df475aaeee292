//! State of a call that needs a credit.

use policy::ticket;

/// The state of a call that needs a credit.
#[derive(Clone, Debug, Default)]
pub(super) struct Wait {
    /// Whether the call has a credit or was refused.
    pub(super) finished: bool,
    /// Whether it has sent requests to all data centres.
    pub(super) spilled: bool,
    /// Its pending credit requests, with their owners.
    pub(super) requests: Vec<(usize, ticket::Id)>,
}

impl Wait {
    /// Returns whether a request to `owner` is pending.
    pub(super) fn has_request_to(&self, owner: usize) -> bool {
        self.requests.iter().any(|(to, _)| *to == owner)
    }

    /// Removes a request that has been answered.
    pub(super) fn remove_request(&mut self, ticket: ticket::Id) {
        self.requests.retain(|(_, pending)| *pending != ticket);
    }
}
