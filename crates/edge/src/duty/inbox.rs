//! Announcements of the holder that have arrived.

use balance::duty::Notice;
use parking_lot::Mutex;

/// The announcements that are kept. The newest one has all that matters.
const MAX_NOTICES: usize = 16;

/// Announcements of the holder that have arrived and were not handled yet.
#[derive(Debug, Default)]
pub(crate) struct Inbox(Mutex<Vec<Notice>>);

impl Inbox {
    /// Adds an announcement.
    pub(crate) fn push(&self, notice: Notice) {
        let mut notices = self.0.lock();
        if notices.len() >= MAX_NOTICES {
            notices.remove(0);
        }
        notices.push(notice);
    }

    /// Removes and returns all announcements.
    pub(crate) fn take(&self) -> Vec<Notice> {
        std::mem::take(&mut self.0.lock())
    }
}
