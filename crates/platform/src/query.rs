//! Percent-encoding of query values (RFC 3986, section 2.1), and revisions in queries.

use crate::Revision;

/// The revision of an absent object in a query.
const ABSENT: &str = "none";

/// Percent-encodes all characters of `text` except unreserved ones and `/`.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' => escaped.push(char::from(byte)),
            b'-' | b'.' | b'_' | b'~' | b'/' => escaped.push(char::from(byte)),
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// Decodes the result of [`escape`]. Returns `None` if `text` is malformed.
pub fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = tail;
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}

/// Returns the value of `name` in the query string `query`, still percent-encoded.
pub fn value<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(key, value)| (key == name).then_some(value))
}

/// Encodes `revision` for a query.
pub fn revision(revision: Option<Revision>) -> String {
    revision.map_or_else(|| ABSENT.to_owned(), |r| r.0.to_string())
}

/// Decodes the result of [`revision`]. The outer `Option` is `None` if `text` is malformed.
pub fn parse_revision(text: &str) -> Option<Option<Revision>> {
    if text == ABSENT {
        return Some(None);
    }
    let number = text.parse().ok()?;
    Some(Some(Revision(number)))
}
