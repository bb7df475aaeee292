//! Formats the report as text tables.

use std::fmt::{Display, Formatter, Result};

use crate::outcome::Outcome;
use crate::report::{Latency, Report, Row, QUANTILES};

/// Width of the name column, in characters.
const NAME_WIDTH: usize = 20;

/// Width of a numeric column, in characters.
const VALUE_WIDTH: usize = 10;

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let (rate, duration, resends) = (self.rate, self.duration, self.resends);
        writeln!(f, "{rate} calls/s for {duration} s, {resends} resends")?;
        writeln!(
            f,
            "\nlatency of complete answers, ms from when they were due"
        )?;
        write_latencies(f, &self.rows, |row| &row.complete)?;
        writeln!(
            f,
            "\nlatency of all calls that were sent, ms from when they were due"
        )?;
        write_latencies(f, &self.rows, |row| &row.all)?;
        writeln!(f, "\ncalls by outcome")?;
        write_outcomes(f, self)?;
        writeln!(f)?;
        write_audit(f, self)
    }
}

fn write_latencies(
    f: &mut Formatter<'_>,
    rows: &[Row],
    latency_of: fn(&Row) -> &Latency,
) -> Result {
    write!(f, "{:NAME_WIDTH$}", "")?;
    for (name, _) in QUANTILES {
        write!(f, "{name:>VALUE_WIDTH$}")?;
    }
    writeln!(f, "{:>VALUE_WIDTH$}", "max")?;
    for row in rows {
        let latency = latency_of(row);
        write!(f, "{:NAME_WIDTH$}", row.name)?;
        for (name, _) in QUANTILES {
            let value = latency.quantiles.get(name).unwrap_or(&0.0);
            write!(f, "{value:>VALUE_WIDTH$.2}")?;
        }
        writeln!(f, "{:>VALUE_WIDTH$.2}", latency.max)?;
    }
    Ok(())
}

fn write_outcomes(f: &mut Formatter<'_>, report: &Report) -> Result {
    let occurs = |outcome: &&Outcome| report.count(**outcome) > 0;
    let occurring: Vec<_> = Outcome::ALL.iter().filter(occurs).collect();
    write!(f, "{:NAME_WIDTH$}", "")?;
    for outcome in &occurring {
        write!(f, "{:>VALUE_WIDTH$}", outcome.as_str())?;
    }
    writeln!(f)?;
    for row in &report.rows {
        write!(f, "{:NAME_WIDTH$}", row.name)?;
        for outcome in &occurring {
            write!(f, "{:>VALUE_WIDTH$}", row.count(**outcome))?;
        }
        writeln!(f)?;
    }
    Ok(())
}

fn write_audit(f: &mut Formatter<'_>, report: &Report) -> Result {
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
