//! Series of costs by size.

use measure::fit::Fit;
use measure::table::Table;

/// A series of costs by size.
pub(crate) struct Series {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Returns a series without points.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            points: Vec::new(),
        }
    }

    /// Adds the cost at a size above zero.
    pub(crate) fn push(&mut self, size: usize, cost: f64) {
        self.points.push((size as f64, cost));
    }

    /// Prints the costs as ratios to the first, the fitted exponent and the slope.
    pub(crate) fn print(&self, size: &str) {
        let first = self.points.first().map_or(1.0, |(_, cost)| *cost);
        let mut table = Table::new(&[size, "cost, in units of the first"]);
        for (size, cost) in &self.points {
            table.push(vec![size.to_string(), format!("{:.2}", cost / first)]);
        }
        let exponent = Fit::exponent(&self.points);
        let line = Fit::line(&self.points);
        let share = line.slope / first;
        println!("### {}\n\n{table}", self.name);
        println!("Exponent {exponent:.2}; on a line, each unit adds {share:.5} of the first.\n");
    }

    /// Prints costs in bytes, and the slope in bytes per unit of size.
    pub(crate) fn print_bytes(&self, size: &str) {
        let mut table = Table::new(&[size, "bytes"]);
        for (size, bytes) in &self.points {
            table.push(vec![size.to_string(), format!("{bytes:.0}")]);
        }
        let line = Fit::line(&self.points);
        println!("### {}\n\n{table}", self.name);
        println!("Line: {:.0} bytes a unit.\n", line.slope);
    }
}
