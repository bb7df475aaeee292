//! The sequential test beside naive ones.

use rollout::contingency::Table;
use rollout::jackknife::ALPHA;
use rollout::sequential::{Test, TOLERATED_ODDS_RATIO};

use crate::stream::Random;

const RUNS: u64 = 500;
const PERIODS: u64 = 200;
/// The calls of each version in a period.
const OLD: u64 = 19;
const NEW: u64 = 1;

/// Returns the probability of `table` given its margins, by going through all ways in which its bad
/// calls can fall on its calls.
fn enumerate(table: &Table, ratio: f64) -> f64 {
    let calls = table.old + table.new;
    let new = (1u32 << table.new) - 1;
    let weight = |ways: u32| ratio.powi((ways & new).count_ones() as i32);
    let bad = u32::try_from(table.old_bad + table.new_bad).expect("few calls");
    let all = (0..1u32 << calls).filter(|ways| ways.count_ones() == bad);
    let like = |ways: &u32| u64::from((ways & new).count_ones()) == table.new_bad;
    all.clone().filter(like).map(weight).sum::<f64>() / all.map(weight).sum::<f64>()
}

#[test]
fn a_likelihood_is_that_of_an_enumeration() {
    arbtest::arbtest(|u| {
        let (old, new) = (u.int_in_range(1..=6)?, u.int_in_range(1..=6)?);
        let table = Table {
            old,
            old_bad: u.int_in_range(0..=old)?,
            new,
            new_bad: u.int_in_range(0..=new)?,
        };
        let ratios = [0.5, 1.0, 7.0];
        let logs = table.log_likelihoods(&ratios);
        for (log, ratio) in logs.into_iter().zip(ratios) {
            let naive = enumerate(&table, ratio);
            assert!(
                (log.exp() - naive).abs() < 1e-9,
                "{table:?}: {log} and {naive}"
            );
        }
        Ok(())
    });
}

#[test]
fn odds_about_twice_as_high_are_no_fault() {
    let mut process = Test::new();
    // The odds are 2.2 times as high: 1000 to 9000 beside 1964 to 8036.
    process.observe(&Table {
        old: 10_000,
        old_bad: 1000,
        new: 10_000,
        new_bad: 1964,
    });
    assert!(process.e_value() <= 1.0, "{}", process.e_value());
}

/// A test that is looked at after each period.
trait Method {
    fn observe(&mut self, table: &Table) -> bool;
}

/// Fisher's exact test of all calls so far, at the level [`ALPHA`] at each look.
#[derive(Default)]
struct Fixed(Table);

impl Method for Fixed {
    fn observe(&mut self, table: &Table) -> bool {
        self.0.old += table.old;
        self.0.old_bad += table.old_bad;
        self.0.new += table.new;
        self.0.new_bad += table.new_bad;
        if table.new_bad == 0 {
            // The probability of the tail has grown, if anything.
            return false;
        }
        let bad = self.0.old_bad + self.0.new_bad;
        let probability = |new_bad| {
            let old_bad = bad - new_bad;
            let table = Table {
                old_bad,
                new_bad,
                ..self.0
            };
            table.log_likelihoods(&[TOLERATED_ODDS_RATIO])[0].exp()
        };
        (self.0.new_bad..=bad.min(self.0.new))
            .map(probability)
            .sum::<f64>()
            <= ALPHA
    }
}

/// Wald's sequential probability ratio test for one odds ratio.
struct Ratio {
    sought: f64,
    log: f64,
}

impl Method for Ratio {
    fn observe(&mut self, table: &Table) -> bool {
        let [base, sought] = table.log_likelihoods(&[TOLERATED_ODDS_RATIO, self.sought]);
        self.log += sought - base;
        self.log >= (1.0 / ALPHA).ln()
    }
}

impl Method for Test {
    fn observe(&mut self, table: &Table) -> bool {
        Test::observe(self, table);
        self.e_value() >= 1.0 / ALPHA
    }
}

/// Returns after how many periods `method` gives an alarm, if old calls are bad with probability
/// `old` and new ones with `new` from period `start` on, and with `old` before.
fn alarm<M>(mut method: M, old: f64, new: f64, start: u64, random: &mut Random) -> Option<u64>
where
    M: Method,
{
    (1..=start + PERIODS).find(|period| {
        let new = if *period > start { new } else { old };
        let mut count = |calls, bad| (0..calls).filter(|_| random.below(bad)).count() as u64;
        let (old_bad, new_bad) = (count(OLD, old), count(NEW, new));
        method.observe(&Table {
            old: OLD,
            old_bad,
            new: NEW,
            new_bad,
        })
    })
}

/// Returns the number of alarms in [`RUNS`] runs, and the mean delay of those that came in time.
fn alarms<M, F>(name: &str, make: F, old: f64, new: f64, start: u64) -> u64
where
    M: Method,
    F: Fn() -> M,
{
    let run = |seed| alarm(make(), old, new, start, &mut Random(seed));
    let all: Vec<u64> = (0..RUNS).filter_map(run).collect();
    let delays: Vec<u64> = all
        .iter()
        .filter(|&&p| p > start)
        .map(|p| p - start)
        .collect();
    let mean = delays.iter().sum::<u64>() as f64 / delays.len().max(1) as f64;
    println!(
        "{name} {old} {new} from {start}: alarms {}, in time {}, delay {mean:.0}",
        all.len(),
        delays.len()
    );
    all.len() as u64
}

/// The odds ratio at the edge of what is tolerated, as a probability beside 0.1.
fn edge() -> f64 {
    let odds = 0.1 / 0.9 * TOLERATED_ODDS_RATIO;
    odds / (1.0 + odds)
}

#[test]
fn false_alarms_keep_their_rate_at_every_look() {
    let expected = RUNS as f64 * ALPHA;
    let bound = (expected + 4.0 * expected.sqrt()) as u64;
    assert!(alarms("mixture", Test::new, 0.1, edge(), 0) <= bound);
    // The naive test does not keep it, which shows that this stream can tell.
    assert!(alarms("fixed", Fixed::default, 0.1, edge(), 0) > bound);
}

#[test]
fn faults_are_found_when_they_begin_late_too() {
    for (old, new, start) in [
        (0.002, 0.05, 0),
        (0.002, 0.5, 0),
        (0.02, 0.3, 0),
        (0.02, 0.3, 200),
    ] {
        let found = alarms("mixture", Test::new, old, new, start);
        alarms("fixed", Fixed::default, old, new, start);
        for sought in [4.0, 20.0] {
            let ratio = || Ratio { sought, log: 0.0 };
            alarms(&format!("ratio {sought}"), ratio, old, new, start);
        }
        if new >= 0.3 {
            assert_eq!(found, RUNS, "{new} from {start}");
        }
    }
}
