//! Compares the sequential test with naive ones.

use rollout::contingency::Table;
use rollout::jackknife::ALPHA;
use rollout::sequential::{Test, TOLERATED_ODDS_RATIO};

use crate::stream::Random;

const RUNS: u64 = 500;
const PERIODS: u64 = 200;
/// The calls of each version in a period.
const OLD_CALLS: u64 = 19;
const NEW_CALLS: u64 = 1;

/// Returns the probability of `table` given its margins, by enumerating all assignments of its bad
/// calls to its calls.
fn enumerate(table: &Table, ratio: f64) -> f64 {
    let calls = table.old + table.new;
    let new = (1u32 << table.new) - 1;
    let weight = |bad_calls: u32| ratio.powi((bad_calls & new).count_ones() as i32);
    let bad = u32::try_from(table.old_bad + table.new_bad).expect("few calls");
    let all = (0..1u32 << calls).filter(|bad_calls| bad_calls.count_ones() == bad);
    let matches = |bad_calls: &u32| u64::from((bad_calls & new).count_ones()) == table.new_bad;
    all.clone().filter(matches).map(weight).sum::<f64>() / all.map(weight).sum::<f64>()
}

#[test]
fn likelihood_matches_enumeration() {
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
fn twice_the_odds_is_no_fault() {
    let mut test = Test::new();
    // The odds are 2.2 times as high: 1964 to 8036, compared with 1000 to 9000.
    test.observe(&Table {
        old: 10_000,
        old_bad: 1000,
        new: 10_000,
        new_bad: 1964,
    });
    assert!(test.e_value() <= 1.0, "{}", test.e_value());
}

/// A test that is evaluated after each period.
trait Method {
    /// Adds the calls of one period and returns whether the test raises an alarm.
    fn observe(&mut self, table: &Table) -> bool;
}

/// Fisher's exact test of all calls so far, at the significance level [`ALPHA`] in each evaluation.
#[derive(Default)]
struct Fisher(Table);

impl Method for Fisher {
    fn observe(&mut self, table: &Table) -> bool {
        self.0.old += table.old;
        self.0.old_bad += table.old_bad;
        self.0.new += table.new;
        self.0.new_bad += table.new_bad;
        if table.new_bad == 0 {
            // Without new bad calls, the probability of the tail cannot fall.
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
struct Wald {
    odds_ratio: f64,
    log: f64,
}

impl Method for Wald {
    fn observe(&mut self, table: &Table) -> bool {
        let [base, fault] = table.log_likelihoods(&[TOLERATED_ODDS_RATIO, self.odds_ratio]);
        self.log += fault - base;
        self.log >= (1.0 / ALPHA).ln()
    }
}

impl Method for Test {
    fn observe(&mut self, table: &Table) -> bool {
        Test::observe(self, table);
        self.e_value() >= 1.0 / ALPHA
    }
}

/// Returns the period in which `method` raises an alarm. Old calls are bad with probability `old`,
/// new ones with probability `old` up to period `start` and `new` after it.
fn alarm<M>(mut method: M, old: f64, new: f64, start: u64, random: &mut Random) -> Option<u64>
where
    M: Method,
{
    (1..=start + PERIODS).find(|period| {
        let new = if *period > start { new } else { old };
        let mut count = |calls, bad| (0..calls).filter(|_| random.below(bad)).count() as u64;
        let (old_bad, new_bad) = (count(OLD_CALLS, old), count(NEW_CALLS, new));
        method.observe(&Table {
            old: OLD_CALLS,
            old_bad,
            new: NEW_CALLS,
            new_bad,
        })
    })
}

/// Returns the number of alarms in [`RUNS`] runs. Prints it with the mean delay of the alarms that
/// came after the fault began.
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

/// Returns the probability whose odds are [`TOLERATED_ODDS_RATIO`] times those of 0.1.
fn tolerated_probability() -> f64 {
    let odds = 0.1 / 0.9 * TOLERATED_ODDS_RATIO;
    odds / (1.0 + odds)
}

#[test]
fn false_alarm_rate_is_bounded_under_repeated_evaluation() {
    let expected = RUNS as f64 * ALPHA;
    let bound = (expected + 4.0 * expected.sqrt()) as u64;
    assert!(alarms("mixture", Test::new, 0.1, tolerated_probability(), 0) <= bound);
    // The naive test exceeds the bound, which shows that this stream can detect a violation.
    assert!(alarms("fixed", Fisher::default, 0.1, tolerated_probability(), 0) > bound);
}

#[test]
fn faults_that_begin_late_are_detected() {
    for (old, new, start) in [
        (0.002, 0.05, 0),
        (0.002, 0.5, 0),
        (0.02, 0.3, 0),
        (0.02, 0.3, 200),
    ] {
        let detected = alarms("mixture", Test::new, old, new, start);
        alarms("fixed", Fisher::default, old, new, start);
        for odds_ratio in [4.0, 20.0] {
            let wald = || Wald {
                odds_ratio,
                log: 0.0,
            };
            alarms(&format!("ratio {odds_ratio}"), wald, old, new, start);
        }
        if new >= 0.3 {
            assert_eq!(detected, RUNS, "{new} from {start}");
        }
    }
}
