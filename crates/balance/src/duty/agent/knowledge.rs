//! What an instance knows of reports, whoever sent them.

use std::collections::BTreeMap;

use clock::Instant;

use crate::usage::Report;

/// The number of windows whose counts are remembered. They matter if the store is restored from a copy
/// that is some seconds old.
const MAX_REPORTS: usize = 24;

/// Until when an instance certainly was the only one that fixed reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Exclusive {
    /// The end of its lease.
    pub(super) until: Instant,
    /// The first window that had not been fixed.
    pub(super) fresh_from: u64,
}

/// What an instance knows of reports, whoever sent them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Knowledge {
    /// Reports that were fixed, by window. Their counts are final.
    reports: BTreeMap<u64, Report>,
    /// The last window that is closed.
    pub(super) reported: Option<u64>,
    /// The end of the last time in which this instance was the only holder.
    pub(super) exclusive: Option<Exclusive>,
}

impl Knowledge {
    /// Records a report that was fixed.
    pub(super) fn add(&mut self, report: &Report) {
        let entry = self.reports.entry(report.window);
        entry.or_insert_with(|| report.clone());
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_first();
        }
    }

    /// Records that `window` and all before it are closed.
    pub(super) fn close(&mut self, window: Option<u64>) {
        self.reported = self.reported.max(window);
    }

    /// Returns the fixed report of a window.
    pub(super) fn get(&self, window: u64) -> Option<&Report> {
        self.reports.get(&window)
    }

    /// Returns the first window from `from` on, and before `to`, whose report was fixed.
    pub(super) fn first(&self, from: u64, to: u64) -> Option<u64> {
        let window = self.reports.range(from..).next().map(|(window, _)| *window);
        window.filter(|window| *window < to)
    }
}
