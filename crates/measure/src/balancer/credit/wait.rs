//! A call that needs a credit.

use policy::ticket;

/// A call that needs a credit.
#[derive(Clone, Debug, Default)]
pub(super) struct Wait {
    /// Whether it has got one, or was refused.
    pub(super) over: bool,
    /// Whether it has asked all data centres.
    pub(super) spilled: bool,
    /// Its open demands, with their owners.
    pub(super) open: Vec<(usize, ticket::Id)>,
}

impl Wait {
    /// Returns whether it waits for an answer of `owner`.
    pub(super) fn asks(&self, owner: usize) -> bool {
        self.open.iter().any(|(asked, _)| *asked == owner)
    }

    /// Forgets a demand.
    pub(super) fn close(&mut self, ticket: ticket::Id) {
        self.open.retain(|(_, open)| *open != ticket);
    }
}
