//! Tests of single exchanges.

use client::{Delivery, Error};

use crate::script::{exchange, End};

/// Checks that a request with `method` gets a complete response and the connection can be reused.
fn complete(method: &str, bytes: &str, status: u16, body: &str) {
    let (response, kept) = exchange(method, bytes.as_bytes(), End::Stay).unwrap();
    assert_eq!(
        (response.status, &response.body[..]),
        (status, body.as_bytes())
    );
    assert!(kept, "the connection can be reused");
}

/// Checks that a response is complete and the connection is not reused.
fn last(bytes: &str) {
    let (response, kept) = exchange("GET", bytes.as_bytes(), End::Stay).unwrap();
    assert_eq!(response.body, b"pond");
    assert!(!kept, "the connection is closed");
}

/// Returns why a response was rejected, and checks that the request may have run.
fn fails(bytes: &str, end: End) -> Error {
    let error = exchange("GET", bytes.as_bytes(), end).unwrap_err();
    assert_eq!(error.delivery(), Delivery::Unknown);
    error
}

fn malformed(bytes: &str) {
    let error = fails(bytes, End::Stay);
    assert!(matches!(error, Error::Malformed), "{error:?}");
}

fn truncated(bytes: &str, expected: usize) {
    let error = fails(bytes, End::Close);
    assert!(
        matches!(error, Error::Truncated { received } if received == expected),
        "{error:?}"
    );
    assert_eq!(error.is_reset(), expected == 0);
}

fn too_large(bytes: &str, expected: usize) {
    let error = fails(bytes, End::Stay);
    assert!(
        matches!(error, Error::TooLarge { limit } if limit == expected),
        "{error:?}"
    );
}

fn trailing_bytes(bytes: &str) {
    let error = fails(bytes, End::Stay);
    assert!(matches!(error, Error::TrailingBytes), "{error:?}");
}

fn unframed() {
    let error = fails("HTTP/1.1 200 OK\r\n\r\npond", End::Close);
    assert!(matches!(error, Error::Unframed), "{error:?}");
}

fn reset(bytes: &str) {
    let error = fails(bytes, End::Reset);
    assert!(matches!(error, Error::Broken(_)), "{error:?}");
    assert!(error.is_reset());
}

fn connection_headers_are_dropped() {
    let bytes =
        "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Pond: 3\r\n\
                 Content-Length: 0\r\n\r\n";
    let (response, _) = exchange("GET", bytes.as_bytes(), End::Stay).unwrap();
    assert_eq!(response.headers, [("X-Pond".to_owned(), b"3".to_vec())]);
    assert_eq!(response.header("x-pond"), Some("3"));
}

const OK: &str = "HTTP/1.1 200 OK\r\n";

fn chunked(rest: &str) -> String {
    format!("{OK}Transfer-Encoding: chunked\r\n\r\n{rest}")
}

fn length(value: &str, rest: &str) -> String {
    format!("{OK}Content-Length: {value}\r\n\r\n{rest}")
}

cases! {
    a_length: complete("GET", &length("4", "pond"), 200, "pond");
    the_same_length_twice:
        complete("GET", &length("4\r\nContent-Length: 4", "pond"), 200, "pond");
    chunks: complete("GET", &chunked("2\r\npo\r\n2;x=y\r\nnd\r\n0\r\n\r\n"), 200, "pond");
    chunks_with_trailers:
        complete("GET", &chunked("4\r\npond\r\n0\r\nX-Sum: 9\r\nX-Two: 2\r\n\r\n"), 200, "pond");
    no_content: complete("POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, "");
    not_modified:
        complete("GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, "");
    head: complete("HEAD", &length("9", ""), 200, "");
    interim_responses: complete(
        "GET",
        &format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: 1\r\n\r\n{}", length("4", "pond")),
        200,
        "pond",
    );
    close: last(&length("4\r\nConnection: x, Close", "pond"));
    an_old_version: last(&length("4", "pond").replace("1.1", "1.0"));
    a_truncated_body: truncated(&length("9", "pond"), 4);
    a_truncated_head: truncated("HTTP/1.1 200 OK\r\nContent-Le", 0);
    no_response: truncated("", 0);
    truncated_chunks: truncated(&chunked("2\r\npo\r\n"), 2);
    a_truncated_chunk: truncated(&chunked("2\r\npo\r\n2\r\nn"), 3);
    truncated_trailers: truncated(&chunked("2\r\npo\r\n0\r\nX-Sum: 9\r\n"), 2);
    status_000: malformed("HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\npond");
    status_000_before_a_response: malformed(&format!("HTTP/1.1 000 None\r\n\r\n{}", length("4", "pond")));
    status_099: malformed("HTTP/1.1 099 None\r\nContent-Length: 4\r\n\r\npond");
    unasked_status_101: malformed("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    status_600: malformed("HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\npond");
    status_999: malformed("HTTP/1.1 999 Odd\r\n\r\npond");
    a_chunk_size_of_no_digit: malformed(&chunked("4\r\npond\r\n\r\n\r\n"));
    a_chunk_size_of_an_extension: malformed(&chunked("4\r\npond\r\n;x\r\n\r\n"));
    a_chunk_size_of_letters: malformed(&chunked("pond\r\n"));
    a_chunk_size_that_overflows: malformed(&chunked("fffffffffffffffff\r\npond"));
    a_chunk_without_end: malformed(&chunked("2\r\npond0\r\n\r\n"));
    a_trailer_without_name: malformed(&chunked("0\r\n: 9\r\n\r\n"));
    two_lengths: malformed(&length("4\r\nContent-Length: 5", "pond"));
    a_signed_length: malformed(&length("+4", "pond"));
    a_list_of_lengths: malformed(&length("4, 4", "pond"));
    a_length_and_chunks: malformed(&chunked("0\r\n\r\n").replace("\r\nT", "\r\nContent-Length: 4\r\nT"));
    another_coding: malformed(&chunked("0\r\n\r\n").replace("chunked", "gzip, chunked"));
    not_http: malformed("SSH-2.0-pond\r\n\r\n");
    a_head_too_large: too_large(&format!("{OK}X-Pond: {}", "x".repeat(600)), 512);
    a_complete_head_too_large:
        too_large(&length(&format!("4\r\nX-Pond: {}", "x".repeat(600)), "pond"), 512);
    a_body_too_large: too_large(&length("101", ""), 100);
    chunks_too_large: too_large(&chunked(&format!("60\r\n{}\r\n5\r\n", "x".repeat(96))), 100);
    a_chunk_too_large: too_large(&chunked("ffffffffffffffff\r\n"), 100);
    bytes_after_a_body: trailing_bytes(&length("4", "pond."));
    bytes_after_chunks: trailing_bytes(&chunked("0\r\n\r\n."));
    a_body_of_no_content:
        trailing_bytes("HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\npond");
    no_framing: unframed();
    reset_before_the_response: reset("");
    reset_within_the_head: reset("HTTP/1.1 200 OK\r\n");
    reset_within_the_body: reset(&length("9", "pond"));
    headers_of_the_connection: connection_headers_are_dropped();
}
