//! What callers are told when servers answer well, badly or not at all.

use crate::cases;
use crate::script::{value, Act, Backend, OK, SHED};
use crate::site::{status, Site};

const UNSIGNED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 4\r\n\r\npond";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nId: r9\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nmoor";
const FOREIGN_THEN_OURS: &str =
    "HTTP/1.1 200 OK\r\nId: r9\r\nSigned: yes\r\nContent-Length: 4\r\n\r\n\
    moorHTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const TWICE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\n\
    pondHTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
const CUT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 400\r\n\r\npond";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r\npond";
const ENCODED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Encoding: gzip\r\n\
    Content-Length: 4\r\n\r\npond";
const FAILED: &str = "HTTP/1.1 500 Oh\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\noops";
const FALSE_PROMISE: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Not me\r\nContent-Length: 0\r\n\r\n";
const NONSENSE: &str = "pond pond pond\r\n\r\n";

/// Checks the status that a caller is told, and how many requests reach the servers. The first of
/// the requests meets `act`, all later ones are answered well.
fn told(path: &str, act: Act, expected: u16, arrivals: usize) {
    let backends = Backend::pair(&[act, Act::Say(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let answer = site.call("POST", path, "levels");
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(backends[0].requests().len(), arrivals);
    if expected == 200 {
        assert!(answer.ends_with("\r\n\r\npond"), "{answer}");
        assert_eq!(value(&answer, "id").as_deref(), Some("r1"));
    }
}

/// As [`told`], where both servers do the same for ever.
fn always(path: &str, act: Act, expected: u16, most: usize) {
    let backends = Backend::pair(&[act]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let answer = site.call("POST", path, "levels");
    assert_eq!(status(&answer), expected, "{answer}");
    let arrived = backends[0].requests().len();
    assert!(arrived <= most, "{arrived}");
    if expected == 503 {
        assert!(value(&answer, "retry-after").is_some(), "{answer}");
    }
}

cases! {
    whole_answer => told("/safe/1", Act::Say(OK), 200, 1);
    answer_before_the_body_is_read => told("/once/1", Act::SayEarly(OK), 200, 1);
    answer_that_lasts_until_the_close => told("/once/1", Act::SayAndClose(UNFRAMED), 200, 1);
    answer_to_another_request_before => told("/once/1", Act::Say(FOREIGN_THEN_OURS), 200, 1);
    answer_that_comes_twice => told("/once/1", Act::Say(TWICE), 200, 1);
    shed_request_goes_to_another_server => told("/once/1", Act::Say(SHED), 200, 2);
    misdirected_request_goes_to_another_server => told("/once/1", Act::Say(MISDIRECTED), 200, 2);

    lost_answer_is_asked_for_again_if_it_may => told("/safe/1", Act::Close, 200, 2);
    lost_answer_is_not_asked_for_again_if_it_must_not => told("/once/1", Act::Close, 502, 1);
    cut_answer_is_no_answer => told("/once/1", Act::SayAndClose(CUT), 502, 1);
    cut_answer_is_asked_for_again_if_it_may => told("/safe/1", Act::SayAndClose(CUT), 200, 2);
    unsigned_answer_is_no_answer => told("/once/1", Act::Say(UNSIGNED), 502, 1);
    encoded_answer_is_no_answer => told("/once/1", Act::Say(ENCODED), 502, 1);
    foreign_answer_is_no_answer => told("/once/1", Act::SayAndClose(FOREIGN), 502, 1);
    nonsense_is_no_answer => told("/once/1", Act::SayAndClose(NONSENSE), 502, 1);
    promise_that_nobody_vouches_for_is_not_passed_on => told("/once/1", Act::Say(FALSE_PROMISE), 502, 1);
    failure_is_passed_on => told("/once/1", Act::Say(FAILED), 500, 1);
    failure_is_tried_again_if_it_may => told("/safe/1", Act::Say(FAILED), 200, 2);

    all_shed_is_a_promise => always("/once/1", Act::Say(SHED), 503, 4);
    all_lost_is_none => always("/safe/1", Act::Close, 502, 2);
    silence_ends_at_the_timeout => always("/once/1", Act::Hang, 504, 1);
}

#[test]
fn server_out_of_reach_is_passed_by() {
    let gone = Backend::spawn(&[Act::Say(OK)]);
    let site = Site::open(&[&gone]);
    let free = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let record = crate::site::server("dead", free);
    site.store
        .put(balance::record::Kind::Servers, "dead", Some(record));
    for _ in 0..10 {
        assert_eq!(status(&site.call("POST", "/once/1", "")), 200);
    }
}

#[test]
fn what_is_sent_names_the_server_and_the_time_left() {
    let backend = Backend::spawn(&[Act::Say(OK)]);
    let site = Site::open(&[&backend]);
    site.call("PUT", "/once/7?x=1", "clay");
    let head = backend.requests().remove(0);
    assert!(head.starts_with("PUT /once/7?x=1 HTTP/1.1"), "{head}");
    assert_eq!(value(&head, "id").as_deref(), Some("r1"));
    assert_eq!(value(&head, "server").as_deref(), Some("s0"));
    let left: u64 = value(&head, "wait").unwrap().parse().unwrap();
    assert!(left <= 2000, "the route's timeout bounds it: {left}");
}
