//! Stand-in for a target: registers itself in the store, runs requests and may crash under them.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::{Record, Run};
use crate::store::Store;

/// The interval of the reports to the store, as in the settings of the instances.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The slots that a target tells.
pub const SLOTS: usize = 4;

/// How long a target is away after a crash.
const CRASH_TIME: Duration = Duration::from_millis(2500);

/// The prefix of paths that crash each target that begins to run them.
pub const DEADLY: &str = "/work/deadly-";

/// The prefix of paths with large answers, and their size.
pub const ARCHIVE: &str = "/work/archive-";
pub const ARCHIVE_BYTES: usize = 400_000;

/// The size of other answers.
pub const PAGE_BYTES: usize = 400;

/// The prefix of paths with long work, and how long it takes.
pub const LONG: &str = "/work/long-";
pub const LONG_WORK: Duration = Duration::from_secs(3);

/// Bytes behind a complete answer. They belong to no request, and name none: a target that takes
/// stray bytes for a request without an id would send this.
const EXTRA: &[u8] = b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct Life {
    id: String,
    born: u64,
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
}

/// A target with an address of its own. Each start has a new id.
pub struct Target {
    address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    work: Duration,
    response_bytes: usize,
    /// The share of the answers behind which further bytes follow.
    extra_share: f64,
    life: Mutex<Arc<Life>>,
    sequence: AtomicU64,
    draws: AtomicU64,
    store: Store,
    record: Arc<Record>,
}

fn new_life(service: &str) -> Arc<Life> {
    static STARTS: AtomicU64 = AtomicU64::new(0);
    let number = STARTS.fetch_add(1, Ordering::Relaxed);
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Arc::new(Life {
        id: format!("i-{service}-{number}"),
        born: u64::try_from(born.as_millis()).unwrap(),
        up: AtomicBool::new(true),
        connections: Mutex::default(),
        running: AtomicUsize::new(0),
    })
}

impl Target {
    pub fn open(
        service: &'static str,
        zone: &'static str,
        work: Duration,
        response_bytes: usize,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Self::open_faulty(service, zone, work, response_bytes, 0.0, store, record)
    }

    /// Opens a target that sends further bytes behind `extra_share` of its answers. They arrive late,
    /// where the next answer on the connection is expected.
    pub fn open_faulty(
        service: &'static str,
        zone: &'static str,
        work: Duration,
        response_bytes: usize,
        extra_share: f64,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let target = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            service,
            zone,
            work,
            response_bytes,
            extra_share,
            life: Mutex::new(new_life(service)),
            sequence: AtomicU64::new(0),
            draws: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
        });
        target.report();
        let accepting = target.clone();
        thread::spawn(move || accepting.accept(&listener));
        target
    }

    fn life(&self) -> Arc<Life> {
        self.life.lock().unwrap().clone()
    }

    /// Writes the entry of the target. The store gets a change only where the entry has one.
    fn report(&self) {
        let life = self.life();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","warmup_left":"0ms","seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, life.born
        );
        self.store.put("servers", &life.id, &spec);
    }

    /// Accepts connections. While the target is away, they are reset.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let life = self.life();
            if !life.up.load(Ordering::Acquire) {
                continue;
            }
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            life.connections.lock().unwrap().push(copy);
            let target = self.clone();
            thread::spawn(move || target.serve(stream, &life));
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, life: &Arc<Life>) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut has_extra = false;
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if std::mem::take(&mut has_extra) {
                self.record.note(&format!(
                    "{} sends the bytes behind its last answer, then reads {}",
                    life.id,
                    request.header("x-request-id").unwrap_or("a probe")
                ));
                if stream.write_all(EXTRA).is_err() {
                    return;
                }
            }
            if !life.up.load(Ordering::Acquire) || !self.respond(&mut stream, &request, life) {
                return;
            }
            has_extra = request.target() != "/health" && self.draw() < self.extra_share;
        }
    }

    /// Returns the next of a fixed sequence of numbers from 0 to 1.
    fn draw(&self) -> f64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let at = self.draws.fetch_add(STEP, Ordering::Relaxed);
        let mixed = (at ^ (at >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 27)) as f64 / u64::MAX as f64
    }

    fn respond(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        request: &http::Message,
        life: &Arc<Life>,
    ) -> bool {
        let load = |running: usize| format!("{running},0,{SLOTS},100");
        if request.target() == "/health" {
            let running = life.running.load(Ordering::Acquire);
            let headers = [
                ("X-Instance-Id", life.id.clone()),
                ("X-Server-Load", load(running)),
            ];
            return http::write(stream, "HTTP/1.1 200 OK", &headers, b"").is_ok();
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != life.id) {
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
            return http::write(stream, "HTTP/1.1 421 X", &headers, b"").is_ok();
        }
        self.record.run(Run {
            id: id.clone(),
            path: request.target().to_owned(),
            target: life.id.clone(),
            at: Instant::now(),
        });
        if request.target().starts_with(DEADLY) {
            self.crash(life);
            return false;
        }
        let running = life.running.fetch_add(1, Ordering::AcqRel) + 1;
        let is_long = request.target().starts_with(LONG);
        let has_left = work(stream, if is_long { LONG_WORK } else { self.work });
        life.running.fetch_sub(1, Ordering::AcqRel);
        self.record.end(&id, !has_left);
        if has_left {
            return false;
        }
        let headers = [
            ("X-Request-Id", id.clone()),
            ("X-Response-Signature", format!("sig-{id}")),
            ("X-Server-Load", load(running - 1)),
        ];
        let is_archive = request.target().starts_with(ARCHIVE);
        let bytes = if is_archive {
            ARCHIVE_BYTES
        } else {
            self.response_bytes
        };
        let body = vec![b'x'; bytes];
        http::write(stream, "HTTP/1.1 200 OK", &headers, &body).is_ok()
    }

    /// Ends all connections, and starts again with another id a while later. The old entry lapses after
    /// three intervals of silence.
    fn crash(self: &Arc<Self>, life: &Arc<Life>) {
        if !life.up.swap(false, Ordering::AcqRel) {
            return;
        }
        for connection in life.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let (target, life) = (self.clone(), life.clone());
        thread::spawn(move || {
            thread::sleep(CRASH_TIME);
            *target.life.lock().unwrap() = new_life(target.service);
            target.report();
            thread::sleep((HEARTBEAT * 3).saturating_sub(CRASH_TIME));
            target.store.delete("servers", &life.id);
        });
    }
}

/// Works for `time`. Stops as soon as the connection has ended. Returns whether it has.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let step = Duration::from_millis(10);
    let mut byte = [0];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        thread::sleep(left.min(step));
        let _ = stream.set_nonblocking(true);
        let seen = stream.peek(&mut byte);
        let _ = stream.set_nonblocking(false);
        let is_open = matches!(&seen, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        if !is_open && !matches!(seen, Ok(1..)) {
            return true;
        }
    }
}
