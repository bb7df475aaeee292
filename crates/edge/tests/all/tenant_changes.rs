//! Tenants, keys and routes that change while a connection is open or a request waits.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use balance::config::Config;

use crate::cases;
use crate::script::{header_value, read_head, spawn, Action, Backend, OK};
use crate::site::{status, Options, Site};
use crate::tenants::{
    apply, check_head, config_with, key, open, open_with, put, send, text, PERCH, PIKE, TENANTS,
};

/// How long a server that sheds asks for no requests, which wait meanwhile.
const SHED: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";

/// A connection that is kept open, on which requests follow each other.
struct Kept(TcpStream);

impl Kept {
    fn open(site: &Site) -> Self {
        Self(TcpStream::connect(site.callers).unwrap())
    }

    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads one response, and returns its status.
    fn read(&mut self) -> u16 {
        let mut bytes = Vec::new();
        let head = loop {
            let mut byte = [0];
            self.0.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
            if bytes.ends_with(b"\r\n\r\n") {
                break String::from_utf8(bytes).unwrap();
            }
        };
        let length = header_value(&head, "content-length").unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.0.read_exact(&mut body).unwrap();
        status(&head)
    }
}

/// Guards against a removed key that goes on to work on a connection where it was valid.
#[test]
fn key_is_removed_on_a_kept_connection() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open(&backend);
    let mut kept = Kept::open(&site);
    let request = text("/safe/1", &key(PIKE));
    kept.write(&request);
    assert_eq!(kept.read(), 200);
    apply(&site, config_with(6, &TENANTS[1..]));
    kept.write(&request);
    assert_eq!(kept.read(), 401);
    kept.write(&text("/safe/1", &key(PERCH)));
    assert_eq!(kept.read(), 200);
}

/// The path of the request that [`Gated`] servers hold back.
const HELD: &str = "/safe/1";

/// Two servers that hold back the first request to [`HELD`] until they are told to answer. They respond
/// to all others at once.
struct Gated {
    servers: [SocketAddr; 2],
    /// The heads of the requests to [`HELD`].
    heads: Arc<Mutex<Vec<String>>>,
    gate: Arc<AtomicBool>,
}

impl Gated {
    /// Starts the servers. They answer the first request with `first`, or close its connection.
    fn spawn(first: Option<&'static str>) -> Self {
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let gate: Arc<AtomicBool> = Arc::default();
        let servers = [(), ()].map(|()| {
            let (heads, gate) = (heads.clone(), gate.clone());
            spawn(move |stream, _| serve_gated(stream, first, &heads, &gate)).0
        });
        Self {
            servers,
            heads,
            gate,
        }
    }

    /// Waits until the first request has arrived.
    fn wait(&self, site: &Site) {
        site.wait_until(|_| !self.heads.lock().unwrap().is_empty());
    }

    fn release(&self) {
        self.gate.store(true, Ordering::Release);
    }

    fn arrivals(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

fn serve_gated(
    mut stream: TcpStream,
    first: Option<&str>,
    heads: &Mutex<Vec<String>>,
    gate: &AtomicBool,
) {
    const PAUSE: Duration = Duration::from_millis(5);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let mut response = Some(OK);
        if head.starts_with(&format!("GET {HELD} ")) {
            let number = {
                let mut heads = heads.lock().unwrap();
                heads.push(head);
                heads.len()
            };
            if number == 1 {
                while !gate.load(Ordering::Acquire) {
                    thread::sleep(PAUSE);
                }
                response = first;
            }
        }
        let Some(response) = response else { return };
        let sent = stream.write_all(response.replace("{id}", "r1").as_bytes());
        if sent.is_err() {
            return;
        }
    }
}

/// Guards against pipelined requests that are checked when they arrive, long before they are handled. The
/// second one is non-idempotent and waits for its turn, and the third one waits behind it.
#[test]
fn key_is_removed_before_a_pipelined_request_is_handled() {
    let gated = Gated::spawn(Some(OK));
    let site = open_with(&gated.servers, Options::default());
    let mut kept = Kept::open(&site);
    let requests = [HELD, "/once/1", HELD].map(|path| text(path, &key(PIKE)));
    kept.write(&requests.concat());
    gated.wait(&site);
    apply(&site, config_with(6, &TENANTS[1..]));
    gated.release();
    assert_eq!([(); 3].map(|()| kept.read()), [200, 401, 401]);
    assert_eq!(gated.arrivals(), 1);
}

/// Brings `changed` into force while a request that was never sent waits for its server. Returns its
/// status and what the server received of it.
fn change_while_waiting(changed: Config) -> (u16, Vec<String>) {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = open(&backend);
    let callers = site.callers;
    assert_eq!(status(&send(callers, "/safe/1", &key(PIKE))), 503);
    let waiting = thread::spawn(move || send(callers, "/once/2", &key(PIKE)));
    apply(&site, changed);
    let response = waiting.join().unwrap();
    let requests = backend.requests().into_iter();
    let heads = requests.filter(|head| head.starts_with("GET /once/2 "));
    (status(&response), heads.collect())
}

/// Brings `changed` into force while the server that a request was sent to takes its time, and then
/// answers with `first`, or closes the connection. Returns the status of the request, and how often it
/// was sent.
fn change_while_sent(
    first: Option<&'static str>,
    original: Config,
    changed: Config,
) -> (u16, usize) {
    let gated = Gated::spawn(first);
    let site = Site::open_with(&gated.servers, Options::default());
    apply(&site, original);
    let callers = site.callers;
    let caller = thread::spawn(move || send(callers, HELD, &key(PIKE)));
    gated.wait(&site);
    apply(&site, changed);
    gated.release();
    (status(&caller.join().unwrap()), gated.arrivals())
}

/// Returns [`config_with`] these tenants, in version 5.
fn before() -> Config {
    config_with(5, &TENANTS)
}

fn without_key() -> Config {
    config_with(6, &TENANTS[1..])
}

fn with_moved_key() -> Config {
    config_with(6, &[("perch", PIKE)])
}

fn without_route() -> Config {
    let mut changed = config_with(6, &TENANTS);
    changed
        .routes
        .retain(|r| !["safe", "once"].contains(&r.name.as_str()));
    changed
}

fn without_tenants(version: u32) -> Config {
    let mut changed = config_with(version, &TENANTS);
    changed.tenants = None;
    changed
}

/// Checks a request that was never sent: its status and, if it is sent, the tenant.
fn check_waiting(changed: Config, expected: u16, tenant: Option<&str>) {
    let (status, heads) = change_while_waiting(changed);
    assert_eq!(
        (status, heads.len()),
        (expected, usize::from(expected == 200))
    );
    for head in heads {
        check_head(&head, tenant);
    }
}

cases! {
    key_is_removed_while_a_request_waits => check_waiting(without_key(), 401, None);
    key_is_moved_while_a_request_waits => check_waiting(with_moved_key(), 200, Some("perch"));
    route_is_removed_while_a_request_waits => check_waiting(without_route(), 404, None);
    // The credentials were taken from the headers when the request arrived.
    tenants_are_removed_while_a_request_waits => check_waiting(without_tenants(6), 200, None);
    key_is_removed_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), without_key()), (401, 1));
    // It would otherwise be sent for two tenants.
    key_is_moved_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), with_moved_key()), (503, 1));
    route_is_removed_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), without_route()), (404, 1));
    tenants_are_added_before_a_second_attempt => assert_eq!(
        change_while_sent(Some(SHED), without_tenants(5), config_with(6, &TENANTS)), (503, 1));
    tenants_without_the_key_are_added_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), without_tenants(5), without_key()), (401, 1));
    nothing_changes_before_a_second_attempt => assert_eq!(
        change_while_sent(Some(SHED), before(), config_with(6, &TENANTS)), (200, 2));
    // The caller must not take the request for one that has not run.
    key_is_removed_after_the_request_may_have_run =>
        assert_eq!(change_while_sent(None, before(), without_key()), (502, 1));
    key_is_moved_after_the_request_may_have_run =>
        assert_eq!(change_while_sent(None, before(), with_moved_key()), (502, 1));
}

/// Guards against a request without a key that is sent although its route needs one by now.
#[test]
fn route_becomes_private_while_a_request_waits() {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = open(&backend);
    let callers = site.callers;
    assert_eq!(status(&send(callers, "/open/1", "")), 503);
    let waiting = thread::spawn(move || send(callers, "/open/2", ""));
    let mut changed = config_with(6, &TENANTS);
    changed
        .routes
        .iter_mut()
        .for_each(|route| route.public = false);
    apply(&site, changed);
    assert_eq!(status(&waiting.join().unwrap()), 401);
    assert_eq!(backend.requests().len(), 1);
}

/// Guards against a request that arrived before there were tenants, and is sent with its key.
#[test]
fn tenants_are_added_while_a_request_waits() {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    put(&site, without_tenants(5));
    site.wait_until(|site| status(&send(site.callers, "/open/1", "")) == 503);
    let callers = site.callers;
    let waiting = thread::spawn(move || send(callers, "/once/2", &key(PIKE)));
    apply(&site, config_with(6, &TENANTS));
    assert_eq!(status(&waiting.join().unwrap()), 200);
    check_head(backend.requests().last().unwrap(), Some("pike"));
}

/// Lets time pass for a while in steps of `step`, in which the instance does not run, while a request
/// that was never sent waits for its server. Returns the response.
fn stall_while_waiting(step: Duration) -> String {
    const STEPS: usize = 3;
    const RUN_TIME: Duration = Duration::from_millis(250);
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = open(&backend);
    let callers = site.callers;
    assert_eq!(status(&send(callers, "/safe/1", &key(PIKE))), 503);
    let waiting = thread::spawn(move || send(callers, "/once/2", &key(PIKE)));
    for _ in 0..STEPS {
        thread::sleep(RUN_TIME);
        site.clock.advance(step);
    }
    waiting.join().unwrap()
}

/// Guards against requests that are refused after the instance has not run for a moment, although its
/// keys are recent enough.
#[test]
fn requests_that_wait_are_served_after_a_short_stall() {
    let response = stall_while_waiting(Duration::from_millis(800));
    assert_eq!(status(&response), 200, "{response}");
}

/// Guards against a key that was removed while the instance was suspended, and works afterwards.
#[test]
fn requests_that_wait_are_refused_after_a_suspension() {
    let response = stall_while_waiting(Duration::from_millis(2100));
    assert_eq!(status(&response), 503, "{response}");
    assert!(response.contains("keys not confirmed"), "{response}");
    check_short_retry_after(&response);
}

/// Guards against callers that are told to wait for a server to have capacity, although what they wait
/// for is a configuration.
fn check_short_retry_after(response: &str) {
    let seconds: f64 = header_value(response, "retry-after")
        .unwrap()
        .parse()
        .unwrap();
    assert!(seconds < 0.5, "{response}");
}
