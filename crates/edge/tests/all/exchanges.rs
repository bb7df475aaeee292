//! Responses of other instances that are cut off, and bytes that are no response.

use std::io::{Read, Write};
use std::time::Duration;

use balance::record::{Kind, Record};
use balance::replica::Delta;

use crate::cases;
use crate::datagrams::{Fixture, Silent};
use crate::site::{config, status};

/// How the connection ends after a response.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Guards against records that are taken from a response that was cut off, or from bytes that are no
/// response. The other instance sends `response`, with `{length}` in it replaced by the length of the
/// records that follow it, and with the last `missing` bytes missing.
fn broken_response(response: &str, missing: usize, end: End) {
    let fixture = Fixture::open();
    let sending = Silent::open(&fixture, 1);
    let Record::Config(mut config) = config(9) else {
        unreachable!("it is a configuration");
    };
    config.routes.clear();
    let delta = Delta {
        after: None,
        revision: 900,
        changes: vec![("main".to_owned(), Some(Record::Config(config)))],
        after_outage: false,
    };
    let mut changes = [const { None }; Kind::ALL.len()];
    changes[Kind::Config.index()] = Some(delta);
    let records = rmp_serde::to_vec(&changes).unwrap();
    // The instance may give up an exchange for another one, in which case nothing is sent.
    let respond = |head: &str, missing: usize, end: End| {
        let mut exchange = sending.accept(&fixture);
        exchange.set_nonblocking(false).unwrap();
        let request = exchange.read(&mut [0; 4096]);
        let head = head.replace("{length}", &records.len().to_string());
        let bytes = [head.as_bytes(), &records].concat();
        let sent = exchange.write_all(&bytes[..bytes.len() - missing]);
        if matches!(end, End::Reset) {
            client::socket::reset_on_close(&exchange, Duration::from_secs(1)).unwrap();
        }
        request.is_ok_and(|length| length > 0) && sent.is_ok()
    };
    while !respond(response, missing, end) {}
    // The instance asks again, with the records it had.
    drop(sending.accept(&fixture));
    assert_eq!(status(&fixture.site.call("GET", "/safe/1", "")), 200);
    fixture.site.wait_until(|site| {
        respond(SIZED, 0, End::Close);
        matches!(status(&site.call("GET", "/safe/1", "")), 404 | 503)
    });
}

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n";
const UNSIZED: &str = "HTTP/1.1 200 OK\r\n\r\n";
const STATUS_000: &str = "HTTP/1.1 000 None\r\nContent-Length: {length}\r\n\r\n";
const BLANK_IN_NAME: &str = "HTTP/1.1 200 OK\r\nX Pond: 1\r\nContent-Length: {length}\r\n\r\n";
const LINE_FEED_IN_NAME: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\nX-Pond: 1\r\n\r\n";

cases! {
    records_that_are_cut_off => broken_response(SIZED, 1, End::Close);
    records_that_are_reset => broken_response(SIZED, 1, End::Reset);
    records_without_length => broken_response(UNSIZED, 0, End::Close);
    records_without_length_that_are_reset => broken_response(UNSIZED, 0, End::Reset);
    records_with_status_000 => broken_response(STATUS_000, 0, End::Close);
    records_behind_a_blank_in_a_name => broken_response(BLANK_IN_NAME, 0, End::Close);
    records_behind_a_line_feed_in_a_name => broken_response(LINE_FEED_IN_NAME, 0, End::Close);
}
