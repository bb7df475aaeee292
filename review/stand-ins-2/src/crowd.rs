//! A crowd whose requests are inside the limits.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::instance::{with_instances_of, Instance};
use crate::record::{Attempt, Record};
use crate::store::Store;
use crate::target::{Target, LONG, PAGE_BYTES};

/// The memory of the smallest machines of the site.
const MEMORY_MB: u64 = 160;

/// Ends of a process for which a day counts nothing, on this many machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

const LENGTH: Duration = Duration::from_secs(95);
const RESTART_AFTER: Duration = Duration::from_millis(500);
const ZONES: [&str; 1] = ["east-mids-a"];
const ORDER_TARGETS: usize = 120;
const UPLOAD_TARGETS: usize = 76;

/// The connections to one instance, fewer than it admits, and how many threads have them.
const CONNECTIONS: usize = 2550;
const THREADS: usize = 50;

/// The first of these threads send large bodies, the others small ones.
const UPLOADING_THREADS: usize = 3;
const UPLOAD_BYTES: usize = 250_000;
const BODY_BYTES: usize = 8_000;

/// The descriptors that one process needs at most.
const DESCRIPTORS: u64 = 8000;

/// The header fields of a request, which take less than `max_header_bytes` together.
const FIELDS: usize = 95;
const FIELD_BYTES: usize = 154;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"orders","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"6000ms","aim":"4000ms","priority":2,"max_attempts":2,"service":"orderdesk"},
{"name":"uploads","host":"pond.example","path_prefix":"/work/long-/","kind":"upload","timeout":"6000ms","aim":"4000ms","priority":1,"max_attempts":2,"service":"ingest"}],
"services":[{"name":"ingest","health_path":"/health","max_conns":1120,"warmup":"3s","warmup_per_s":5.8},{"name":"orderdesk","health_path":"/health","max_conns":1120,"warmup":"3s","warmup_per_s":5.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    if raise_descriptor_limit() < DESCRIPTORS {
        record.note("too few descriptors for the crowd");
        record.write(record_path).ok()?;
        return None;
    }
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let work = Duration::from_millis(1000);
    let open = |service| Target::open(service, ZONES[0], work, PAGE_BYTES, &store, &record);
    let _order_targets: Vec<_> = (0..ORDER_TARGETS).map(|_| open("orderdesk")).collect();
    let _upload_targets: Vec<_> = (0..UPLOAD_TARGETS).map(|_| open("ingest")).collect();
    let verdict = with_instances_of(MEMORY_MB, &store, &ZONES, MACHINES, |instances| {
        Some(play(&record, instances, trouble))
    });
    record.write(record_path).ok()?;
    verdict
}

/// Returns whether the rule held.
fn play(record: &Arc<Record>, instances: &[Arc<Instance>], trouble: bool) -> bool {
    let stopped = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicUsize>> = instances.iter().map(|_| Arc::default()).collect();
    let platforms: Vec<_> = instances
        .iter()
        .zip(&ends)
        .map(|(instance, ends)| {
            let (record, stopped) = (record.clone(), stopped.clone());
            let (instance, ends) = (instance.clone(), ends.clone());
            thread::spawn(move || limit_memory(&record, &instance, &ends, &stopped))
        })
        .collect();
    let answers: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let ordinary = client::run(record, instances, 0, Duration::from_millis(100), &stopped);
    if trouble {
        for instance in instances {
            for thread in 0..THREADS {
                let (record, answers) = (record.clone(), answers.clone());
                let (instance, stopped) = (instance.clone(), stopped.clone());
                thread::spawn(move || press(&record, &instance, thread, &answers, &stopped));
            }
        }
        record.note("the crowd comes");
    }
    let started = Instant::now();
    let all_ended = || ends.iter().all(|ends| ends.load(Ordering::Acquire) >= ENDS);
    while started.elapsed() < LENGTH && !all_ended() {
        thread::sleep(Duration::from_millis(100));
    }
    stopped.store(true, Ordering::Release);
    for platform in platforms {
        let _ = platform.join();
    }
    let _ = ordinary.join();
    let counts: Vec<usize> = ends
        .iter()
        .map(|ends| ends.load(Ordering::Acquire))
        .collect();
    record.note(&format!(
        "answers that the crowd got, by status: {:?}",
        answers.lock().unwrap()
    ));
    record.note(&format!(
        "processes that exceeded their memory and ended, by machine: {counts:?}"
    ));
    counts.iter().filter(|count| **count >= ENDS).count() < MACHINES
}

/// Ends the process whenever it exceeds the memory of its machine, and starts it again, as the platform does.
fn limit_memory(record: &Record, instance: &Instance, ends: &AtomicUsize, stopped: &AtomicBool) {
    let started = Instant::now();
    let mut noted_at = Duration::ZERO;
    while !stopped.load(Ordering::Acquire) {
        let memory = instance.memory_kib();
        if memory > MEMORY_MB * 1024 {
            instance.end();
            ends.fetch_add(1, Ordering::AcqRel);
            record.note(&format!(
                "instance {}: {memory} KiB, ended",
                instance.number
            ));
            thread::sleep(RESTART_AFTER);
            instance.restart();
        } else if started.elapsed() - noted_at >= Duration::from_secs(5) {
            noted_at = started.elapsed();
            record.note(&format!("instance {}: {memory} KiB", instance.number));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends requests that are inside the limits on many connections.
fn press(
    record: &Record,
    instance: &Instance,
    thread: usize,
    answers: &Mutex<BTreeMap<String, usize>>,
    stopped: &AtomicBool,
) {
    let is_uploading = thread < UPLOADING_THREADS;
    let (path, bytes, pause) = if is_uploading {
        (
            format!("{LONG}/upload"),
            UPLOAD_BYTES,
            Duration::from_millis(3200),
        )
    } else {
        (
            "/work/order".to_owned(),
            BODY_BYTES,
            Duration::from_millis(500),
        )
    };
    let body = vec![b'x'; bytes];
    let fields: String = (0..FIELDS)
        .map(|i| format!("X-Field-{i:03}: {}\r\n", "v".repeat(FIELD_BYTES - 15)))
        .collect();
    let mut connections: Vec<Option<TcpStream>> = Vec::new();
    connections.resize_with(CONNECTIONS / THREADS, || None);
    while !stopped.load(Ordering::Acquire) {
        for connection in &mut connections {
            if connection.is_none() {
                *connection = connect(instance);
            }
            let id = client::new_id();
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 6000\r\n{fields}Content-Length: {bytes}\r\n\r\n",
                client::HOST, id
            );
            let sent_at = Instant::now();
            let is_sent = connection.as_mut().is_some_and(|stream| {
                stream.write_all(request.as_bytes()).is_ok() && stream.write_all(&body).is_ok()
            });
            if !is_sent {
                *connection = None;
            }
            record.attempt(Attempt {
                id,
                path: path.clone(),
                instance: instance.number,
                sent_at,
                outcome: (if is_sent {
                    "sent by the crowd"
                } else {
                    "not sent"
                })
                .to_owned(),
            });
        }
        thread::sleep(pause);
        for connection in &mut connections {
            if connection
                .as_mut()
                .is_some_and(|stream| !read_answers(stream, answers))
            {
                *connection = None;
            }
        }
    }
}

fn connect(instance: &Instance) -> Option<TcpStream> {
    const LIMIT: Duration = Duration::from_secs(1);
    let stream = TcpStream::connect_timeout(&instance.front(), LIMIT).ok()?;
    stream.set_write_timeout(Some(LIMIT)).ok()?;
    Some(stream)
}

/// Reads what has arrived, and counts the answers in it. Returns whether the connection is still open.
fn read_answers(stream: &mut TcpStream, answers: &Mutex<BTreeMap<String, usize>>) -> bool {
    let mut bytes = [0; 16 * 1024];
    let mut received = Vec::new();
    let _ = stream.set_nonblocking(true);
    let is_open = loop {
        match stream.read(&mut bytes) {
            Ok(0) => break false,
            Ok(length) => received.extend_from_slice(&bytes[..length]),
            Err(error) => break error.kind() == ErrorKind::WouldBlock,
        }
    };
    let _ = stream.set_nonblocking(false);
    let text = String::from_utf8_lossy(&received);
    for (at, start) in text.match_indices("HTTP/1.1 ") {
        let status: String = text[at + start.len()..].chars().take(3).collect();
        *answers.lock().unwrap().entry(status).or_default() += 1;
    }
    is_open
}

/// Raises the process's soft limit on descriptors to its hard one, as the crowd takes some 5,000. Returns the
/// limit.
fn raise_descriptor_limit() -> u64 {
    const RLIMIT_NOFILE: i32 = 7;
    extern "C" {
        fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
        fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
    }
    let mut limit = [0, 0];
    // SAFETY: `limit` has the layout of `struct rlimit`.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) == 0 {
            limit[0] = limit[1];
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
    limit[0]
}
