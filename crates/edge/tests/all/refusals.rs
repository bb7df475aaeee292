//! Responses that a server repeats on a kept connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::cases;
use crate::script::{header_value, read_head, OK};
use crate::site::{exchange, status, Site};

/// Starts a server that refuses the first request of each connection with `refusal`. It runs later
/// ones, writes the refusal once more, and then the response. Returns the ids of requests that ran.
fn spawn_server(refusal: &'static str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let executions = ran.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let executions = executions.clone();
            thread::spawn(move || serve(stream, refusal, &executions));
        }
    });
    (address, ran)
}

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

/// Sends a non-idempotent request. Returns the response.
fn post(site: &Site, id: &str) -> String {
    exchange(
        site.callers,
        &format!(
            "POST /once/1 HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\nWait: 5000\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        ),
    )
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
        let response = post(&sites[0], &id);
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
    let first = post(&sites[0], "r0");
    assert_eq!(status(&first), 503, "{first}");
    thread::sleep(PAUSE_AFTER_REFUSAL);
    let second = post(&sites[0], "r0");
    let has_run = !ran.lock().unwrap().is_empty();
    assert!(!(has_run && status(&second) == 503), "{second}");
}

const REFUSAL_WITHOUT_ID: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";
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
}
