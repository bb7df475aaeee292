//! Names, rosters and times for tests.

use std::time::Duration;

use clock::Instant;
use contract::id;
use membership::epoch::Epoch;
use membership::member::Member;
use membership::roster::Roster;

/// The lease in the tests.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// The margin for clock drift in the tests.
pub(crate) const MARGIN: Duration = Duration::from_millis(300);

/// Returns the name of the instance numbered `index`.
pub(crate) fn name(index: usize) -> id::Instance {
    format!("i{index}").as_str().into()
}

/// Returns the member numbered `index`; there are three data centres.
pub(crate) fn member(index: usize) -> Member {
    let address = ([127, 0, 0, 1], 4000 + index as u16).into();
    let centre = ["east", "north", "west"][index % 3].into();
    Member {
        name: name(index),
        address,
        centre,
    }
}

/// Returns the roster of the first epoch with the members numbered `indices`.
pub(crate) fn roster<I>(indices: I) -> Roster
where
    I: IntoIterator<Item = usize>,
{
    let members = indices.into_iter().map(member).collect();
    Roster {
        epoch: Epoch(1),
        members,
        prior: Vec::new(),
    }
}

/// Returns the instant `millis` after the origin.
pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Defines a test for each named block.
macro_rules! cases {
    ($($name:ident $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

pub(crate) use cases;
