//! Explores the models within the bounds that the tests use, and prints what was found.

use std::io::{self, Write};

use spec::grant::{Guards, Pool, Scope};

/// The most states of one exploration.
const LIMIT: usize = 1_000_000;

fn main() -> io::Result<()> {
    let mut out = io::stdout();
    for scope in Scope::ALL {
        let pool = Pool {
            scope: Scope::clone(scope),
            guards: Guards::ALL,
        };
        let start = std::time::Instant::now();
        let found = spec::explore(&pool, LIMIT);
        writeln!(out, "{}: {found} ({:?})", scope.name, start.elapsed())?;
    }
    Ok(())
}
