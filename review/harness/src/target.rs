//! Stand-in for a target of a service.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

pub const SLOTS: usize = 4;
const QUEUED: usize = 8;

/// What a target did with a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub service: String,
    /// Whether the connection was closed before the work was done. The work is dropped then.
    pub cut: bool,
    pub ended_at: f64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: String,
    work: Duration,
    born: AtomicU64,
    busy: AtomicUsize,
    /// Requests at work that read.
    reads: AtomicUsize,
    /// Until when the target is down after a crash.
    down_until: Mutex<Option<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Until when the target is dark after a crash: it is silent, and its address as well.
    dark_until: Mutex<Option<Instant>>,
    runs: Runs,
    record: Record,
}

impl Target {
    pub fn open(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            born: AtomicU64::new(unix_ms()),
            busy: AtomicUsize::new(0),
            reads: AtomicUsize::new(0),
            down_until: Mutex::default(),
            connections: Mutex::default(),
            dark_until: Mutex::default(),
            runs: runs.clone(),
            record: record.clone(),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(listener, address, &accepting));
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            shared,
        }
    }

    /// Returns how many requests that read the target is at work on.
    pub fn reads(&self) -> usize {
        self.shared.reads.load(Ordering::Acquire)
    }

    /// Crashes the target, which is back after `time` as a new boot under the same id.
    pub fn crash(&self, time: Duration) {
        self.shared
            .record
            .line(&format!("target {} crashes", self.id));
        *self.shared.down_until.lock().unwrap() = Some(Instant::now() + time);
        for stream in self.shared.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn is_down(&self) -> bool {
        self.shared.down_until.lock().unwrap().is_some()
    }

    /// Returns the target's entry in the store, the `seq`th that it writes.
    pub fn entry(&self, seq: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","warmup_left":"0ms","seq":{seq},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.shared.born.load(Ordering::Acquire)
        )
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Accepts connections. While the target is down, nothing listens at its address.
fn accept(listener: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    loop {
        if shared.is_dark() {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        let down_until = *shared.down_until.lock().unwrap();
        if let Some(until) = down_until {
            listener = None;
            if Instant::now() >= until {
                shared.born.store(unix_ms(), Ordering::Release);
                *shared.down_until.lock().unwrap() = None;
            }
        } else {
            let open = listener.get_or_insert_with(|| TcpListener::bind(address).unwrap());
            open.set_nonblocking(true).unwrap();
            while let Ok((stream, _)) = open.accept() {
                let _ = stream.set_nonblocking(false);
                if let Ok(clone) = stream.try_clone() {
                    shared.connections.lock().unwrap().push(clone);
                }
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

impl Shared {
    fn is_dark(&self) -> bool {
        self.dark_until
            .lock()
            .unwrap()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Waits while the target is dark. Returns whether it was.
    fn wait_while_dark(&self) -> bool {
        let was_dark = self.is_dark();
        while self.is_dark() {
            std::thread::sleep(Duration::from_millis(5));
        }
        was_dark
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(request) = http::read(&mut stream, &mut buffer) {
        if shared.wait_while_dark() {
            return;
        }
        if !respond(&mut stream, &request, shared) {
            return;
        }
    }
}

fn respond(stream: &mut TcpStream, request: &http::Message, shared: &Shared) -> bool {
    let busy = shared.busy.load(Ordering::Acquire);
    let load = format!(
        "{},{},{SLOTS},100",
        busy.min(SLOTS),
        busy.saturating_sub(SLOTS)
    );
    let id = request
        .header("x-request-id")
        .unwrap_or_default()
        .to_owned();
    if request.second() == "/health" {
        let headers = [
            ("X-Instance-Id", shared.id.clone()),
            ("X-Server-Load", load),
            ("X-Warmup-Ms", "0".to_owned()),
        ];
        return http::write(stream, "HTTP/1.1 200 OK", &headers, b"");
    }
    if request
        .header("x-expect-instance")
        .is_some_and(|expected| expected != shared.id)
    {
        let headers = [("X-Instance-Id", shared.id.clone())];
        return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    if busy >= SLOTS + QUEUED {
        let headers = [("X-Not-Executed", "1".to_owned())];
        return http::write(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"");
    }
    let ahead = shared.busy.fetch_add(1, Ordering::AcqRel);
    let is_read = request.line.starts_with("GET ");
    shared
        .reads
        .fetch_add(usize::from(is_read), Ordering::AcqRel);
    shared.record.line(&format!(
        "target {} ({}) runs {id}",
        shared.id, shared.service
    ));
    if request.second().ends_with("/crashing") {
        shared
            .record
            .line(&format!("target {} crashes under {id}", shared.id));
        shared.runs.lock().unwrap().push(Run {
            id,
            target: shared.id.clone(),
            service: shared.service.clone(),
            cut: false,
            ended_at: shared.record.now(),
        });
        *shared.dark_until.lock().unwrap() = Some(Instant::now() + Duration::from_millis(4500));
        shared.wait_while_dark();
        shared.busy.store(0, Ordering::Release);
        shared.reads.store(0, Ordering::Release);
        shared.born.store(unix_ms(), Ordering::Release);
        return false;
    }
    let rounds = u32::try_from(ahead / SLOTS + 1).unwrap();
    let until = Instant::now() + shared.work * rounds;
    let mut cut = false;
    while Instant::now() < until && !cut {
        std::thread::sleep(
            Duration::from_millis(3).min(until.saturating_duration_since(Instant::now())),
        );
        cut = is_closed(stream);
    }
    if shared.wait_while_dark() {
        return false;
    }
    let _ = shared
        .busy
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
            Some(n.saturating_sub(1))
        });
    shared
        .reads
        .fetch_sub(usize::from(is_read), Ordering::AcqRel);
    let end = if cut { "is cut off from" } else { "has done" };
    shared.record.line(&format!(
        "target {} ({}) {end} {id}",
        shared.id, shared.service
    ));
    shared.runs.lock().unwrap().push(Run {
        id: id.clone(),
        target: shared.id.clone(),
        service: shared.service.clone(),
        cut,
        ended_at: shared.record.now(),
    });
    if cut {
        return false;
    }
    let headers = [
        ("X-Request-Id", id),
        (
            "X-Response-Signature",
            "3e1b.07.5a2.600.0.c9f2a4d1".to_owned(),
        ),
        ("X-Server-Load", load),
    ];
    let body = format!("{} of {}", shared.id, shared.service);
    http::write(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}
