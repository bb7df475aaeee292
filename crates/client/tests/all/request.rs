//! Tests of the encoding of requests.

use client::{Delivery, Error, Request};

use crate::script::request;

fn headers(pairs: &[(&str, &[u8])]) -> Vec<(String, Vec<u8>)> {
    let pairs = pairs.iter();
    pairs.map(|(n, v)| ((*n).to_owned(), v.to_vec())).collect()
}

fn encodes(headers: &[(String, Vec<u8>)], body: &[u8], expected: &str) {
    let request = Request {
        headers,
        body,
        ..request("POST")
    };
    let bytes = request.encode().unwrap();
    assert_eq!(String::from_utf8(bytes).unwrap(), expected);
}

fn hop_by_hop() {
    let headers = headers(&[
        ("Connection", b"close"),
        ("Keep-Alive", b"timeout=5"),
        ("TE", b"trailers"),
        ("Transfer-Encoding", b"chunked"),
        ("Upgrade", b"h2c"),
        ("Proxy-Connection", b"close"),
        ("Host", b"other.test"),
        ("content-length", b"9"),
        ("X-Pond", b"3"),
    ]);
    let expected = "POST /levels?pond=3 HTTP/1.1\r\nHost: gauge.test\r\nX-Pond: 3\r\n\
                    Content-Length: 4\r\n\r\nbody";
    encodes(&headers, b"body", expected);
}

fn empty_body() {
    let expected = "POST /levels?pond=3 HTTP/1.1\r\nHost: gauge.test\r\nContent-Length: 0\r\n\r\n";
    encodes(&[], b"", expected);
}

fn refused(request: &Request<'_>) {
    let error = request.encode().unwrap_err();
    assert!(matches!(error, Error::InvalidRequest), "{error:?}");
    assert_eq!(error.delivery(), Delivery::NotSent);
}

fn refused_header(name: &str, value: &[u8]) {
    refused(&Request {
        headers: &headers(&[(name, value)]),
        ..request("GET")
    });
}

fn any_header_stays_one() {
    arbtest::arbtest(|u| {
        let name: String = u.arbitrary()?;
        let value: Vec<u8> = u.arbitrary()?;
        let sent = [(name, value)];
        let request = Request {
            headers: &sent,
            ..request("GET")
        };
        let Ok(bytes) = request.encode() else {
            return Ok(());
        };
        let mut parsed = [httparse::EMPTY_HEADER; 4];
        let mut head = httparse::Request::new(&mut parsed);
        let length = head.parse(&bytes).unwrap().unwrap();
        assert_eq!(length, bytes.len());
        assert!(head.headers.len() <= 2, "{:?}", head.headers);
        Ok(())
    });
}

/// Mixes line breaks with valid bytes, which random bytes rarely contain.
fn line_breaks_do_not_inject() {
    arbtest::arbtest(|u| {
        const FRAGMENTS: [&[u8]; 7] = [
            b"a",
            b"\r",
            b"\n",
            b"\r\n",
            b"\0",
            b"\r\nX: 1",
            b"\r\n\r\nGET / HTTP/1.1",
        ];
        const MAX_FRAGMENTS: usize = 16;
        let mut value = b"v".to_vec();
        for _ in 0..u.int_in_range(0..=MAX_FRAGMENTS)? {
            value.extend_from_slice(u.choose(&FRAGMENTS)?);
        }
        let is_plain = value.iter().all(|b| b.is_ascii_alphabetic());
        let request = Request {
            headers: &[("X-Pond".to_owned(), value)],
            ..request("GET")
        };
        assert_eq!(request.encode().is_ok(), is_plain);
        Ok(())
    });
}

cases! {
    hop_by_hop_headers_are_left_out: hop_by_hop();
    an_empty_body_has_a_length: empty_body();
    a_line_break_in_a_value: refused_header("X-Pond", b"3\r\nX-Other: 4");
    a_line_feed_in_a_value: refused_header("X-Pond", b"3\nX-Other: 4");
    a_line_break_in_a_name: refused_header("X-Pond: 3\r\nX-Other", b"4");
    a_header_without_a_name: refused_header("", b"4");
    a_blank_in_the_target: refused(&Request { target: "/ HTTP/1.1", ..request("GET") });
    a_line_break_in_the_target: refused(&Request { target: "/\r\nX:1", ..request("GET") });
    a_line_break_in_the_host: refused(&Request { host: "a\r\nX: 1", ..request("GET") });
    a_blank_in_the_method: refused(&request("GET /"));
    any_header_is_encoded_as_one_header: any_header_stays_one();
    line_breaks_do_not_inject_headers: line_breaks_do_not_inject();
}
