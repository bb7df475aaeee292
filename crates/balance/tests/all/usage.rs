//! Tests of the counts of tenants' requests.
//!
//! Patterns: *messages are lost, repeated and reordered*, *servers state late that they did not run a
//! request*, *an instance ends*, *a collector is replaced*, and *an instance's true time jumps*.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use balance::usage::{
    window, window_end, Attempt, Attempts, Collector, Counter, Message, Part, Ranking, Report,
    Tenure, MAX_MESSAGE_BYTES, SETTLING_TIME,
};
use clock::Instant;

use crate::cases;
use crate::support::at;

const TENANTS: [&str; 3] = ["cuka", "seje", "tovo"];
const LENGTH: Duration = Duration::from_secs(5);
const TICK_MS: u64 = 500;
const TICKS_PER_WINDOW: u64 = 10;

/// The first window, and the ticks after the last request until the sums must be exact.
const FIRST: u64 = 1000;
const SETTLE_TICKS: u64 = 8;

/// The number of consecutive messages that may be lost.
const MAX_LOSSES: u32 = 3;

/// A request as the oracle knows it: the window of each attempt, and whether that began.
struct Request {
    tenant: &'static str,
    sent: Vec<(u64, bool)>,
    attempts: Attempts,
    /// The attempts by their numbers in `sent` that servers may still reject.
    open: Vec<(usize, Attempt)>,
}

/// An instance, with what each of the two collectors lost in a row.
#[derive(Default)]
struct Instance {
    counter: Counter,
    requests: Vec<Request>,
    losses: [u32; 2],
    delayed: [Vec<Message>; 2],
    /// By how many windows its true time is ahead.
    ahead: i64,
    is_dead: bool,
}

impl Instance {
    fn current(&self, tick: u64) -> u64 {
        (FIRST + tick / TICKS_PER_WINDOW).saturating_add_signed(self.ahead)
    }

    /// Sends new requests, sends some again, and has servers reject some.
    fn work(&mut self, u: &mut Unstructured<'_>, tick: u64) -> arbitrary::Result<()> {
        let (current, now) = (self.current(tick), at(tick * TICK_MS));
        for _ in 0..u.int_in_range(0..=3)? {
            self.requests.push(Request {
                tenant: u.choose(&TENANTS)?,
                sent: Vec::new(),
                attempts: Attempts::default(),
                open: Vec::new(),
            });
        }
        let recent = self.requests.len().saturating_sub(8);
        for request in &mut self.requests[recent..] {
            if request.sent.is_empty() || u.ratio(1, 8)? {
                let tenant = request.tenant;
                let begun = self
                    .counter
                    .begin(&mut request.attempts, tenant, current, now);
                request.open.push((request.sent.len(), begun));
                request.sent.push((current, true));
            }
            if !request.open.is_empty() && u.ratio(1, 4)? {
                let open = u.choose_index(request.open.len())?;
                let (number, attempt) = request.open.remove(open);
                if u.arbitrary()? {
                    request.sent[number].1 = false;
                    let (attempts, tenant) = (&mut request.attempts, request.tenant);
                    self.counter.withdraw(attempts, attempt, tenant, now);
                }
            }
        }
        Ok(())
    }

    /// Adds what servers began to `sums`.
    fn add_truth(&self, sums: &mut BTreeMap<u64, BTreeMap<String, u64>>) {
        for request in &self.requests {
            if let Some((window, _)) = request.sent.iter().find(|(_, began)| *began) {
                let counts = sums.entry(*window).or_default();
                *counts.entry(request.tenant.to_owned()).or_default() += 1;
            }
        }
    }

    /// Delivers `messages` to one of two collectors, possibly late, twice, or not at all.
    fn deliver(
        &mut self,
        messages: &[Message],
        (number, id): (usize, u64),
        collector: &mut Collector,
        (current, u): (u64, &mut Unstructured<'_>),
    ) -> arbitrary::Result<()> {
        let late = std::mem::take(&mut self.delayed[number]);
        if self.losses[number] < MAX_LOSSES && u.ratio(1, 3)? {
            self.losses[number] += 1;
            if u.arbitrary()? {
                self.delayed[number] = messages.to_vec();
            }
        } else {
            self.losses[number] = 0;
            let copies = u.int_in_range(1..=2)?;
            for message in messages.iter().rev().cycle().take(messages.len() * copies) {
                collector.record(id, message, current);
            }
        }
        for message in late {
            collector.record(id, &message, current);
        }
        Ok(())
    }
}

/// Guards against sums that differ from what servers began once all news has had its time.
#[test]
fn sums_are_what_servers_began() {
    arbtest(|u| {
        let mut instances: Vec<Instance> = Vec::new();
        for _ in 0..u.int_in_range(1..=4)? {
            instances.push(Instance::default());
        }
        let ticks = u.int_in_range(1..=3 * TICKS_PER_WINDOW)?;
        let mut collectors = [Collector::default(), Collector::default()];
        let (mut died, mut is_replaced_after_death) = (false, false);
        for tick in 0..ticks + SETTLE_TICKS {
            let is_settling = tick >= ticks;
            let (current, now) = (FIRST + tick / TICKS_PER_WINDOW, at(tick * TICK_MS));
            for (id, instance) in (0..).zip(&mut instances) {
                if instance.is_dead {
                    continue;
                }
                if u.ratio(1, 10)? {
                    instance.ahead = u.int_in_range(-1..=1)?;
                }
                if is_settling {
                    instance.ahead = 0;
                } else {
                    instance.work(u, tick)?;
                }
                let own = instance.current(tick);
                let messages = instance.counter.messages(own, now);
                for (number, collector) in collectors.iter_mut().enumerate() {
                    instance.deliver(&messages, (number, id), collector, (current, u))?;
                }
                if !is_settling && u.ratio(1, 40)? {
                    // What an instance has not sent is lost with it.
                    for collector in &mut collectors {
                        record_all(collector, id, &mut instance.counter, own, current);
                    }
                    instance.is_dead = true;
                    died = true;
                }
            }
            if u.ratio(1, 20)? {
                collectors[0] = Collector::default();
                is_replaced_after_death |= died;
                for (id, instance) in (0..).zip(&mut instances).filter(|(_, i)| !i.is_dead) {
                    let own = instance.current(tick);
                    let counter = &mut instance.counter;
                    record_all(&mut collectors[0], id, counter, own, current);
                }
            }
        }
        let mut truth = BTreeMap::new();
        instances.iter().for_each(|i| i.add_truth(&mut truth));
        let live = (0..).zip(&instances).filter(|(_, i)| !i.is_dead);
        let live: Vec<u64> = live.map(|(id, _)| id).collect();
        let last = FIRST + (ticks + SETTLE_TICKS) / TICKS_PER_WINDOW;
        for (number, collector) in collectors.iter().enumerate() {
            for window in FIRST - 1..=last {
                if number == 0 && is_replaced_after_death {
                    continue;
                }
                let expected = truth.get(&window).cloned().unwrap_or_default();
                let sums = collector.sums(window, &live);
                assert_eq!(sums.counts, expected, "collector {number}, window {window}");
            }
        }
        Ok(())
    });
}

fn record_all(collector: &mut Collector, id: u64, counter: &mut Counter, own: u64, current: u64) {
    for window in counter.windows() {
        for message in counter.complete(window, own) {
            collector.record(id, &message, current);
        }
    }
}

fn begin(counter: &mut Counter, tenant: &str, window: u64, now: Instant) {
    counter.begin(&mut Attempts::default(), tenant, window, now);
}

/// Guards against a request that counts in the window of its second copy, or twice.
fn request_counts_in_the_window_of_its_first_attempt() {
    let mut counter = Counter::default();
    let mut attempts = Attempts::default();
    let first = counter.begin(&mut attempts, "cuka", 7, at(0));
    counter.begin(&mut attempts, "cuka", 8, at(100));
    assert_eq!(attempts.window(), Some(7));
    assert!(!counter.withdraw(&mut attempts, first, "cuka", at(200)));
    assert_eq!(attempts.window(), Some(8));
    let mut collector = Collector::default();
    record_all(&mut collector, 1, &mut counter, 9, 9);
    assert!(collector.sums(7, &[]).counts.is_empty());
    assert_eq!(collector.sums(8, &[]).counts["cuka"], 1);
}

/// Guards against datagrams that are sent in fragments, and against counts that get no message.
fn messages_fit_into_datagrams(tenants: usize, name_bytes: usize) {
    // The envelope has the kind of the message and the number of the sender.
    const ENVELOPE_BYTES: usize = 24;
    let mut counter = Counter::default();
    for i in 0..tenants {
        let name = format!("{i:0name_bytes$}");
        begin(&mut counter, &name, u64::MAX / 2, at(0));
    }
    let messages = counter.messages(u64::MAX / 2 + 1, at(0));
    let counts: usize = messages.iter().map(|m| m.counts.len()).sum();
    assert_eq!(counts, tenants);
    for message in &messages {
        let bytes = rmp_serde::to_vec(message).unwrap().len();
        assert!(bytes + ENVELOPE_BYTES <= MAX_MESSAGE_BYTES, "{bytes} bytes");
    }
}

/// Guards against a window that counts as complete although a part of it is missing.
fn window_is_complete_with_its_last_part() {
    let mut counter = Counter::default();
    for i in 0..300 {
        begin(&mut counter, &format!("tenant-{i}"), 7, at(0));
    }
    let messages = counter.complete(7, 8);
    assert!(messages.len() > 2);
    let mut collector = Collector::default();
    for (i, message) in messages.iter().enumerate() {
        let sums = collector.sums(7, &[1, 2]);
        assert_eq!((sums.complete, sums.incomplete), (0, 2), "part {i}");
        collector.record(1, message, 8);
        collector.record(1, message, 8);
    }
    let sums = collector.sums(7, &[1, 2]);
    assert_eq!((sums.complete, sums.incomplete), (1, 1));
}

/// Guards against windows before the start of an instance for which its counts are waited for.
fn new_instance_reports_earlier_windows_completely() {
    let mut counter = Counter::default();
    let mut collector = Collector::default();
    for message in counter.messages(100, at(0)) {
        collector.record(1, &message, 100);
    }
    let complete: Vec<u64> = (90..=100)
        .filter(|window| collector.sums(*window, &[1]).complete == 1)
        .collect();
    assert_eq!(complete, [95, 96, 97, 98, 99]);
}

/// Guards against an instance without requests that is taken for one that has not reported.
fn idle_instance_reports_completely() {
    let mut counter = Counter::default();
    let mut collector = Collector::default();
    for (current, millis) in [(7, 0), (8, 500)] {
        for message in counter.messages(current, at(millis)) {
            collector.record(1, &message, current);
        }
    }
    assert_eq!(collector.sums(7, &[1]).complete, 1);
}

/// Guards against a state that grows with messages that are forged or of a wrong time.
fn state_is_bounded() {
    let mut collector = Collector::default();
    let message = |sequence, window, tenant: String| Message {
        sequence,
        window,
        part: None,
        counts: vec![(tenant, 1)],
    };
    assert!(!collector.record(1, &message(1, u64::MAX, "cuka".to_owned()), 100));
    assert!(!collector.record(1, &message(1, 0, "cuka".to_owned()), 100));
    for i in 0..210_000 {
        collector.record(1, &message(i, 99 + i % 2, format!("{i}")), 100);
    }
    assert!(collector.sums(100, &[]).counts.len() <= 200_000);
    assert!(collector.overflow() > 0 || collector.sums(99, &[]).counts.is_empty());
}

/// Guards against a state that grows with messages that have no counts, each of another sender.
fn progress_is_bounded() {
    let mut collector = Collector::default();
    let message = |window| Message {
        sequence: 1,
        window,
        part: Some(Part { index: 0, count: 1 }),
        counts: Vec::new(),
    };
    for instance in 0..410_000 {
        collector.record(instance, &message(99 + instance % 2), 100);
    }
    let live: Vec<u64> = (0..410_000).collect();
    let kept = collector.sums(99, &live).complete + collector.sums(100, &live).complete;
    assert!(kept <= 200_000, "{kept}");
    assert!(collector.overflow() > 0);
}

/// Guards against the counts of instances that ended before a collector took over.
fn written_sums_are_restored() {
    let mut collector = Collector::default();
    let message = Message {
        sequence: 1,
        window: 7,
        part: None,
        counts: vec![("cuka".to_owned(), 5), ("seje".to_owned(), 3)],
    };
    collector.record(1, &message, 8);
    assert!(!collector.sums(7, &[]).covered);
    let written = |window, cuka| Report {
        window,
        counts: [("cuka".to_owned(), cuka)].into(),
    };
    collector.restore(&[written(6, 2), written(7, 9), written(u64::MAX, 9)]);
    // Window 8 had not ended when it was written.
    collector.restore(&[written(6, 2), written(7, 9), written(8, 1)]);
    assert!(!collector.sums(8, &[]).covered);
    let sums = collector.sums(7, &[]);
    assert!(sums.covered);
    assert_eq!((sums.counts["cuka"], sums.counts["seje"]), (9, 3));
    let reports = collector.reports(8, 3);
    let windows: Vec<u64> = reports.iter().map(|report| report.window).collect();
    assert_eq!(windows, [6, 7, 8]);
    assert_eq!(reports[0].counts["cuka"], 2);
}

/// Guards against a collector that relies on counts which it did not receive while it was none.
fn collector_covers_the_windows_since_it_took_over() {
    let mut counter = Counter::default();
    let mut collector = Collector::default();
    for current in [7, 8, 9, 14, 15] {
        for message in counter.messages(current, at(current * 5000)) {
            collector.record(1, &message, current);
        }
        let covered: Vec<u64> = (6..=16).filter(|w| collector.covers(*w)).collect();
        let first = if current < 14 { 8 } else { 15 };
        let expected: Vec<u64> = (first..=16).collect();
        assert_eq!(covered, expected, "in window {current}");
    }
}

/// Guards against counts that stop after the time has gone ahead by days and back.
fn counting_goes_on_after_time_went_back() {
    let mut counter = Counter::default();
    counter.messages(7, at(0));
    begin(&mut counter, "cuka", 7_000, at(500));
    counter.messages(7_000, at(500));
    counter.messages(7, at(1000));
    begin(&mut counter, "cuka", 7, at(1000));
    let messages = counter.messages(7, at(1000));
    assert_eq!(messages[0].counts, [("cuka".to_owned(), 1)]);
}

/// Guards against collectors that change with each move of the reader's role while the store fails.
fn ranking_follows_the_reader_slowly() {
    let mut ranking = Ranking::default();
    assert_eq!(ranking.update(&[], &[1, 2, 3], at(0)), [1, 2]);
    assert_eq!(ranking.update(&[3], &[1, 2], at(0)), [3, 1]);
    assert_eq!(ranking.update(&[2], &[1, 3], at(100)), [3, 2]);
    assert_eq!(ranking.update(&[], &[1, 2, 3], at(200)), [3, 1]);
    assert_eq!(ranking.update(&[2], &[1, 3], at(300)), [3, 2]);
    assert_eq!(ranking.update(&[2], &[1, 3], at(2400)), [2, 1]);
    assert_eq!(ranking.update(&[2], &[1, 3], at(2500)), [2, 1]);
    assert_eq!(ranking.update(&[], &[1, 3], at(2600)), [1, 3]);
    assert_eq!(ranking.update(&[3], &[1], at(2700)), [3, 1]);
}

/// Guards against all instances that start together calling the store as first collectors, before they
/// have heard of each other.
fn instance_settles_before_it_writes() {
    let mut tenure = Tenure::default();
    let settled = u64::try_from(SETTLING_TIME.as_millis()).unwrap();
    assert!(!tenure.update(true, at(100)));
    assert!(!tenure.update(true, at(99 + settled)));
    assert!(!tenure.update(false, at(100 + settled)));
    assert!(!tenure.update(true, at(200 + settled)));
    assert!(!tenure.update(true, at(199 + 2 * settled)));
    assert!(tenure.update(true, at(200 + 2 * settled)));
    assert!(tenure.update(true, at(300 + 2 * settled)));
}

fn windows_are_numbered_from_the_start_of_1970() {
    let time = Duration::from_secs(353_445_120 * 5);
    assert_eq!(window(time, LENGTH), 353_445_120);
    assert_eq!(window(time - Duration::from_micros(1), LENGTH), 353_445_119);
    assert_eq!(window_end(353_445_119, LENGTH), time);
    assert_eq!(window(time, Duration::ZERO), 353_445_120 * 5_000_000);
    window_end(u64::MAX, Duration::MAX);
}

cases! {
    first_attempt_decides_the_window => request_counts_in_the_window_of_its_first_attempt();
    usual_names_fit => messages_fit_into_datagrams(1000, 9);
    names_of_all_lengths_fit => messages_fit_into_datagrams(50, 700);
    no_tenants_fit => messages_fit_into_datagrams(0, 1);
    all_parts_make_a_window_complete => window_is_complete_with_its_last_part();
    new_instance => new_instance_reports_earlier_windows_completely();
    idle_instance => idle_instance_reports_completely();
    messages_without_end => state_is_bounded();
    senders_without_end => progress_is_bounded();
    collector_without_history => written_sums_are_restored();
    collector_with_a_gap => collector_covers_the_windows_since_it_took_over();
    time_that_went_ahead_and_back => counting_goes_on_after_time_went_back();
    moving_reader => ranking_follows_the_reader_slowly();
    instances_that_start_together => instance_settles_before_it_writes();
    window_numbers => windows_are_numbered_from_the_start_of_1970();
}
