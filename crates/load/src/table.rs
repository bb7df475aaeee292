//! The report as a table.

use std::fmt::{Display, Formatter, Result};

use crate::outcome::Outcome;
use crate::report::{Latency, Report, Row, QUANTILES};

/// The width of the column of names, in characters.
const NAME_WIDTH: usize = 20;

/// The width of a column of figures, in characters.
const WIDTH: usize = 10;

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let (rate, duration, resends) = (self.rate, self.duration, self.resends);
        writeln!(f, "{rate} calls/s for {duration} s, {resends} resends")?;
        writeln!(
            f,
            "\nlatency of complete answers, ms from when they were due"
        )?;
        latencies(f, &self.rows, |row| &row.complete)?;
        writeln!(
            f,
            "\nlatency of all calls that were sent, ms from when they were due"
        )?;
        latencies(f, &self.rows, |row| &row.all)?;
        writeln!(f, "\ncalls by outcome")?;
        outcomes(f, self)?;
        writeln!(f)?;
        audit(f, self)
    }
}

fn latencies(f: &mut Formatter<'_>, rows: &[Row], of: fn(&Row) -> &Latency) -> Result {
    write!(f, "{:NAME_WIDTH$}", "")?;
    for (name, _) in QUANTILES {
        write!(f, "{name:>WIDTH$}")?;
    }
    writeln!(f, "{:>WIDTH$}", "max")?;
    for row in rows {
        let latency = of(row);
        write!(f, "{:NAME_WIDTH$}", row.name)?;
        for (name, _) in QUANTILES {
            let value = latency.quantiles.get(name).unwrap_or(&0.0);
            write!(f, "{value:>WIDTH$.2}")?;
        }
        writeln!(f, "{:>WIDTH$.2}", latency.max)?;
    }
    Ok(())
}

fn outcomes(f: &mut Formatter<'_>, report: &Report) -> Result {
    let seen = |outcome: &&Outcome| report.count(**outcome) > 0;
    let seen: Vec<_> = Outcome::ALL.iter().filter(seen).collect();
    write!(f, "{:NAME_WIDTH$}", "")?;
    for outcome in &seen {
        write!(f, "{:>WIDTH$}", outcome.as_str())?;
    }
    writeln!(f)?;
    for row in &report.rows {
        write!(f, "{:NAME_WIDTH$}", row.name)?;
        for outcome in &seen {
            write!(f, "{:>WIDTH$}", row.count(**outcome))?;
        }
        writeln!(f)?;
    }
    Ok(())
}

fn audit(f: &mut Formatter<'_>, report: &Report) -> Result {
    let audit = &report.audit;
    writeln!(f, "keys {}, executions {}", audit.keys, audit.executions)?;
    let lists = [
        ("executed more than once", &audit.repeated),
        ("executed, although not-run", &audit.run_despite_not_run),
        (
            "not executed, although complete",
            &audit.complete_but_not_run,
        ),
    ];
    for (name, keys) in lists {
        writeln!(f, "{name}: {}", keys.len())?;
    }
    for stand_in in &audit.unreachable {
        writeln!(f, "not asked for executions: {stand_in}")?;
    }
    writeln!(f, "violations: {}", report.violations())
}
