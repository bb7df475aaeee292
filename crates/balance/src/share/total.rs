//! Requests asked for and refused.

use std::iter::Sum;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Refusals below this count are taken as none.
const SIGNIFICANT: f64 = 0.5;

/// The weight of the assumption that all requests are served, in requests.
const PRIOR: f64 = 1.0;

/// A count of requests and of those among them that were refused because capacity ran out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// All requests.
    pub asked: f32,
    /// Those that were refused.
    pub refused: f32,
}

impl Total {
    /// Returns the part of the requests that was passed on to servers.
    pub fn served_share(self) -> f64 {
        1.0 - f64::from(self.refused) / (f64::from(self.asked) + PRIOR)
    }

    /// Returns whether requests were refused recently.
    pub fn is_contended(self) -> bool {
        f64::from(self.refused) >= SIGNIFICANT
    }

    /// Returns the counts times `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        let scale = |count: f32| (f64::from(count) * factor) as f32;
        Self {
            asked: scale(self.asked),
            refused: scale(self.refused),
        }
    }

    /// Returns the counts, without those that another instance cannot mean.
    pub(super) fn sanitized(self) -> Self {
        let asked = super::report::sanitized(self.asked);
        Self {
            asked,
            refused: super::report::sanitized(self.refused).min(asked),
        }
    }
}

impl Add for Total {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            refused: self.refused + other.refused,
        }
    }
}

impl Sum for Total {
    fn sum<I>(totals: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        totals.fold(Self::default(), Add::add)
    }
}
