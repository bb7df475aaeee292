//! Time of claims and of the replay of their log.

use std::convert::Infallible;
use std::time::Duration;

use claim::append;
use claim::claimant::Claimant;
use claim::history::History;
use claim::key::Key;
use claim::ledger::Ledger;
use claim::request::{self, Request};
use claim::segment::Segment;
use claim::shard::Shard;
use claim::writer::Writer;
use clock::Instant;
use contract::id;

use crate::fault::Fault;
use crate::series::Series;
use crate::timer;

const RECORDS: [usize; 3] = [1000, 10_000, 100_000];
const RETENTION: Duration = Duration::from_secs(86_400);
const NOW: Instant = Instant::from_millis(1000);

/// The number of claims that are appended together.
const GROUP: usize = 100;

/// The number of claims that are timed in one round.
const TIMED: usize = 1000;

/// A ledger and the segments that it has written.
struct Run {
    ledger: Ledger,
    segments: Vec<Segment>,
    claims: u64,
}

impl Run {
    /// Returns a ledger that has just taken over.
    fn new() -> Self {
        let mut ledger = Ledger::new(Shard(0), RETENTION);
        let owner = id::Instance::from("owner");
        ledger.take_over(&owner, Writer([1; 16]), History::Complete, NOW);
        let mut run = Self {
            ledger,
            segments: Vec::new(),
            claims: 0,
        };
        run.append();
        run
    }

    /// Makes `count` claims, appended in groups.
    fn claim(&mut self, count: usize) {
        for index in 1..=count {
            self.claims += 1;
            let name = format!("booking-{}", self.claims);
            let request = Request {
                key: Key::new(&"book-ledger".into(), &name),
                digest: request::digest("POST", "/visits", name.as_bytes()),
                attempt: Some(1),
                claimant: Claimant {
                    instance: "entry".into(),
                    call: self.claims,
                },
            };
            self.ledger.claim(&request, true, NOW);
            if index % GROUP == 0 || index == count {
                self.append();
            }
        }
    }

    /// Appends the next segment, if there is one, as durable.
    fn append(&mut self) {
        if let Some(segment) = self.ledger.next_segment() {
            let number = segment.number;
            self.segments.push(segment);
            self.ledger.handle_append(number, append::Outcome::Durable);
        }
    }
}

/// Prints the time of a claim, by the number of claims that the ledger holds.
pub(crate) fn claims() {
    let mut series = Series::new("Ledger: one claim, appended in groups of 100, by claims held");
    for records in RECORDS {
        let mut run = Run::new();
        run.claim(records);
        let time = timer::time(TIMED, || {
            run.claim(TIMED);
            Ok::<(), Infallible>(())
        });
        let Ok(time) = time;
        series.push(records, time);
    }
    series.print("claims held");
}

/// Prints the time of a replay, by the number of records.
pub(crate) fn replay() -> Result<(), Fault> {
    let mut series = Series::new("Ledger: replay of a log, by records");
    for records in RECORDS {
        let mut run = Run::new();
        run.claim(records);
        let time = timer::time(1, || {
            let mut ledger = Ledger::new(Shard(0), RETENTION);
            let mut segments = run.segments.iter();
            segments.try_for_each(|segment| ledger.replay(segment))
        });
        series.push(records, time?);
    }
    series.print("records");
    Ok(())
}
