//! Markdown tables.

use std::fmt;

/// A Markdown table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a header and no rows.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, row) in self.rows.iter().enumerate() {
            writeln!(f, "| {} |", row.join(" | "))?;
            if index == 0 {
                writeln!(f, "|{}", "---|".repeat(row.len()))?;
            }
        }
        Ok(())
    }
}
