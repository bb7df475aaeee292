//! Requests that crash the servers that run them, sent again and again by their caller.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases;
use crate::script::{header_value, read_head, Action, Backend, OK};
use crate::site::{status, Site};

/// The path of requests that crash servers contains this word.
const CRASH: &str = "crash";

/// The time within which all instances have to recognise such a request (`contact` in the
/// platform's bounds).
const CONTACT: Duration = Duration::from_secs(3);

/// The retries that may reach servers after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// What callers of a server see when it has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crash {
    /// Its connections break, and no further ones are accepted.
    Process,
    /// Its connections, and further ones, stay silent.
    Machine,
}

/// A server that crashes when it gets a request with [`CRASH`] in its path.
#[derive(Clone, Debug)]
struct Fragile {
    address: SocketAddr,
    crash: Crash,
    /// How long it takes for other requests.
    work: Duration,
    /// After what time it returns, if at all.
    returns_after: Option<Duration>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    crashes: Arc<AtomicUsize>,
}

impl Fragile {
    /// Starts a server that counts its crash in `crashes` and does not return.
    fn spawn(crash: Crash, crashes: &Arc<AtomicUsize>) -> Self {
        Self::spawn_returning(crash, Duration::ZERO, None, crashes)
    }

    fn spawn_returning(
        crash: Crash,
        work: Duration,
        returns_after: Option<Duration>,
        crashes: &Arc<AtomicUsize>,
    ) -> Self {
        const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            crash,
            work,
            returns_after,
            streams: Arc::default(),
            crashes: crashes.clone(),
        };
        let (running, crashes) = (server.clone(), crashes.clone());
        thread::spawn(move || loop {
            let own = Arc::new(AtomicUsize::new(0));
            while own.load(Ordering::Acquire) == 0 {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let copy = stream.try_clone().unwrap();
                running.streams.lock().unwrap().push(copy);
                let (server, own) = (running.clone(), own.clone());
                thread::spawn(move || server.serve(stream, &own));
            }
            crashes.fetch_add(1, Ordering::AcqRel);
            let returns_at = running.returns_after.map(|after| Instant::now() + after);
            match (running.crash, returns_at) {
                (Crash::Machine, None) => return std::mem::forget(listener),
                (Crash::Machine, Some(at)) => {
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                }
                (Crash::Process, None) => {
                    drop(listener);
                    return running.close_connections();
                }
                (Crash::Process, Some(at)) => {
                    running.close_connections();
                    while Instant::now() < at {
                        drop(listener.accept());
                        thread::sleep(ACCEPT_INTERVAL);
                    }
                }
            }
            running.close_connections();
        });
        server
    }

    fn close_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, crashed: &AtomicUsize) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer) {
            if head.contains(CRASH) {
                crashed.store(1, Ordering::Release);
                return;
            }
            if !head.starts_with("GET /health ") {
                thread::sleep(self.work);
            }
            if crashed.load(Ordering::Acquire) > 0 {
                return;
            }
            let id = header_value(&head, "id").unwrap_or_default();
            if stream
                .write_all(OK.replace("{id}", &id).as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Acquire)
    }
}

/// Sends one request again and again, to instances in `centres` in turn, until it has crashed three
/// servers. Later than [`CONTACT`] after that, hardly any retry may reach a server, and all
/// refusals have to state that the request has not run.
///
/// Guards against instances that forget a request with its id: the caller's retries have other ids
/// and arrive at other instances. Also guards against crashes that go unnoticed because the server
/// falls silent instead of closing its connections.
fn check_retries(path: &str, crash: Crash, centres: &[&str]) {
    const SERVERS: usize = 24;
    const LATE_RETRIES: usize = 12;
    let crashes = Arc::default();
    let servers: Vec<Fragile> = (0..SERVERS)
        .map(|_| Fragile::spawn(crash, &crashes))
        .collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|s| s.address).collect();
    let sites = Site::open_fleet(&addresses, centres);
    let mut instances = sites.iter().cycle();
    let mut retry = || status(&instances.next().unwrap().call("GET", path, ""));
    for _ in 0..3 {
        if servers[0].crashes() < 3 {
            retry();
        }
    }
    thread::sleep(CONTACT);
    let before = servers[0].crashes();
    let statuses: Vec<u16> = (0..LATE_RETRIES).map(|_| retry()).collect();
    let late = servers[0].crashes() - before;
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} servers crashed: {statuses:?}"
    );
    assert!(
        statuses.iter().filter(|s| **s == 503).count() >= LATE_RETRIES - MAX_LATE_ARRIVALS,
        "{statuses:?}"
    );
    for site in &sites {
        assert_eq!(status(&site.call("GET", "/safe/7", "")), 200);
    }
}

cases! {
    idempotent_request_stops_crashing_servers =>
        check_retries("/safe/crash", Crash::Process, &["east"]);
    non_idempotent_request_stops_crashing_servers =>
        check_retries("/once/crash", Crash::Process, &["east"]);
    crashing_request_is_recognised_by_other_instances =>
        check_retries("/once/crash", Crash::Process, &["east", "east", "east"]);
    crashing_request_is_recognised_in_other_data_centres =>
        check_retries("/safe/crash", Crash::Process, &["east", "north", "west"]);
    idempotent_request_stops_silencing_servers =>
        check_retries("/safe/crash", Crash::Machine, &["east"]);
    non_idempotent_request_stops_silencing_servers =>
        check_retries("/once/crash", Crash::Machine, &["east"]);
    silencing_request_is_recognised_by_other_instances =>
        check_retries("/once/crash", Crash::Machine, &["east", "east", "east"]);
    silencing_request_is_recognised_in_other_data_centres =>
        check_retries("/safe/crash", Crash::Machine, &["east", "north", "west"]);
}

/// Guards against a request that is refused because its responses were lost while the servers
/// went on: lost responses do not show that it crashes servers.
#[test]
fn lost_responses_of_running_servers_are_no_crashes() {
    let lost = Action::Close;
    let backends = Backend::pair(&[lost, lost, lost, lost, Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let statuses = [(); 5].map(|()| {
        thread::sleep(Duration::from_millis(300));
        status(&site.call("POST", "/once/1", "levels"))
    });
    assert_eq!(statuses, [502, 502, 502, 502, 200]);
}

/// Two servers crash one after the other while they run a request that many callers send and one that
/// crashes servers, and return.
///
/// Guards against a popular request that is refused for long, though servers complete it, because it
/// was in flight wherever a server crashed.
#[test]
fn popular_request_beside_a_crashing_one_is_served_again() {
    const POPULAR: &str = "/once/popular";
    const CRASHING: &str = "/once/crash";
    const WORK: Duration = Duration::from_millis(800);
    const ARRIVAL: Duration = Duration::from_millis(100);
    const DOWNTIME: Duration = Duration::from_secs(2);
    let crashes = Arc::default();
    let servers =
        [(); 2].map(|()| Fragile::spawn_returning(Crash::Process, WORK, Some(DOWNTIME), &crashes));
    let addresses = servers.map(|server| server.address);
    let sites = Site::open_fleet(&addresses, &["east"]);
    let site = &sites[0];
    assert_eq!(status(&site.call("GET", POPULAR, "")), 200);
    thread::scope(|scope| {
        for running in (1..=addresses.len()).rev() {
            for _ in 0..running {
                scope.spawn(|| site.call("GET", POPULAR, ""));
            }
            thread::sleep(ARRIVAL);
            // A copy is refused until a probe has told that the server before has crashed.
            site.wait_until(|site| status(&site.call("GET", CRASHING, "")) == 502);
        }
    });
    assert_eq!(crashes.load(Ordering::Acquire), addresses.len());
    site.wait_until(|site| status(&site.call("GET", POPULAR, "")) == 200);
    assert_eq!(status(&site.call("GET", CRASHING, "")), 503);
}

/// Guards against a request that crashes servers and is cleared by a server that fails requests
/// without running them.
#[test]
fn failures_of_servers_do_not_clear_a_crashing_request() {
    const FAILURE: &str =
        "HTTP/1.1 500 Internal Server Error\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";
    const SERVERS: usize = 16;
    const REQUESTS: usize = 4;
    const COPIES: usize = 20;
    const COPY_INTERVAL: Duration = Duration::from_millis(20);
    let crashes = Arc::default();
    let fragile = (0..SERVERS).map(|_| Fragile::spawn(Crash::Process, &crashes).address);
    let failing = (0..SERVERS).map(|_| Backend::spawn(&[Action::Respond(FAILURE)]).address);
    let addresses: Vec<SocketAddr> = fragile.chain(failing).collect();
    let sites = Site::open_fleet(&addresses, &["east"]);
    for request in 0..REQUESTS {
        let before = crashes.load(Ordering::Acquire);
        for _ in 0..COPIES {
            sites[0].call("GET", &format!("/once/crash/{request}"), "");
            thread::sleep(COPY_INTERVAL);
        }
        let crashed = crashes.load(Ordering::Acquire) - before;
        assert!(crashed <= 2, "{crashed} servers crashed");
    }
}
