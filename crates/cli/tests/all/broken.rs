//! Answers of instances that are cut off, and heads that are none.

use cli::exit::Code;
use cli::status;
use stand_in::fixed::{End, Response, Server};

use crate::cases;

const ENDS: [End; 2] = [End::ReadAndClose, End::Reset];

fn ask(answer: &[u8], end: End) -> Result<status::Overview, cli::Error> {
    let instance = Server::bind(Response::new(answer, end)).unwrap();
    let instances = vec![instance.address()];
    smol::block_on(status::run(&status::Request { instances }))
}

fn report() -> String {
    serde_json::to_string(&crate::status::report("one")).unwrap()
}

/// Checks that `answer` is none.
fn silent(answer: &[u8], end: End) {
    let error = ask(answer, end).expect_err("the answer is broken");
    assert_eq!(error.exit(), Code::Unreachable, "{end:?}: {error}");
}

/// Checks that `answer` is read only if all of it arrives. Its first `needed` bytes end it.
fn cut(answer: &str, needed: usize) {
    const STEP: usize = 13;
    for end in ENDS {
        for length in (0..needed).step_by(STEP).chain([needed - 1]) {
            silent(&answer.as_bytes()[..length], end);
        }
    }
    assert!(ask(answer.as_bytes(), End::ReadAndClose).is_ok());
}

fn cut_length() {
    let body = report();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    cut(&answer, answer.len());
}

fn cut_chunks() {
    let body = report();
    let (first, second) = body.split_at(body.len() / 2);
    let (one, two) = (first.len(), second.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{head}{one:x}\r\n{first}\r\n{two:x}\r\n{second}\r\n0\r\n\r\n");
    // The library doesn't wait for the end of the trailers.
    cut(&answer, answer.len() - "\r\n".len());
}

/// Checks that an answer which only the end of its connection ends is not taken for complete.
fn without_length() {
    let report = report();
    for body in [
        "",
        "\r\n",
        "0\r\n\r\n",
        &report,
        &report[..20],
        &format!("\r\n{report}"),
    ] {
        for end in ENDS {
            silent(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes(), end);
        }
    }
}

/// Checks that a head is none, whatever follows it.
fn malformed(head: &str) {
    let body = report();
    let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    silent(answer.as_bytes(), End::ReadAndClose);
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
    a_length_cut_off: cut_length();
    chunks_cut_off: cut_chunks();
    no_length: without_length();
    status_000: malformed("HTTP/1.1 000 None\r\n");
    status_600: malformed("HTTP/1.1 600 Odd\r\n");
    bytes_at_the_start_of_a_name: bytes_in_name(0);
    bytes_within_a_name: bytes_in_name(3);
    bytes_at_the_end_of_a_name: bytes_in_name(6);
    a_blank_before_the_colon_of_a_length: malformed_field("Content-Length : 9");
    a_folded_line: malformed_field("X-Pond: 1\r\n 2");
}
