//! Clients, and the platform's ingress in front of the machines.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, End};
use crate::machine::Machine;
use crate::record::Record;

pub const HOST: &str = "pond.example";

/// How a client's attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Complete {
        status: u16,
        signed: bool,
    },
    /// The connection ended without a complete answer.
    Closed,
    /// No connection was established.
    NotConnected,
    TimedOut,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

struct Request<'a> {
    id: &'a str,
    method: &'a str,
    path: &'a str,
    body: &'a [u8],
    deadline: Duration,
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()
}

fn write(stream: &mut TcpStream, request: &Request<'_>) -> bool {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", request.id.to_owned()),
        ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
    ];
    let line = format!("{} {} HTTP/1.1", request.method, request.path);
    http::write(stream, &line, &headers, request.body)
}

fn receive(stream: &mut TcpStream, deadline: Duration) -> Answer {
    let _ = stream.set_read_timeout(Some(deadline));
    match http::read(stream, &mut Vec::new()) {
        Ok(answer) => Answer::Complete {
            status: answer.status(),
            signed: answer.header("x-response-signature").is_some(),
        },
        Err(End::Closed(_)) => Answer::Closed,
        Err(End::TimedOut) => Answer::TimedOut,
    }
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub machine: usize,
    pub sent_at: f64,
    pub ended_at: f64,
    pub answer: Answer,
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

/// Sends one request on a new connection in the background.
pub fn send(
    machine: usize,
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    deadline: Duration,
    calls: &Calls,
    record: &Record,
) -> std::thread::JoinHandle<()> {
    let (calls, record) = (calls.clone(), record.clone());
    std::thread::spawn(move || {
        let id = next_id();
        let Some(mut stream) = connect(address) else {
            let now = record.now();
            record.line(&format!(
                "client: no connection for {id} to machine {machine}"
            ));
            calls.lock().unwrap().push(Call {
                id,
                machine,
                sent_at: now,
                ended_at: now,
                answer: Answer::NotConnected,
            });
            return;
        };
        let request = Request {
            id: &id,
            method,
            path,
            body: b"",
            deadline,
        };
        let is_written = write(&mut stream, &request);
        let sent_at = record.now();
        record.line(&format!(
            "client: {method} {path} {id} sent to machine {machine}"
        ));
        let answer = if is_written {
            receive(&mut stream, deadline)
        } else {
            Answer::Closed
        };
        record.line(&format!("client: {id} ends with {answer:?}"));
        calls.lock().unwrap().push(Call {
            id,
            machine,
            sent_at,
            ended_at: record.now(),
            answer,
        });
    })
}

/// The platform's ingress for one zone: asks each machine each second whether it is ready.
pub struct Ingress {
    fronts: Vec<SocketAddr>,
    misses: Vec<AtomicUsize>,
    next: AtomicUsize,
}

impl Ingress {
    pub fn open(machines: &[Machine]) -> Arc<Self> {
        let ingress = Arc::new(Self {
            fronts: machines.iter().map(|m| m.front).collect(),
            misses: machines.iter().map(|_| AtomicUsize::new(0)).collect(),
            next: AtomicUsize::new(0),
        });
        for (i, machine) in machines.iter().enumerate() {
            let (ingress, address) = (ingress.clone(), machine.ready_address());
            std::thread::spawn(move || loop {
                if Machine::is_ready(address) {
                    ingress.misses[i].store(0, Ordering::Release);
                } else {
                    ingress.misses[i].fetch_add(1, Ordering::AcqRel);
                }
                std::thread::sleep(Duration::from_secs(1));
            });
        }
        ingress
    }

    /// Returns the machine for a new connection. Machines are out of rotation after two misses; if
    /// fewer than half are in rotation, all of the zone's machines are used.
    pub fn route(&self) -> (usize, SocketAddr) {
        let all: Vec<usize> = (0..self.fronts.len()).collect();
        let is_in = |i: &usize| self.misses[*i].load(Ordering::Acquire) < 2;
        let ready: Vec<usize> = all.iter().copied().filter(is_in).collect();
        let used = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let machine = used[self.next.fetch_add(1, Ordering::AcqRel) % used.len()];
        (machine, self.fronts[machine])
    }
}
