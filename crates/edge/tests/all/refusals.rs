//! Refusals that a server repeats on a kept connection.

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

/// Guards against requests that are reported as not run, or sent to a second server, because a
/// server repeated an earlier refusal while it ran them.
fn check_repeated_refusal(refusal: &'static str) {
    const REQUESTS: usize = 6;
    const PAUSE: Duration = Duration::from_millis(150);
    let (address, ran) = spawn_server(refusal);
    let (second, ran_at_second) = spawn_server(refusal);
    let sites = Site::open_fleet(&[address, second], &["east"]);
    for i in 0..REQUESTS {
        let response = exchange(
            sites[0].callers,
            &format!(
                "POST /once/1 HTTP/1.1\r\nHost: pond.example\r\nId: r{i}\r\nWait: 5000\r\n\
                 Content-Length: 0\r\nConnection: close\r\n\r\n"
            ),
        );
        let id = format!("r{i}");
        let first = ran.lock().unwrap().contains(&id);
        let other = ran_at_second.lock().unwrap().contains(&id);
        assert!(!(first && other), "{id} ran twice");
        let has_run = first || other;
        assert!(!(has_run && status(&response) == 503), "{id}: {response}");
        // A server that sheds gets no requests for a moment.
        thread::sleep(PAUSE);
    }
}

cases! {
    repeated_refusal_without_an_id_is_not_taken_for_another_request =>
        check_repeated_refusal("HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n");
    repeated_refusal_with_an_id_is_not_taken_for_another_request =>
        check_repeated_refusal("HTTP/1.1 503 Busy\r\nId: {id}\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n");
    repeated_misdirection_is_not_taken_for_another_request =>
        check_repeated_refusal("HTTP/1.1 421 Not me\r\nContent-Length: 0\r\n\r\n");
}
