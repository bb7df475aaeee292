//! Datagrams that are malformed, or hold values that no instance sends. None may end the task that
//! handles datagrams, or make the instance fail.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use balance::patch::Patch;
use balance::record::{Kind, Record};
use balance::replica::Delta;
use balance::server::Key;
use serde::Serialize;

use crate::cases;
use crate::endless::{CHUNK, CHUNKED, HEAD};
use crate::messages::{Heartbeat, Identity, Message, Stage};
use crate::script::{is_closed_while_writing, Action, Backend, OK};
use crate::site::{bound, config, server, status, Site};

/// How long a reply to a datagram is awaited until it is sent again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// An instance with one server, and a socket that sends datagrams to it.
pub(crate) struct Fixture {
    pub(crate) site: Site,
    socket: UdpSocket,
    key: Key,
}

impl Fixture {
    pub(crate) fn open() -> Self {
        let backend = Backend::spawn(&[Action::Respond(OK)]);
        let site = Site::open(&[&backend]);
        let socket = UdpSocket::bind((site.callers.ip(), 0)).unwrap();
        socket.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
        socket
            .connect((site.callers.ip(), site.peers_port()))
            .unwrap();
        let Record::Server(server) = server("s0", backend.address) else {
            unreachable!("it is a server");
        };
        Self {
            site,
            socket,
            key: server.key(),
        }
    }

    fn identity(&self, boot: u64) -> Identity {
        (boot, self.socket.local_addr().unwrap(), "east")
    }

    pub(crate) fn send<M>(&self, message: &M)
    where
        M: Serialize,
    {
        let bytes = rmp_serde::to_vec(message).unwrap();
        self.socket.send(&bytes).unwrap();
    }

    /// Checks that the instance handles datagrams and serves callers.
    pub(crate) fn check(&self) {
        for boot in 1..=4 {
            self.send(&Message::Leave(boot));
        }
        let is_reply = |bytes: &[u8]| bytes.windows(7).any(|window| window == b"Members");
        self.site.wait_until(|_| {
            // A datagram is lost while the instance's receive buffer is full.
            self.send(&Message::Hello(self.identity(9)));
            let mut reply = [0; 2048];
            let received = self.socket.recv(&mut reply);
            received.is_ok_and(|length| is_reply(&reply[..length]))
        });
        self.site
            .wait_until(|site| status(&site.call("GET", "/safe/1", "")) == 200);
    }
}

fn bytes_that_are_no_message() {
    let fixture = Fixture::open();
    let mut random = fastrand::Rng::with_seed(7);
    for length in 0..300 {
        let bytes: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
        fixture.socket.send(&bytes).unwrap();
    }
    fixture.check();
}

fn messages_that_are_cut_off_or_changed() {
    let fixture = Fixture::open();
    let message = Message::Events {
        from: 1,
        events: vec![(fixture.key, 1, Some([1, 0, 4, 100]), None, None)],
        waiting: vec![("gauge", 0, 1)],
    };
    let bytes = rmp_serde::to_vec(&message).unwrap();
    for end in 0..bytes.len() {
        fixture.socket.send(&bytes[..end]).unwrap();
        let mut changed = bytes.clone();
        changed[end] ^= 0xff;
        fixture.socket.send(&changed).unwrap();
    }
    fixture.check();
}

fn extreme_counts() {
    let fixture = Fixture::open();
    for boot in 1..=4 {
        for in_flight in [u32::MAX, 0, u32::MAX] {
            fixture.send(&Message::Events {
                from: boot,
                events: vec![(fixture.key, in_flight, Some([u32::MAX; 4]), None, None)],
                waiting: vec![("gauge", u32::MAX, u32::MAX)],
            });
        }
    }
    let settled = [(0, Some([0, 0, 4, 100]))];
    std::thread::sleep(Duration::from_millis(300));
    for (boot, (in_flight, report)) in (1..=4).zip(settled.into_iter().cycle()) {
        fixture.send(&Message::Events {
            from: boot,
            events: vec![(fixture.key, in_flight, report, None, Some(Duration::ZERO))],
            waiting: Vec::new(),
        });
    }
    fixture.check();
}

/// Guards against a key that is rejected for good although it may be in a configuration that another
/// instance announces.
fn announced_configuration() {
    let fixture = Fixture::open();
    let site = &fixture.site;
    let Record::Config(mut tenants) = config(5) else {
        unreachable!("it is a configuration");
    };
    tenants.tenants = Some([].into());
    let record = Record::Config(tenants);
    site.store.put(Kind::Config, "main", Some(record));
    let call = || status(&site.call("GET", "/safe/1", ""));
    site.wait_until(|_| call() == 401);
    let mut revisions = [0; 4];
    revisions[Kind::Config.index()] = u64::MAX;
    let heartbeat = Heartbeat {
        revisions,
        ..Heartbeat::new(fixture.identity(1))
    };
    site.wait_until(|_| {
        fixture.send(&Message::Beat(Box::new(heartbeat.clone())));
        call() == 503
    });
    fixture.send(&Message::Leave(1));
    site.wait_until(|_| call() == 401);
}

fn extreme_heartbeats() {
    let fixture = Fixture::open();
    for boot in 1..=4 {
        fixture.send(&Message::Beat(Box::new(Heartbeat {
            reads: boot == 1,
            held: vec![(fixture.key, u32::MAX)],
            moves: vec![(
                "gauge",
                (1, "v2"),
                vec![("safe", [[u32::MAX.into(); 5]; 2])],
            )],
            needs: vec![("gauge", f64::NAN), ("gauge", f64::INFINITY)],
            loans: vec![("west", vec![Key(u64::MAX)])],
            plans: vec![("gauge", (1, "v2"), Duration::MAX, Stage::Only("v2"))],
            unusable: vec![Key(0); 20],
            ..Heartbeat::new(fixture.identity(boot))
        })));
    }
    std::thread::sleep(Duration::from_millis(300));
    fixture.check();
}

/// An instance that announces newer records, and accepts connections without answering.
pub(crate) struct Silent {
    boot: u64,
    socket: UdpSocket,
    listener: TcpListener,
}

impl Silent {
    pub(crate) fn open(fixture: &Fixture, boot: u64) -> Self {
        let socket = UdpSocket::bind((fixture.site.callers.ip(), 0)).unwrap();
        let listener = TcpListener::bind(socket.local_addr().unwrap()).unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            boot,
            socket,
            listener,
        }
    }

    /// Announces newer records.
    fn announce(&self, fixture: &Fixture) {
        let identity = (self.boot, self.socket.local_addr().unwrap(), "east");
        fixture.send(&Message::Beat(Box::new(Heartbeat {
            revisions: [1000; 4],
            ..Heartbeat::new(identity)
        })));
    }

    /// Announces newer records until the instance connects.
    pub(crate) fn accept(&self, fixture: &Fixture) -> TcpStream {
        let mut accepted = None;
        fixture.site.wait_until(|_| {
            self.announce(fixture);
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        accepted.unwrap().0
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(mut stream: TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let end = stream.read_to_end(&mut Vec::new());
    !end.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Guards against records that stay old while a single exchange is awaited, whose connection has
/// fallen silent.
fn second_connection() {
    let fixture = Fixture::open();
    let silent = Silent::open(&fixture, 1);
    let first = silent.accept(&fixture);
    silent.accept(&fixture);
    assert!(!is_closed(first), "the first exchange was given up");
}

/// Guards against records that stay old for the time limit of an exchange, because both connections to
/// the only instance that has newer ones have fallen silent.
fn third_connection() {
    let fixture = Fixture::open();
    let silent = Silent::open(&fixture, 1);
    let _first = silent.accept(&fixture);
    let began_at = Instant::now();
    let _second = silent.accept(&fixture);
    silent.accept(&fixture);
    let elapsed = began_at.elapsed();
    assert!(
        elapsed < bound(Kind::Config),
        "{elapsed:?} without a connection"
    );
}

/// Guards against records that stay old while an instance that has been paused is awaited, though
/// another one has announced newer records since.
fn second_instance() {
    let fixture = Fixture::open();
    let exchanges: Vec<TcpStream> = (1..=3)
        .map(|boot| Silent::open(&fixture, boot).accept(&fixture))
        .collect();
    for exchange in exchanges {
        assert!(!is_closed(exchange), "an exchange was given up");
    }
}

/// Guards against an instance that stays behind because it got a patch for another configuration: it asks
/// for all of it, and only for that.
fn patch_for_another_configuration() {
    let fixture = Fixture::open();
    let [base, target] = [3, 8].map(|version| match config(version) {
        Record::Config(mut config) => {
            config.normalize();
            config
        }
        _ => unreachable!("it is a configuration"),
    });
    let patch = Patch::between(&base, &target).unwrap();
    let record = Record::ConfigPatch(Box::new(patch));
    fixture.send(&Message::Push {
        kind: Kind::Config,
        delta: Delta {
            after: Some(1),
            revision: 900,
            changes: vec![("main".to_owned(), Some(record))],
            after_outage: false,
        },
    });
    let mut exchange = Silent::open(&fixture, 1).accept(&fixture);
    exchange.set_nonblocking(false).unwrap();
    let mut request = [0; 4096];
    let length = exchange.read(&mut request).unwrap();
    let end = request.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let revisions: [u64; 4] = rmp_serde::from_slice(&request[end..length]).unwrap();
    assert_eq!(revisions[Kind::Config.index()], 0);
    assert!(revisions[Kind::Servers.index()] > 0);
    assert_eq!(status(&fixture.site.call("GET", "/safe/1", "")), 200);
}

/// Guards against a caller that is told for good that there is no route, by an instance which knows that
/// it has an older configuration than others.
fn unknown_route_while_behind() {
    let fixture = Fixture::open();
    let unknown = || fixture.site.call("GET", "/unknown/1", "");
    assert_eq!(status(&unknown()), 404);
    let newer = Silent::open(&fixture, 1);
    fixture.site.wait_until(|_| {
        newer.announce(&fixture);
        let response = unknown();
        status(&response) == 503 && response.to_ascii_lowercase().contains("retry-after: ")
    });
    assert_eq!(status(&fixture.site.call("GET", "/safe/1", "")), 200);
    // The others stop, and this instance cannot be behind them any more.
    fixture.send(&Message::Leave(1));
    fixture.site.wait_until(|_| status(&unknown()) == 404);
}

/// Guards against records that arrive slowly and are asked for anew, so that they arrive more slowly.
fn slow_exchange() {
    const PARTS: usize = 15;
    const PAUSE: Duration = Duration::from_millis(100);
    let fixture = Fixture::open();
    let slow = Silent::open(&fixture, 1);
    let mut exchange = slow.accept(&fixture);
    exchange
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        .unwrap();
    for _ in 0..PARTS {
        slow.announce(&fixture);
        std::thread::sleep(PAUSE);
        exchange.write_all(b"x").unwrap();
        assert!(slow.listener.accept().is_err(), "a second exchange began");
    }
}

/// Guards against an instance that waits for another one which is busy, though a third one has the
/// records by then, and against one that never asks again.
fn refused_exchange() {
    const BUSY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let fixture = Fixture::open();
    let [busy, idle] = [1, 2].map(|boot| Silent::open(&fixture, boot));
    busy.accept(&fixture).write_all(BUSY).unwrap();
    busy.accept(&fixture).write_all(BUSY).unwrap();
    let exchange = idle.accept(&fixture);
    assert!(!is_closed(exchange), "the exchange was given up");
}

/// Guards against an instance that never asks another one again, because two exchanges with it failed
/// after one another or at a time.
fn failed_exchanges() {
    let fixture = Fixture::open();
    let failing = Silent::open(&fixture, 1);
    let first = failing.accept(&fixture);
    for _ in 0..4 {
        drop(failing.accept(&fixture));
    }
    drop(first);
    failing.accept(&fixture);
}

/// Guards against an instance that keeps all bytes of another one which sends them without end.
fn endless_response(head: &str, part: &str) {
    let fixture = Fixture::open();
    let mut exchange = Silent::open(&fixture, 1).accept(&fixture);
    exchange.set_nonblocking(false).unwrap();
    exchange.write_all(head.as_bytes()).unwrap();
    assert!(is_closed_while_writing(&mut exchange, part));
    fixture.check();
}

cases! {
    key_may_be_in_a_configuration_that_is_announced => announced_configuration();
    random_bytes => bytes_that_are_no_message();
    damaged_messages => messages_that_are_cut_off_or_changed();
    counts_near_the_maximum => extreme_counts();
    heartbeats_with_extreme_values => extreme_heartbeats();
    silent_instance_is_asked_on_a_second_connection => second_connection();
    silent_instance_is_asked_again_before_its_exchanges_time_out => third_connection();
    further_instance_is_asked_while_one_is_silent => second_instance();
    patch_for_another_configuration_is_replaced_by_all_of_it => patch_for_another_configuration();
    unknown_route_is_not_refused_for_good_by_an_instance_that_is_behind =>
        unknown_route_while_behind();
    exchange_that_makes_progress_is_not_begun_again => slow_exchange();
    instance_whose_exchanges_failed_is_asked_again => failed_exchanges();
    instance_that_refuses_is_asked_again_and_others_are_asked => refused_exchange();
    head_of_another_instance_without_end => endless_response(HEAD, "pond");
    body_of_another_instance_without_end => endless_response(CHUNKED, CHUNK);
}
