//! Clients.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::instance::Instance;
use crate::record::{Attempt, Record};

/// The time that clients wait.
pub const TIME_LIMIT: Duration = Duration::from_millis(4000);

pub const HOST: &str = "pond.example";

/// Returns a new id of a request.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed) + 1)
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_LIMIT))?;
    Ok(stream)
}

fn exchange(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> std::io::Result<Option<http::Message>> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
    ];
    http::write(stream, &format!("{method} {path} HTTP/1.1"), &headers, body)?;
    http::read(stream, buffer)
}

/// Sends one request on a new connection. Returns the status, or 0 without an answer.
pub fn send(record: &Record, instance: &Instance, method: &str, path: &str) -> u16 {
    let id = new_id();
    let sent_at = Instant::now();
    let answer = connect(instance.front())
        .and_then(|mut stream| exchange(&mut stream, &mut Vec::new(), method, path, &id, b""));
    let (status, outcome) = match answer {
        Ok(Some(answer)) => (answer.status(), answer.status().to_string()),
        Ok(None) => (0, "closed".to_owned()),
        Err(error) => (0, error.kind().to_string()),
    };
    record.attempt(Attempt {
        id,
        path: path.to_owned(),
        instance: instance.number,
        sent_at,
        outcome,
    });
    status
}

/// Sends `GET /work/level` at intervals on kept connections to instances in rotation, until `stopped`.
pub fn run(
    record: &Arc<Record>,
    instances: &[Arc<Instance>],
    first: usize,
    interval: Duration,
    stopped: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    run_with(
        ("GET", "/work/level"),
        record,
        instances,
        first,
        interval,
        stopped,
    )
}

/// Like [`run`], with the given method and path.
pub fn run_with(
    (method, path): (&'static str, &'static str),
    record: &Arc<Record>,
    instances: &[Arc<Instance>],
    first: usize,
    interval: Duration,
    stopped: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, instances, stopped) = (record.clone(), instances.to_vec(), stopped.clone());
    thread::spawn(move || {
        let mut next = first;
        while !stopped.load(Ordering::Acquire) {
            next += 1;
            let instance = &instances[next % instances.len()];
            if !instance.in_rotation.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(mut stream) = connect(instance.front()) else {
                continue;
            };
            let mut buffer = Vec::new();
            while !stopped.load(Ordering::Acquire) {
                let id = new_id();
                let sent_at = Instant::now();
                let answer = exchange(&mut stream, &mut buffer, method, path, &id, b"");
                let (keeps, outcome) = match &answer {
                    Ok(Some(a)) => (!a.closes(), a.status().to_string()),
                    Ok(None) => (false, "closed".to_owned()),
                    Err(error) => (false, error.kind().to_string()),
                };
                record.attempt(Attempt {
                    id,
                    path: path.to_owned(),
                    instance: instance.number,
                    sent_at,
                    outcome,
                });
                thread::sleep(interval.saturating_sub(sent_at.elapsed()));
                if !keeps {
                    break;
                }
            }
        }
    })
}
