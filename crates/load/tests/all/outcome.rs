//! How answers are counted.

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbtest;
use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::run::run;
use stand_in::backend::{Backend, Config, Fault, Rule};

use crate::entry;

const CALLS: u64 = 10;

fn plan(target: SocketAddr) -> Plan {
    Plan::new(CALLS as f64 * 100.0, Duration::from_millis(10))
        .target(target)
        .call(Call::post("order", "clayworks", "/orders"))
        .time_limit(Duration::from_millis(500))
}

fn check_fault(fault: Fault, outcome: Outcome, violations: u64) {
    let backend = Backend::bind(Config::default()).unwrap();
    backend.set_rules(vec![Rule {
        path_prefix: "/".to_owned(),
        share: 1.0,
        fault,
    }]);
    let report = run(plan(backend.address()).direct()).unwrap();
    assert_eq!(report.count(outcome), CALLS, "{report}");
    assert_eq!(report.violations(), violations, "{report}");
}

cases! {
    errors_are_counted => check_fault(Fault::Error, Outcome::Error, 0);
    shed_calls_are_counted => check_fault(Fault::Shed, Outcome::Error, 0);
    crossed_answers_are_wrong => check_fault(Fault::Mismatched, Outcome::Wrong, CALLS);
    short_answers_are_broken => check_fault(Fault::ShortBody, Outcome::Broken, CALLS);
    broken_chunks_are_broken => check_fault(Fault::BrokenChunk, Outcome::Broken, CALLS);
    reset_answers_are_broken => check_fault(Fault::Reset, Outcome::Broken, CALLS);
    silence_is_a_timeout => check_fault(Fault::NoResponse, Outcome::Timeout, 0);
    bytes_past_an_answer_spoil_no_other => check_fault(Fault::LongBody, Outcome::Complete, 0);
}

fn check_head(head: &'static str, outcome: Outcome) {
    let report = run(plan(entry::bind(head, None))).unwrap();
    assert_eq!(report.count(outcome), CALLS, "{report}");
}

cases! {
    not_run_is_counted => check_head(
        "HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run",
        Outcome::NotRun
    );
    unknown_is_counted => check_head(
        "HTTP/1.1 502 Bad Gateway\r\nChivewheel-Outcome: unknown",
        Outcome::Unknown
    );
    an_answer_without_outcome_is_broken => check_head("HTTP/1.1 200 OK", Outcome::Broken);
    an_answer_that_is_no_http_is_broken => check_head("HELO", Outcome::Broken);
}

#[test]
fn a_refused_connection_is_no_answer() {
    let address = Backend::bind(Config::default()).unwrap().address();
    let report = run(plan(address)).unwrap();
    assert_eq!(report.count(Outcome::NoAnswer), CALLS, "{report}");
}

/// The start of an answer in chunks.
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n";

/// Whatever comes back, each call has one outcome, and bytes at random are never complete.
#[test]
fn any_answer_has_one_outcome() {
    arbtest(|u| {
        let mut bytes = CHUNKED.to_vec();
        let kept = u.int_in_range(0..=CHUNKED.len() * 2)?;
        let garbled = u.choose_index(CHUNKED.len() * 2)?;
        let byte = u.arbitrary()?;
        bytes.extend(u.arbitrary::<Vec<u8>>()?);
        bytes.truncate(kept);
        if let Some(garbled) = bytes.get_mut(garbled) {
            *garbled = byte;
        }
        let report = run(plan(entry::bind_bytes(bytes)).direct()).unwrap();
        let counts = Outcome::ALL.iter().map(|outcome| report.count(*outcome));
        assert_eq!(counts.sum::<u64>(), CALLS);
        assert_eq!(report.count(Outcome::Complete), 0);
        Ok(())
    })
    .size_min(64)
    .budget_ms(1000);
}
