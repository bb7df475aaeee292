//! Heads with names of fields that are none.
//!
//! A server in trouble may send them. A parser that passes over such a line, or takes it for the end
//! of the head, accepts a response with other fields or another body than the server's.

use client::Error;

use crate::script::{exchange, End};

const STATUS_LINE: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "Content-Length: 4\r\n";

/// Checks that a response with these fields is rejected.
fn malformed(fields: &str) {
    let bytes = format!("{STATUS_LINE}{fields}\r\npond");
    let result = exchange("GET", bytes.as_bytes(), End::Close);
    assert!(
        matches!(result, Err(Error::Malformed)),
        "{bytes:?}: {result:?}"
    );
}

/// Checks that a field is rejected before and behind the others.
fn malformed_at_any_place(field: &str) {
    malformed(&format!("{field}\r\n{LENGTH}"));
    malformed(&format!("{LENGTH}{field}\r\n"));
    malformed(&format!("{LENGTH}{field}\r\nX-Moor: 2\r\n"));
}

/// Checks that a control byte or a blank is rejected in a field name, at `index` in it.
fn bytes_in_name(name: &str, index: usize) {
    for byte in (0..=b' ').chain([0x7f]) {
        let mut name = name.to_owned();
        name.insert(index, char::from(byte));
        malformed_at_any_place(&format!("{name}: 4"));
    }
}

fn bytes_in_names(index: fn(&str) -> usize) {
    for name in ["X-Pond", "Content-Length", "Transfer-Encoding"] {
        bytes_in_name(name, index(name));
    }
}

/// Checks that a response whose lines all end with a line feed alone is accepted.
fn line_feeds_alone() {
    let bytes = format!("{STATUS_LINE}{LENGTH}\r\npond").replace("\r\n", "\n");
    let (response, _) = exchange("GET", bytes.as_bytes(), End::Close).unwrap();
    assert_eq!(response.body, b"pond");
}

cases! {
    bytes_at_the_start_of_a_name: bytes_in_names(|_| 0);
    bytes_within_a_name: bytes_in_names(|name| name.len() / 2);
    bytes_at_the_end_of_a_name: bytes_in_names(str::len);
    a_line_feed_alone_within_line_ends: malformed(&LENGTH.replace('\r', ""));
    a_line_feed_alone_at_each_line: line_feeds_alone();
    a_folded_line: malformed_at_any_place("X-Pond: 1\r\n 2");
    a_line_that_begins_with_a_blank: malformed_at_any_place(" X-Pond: 1");
    an_empty_name: malformed_at_any_place(": 1");
    a_line_without_colon: malformed_at_any_place("X-Pond");
    a_name_of_letters_that_are_not_ascii: malformed_at_any_place("X-P\u{f6}nd: 1");
}
