//! Responses of the platform that are cut off, and heads that are none.

use std::time::Duration;

use platform::http::MAX_VALUE_BYTES;
use platform::{Error, Object, Outcome, Revision, Store};
use smol::block_on;
use stand_in::fixed::{End, Response, Server};

use crate::tools::open;

/// How connections end, and the time from the response to that.
const ENDS: [(End, Duration); 3] = [
    (End::ReadAndClose, Duration::ZERO),
    (End::Reset, Duration::ZERO),
    (End::Reset, Duration::from_millis(2)),
];

const CLOSE: (End, Duration) = ENDS[0];

fn object() -> Object {
    Object {
        revision: Revision(7),
        value: b"a value of some length".to_vec(),
    }
}

fn with_length(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn with_chunks(status: &str, body: &[u8]) -> Vec<u8> {
    let (first, second) = body.split_at(body.len() / 2);
    let head = format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut bytes = head.into_bytes();
    for chunk in [first, second] {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

fn without_length(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn read(response: &[u8], (end, pause): (End, Duration)) -> Result<Option<Object>, Error> {
    let server = Server::bind(Response::new(response, end).with_pause(pause)).unwrap();
    block_on(open(server.address()).read("path"))
}

/// Writes a long value to a platform that responds before it has read it. If `takes_value`, it asks for
/// the value before that.
fn write(
    response: &[u8],
    (end, pause): (End, Duration),
    takes_value: bool,
) -> Result<Outcome, Error> {
    let mut response = Response::new(response, end).with_pause(pause);
    if takes_value {
        response = response.asking_for_body();
    }
    let server = Server::bind(response).unwrap();
    block_on(open(server.address()).write("path", None, &vec![0; MAX_VALUE_BYTES]))
}

/// Checks that a response of which not all arrives is not read. Its first `needed` bytes end it.
fn cut_anywhere(response: &[u8], needed: usize) {
    for end in ENDS {
        for length in 0..needed {
            let result = read(&response[..length], end);
            assert!(result.is_err(), "{length} bytes, {end:?}: {result:?}");
        }
    }
}

fn cut_length() {
    let response = with_length("200 OK", &rmp_serde::to_vec(&object()).unwrap());
    cut_anywhere(&response, response.len());
    for end in ENDS {
        assert_eq!(read(&response, end), Ok(Some(object())), "{end:?}");
    }
}

fn cut_chunks() {
    let response = with_chunks("200 OK", &rmp_serde::to_vec(&object()).unwrap());
    // The library doesn't wait for the end of the trailers.
    cut_anywhere(&response, response.len() - b"\r\n".len());
    assert_eq!(read(&response, CLOSE), Ok(Some(object())));
}

/// Checks that an empty line in place of a chunk, which the library takes for the last chunk, makes no
/// object or revision of the part before it.
fn empty_line_in_place_of_a_chunk() {
    let body = rmp_serde::to_vec(&object()).unwrap();
    for length in 1..body.len() {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let size = format!("{length:x}\r\n");
        let cut = [
            head.as_bytes(),
            size.as_bytes(),
            &body[..length],
            b"\r\n\r\n\r\n",
        ]
        .concat();
        for end in ENDS {
            let result = read(&cut, end);
            assert!(result.is_err(), "{length} bytes, {end:?}: {result:?}");
        }
    }
}

/// Bodies whose start could be taken for chunks.
const BODIES: [&[u8]; 5] = [b"", b"pond", b"\r\n", b"\r\npond", b"0\r\n\r\n"];

/// Checks that a response which only the end of its connection ends is not taken for complete.
fn read_without_length(status: &str) {
    let object = rmp_serde::to_vec(&object()).unwrap();
    for body in BODIES.into_iter().chain([object.as_slice()]) {
        for end in ENDS {
            let result = read(&without_length(status, body), end);
            assert!(result.is_err(), "{body:?}, {end:?}: {result:?}");
        }
    }
}

fn is_indeterminate(result: &Result<Outcome, Error>) -> bool {
    matches!(result, Err(Error::Indeterminate { .. }))
}

/// Checks the same for a write, also while the value is being sent.
fn write_without_length(status: &str) {
    let revision = rmp_serde::to_vec(&Revision(7)).unwrap();
    for body in BODIES.into_iter().chain([revision.as_slice()]) {
        for (end, takes_value) in ENDS.map(|end| [(end, false), (end, true)]).concat() {
            let result = write(&without_length(status, body), end, takes_value);
            let case = format!("{body:?}, {end:?}, {takes_value}");
            assert!(is_indeterminate(&result), "{case}: {result:?}");
        }
    }
}

/// Checks that a response with a length which is cut off while the value is being sent leaves the
/// outcome of the write indeterminate.
fn cut_within_the_value() {
    let response = with_length("200 OK", &rmp_serde::to_vec(&Revision(7)).unwrap());
    for end in ENDS {
        for length in 0..response.len() {
            let result = write(&response[..length], end, true);
            assert!(
                is_indeterminate(&result),
                "{length} bytes, {end:?}: {result:?}"
            );
        }
    }
}

/// Checks that a head is none: it belongs to no response, and a write may have run.
fn malformed(head: &str) {
    let body = rmp_serde::to_vec(&object()).unwrap();
    let bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    let result = read(&[bytes.as_bytes(), &body].concat(), CLOSE);
    assert!(result.is_err(), "{head:?}: {result:?}");
    let result = write(&[bytes.as_bytes(), &body].concat(), CLOSE, false);
    assert!(is_indeterminate(&result), "{head:?}: {result:?}");
}

fn malformed_field(field: &str) {
    malformed(&format!("HTTP/1.1 200 OK\r\n{field}\r\n"));
}

/// Checks that a control byte or a blank in the name of a field makes the head malformed.
fn bytes_in_name(index: usize) {
    for byte in (0..=b' ').chain([0x7f]) {
        let mut name = "X-Pond".to_owned();
        name.insert(index, char::from(byte));
        malformed_field(&format!("{name}: 1"));
    }
}

cases! {
    a_response_with_a_length_cut_anywhere => cut_length();
    a_response_in_chunks_cut_anywhere => cut_chunks();
    an_empty_line_in_place_of_a_chunk => empty_line_in_place_of_a_chunk();
    an_object_without_a_length => read_without_length("200 OK");
    no_object_without_a_length => read_without_length("404 Not Found");
    a_revision_without_a_length => write_without_length("200 OK");
    a_conflict_without_a_length => write_without_length("409 Conflict");
    a_large_value_without_a_length => write_without_length("413 Payload Too Large");
    a_response_cut_while_a_value_is_sent => cut_within_the_value();
    status_000 => malformed("HTTP/1.1 000 None\r\n");
    status_099 => malformed("HTTP/1.1 099 None\r\n");
    status_600 => malformed("HTTP/1.1 600 Odd\r\n");
    bytes_at_the_start_of_a_name => bytes_in_name(0);
    bytes_within_a_name => bytes_in_name(3);
    bytes_at_the_end_of_a_name => bytes_in_name(6);
    a_blank_before_the_colon_of_a_length => malformed_field("Content-Length : 9");
    a_folded_line => malformed_field("X-Pond: 1\r\n 2");
    a_line_without_colon => malformed_field("X-Pond");
}
