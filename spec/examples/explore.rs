//! Explores the models with all guards enabled and prints the results.
//!
//! Without an argument, the bounds are those of the tests. The argument is the number of ticks
//! added to the lease in the model of grants, and the number of outages added to the model of
//! claims.

use std::fmt::Debug;
use std::io::{self, Write};
use std::time::Instant;

use spec::grant::{Pool, Scope};
use spec::{bundle, claim, grant, Model};

/// The maximum number of states in one exploration.
const MAX_STATES: usize = 5_000_000;

fn main() -> io::Result<()> {
    let extra = std::env::args()
        .nth(1)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    for scope in Scope::ALL {
        let scope = Scope {
            lease: scope.lease + extra,
            ..Scope::clone(scope)
        };
        show(
            scope.name,
            &Pool {
                scope: scope.clone(),
                guards: grant::Guards::ALL,
            },
        )?;
    }
    show(
        "claim",
        &claim::Shard {
            guards: claim::Guards::ALL,
            outages: 1 + extra,
        },
    )?;
    show(
        "bundle",
        &bundle::Distribution {
            guards: bundle::Guards::ALL,
        },
    )
}

/// Explores `model` and prints the result.
fn show<M>(name: &str, model: &M) -> io::Result<()>
where
    M: Model + Debug,
{
    let start = Instant::now();
    let found = spec::explore(model, MAX_STATES);
    writeln!(io::stdout(), "{name}: {found} ({:.1?})", start.elapsed())
}
