//! Responses that name no request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::cases;
use crate::script::{header_value, read_head, spawn, Action, Backend, Executions, OK, SHED};
use crate::site::{status, Site};

const MISDIRECTION: &str = "HTTP/1.1 421 Not me\r\nContent-Length: 0\r\n\r\n";
const FAILURE: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
const OK_AND_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nConnection: close\r\n\
                            Content-Length: 4\r\n\r\npond";

/// Guards against a response without an id that is skipped although it can only be the request's
/// own, so that its caller waits for the deadline: the server names requests in successes only.
fn check_response_after_named_one(response: &'static str, expected: u16) {
    let server = Backend::spawn(&[Action::Respond(OK), Action::Respond(response)]);
    let site = Site::open(&[&server]);
    assert_eq!(status(&site.post("r0")), 200);
    let response = site.post("r1");
    assert_eq!(status(&response), expected, "{response}");
}

/// Like it, with a second server that runs the requests.
fn check_refusal_is_retried(refusal: &'static str) {
    const REQUESTS: usize = 10;
    let busy = Backend::spawn(&[Action::Respond(OK), Action::Respond(refusal)]);
    let free = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&busy, &free]);
    for i in 0..REQUESTS {
        let response = site.post(&format!("r{i}"));
        assert_eq!(status(&response), 200, "{response}");
    }
}

/// Starts a server that responds to probes with `health`, and repeats that response before the one
/// to the next request on the connection, which it closes then.
fn spawn_probe_repeater(health: &'static str) -> (SocketAddr, Executions) {
    spawn(move |stream, executions| repeat_probe_response(stream, health, executions))
}

fn repeat_probe_response(mut stream: TcpStream, health: &str, executions: &Mutex<Vec<String>>) {
    const RUN_TIME: Duration = Duration::from_millis(20);
    let mut buffer = Vec::new();
    let mut is_probed = false;
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let id = header_value(&head, "id").unwrap_or_default();
        let is_probe = head.starts_with("GET /health ");
        if !is_probe {
            executions.lock().unwrap().push(id.clone());
        }
        // If this fails, so does the response.
        let _sent = (is_probed && !is_probe).then(|| stream.write_all(health.as_bytes()));
        let response = if is_probe {
            is_probed = true;
            health.to_owned()
        } else {
            thread::sleep(RUN_TIME);
            OK_AND_CLOSE.replace("{id}", &id)
        };
        if stream.write_all(response.as_bytes()).is_err() || !is_probe {
            return;
        }
    }
}

/// Guards against the repeated response to a probe that is passed on to the caller of the next request,
/// or takes the place of that request's response.
fn check_repeated_probe_response(health: &'static str) {
    const REQUESTS: usize = 12;
    const PAUSE: Duration = Duration::from_millis(130);
    let (address, ran) = spawn_probe_repeater(health);
    let sites = Site::open_fleet(&[address], &["east"]);
    for i in 0..REQUESTS {
        let id = format!("r{i}");
        let response = sites[0].post(&id);
        if ran.lock().unwrap().contains(&id) {
            assert_eq!(status(&response), 200, "{response}");
        }
        thread::sleep(PAUSE);
    }
    assert!(!ran.lock().unwrap().is_empty(), "no request ran");
}

cases! {
    refusal_after_a_named_response_is_believed => check_response_after_named_one(SHED, 503);
    misdirection_after_a_named_response_is_believed =>
        check_response_after_named_one(MISDIRECTION, 503);
    failure_after_a_named_response_is_passed_on => check_response_after_named_one(FAILURE, 500);
    refusal_after_named_responses_is_retried => check_refusal_is_retried(SHED);
    repeated_success_of_a_probe_is_skipped =>
        check_repeated_probe_response("HTTP/1.1 200 OK\r\nLoad: 1\r\nContent-Length: 0\r\n\r\n");
    repeated_unavailability_of_a_probe_is_not_passed_on =>
        check_repeated_probe_response("HTTP/1.1 503 Failing\r\nLoad: 1\r\nContent-Length: 0\r\n\r\n");
    repeated_missing_page_of_a_probe_is_not_passed_on =>
        check_repeated_probe_response("HTTP/1.1 404 No\r\nLoad: 1\r\nContent-Length: 0\r\n\r\n");
    repeated_failure_of_a_probe_is_not_passed_on =>
        check_repeated_probe_response("HTTP/1.1 500 No\r\nLoad: 1\r\nContent-Length: 0\r\n\r\n");
}
