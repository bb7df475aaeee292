//! How old the records of an instance may become while calls, messages or other instances fail.

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use balance::order::{Order, Progress};
use balance::record::{Kind, Record};
use balance::replica::Delta;
use balance::server::Key;

use crate::cases;
use crate::messages::{CentreState, Heartbeat, Identity, Loans, Message};
use crate::script::{Action, Backend, OK};
use crate::site::{bound, config_without_route, server, status, Site};

/// The interval between two messages of an instance.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(50);

/// An instance that exists as far as its messages tell.
struct Peer {
    socket: UdpSocket,
    listener: TcpListener,
    identity: Identity,
}

impl Peer {
    /// Opens an instance in `centre` that sends messages to `site`.
    fn open(site: &Site, centre: &'static str) -> Self {
        let socket = UdpSocket::bind((site.callers.ip(), 0)).unwrap();
        let address = socket.local_addr().unwrap();
        socket.connect(site.peers).unwrap();
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            socket,
            listener,
            identity: (1, address, centre),
        }
    }

    fn send(&self, message: &Message) {
        let bytes = rmp_serde::to_vec(message).unwrap();
        self.socket.send(&bytes).unwrap();
    }

    /// Sends a heartbeat within the data centre.
    fn send_heartbeat(&self, is_reader: bool, revisions: [u64; 4], centres: &[CentreState]) {
        self.send(&Message::Beat(Box::new(Heartbeat {
            reads: is_reader,
            revisions,
            centres: centres.to_vec(),
            reads_store: is_reader,
            ..Heartbeat::new(self.identity)
        })));
    }

    /// Announces that the server has answered a probe, in case that this instance is to probe it.
    fn send_probe(&self, server: Key) {
        let event = (server, 0, Some([0, 0, 4, 100]), None, Some(Duration::ZERO));
        self.send(&Message::Events {
            from: self.identity.0,
            events: vec![event],
            waiting: Vec::new(),
        });
    }

    /// Sends the state of the data centre, of which this instance reads the store.
    fn send_state(&self, revisions: [u64; 4]) {
        let state = CentreState {
            reader: Some(self.identity),
            revisions,
            reads_store: true,
            ..CentreState::new(self.identity.2)
        };
        let state = Box::new(state);
        self.send(&Message::Centre(self.identity, state, false, Vec::new()));
    }
}

/// Returns whether the route of the requests is gone. An instance that knows of newer records refuses them
/// with 503.
fn is_changed(site: &Site) -> bool {
    matches!(status(&site.call("GET", "/safe/1", "")), 404 | 503)
}

/// Writes a change, and checks that it is in force in time. `each` runs meanwhile.
fn check_change(site: &Site, mut each: impl FnMut()) {
    let started_at = Instant::now();
    site.store
        .put(Kind::Config, "main", Some(config_without_route()));
    site.wait_until(|site| {
        each();
        is_changed(site)
    });
    let elapsed = started_at.elapsed();
    assert!(elapsed < bound(Kind::Config), "in force after {elapsed:?}");
}

/// Makes the long-polling calls that wait now return nothing any more. A reader that no longer reads the
/// store itself may have left some, which would otherwise show the change.
fn silence_waiting_calls(site: &Site) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(300);
    site.store.silence_watches(Kind::Config);
    std::thread::sleep(CHECK_INTERVAL);
}

/// Guards against a change that arrives late because all datagrams that carry it were lost, and with
/// them the first exchanges: their connections, `silent` of them, have fallen silent.
fn lost_push(silent: usize) {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let peer = Peer::open(&site, "east");
    let mut changes: [Option<Delta>; 4] = Default::default();
    changes[Kind::Config.index()] = Some(Delta {
        after: None,
        revision: 1000,
        changes: vec![("main".to_owned(), Some(config_without_route()))],
        after_outage: false,
    });
    let body = rmp_serde::to_vec(&changes).unwrap();
    let mut revisions = [0; 4];
    revisions[Kind::Config.index()] = 1000;
    let mut exchanges: Vec<TcpStream> = Vec::new();
    let started_at = Instant::now();
    site.wait_until(|site| {
        peer.send_heartbeat(false, revisions, &[]);
        if let Ok((mut exchange, _)) = peer.listener.accept() {
            if exchanges.len() >= silent {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                exchange
                    .write_all(&[head.as_bytes(), &body].concat())
                    .unwrap();
            }
            exchanges.push(exchange);
        }
        is_changed(site)
    });
    let elapsed = started_at.elapsed();
    assert!(elapsed < bound(Kind::Config), "in force after {elapsed:?}");
}

/// Guards against a change that stays unknown because one of the instances at `centres` has just ended,
/// which the others have not noticed.
fn lost_instance(centres: &[&str], lost: usize) {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let mut sites = Site::open_fleet(&[backend.address], centres);
    drop(sites.remove(lost));
    check_change(&sites[0], || ());
}

/// Guards against a change that stays unknown because the data centre ends that reads the store for the
/// other one.
fn lost_centre() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let mut sites = Site::open_fleet(&[backend.address], &["east", "west"]);
    silence_waiting_calls(&sites[1]);
    drop(sites.remove(0));
    check_change(&sites[0], || ());
}

/// Guards against a change that stays unknown because the instance that reads the store for the other
/// data centre still announces that it does, after its connections to the store have fallen silent.
fn reader_without_store() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let sites = Site::open_fleet(&[backend.address], &["east", "west"]);
    silence_waiting_calls(&sites[1]);
    sites[0].store.set_silent(true);
    check_change(&sites[1], || ());
}

/// Guards against a data centre that relies on the reader of another one for as long as that one announces
/// that it reads the store. It announces `revision`: that of the change, which its silent connections keep
/// back, or an old one, as its records have stayed old.
fn reader_elsewhere(revision: u64) {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let peer = Peer::open(&site, "centre");
    for _ in 0..10 {
        peer.send_state([0; 4]);
        std::thread::sleep(MESSAGE_INTERVAL);
    }
    silence_waiting_calls(&site);
    let mut exchanges = Vec::new();
    check_change(&site, || {
        peer.send_state([revision; 4]);
        exchanges.extend(peer.listener.accept());
    });
}

/// Guards against servers that are used although the data centre that lent them has been silent for longer
/// than a loan lasts. The reader repeats the last state, with its age.
#[test]
fn loan_ends_though_the_reader_repeats_it() {
    const EXPIRED: Duration = Duration::from_secs(2);
    const CHECKS: u32 = 40;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[]);
    let Record::Server(mut lent) = server("s0", backend.address) else {
        unreachable!("it is a server");
    };
    lent.centre = "west".to_owned();
    let key = lent.key();
    let loans = vec![("east", vec![key])];
    site.store
        .put(Kind::Servers, "s0", Some(Record::Server(lent)));
    let call = || status(&site.call("GET", "/safe/1", ""));
    site.wait_until(|_| call() == 200);
    let reader = Peer::open(&site, "east");
    let announce = |loans: &Loans, age: Duration| {
        let loans = loans.clone();
        let state = CentreState {
            loans,
            age,
            ..CentreState::new("west")
        };
        reader.send_heartbeat(true, [0; 4], &[state]);
        reader.send_probe(key);
        std::thread::sleep(MESSAGE_INTERVAL);
    };
    site.wait_until(|_| {
        announce(&Vec::new(), Duration::ZERO);
        call() == 503
    });
    site.wait_until(|_| {
        announce(&loans, Duration::ZERO);
        call() == 200
    });
    // The last word is as old as the repeated state from here on.
    std::thread::sleep(EXPIRED);
    let used = (0..CHECKS).filter(|_| {
        announce(&loans, EXPIRED);
        call() == 200
    });
    assert_eq!(used.count(), 0, "requests were sent to the server");
}

/// Guards against rollouts on which nobody decides while the store does not respond to the report of one:
/// their plans expire.
#[test]
fn rollout_goes_on_while_its_report_is_not_answered() {
    /// A plan that is not repeated has expired by then.
    const PLAN_EXPIRED: Duration = Duration::from_millis(2500);
    const REQUESTS: usize = 200;
    let backends = [(), ()].map(|()| Backend::spawn(&[Action::Respond(OK)]));
    let site = Site::open(&[&backends[0]]);
    let Record::Server(mut new) = server("s1", backends[1].address) else {
        unreachable!("it is a server");
    };
    new.version = "v2".to_owned();
    site.store.set_reports_silent();
    site.store.put(
        Kind::Orders,
        "gauge",
        Some(Record::Order(Order {
            service: "gauge".to_owned(),
            version: "v2".to_owned(),
            duration: Duration::from_secs(60),
            created: 7,
            revision: 7,
            progress: Progress::New,
        })),
    );
    site.store
        .put(Kind::Servers, "s1", Some(Record::Server(new)));
    let call = || status(&site.call("GET", "/safe/1", ""));
    // The new version's share of the requests is refused until its server is known.
    site.wait_until(|_| {
        call();
        !backends[1].requests().is_empty()
    });
    std::thread::sleep(PLAN_EXPIRED);
    let before = backends[1].requests().len();
    (0..REQUESTS).for_each(|_| assert_eq!(call(), 200));
    assert!(
        backends[1].requests().len() > before,
        "the new version gets no requests"
    );
}

cases! {
    change_is_in_force_in_time_if_all_pushes_are_lost => lost_push(0);
    change_is_in_force_in_time_if_a_connection_is_silent_too => lost_push(1);
    change_is_in_force_in_time_if_two_connections_are_silent_too => lost_push(2);
    change_is_in_force_in_time_if_the_reading_centre_is_lost => lost_centre();
    change_is_in_force_in_time_if_the_first_instance_is_lost =>
        lost_instance(&["east", "east", "east"], 0);
    change_is_in_force_in_time_if_the_second_instance_is_lost =>
        lost_instance(&["east", "east", "east"], 1);
    change_is_in_force_in_time_if_the_reading_centre_loses_the_store => reader_without_store();
    change_is_in_force_in_time_if_the_reading_centre_is_silent => reader_elsewhere(1000);
    change_is_in_force_in_time_if_the_reading_centre_has_old_records => reader_elsewhere(0);
}
