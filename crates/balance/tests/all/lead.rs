//! Tests of which readers read the store.
//!
//! Patterns: *the leading reader is lost*, *two data centres lose each other while a third reaches
//! both*, and *a reader whose connections fail while its messages arrive*.

use std::time::Duration;

use arbtest::arbtest;
use balance::lead::{Lead, Remote, MAX_AGE, MAX_LAG, STATE_TTL};

use crate::cases;
use crate::support::at;

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// The interval between two decisions, in milliseconds.
const STEP_MS: u64 = 30;

/// The interval between two messages of a reader, in milliseconds.
const MESSAGE_MS: u64 = 250;

/// The readers of some data centres, and what each heard of the others.
struct Region {
    leads: [Lead; 4],
    reads: [bool; 4],
    /// When each reader last heard the other ones, and whether they read then.
    heard: [[Option<(u64, bool)>; 4]; 4],
    now: u64,
}

impl Region {
    fn new() -> Self {
        Self {
            leads: [Lead::default(); 4],
            reads: [false; 4],
            heard: [[None; 4]; 4],
            now: 0,
        }
    }

    /// Runs for `millis`. `is_connected` returns whether messages from one data centre reach
    /// another one, and `is_live` whether a reader runs and reaches the store.
    fn run(
        &mut self,
        millis: u64,
        is_connected: impl Fn(usize, usize) -> bool,
        is_live: impl Fn(usize) -> bool,
    ) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            if self.now % MESSAGE_MS < STEP_MS {
                for (from, to) in (0..4).flat_map(|from| (0..4).map(move |to| (from, to))) {
                    if from != to && is_live(from) && is_connected(from, to) {
                        self.heard[to][from] = Some((self.now, self.reads[from]));
                    }
                }
            }
            for (own, centre) in CENTRES.iter().enumerate() {
                let fresh = |from: &usize| {
                    let heard = self.heard[own][*from];
                    heard.filter(|(at, _)| self.now - at < STATE_TTL.as_millis() as u64)
                };
                let others = (0..4).filter_map(|from| {
                    let (_, reads) = fresh(&from)?;
                    Some(Remote {
                        centre: CENTRES[from],
                        reads,
                        is_ahead: false,
                    })
                });
                let others: Vec<Remote<'_>> = others.collect();
                let reads = self.leads[own].update(centre, others.into_iter(), None, at(self.now));
                self.reads[own] = reads && is_live(own);
            }
        }
    }

    fn readers(&self) -> Vec<&str> {
        let reading = (0..4).filter(|i| self.reads[*i]);
        reading.map(|i| CENTRES[i]).collect()
    }
}

fn one_reads_after_a_start() {
    let mut region = Region::new();
    region.run(1000, |_, _| true, |_| true);
    assert_eq!(region.readers(), ["a"]);
}

fn another_one_reads_after_the_first_is_lost() {
    let mut region = Region::new();
    region.run(1000, |_, _| true, |_| true);
    region.run(900, |_, _| true, |i| i != 0);
    assert!(!region.readers().is_empty());
    region.run(1000, |_, _| true, |i| i != 0);
    assert_eq!(region.readers(), ["b"]);
    region.run(2000, |_, _| true, |_| true);
    assert_eq!(region.readers().len(), 1);
}

fn data_centre_that_lost_the_first_one_reads_itself() {
    let mut region = Region::new();
    let is_connected = |from: usize, to: usize| (from.min(to), from.max(to)) != (0, 1);
    region.run(1000, |_, _| true, |_| true);
    region.run(1500, is_connected, |_| true);
    assert!(region.readers().contains(&"a") && region.readers().contains(&"b"));
}

fn reader_that_stays_behind_reads_itself() {
    let mut lead = Lead::default();
    let ahead = |is_ahead| {
        std::iter::once(Remote {
            centre: "a",
            reads: true,
            is_ahead,
        })
    };
    assert!(!lead.update("b", ahead(false), None, at(0)));
    assert!(!lead.update("b", ahead(true), None, at(100)));
    assert!(!lead.update("b", ahead(false), None, at(400)));
    assert!(!lead.update("b", ahead(true), None, at(500)));
    let late = at(500) + MAX_LAG;
    assert!(lead.update("b", ahead(true), None, late));
    assert!(lead.update("b", ahead(false), None, late + MAX_LAG));
}

/// Guards against records that stay old because the reader they come from does not notice that its own are.
fn reader_with_old_records_reads_itself() {
    let mut lead = Lead::default();
    let other = || {
        std::iter::once(Remote {
            centre: "a",
            reads: true,
            is_ahead: false,
        })
    };
    let old = Some(MAX_AGE + Duration::from_millis(1));
    assert!(!lead.update("b", other(), old, at(0)));
    assert!(!lead.update("b", other(), Some(MAX_AGE), at(0) + MAX_LAG));
    assert!(lead.update("b", other(), old, at(0) + MAX_LAG));
    assert!(lead.update("b", other(), Some(MAX_LAG), at(0) + MAX_LAG + MAX_AGE));
}

cases! {
    start_of_the_region => one_reads_after_a_start();
    loss_of_the_leading_reader => another_one_reads_after_the_first_is_lost();
    cut_between_two_data_centres => data_centre_that_lost_the_first_one_reads_itself();
    records_that_stay_old_while_messages_arrive => reader_with_old_records_reads_itself();
    connections_that_fail_while_messages_arrive => reader_that_stays_behind_reads_itself();
}

#[test]
fn data_centre_without_news_reads_itself() {
    arbtest(|u| {
        let mut region = Region::new();
        for _ in 0..u.int_in_range(1..=6)? {
            let cut: [[bool; 4]; 4] = u.arbitrary()?;
            let dead = u.int_in_range(0..=7_usize)?;
            region.run(2_000, |from, to| !cut[from][to], |i| i != dead);
            for own in (0..4).filter(|own| *own != dead) {
                let hears_reader =
                    (0..4).any(|from| from != own && region.reads[from] && !cut[from][own]);
                assert!(
                    region.reads[own] || hears_reader,
                    "{} neither reads nor hears a reader",
                    CENTRES[own]
                );
            }
        }
        Ok(())
    });
}
