//! Classification of responses into outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbtest;
use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::run::run;
use stand_in::backend::{Backend, Config, Fault, Rule};
use stand_in::fixed::{End, Response, Server};

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
    errors_count_as_errors => check_fault(Fault::Error, Outcome::Error, 0);
    shed_calls_count_as_errors => check_fault(Fault::Shed, Outcome::Error, 0);
    mismatched_responses_are_wrong => check_fault(Fault::Mismatched, Outcome::Wrong, CALLS);
    truncated_responses_are_broken => check_fault(Fault::ShortBody, Outcome::Broken, CALLS);
    malformed_chunks_are_broken => check_fault(Fault::BrokenChunk, Outcome::Broken, CALLS);
    reset_responses_are_broken => check_fault(Fault::Reset, Outcome::Broken, CALLS);
    missing_responses_are_timeouts => check_fault(Fault::NoResponse, Outcome::Timeout, 0);
    extra_bytes_do_not_affect_other_calls => check_fault(Fault::LongBody, Outcome::Complete, 0);
}

fn check_head(head: &'static str, outcome: Outcome) {
    let report = run(plan(entry::bind(head, None))).unwrap();
    assert_eq!(report.count(outcome), CALLS, "{report}");
}

cases! {
    not_run_responses_are_counted => check_head(
        "HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run",
        Outcome::NotRun
    );
    unknown_responses_are_counted => check_head(
        "HTTP/1.1 502 Bad Gateway\r\nChivewheel-Outcome: unknown",
        Outcome::Unknown
    );
    responses_without_outcome_are_broken => check_head("HTTP/1.1 200 OK", Outcome::Broken);
    non_http_responses_are_broken => check_head("HELO", Outcome::Broken);
    status_000_is_broken => check_head(
        "HTTP/1.1 000 None\r\nChivewheel-Outcome: not-run",
        Outcome::Broken
    );
    status_600_is_broken => check_head(
        "HTTP/1.1 600 Odd\r\nChivewheel-Outcome: not-run",
        Outcome::Broken
    );
    blank_within_a_field_name_is_broken => check_field("X Pond: 1");
    blank_before_a_colon_is_broken => check_field("X-Pond : 1");
    blank_before_the_colon_of_the_outcome_is_broken => check_field("Chivewheel-Outcome : complete");
    control_byte_within_a_field_name_is_broken => check_field("X\x01Pond: 1");
    delete_within_a_field_name_is_broken => check_field("X\x7fPond: 1");
    line_feed_before_a_field_name_is_broken => check_field("\nX-Pond: 1");
    folded_line_is_broken => check_field("X-Pond: 1\r\n 2: 3");
}

/// Checks that a response with `field` behind its outcome counts as broken.
fn check_field(field: &str) {
    let head = format!("HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run\r\n{field}");
    check_head(head.leak(), Outcome::Broken);
}

/// Start of a response that ends with its connection.
const CLOSE_DELIMITED: &str = "HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run\r\n\r\npond";

/// Checks that a response whose connection is reset is no answer, whatever part of it arrives.
fn check_reset(body: usize) {
    let call = Call {
        body,
        ..Call::post("order", "clayworks", "/orders")
    };
    let server = Server::bind(Response::new(CLOSE_DELIMITED, End::Reset)).unwrap();
    let plan = Plan::new(CALLS as f64 * 100.0, Duration::from_millis(10))
        .target(server.address())
        .call(call)
        .time_limit(Duration::from_secs(5));
    let report = run(plan).unwrap();
    let broken = report.count(Outcome::Broken) + report.count(Outcome::NoAnswer);
    assert_eq!(broken, CALLS, "{report}");
}

cases! {
    reset_after_a_short_call_is_no_answer => check_reset(64);
    reset_within_a_long_call_is_no_answer => check_reset(4 * 1024 * 1024);
    end_of_the_connection_ends_a_response => check_bytes(CLOSE_DELIMITED, Outcome::NotRun);
}

fn check_bytes(bytes: &str, outcome: Outcome) {
    let server = Server::bind(Response::new(bytes, End::ReadAndClose)).unwrap();
    let report = run(plan(server.address())).unwrap();
    assert_eq!(report.count(outcome), CALLS, "{report}");
}

#[test]
fn refused_connections_count_as_no_answer() {
    let address = Backend::bind(Config::default()).unwrap().address();
    let report = run(plan(address)).unwrap();
    assert_eq!(report.count(Outcome::NoAnswer), CALLS, "{report}");
}

/// Start of a chunked response.
const CHUNKED_PREFIX: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n";

/// For any response bytes, each call has exactly one outcome, and random bytes are never complete.
#[test]
fn every_response_has_exactly_one_outcome() {
    arbtest(|u| {
        let mut bytes = CHUNKED_PREFIX.to_vec();
        let length = u.int_in_range(0..=CHUNKED_PREFIX.len() * 2)?;
        let corrupted_index = u.choose_index(CHUNKED_PREFIX.len() * 2)?;
        let byte = u.arbitrary()?;
        bytes.extend(u.arbitrary::<Vec<u8>>()?);
        bytes.truncate(length);
        if let Some(corrupted) = bytes.get_mut(corrupted_index) {
            *corrupted = byte;
        }
        let server = Server::bind(Response::new(bytes, End::ReadAndClose)).unwrap();
        let report = run(plan(server.address()).direct()).unwrap();
        let counts = Outcome::ALL.iter().map(|outcome| report.count(*outcome));
        assert_eq!(counts.sum::<u64>(), CALLS);
        assert_eq!(report.count(Outcome::Complete), 0);
        Ok(())
    })
    .size_min(64)
    .budget_ms(1000);
}
