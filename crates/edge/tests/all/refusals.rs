//! Responses that a server repeats on a kept connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::cases;
use crate::script::{header_value, read_head, spawn, Executions, OK};
use crate::site::{status, Site};

/// Starts a server that refuses the first request of each connection with `refusal`. It runs later
/// ones, writes the refusal once more, and then the response. Returns the ids of requests that ran.
fn spawn_server(refusal: &'static str) -> (SocketAddr, Executions) {
    spawn(move |stream, executions| serve(stream, refusal, executions))
}

/// What a [`Repeater`] records in place of an id if a request arrives before the response to a probe
/// on the same connection.
const OVERTAKEN_PROBE: &str = "overtaken probe";

fn serve(mut stream: TcpStream, refusal: &str, executions: &Mutex<Vec<String>>) {
    const RUN_TIME: Duration = Duration::from_millis(20);
    let mut previous: Option<String> = None;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let id = header_value(&head, "id").unwrap_or_default();
        let response = if head.starts_with("GET /health ") {
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else if let Some(refusal) = &previous {
            executions.lock().unwrap().push(id.clone());
            let sent = stream.write_all(refusal.as_bytes());
            thread::sleep(RUN_TIME);
            if sent.is_err() {
                return;
            }
            OK.replace("{id}", &id)
        } else {
            let refusal = refusal.replace("{id}", &id);
            previous = Some(refusal.clone());
            refusal
        };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// A server that repeats its responses when it is probed.
#[derive(Clone, Copy)]
struct Repeater {
    /// The response to requests.
    response: &'static str,
    /// The time from the repeated response to the response to the probe.
    probe_delay: Duration,
}

impl Repeater {
    fn spawn(self) -> (SocketAddr, Executions) {
        spawn(move |stream, executions| self.serve(stream, executions))
    }

    /// Runs requests. A probe gets the last response on the connection once more and, after a delay,
    /// a refusal; the first probe on a connection gets a response at once.
    fn serve(self, mut stream: TcpStream, executions: &Mutex<Vec<String>>) {
        let mut last: Option<String> = None;
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer) {
            let response = if head.starts_with("GET /health ") {
                if let Some(last) = &last {
                    if stream.write_all(last.as_bytes()).is_err() {
                        return;
                    }
                    thread::sleep(self.probe_delay);
                    if has_more(&stream) {
                        executions.lock().unwrap().push(OVERTAKEN_PROBE.to_owned());
                    }
                    REFUSAL_WITHOUT_ID.to_owned()
                } else {
                    HEALTHY.to_owned()
                }
            } else {
                let id = header_value(&head, "id").unwrap_or_default();
                executions.lock().unwrap().push(id.clone());
                self.response.replace("{id}", &id)
            };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            last = Some(response);
        }
    }
}

/// Runs requests, and closes the connection after each, but refuses those that follow the first
/// probe on their connection.
fn serve_after_probe(mut stream: TcpStream, refused: &Mutex<Vec<String>>) {
    let mut probes = 0;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let id = header_value(&head, "id").unwrap_or_default();
        let response = if head.starts_with("GET /health ") {
            probes += 1;
            HEALTHY
        } else if probes == 1 {
            refused.lock().unwrap().push(id.clone());
            REFUSAL_WITHOUT_ID
        } else {
            OK_AND_CLOSE
        };
        let sent = stream.write_all(response.replace("{id}", &id).as_bytes());
        if sent.is_err() {
            return;
        }
    }
}

/// Guards against a true refusal without an id that is not believed because a probe has opened the
/// connection.
fn check_refusals_after_probes() {
    const REQUESTS: usize = 40;
    const PAUSE: Duration = Duration::from_millis(60);
    let (address, refused) = spawn(serve_after_probe);
    let sites = Site::open_fleet(&[address], &["east"]);
    for i in 0..REQUESTS {
        let id = format!("r{i}");
        let response = sites[0].post(&id);
        let is_refused = refused.lock().unwrap().contains(&id);
        assert_eq!(status(&response), if is_refused { 503 } else { 200 });
        let pause = if is_refused {
            PAUSE_AFTER_REFUSAL
        } else {
            PAUSE
        };
        thread::sleep(pause);
    }
    assert!(
        !refused.lock().unwrap().is_empty(),
        "no request met a probe"
    );
}

/// Returns whether bytes have arrived that were not read.
fn has_more(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let has_more = matches!(stream.peek(&mut [0]), Ok(length) if length > 0);
    stream.set_nonblocking(false).unwrap();
    has_more
}

/// Guards against a probe that takes the repeated response to a request for its own, and returns its
/// connection before the server has answered it.
fn check_probes_wait_for_their_responses() {
    const REQUESTS: usize = 100;
    const PAUSE: Duration = Duration::from_millis(5);
    let server = Repeater {
        response: OK,
        probe_delay: Duration::from_millis(40),
    };
    let (address, ran) = server.spawn();
    let sites = Site::open_fleet(&[address], &["east"]);
    for i in 0..REQUESTS {
        sites[0].post(&format!("r{i}"));
        thread::sleep(PAUSE);
    }
    let overtaken = ran.lock().unwrap().iter().any(|id| id == OVERTAKEN_PROBE);
    assert!(!overtaken, "a request overtook a probe");
}

/// Guards against requests that are reported as not run, or sent to a second server, because of the
/// refusal of a probe that was still in flight when another response was taken for its own.
fn check_refused_probes(server: Repeater, requests: usize, pause: Duration) {
    let (address, ran) = server.spawn();
    let (second, ran_at_second) = server.spawn();
    let sites = Site::open_fleet(&[address, second], &["east"]);
    let mut responses = Vec::new();
    for i in 0..requests {
        let id = format!("r{i}");
        let response = sites[0].post(&id);
        responses.push((id, response));
        thread::sleep(pause);
    }
    // A server runs a request that it received during the delay only after it.
    thread::sleep(server.probe_delay);
    for (id, response) in responses {
        let first = ran.lock().unwrap().contains(&id);
        let other = ran_at_second.lock().unwrap().contains(&id);
        assert!(!(first && other), "{id} ran twice");
        let has_run = first || other;
        assert!(!(has_run && status(&response) == 503), "{id}: {response}");
    }
}

/// A server that sheds gets no requests for so long.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(150);

/// Guards against requests that are reported as not run, or sent to a second server, because a
/// server repeated an earlier refusal while it ran them. Each of two servers is listed `entries`
/// times, under different ids.
fn check_repeated_refusal(refusal: &'static str, entries: usize) {
    const REQUESTS: usize = 6;
    let (address, ran) = spawn_server(refusal);
    let (second, ran_at_second) = spawn_server(refusal);
    let sites = Site::open_fleet(&[address, second].repeat(entries), &["east"]);
    for i in 0..REQUESTS {
        let id = format!("r{i}");
        let response = sites[0].post(&id);
        let first = ran.lock().unwrap().contains(&id);
        let other = ran_at_second.lock().unwrap().contains(&id);
        assert!(!(first && other), "{id} ran twice");
        let has_run = first || other;
        assert!(!(has_run && status(&response) == 503), "{id}: {response}");
        thread::sleep(PAUSE_AFTER_REFUSAL);
    }
}

/// Guards against a request that runs although it is refused, because its caller sent it again
/// under the same id, and the server repeated the first refusal on the same connection.
fn check_refusal_repeated_to_the_caller(refusal: &'static str) {
    let (address, ran) = spawn_server(refusal);
    let sites = Site::open_fleet(&[address], &["east"]);
    let first = sites[0].post("r0");
    assert_eq!(status(&first), 503, "{first}");
    thread::sleep(PAUSE_AFTER_REFUSAL);
    let second = sites[0].post("r0");
    let has_run = !ran.lock().unwrap().is_empty();
    assert!(!(has_run && status(&second) == 503), "{second}");
}

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nLoad: 1\r\nContent-Length: 0\r\n\r\n";
/// Responds to requests with `response`, and records those that arrive on a connection again.
fn serve_and_compare(mut stream: TcpStream, response: &str, repeated: &Mutex<Vec<String>>) {
    let mut ids = Vec::new();
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let id = header_value(&head, "id").unwrap_or_default();
        let is_probe = head.starts_with("GET /health ");
        if !is_probe && ids.contains(&id) {
            repeated.lock().unwrap().push(id.clone());
        }
        let response = if is_probe { HEALTHY } else { response };
        ids.push(id.clone());
        let sent = stream.write_all(response.replace("{id}", &id).as_bytes());
        if sent.is_err() {
            return;
        }
    }
}

/// Guards against an idempotent request that is sent to a connection again on which it has been
/// answered, where a repeated response could not be recognised. Each server is listed twice.
fn check_connections_of_retries(response: &'static str) {
    const REQUESTS: usize = 10;
    let serve = move |stream: TcpStream, repeated: &Mutex<Vec<String>>| {
        serve_and_compare(stream, response, repeated);
    };
    let (address, repeated) = spawn(serve);
    let (second, repeated_at_second) = spawn(serve);
    let sites = Site::open_fleet(&[address, second].repeat(2), &["east"]);
    for _ in 0..REQUESTS {
        // Sent again by the instance, and by the caller under the same id.
        sites[0].call("GET", "/safe/1", "");
        thread::sleep(PAUSE_AFTER_REFUSAL);
    }
    assert_eq!(*repeated.lock().unwrap(), [""; 0]);
    assert_eq!(*repeated_at_second.lock().unwrap(), [""; 0]);
}

const FAILURE: &str = "HTTP/1.1 500 Oops\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n";
const REFUSAL_WITHOUT_ID: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";
const OK_AND_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nConnection: close\r\n\
                            Content-Length: 4\r\n\r\npond";
const MISDIRECTION_WITHOUT_ID: &str = "HTTP/1.1 421 Not me\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTION: &str = "HTTP/1.1 421 Not me\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";

cases! {
    repeated_refusal_without_an_id_is_not_taken_for_another_request =>
        check_repeated_refusal(REFUSAL_WITHOUT_ID, 1);
    repeated_refusal_with_an_id_is_not_taken_for_another_request =>
        check_repeated_refusal(REFUSAL, 1);
    repeated_misdirection_is_not_taken_for_another_request =>
        check_repeated_refusal(MISDIRECTION_WITHOUT_ID, 1);
    refusal_repeated_to_the_same_request_is_not_taken_for_its_response =>
        check_repeated_refusal(REFUSAL, 2);
    misdirection_repeated_to_the_same_request_is_not_taken_for_its_response =>
        check_repeated_refusal(MISDIRECTION, 2);
    refusal_repeated_to_the_caller_of_the_same_request_is_true =>
        check_refusal_repeated_to_the_caller(REFUSAL);
    misdirection_repeated_to_the_caller_of_the_same_request_is_true =>
        check_refusal_repeated_to_the_caller(MISDIRECTION);
    refusal_of_a_probe_that_got_the_response_to_a_request_is_not_taken_for_the_next_response =>
        check_refused_probes(
            Repeater { response: OK, probe_delay: Duration::from_millis(40) },
            100,
            Duration::from_millis(5),
        );
    refusal_of_a_probe_that_got_the_response_to_a_probe_is_not_taken_for_the_next_response =>
        check_refused_probes(
            Repeater { response: OK_AND_CLOSE, probe_delay: Duration::from_millis(90) },
            20,
            Duration::from_millis(250),
        );
    probe_does_not_take_the_response_to_a_request => check_probes_wait_for_their_responses();
    refusal_without_an_id_after_a_probe_is_believed => check_refusals_after_probes();
    refused_request_is_sent_to_other_connections => check_connections_of_retries(REFUSAL);
    failed_request_is_sent_to_other_connections => check_connections_of_retries(FAILURE);
}
