//! Property tests: for any bytes received, an exchange ends with a response or a typed error.

use arbtest::arbitrary::{Result, Unstructured};

use crate::script::{exchange, End, LIMITS};

/// The time that each property may take.
const BUDGET_MS: u64 = 2000;

/// Fragments of responses, which reach more of the parser than random bytes.
const FRAGMENTS: [&str; 16] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.0 204 No Content\r\n",
    "Content-Length: 4\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: close\r\n",
    "X: ",
    "\r\n",
    "\r\n\r\n",
    "pond",
    "4\r\npond\r\n",
    "0\r\n",
    "ffffffffffffffff\r\n",
    "0",
    ";",
];

fn bytes(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while u.ratio(9, 10)? && !u.is_empty() {
        match u.ratio(1, 8)? {
            true => bytes.push(u.arbitrary()?),
            false => bytes.extend_from_slice(u.choose(&FRAGMENTS)?.as_bytes()),
        }
    }
    Ok(bytes)
}

#[test]
fn any_bytes_end_an_exchange() {
    arbtest::arbtest(|u| {
        let method = *u.choose(&["GET", "HEAD", "POST"])?;
        let end = *u.choose(&[End::Close, End::Reset])?;
        if let Ok((response, _)) = exchange(method, &bytes(u)?, end) {
            assert!(response.status >= 200);
            assert!(response.body.len() <= LIMITS.max_body_bytes);
        }
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}

/// Decodes a complete chunked body (RFC 9112, section 7.1), or returns `None`.
fn decode(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut rest = bytes;
    loop {
        let (line, after) = split_line(rest)?;
        let size = chunk_size(line)?;
        if size == 0 {
            return is_trailers(after).then_some(body);
        }
        let chunk = after.get(..size)?;
        body.extend_from_slice(chunk);
        rest = after[size..].strip_prefix(b"\r\n")?;
    }
}

fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|w| w == b"\r\n")?;
    Some((&bytes[..end], &bytes[end + 2..]))
}

fn chunk_size(line: &[u8]) -> Option<usize> {
    let digits = line.split(|&b| b == b';').next()?;
    let text = std::str::from_utf8(digits).ok()?;
    if text.starts_with('+') {
        return None;
    }
    usize::from_str_radix(text, 16).ok()
}

/// Returns whether `bytes` consists of any number of trailers `X: 9` and the empty line.
fn is_trailers(mut bytes: &[u8]) -> bool {
    while let Some(rest) = bytes.strip_prefix(b"X: 9\r\n") {
        bytes = rest;
    }
    bytes == b"\r\n"
}

#[test]
fn chunked_bodies_match_a_naive_decoder() {
    const CHUNK_FRAGMENTS: [&str; 12] = [
        "4\r\npond\r\n",
        "0\r\n",
        "\r\n",
        "02\r\n",
        "a\r\n0123456789\r\n",
        ";x=y",
        "po",
        "X: 9\r\n",
        "2",
        "F",
        "+",
        "3;",
    ];
    arbtest::arbtest(|u| {
        let mut coded = String::new();
        while u.ratio(7, 8)? && coded.len() < LIMITS.max_body_bytes {
            coded.push_str(u.choose(&CHUNK_FRAGMENTS)?);
        }
        if u.ratio(3, 4)? {
            coded.push_str("0\r\n\r\n");
        }
        let bytes = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{coded}");
        let found = exchange("GET", bytes.as_bytes(), End::Close);
        let body = found.as_ref().ok().map(|(response, _)| &response.body);
        let expected = decode(coded.as_bytes());
        assert_eq!(
            body,
            expected.as_ref(),
            "{coded:?}: {:?}",
            found.as_ref().err()
        );
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}
