//! A stand-in for a backend server that runs each request and records it.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// The requests that wait for a slot, at most, as on the small sites.
const QUEUE: u32 = 8;

/// The requests that a server has.
#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// What a server does.
#[derive(Clone, Copy)]
pub struct Work {
    pub slots: u32,
    pub time: Duration,
    pub response_bytes: usize,
}

/// A running server.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// When requests arrived that the server took or refused.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    /// How often each request id was run.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Responses that could not be written whole.
    pub unwritten: Arc<AtomicU32>,
    load: Arc<(Mutex<Load>, Condvar)>,
    work: Arc<Mutex<Work>>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    /// Whether the server is also slow while it is cold.
    is_starting: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
}

impl Target {
    pub fn open(id: &str, service: &str, address: SocketAddr, work: Work) -> Self {
        let listener = TcpListener::bind(address).expect("bind a server");
        let address = listener.local_addr().expect("address");
        let target = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots: work.slots,
            arrivals: Arc::default(),
            runs: Arc::default(),
            unwritten: Arc::default(),
            load: Arc::default(),
            work: Arc::new(Mutex::new(work)),
            cold_until: Arc::default(),
            is_starting: Arc::default(),
            is_leaving: Arc::default(),
        };
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let target = serving.clone();
                thread::spawn(move || target.serve(&stream));
            }
        });
        target
    }

    /// Starts the server anew: it is cold for `warmup`, and slow.
    pub fn start_cold(&self, warmup: Duration) {
        self.is_starting.store(true, Ordering::Release);
        self.become_cold(warmup);
    }

    /// Makes the server cold for `warmup`, without a new start.
    pub fn become_cold(&self, warmup: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + warmup);
    }

    /// From now on the server says that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    fn warmup_left(&self) -> Duration {
        let cold_until = *self.cold_until.lock().unwrap();
        cold_until.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    /// The entry in the store.
    pub fn entry(&self, zone: &str, version: &str, state: &str) -> String {
        let Self {
            service,
            address,
            slots,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","warmup_left":"{}ms","seq":1,"born":1790000000000}}"#,
            self.warmup_left().as_millis()
        )
    }

    #[allow(dead_code)]
    pub fn total_runs(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.answer(stream, &request).is_err() {
                return;
            }
        }
    }

    /// Waits for a slot while the queue has room and the time limit has not passed. Returns whether there
    /// is one.
    fn take_slot(&self, slots: u32, limit: Duration) -> bool {
        let (load, freed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.running >= slots {
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
            let is_full = |load: &mut Load| load.running >= slots;
            let (mut after, waited) = freed.wait_timeout_while(load, limit, is_full).unwrap();
            after.waiting -= 1;
            if waited.timed_out() {
                return false;
            }
            load = after;
        }
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.0.lock().unwrap().running -= 1;
        self.load.1.notify_one();
    }

    fn load(&self) -> String {
        let Load { running, waiting } = *self.load.0.lock().unwrap();
        let leaving = if self.is_leaving.load(Ordering::Acquire) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        format!(
            "X-Server-Load: {running},{waiting},{},100\r\n{leaving}",
            self.slots
        )
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if request.line[1] == "/health" {
            let warmup_left = self.warmup_left().as_millis();
            let headers = format!(
                "X-Instance-Id: {}\r\nX-Warmup-Ms: {warmup_left}\r\n{}",
                self.id,
                self.load()
            );
            let status = if self.is_leaving.load(Ordering::Acquire) {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return http::respond(&mut stream, status, &headers, b"\n");
        }
        let named = format!("X-Request-Id: {id}\r\n");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return http::respond(&mut stream, "421 Misdirected Request", &named, b"");
        }
        self.arrivals
            .lock()
            .unwrap()
            .push((Instant::now(), id.clone()));
        let work = *self.work.lock().unwrap();
        let limit = request.header("x-deadline-ms");
        let limit = limit.and_then(|limit| limit.parse().ok()).unwrap_or(0);
        if !self.take_slot(work.slots, Duration::from_millis(limit)) {
            let headers = format!("{named}X-Not-Executed: 1\r\n{}", self.load());
            return http::respond(&mut stream, "503 Service Unavailable", &headers, b"full\n");
        }
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        // A server that has just started takes twice as long.
        let is_slow = self.is_starting.load(Ordering::Acquire) && !self.warmup_left().is_zero();
        let factor = 1 + u32::from(is_slow);
        thread::sleep(work.time * factor);
        self.free_slot();
        let headers = format!("{named}X-Response-Signature: s.{id}\r\n{}", self.load());
        let body = body(&id, work.response_bytes);
        let written = http::respond(&mut stream, "200 OK", &headers, &body);
        if written.is_err() {
            self.unwritten.fetch_add(1, Ordering::Relaxed);
        }
        written.and_then(|()| stream.flush())
    }
}

/// The body of the response to a request: its id, repeated.
pub fn body(id: &str, length: usize) -> Vec<u8> {
    id.bytes().chain(*b"\n").cycle().take(length).collect()
}
