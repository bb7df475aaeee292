//! Responses to callers when servers respond correctly, incorrectly or not at all.

use crate::cases;
use crate::script::{header_value, Action, Backend, OK, SHED};
use crate::site::{status, Site};

const UNSIGNED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 4\r\n\r\npond";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nId: r9\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nmoor";
const FOREIGN_THEN_OURS: &str =
    "HTTP/1.1 200 OK\r\nId: r9\r\nSigned: yes\r\nContent-Length: 4\r\n\r\n\
    moorHTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const DUPLICATE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\n\
    pondHTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const TRUNCATED: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 400\r\n\r\npond";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r\npond";
const ENCODED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Encoding: gzip\r\n\
    Content-Length: 4\r\n\r\npond";
const UNNAMED: &str = "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const FAILED: &str = "HTTP/1.1 500 Oh\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\noops";
const UNCONFIRMED_NOT_RUN: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Not me\r\nContent-Length: 0\r\n\r\n";
const CUT_IN_STATUS: &str = "HTTP/1.1 200";
const CUT_AFTER_STATUS: &str = "HTTP/1.1 200 OK\r\n";
const CUT_IN_HEADER: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Len";
const CUT_AFTER_HEADERS: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n";
const CUT_BEFORE_LENGTH: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r";
const STATUS_000: &str =
    "HTTP/1.1 000 None\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
/// A head that would pass for an interim response, and a complete response behind it.
const STATUS_000_THEN_OURS: &str =
    "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const STATUS_101: &str = "HTTP/1.1 101 Switching\r\nId: {id}\r\nSigned: yes\r\n\r\n";
const STATUS_600: &str =
    "HTTP/1.1 600 Odd\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const STATUS_999: &str =
    "HTTP/1.1 999 Odd\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const STATUS_999_UNTIL_CLOSE: &str = "HTTP/1.1 999 Odd\r\nId: {id}\r\nSigned: yes\r\n\r\npond";
const STATUS_999_ENDLESS: &str =
    "HTTP/1.1 999 Odd\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4000\r\n\r\npond";
const NOT_HTTP: &str = "pond pond pond\r\n\r\n";

/// Checks the status of the response to a caller, and the number of requests that reach the
/// servers. The first request gets `action`, all later ones a valid response.
pub(crate) fn check_response(path: &str, action: Action, expected: u16, expected_requests: usize) {
    let backends = Backend::pair(&[action, Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let response = site.call("POST", path, "levels");
    assert_eq!(status(&response), expected, "{response}");
    assert_eq!(backends[0].requests().len(), expected_requests);
    if expected == 200 {
        assert!(response.ends_with("\r\n\r\npond"), "{response}");
        assert_eq!(header_value(&response, "id").as_deref(), Some("r1"));
    }
}

/// As [`check_response`], but both servers respond with `action` to every request.
fn check_response_to_all(path: &str, action: Action, expected: u16, max_requests: usize) {
    let backends = Backend::pair(&[action]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let response = site.call("POST", path, "levels");
    assert_eq!(status(&response), expected, "{response}");
    let requests = backends[0].requests().len();
    assert!(requests <= max_requests, "{requests}");
    if expected == 503 {
        assert!(
            header_value(&response, "retry-after").is_some(),
            "{response}"
        );
    }
}

cases! {
    complete_response => check_response("/safe/1", Action::Respond(OK), 200, 1);
    response_before_body_is_read => check_response("/once/1", Action::RespondEarly(OK), 200, 1);
    response_delimited_by_close =>
        check_response("/once/1", Action::RespondAndClose(UNTIL_CLOSE), 200, 1);
    preceding_response_to_another_request_is_skipped =>
        check_response("/once/1", Action::Respond(FOREIGN_THEN_OURS), 200, 1);
    duplicate_response_is_ignored => check_response("/once/1", Action::Respond(DUPLICATE), 200, 1);
    shed_request_is_retried_at_another_server =>
        check_response("/once/1", Action::Respond(SHED), 200, 2);
    misdirected_request_is_retried_at_another_server =>
        check_response("/once/1", Action::Respond(MISDIRECTED), 200, 2);

    lost_response_is_retried_if_idempotent => check_response("/safe/1", Action::Close, 200, 2);
    lost_response_is_not_retried_unless_idempotent =>
        check_response("/once/1", Action::Close, 502, 1);
    truncated_response_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(TRUNCATED), 502, 1);
    head_cut_in_its_status_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(CUT_IN_STATUS), 502, 1);
    head_cut_after_its_status_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(CUT_AFTER_STATUS), 502, 1);
    head_cut_in_a_header_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(CUT_IN_HEADER), 502, 1);
    head_cut_after_its_headers_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(CUT_AFTER_HEADERS), 502, 1);
    head_cut_before_its_end_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(CUT_BEFORE_LENGTH), 502, 1);
    head_cut_in_a_header_is_retried_if_idempotent =>
        check_response("/safe/1", Action::RespondAndClose(CUT_IN_HEADER), 200, 2);
    truncated_response_is_retried_if_idempotent =>
        check_response("/safe/1", Action::RespondAndClose(TRUNCATED), 200, 2);
    unsigned_response_is_rejected => check_response("/once/1", Action::Respond(UNSIGNED), 502, 1);
    response_without_an_id_is_rejected => check_response("/once/1", Action::Respond(UNNAMED), 502, 1);
    encoded_response_is_rejected => check_response("/once/1", Action::Respond(ENCODED), 502, 1);
    response_to_another_request_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(FOREIGN), 502, 1);
    invalid_http_is_rejected =>
        check_response("/once/1", Action::RespondAndClose(NOT_HTTP), 502, 1);
    unconfirmed_not_run_status_is_not_passed_on =>
        check_response("/once/1", Action::Respond(UNCONFIRMED_NOT_RUN), 502, 1);
    server_error_is_passed_on => check_response("/once/1", Action::Respond(FAILED), 500, 1);
    server_error_is_retried_if_idempotent =>
        check_response("/safe/1", Action::Respond(FAILED), 200, 2);
    second_server_responds_for_one_that_hangs => check_response("/safe/1", Action::Hang, 200, 2);
    non_idempotent_request_is_not_sent_to_a_second_server =>
        check_response("/once/1", Action::Hang, 504, 1);

    all_responses_of_no_valid_status_are_bad_gateway =>
        check_response_to_all("/safe/1", Action::Respond(STATUS_999), 502, 2);
    all_servers_shed_is_reported_as_not_run =>
        check_response_to_all("/once/1", Action::Respond(SHED), 503, 4);
    all_responses_lost_is_bad_gateway => check_response_to_all("/safe/1", Action::Close, 502, 2);
    unresponsive_server_times_out => check_response_to_all("/once/1", Action::Hang, 504, 1);
}

#[test]
fn unreachable_server_is_skipped() {
    let reachable = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&reachable]);
    let unused = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let record = crate::site::server("dead", unused);
    site.store
        .put(balance::record::Kind::Servers, "dead", Some(record));
    for _ in 0..10 {
        assert_eq!(status(&site.call("POST", "/once/1", "")), 200);
    }
}

#[test]
fn forwarded_request_names_server_and_time_left() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    site.call("PUT", "/once/7?x=1", "clay");
    let head = backend.requests().remove(0);
    assert!(head.starts_with("PUT /once/7?x=1 HTTP/1.1"), "{head}");
    assert_eq!(header_value(&head, "id").as_deref(), Some("r1"));
    assert_eq!(header_value(&head, "server").as_deref(), Some("s0"));
    let time_left: u64 = header_value(&head, "wait").unwrap().parse().unwrap();
    assert!(
        time_left <= 2000,
        "the route's timeout bounds it: {time_left}"
    );
}

/// Checks that a response whose status is none is no response: a request that may run twice gets that of
/// another server, others 502, as they may have run. Also as the second response on a connection.
///
/// Guards against a server in trouble whose bytes reach a caller as an answer.
fn check_invalid_status(bytes: &'static str) {
    check_response("/once/1", Action::Respond(bytes), 502, 1);
    check_response("/once/1", Action::RespondAndClose(bytes), 502, 1);
    check_response("/safe/1", Action::Respond(bytes), 200, 2);
    let backend = Backend::spawn(&[Action::Respond(OK), Action::Respond(bytes)]);
    let site = Site::open(&[&backend]);
    let statuses = [1, 2].map(|i| status(&site.call("POST", &format!("/once/{i}"), "")));
    assert_eq!(statuses, [200, 502]);
}

cases! {
    status_000 => check_invalid_status(STATUS_000);
    status_000_before_a_response => check_invalid_status(STATUS_000_THEN_OURS);
    unasked_status_101 => check_invalid_status(STATUS_101);
    status_600 => check_invalid_status(STATUS_600);
    status_999 => check_invalid_status(STATUS_999);
    status_999_delimited_by_close => check_invalid_status(STATUS_999_UNTIL_CLOSE);
    status_999_with_a_body_that_does_not_end => check_invalid_status(STATUS_999_ENDLESS);
}
