//! Clients that pause while they read.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::http;
use crate::instance::{with_instances, Instance};
use crate::record::{Attempt, Record};
use crate::store::Store;
use crate::target::{Target, ARCHIVE, ARCHIVE_BYTES, PAGE_BYTES};

/// Requests that may be passed on to a target and get no byte of an answer.
const LOST: usize = 3;

/// How long a client does not read.
const PAUSE: Duration = Duration::from_secs(4);

const TIME_LIMIT: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["ikeja-a", "lekki-b", "ibadan-c"];
const CLIENTS: usize = 9;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"archive","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"10s","aim":"2000ms","priority":2,"max_attempts":2,"service":"vault"}],
"services":[{"name":"vault","health_path":"/health","max_conns":1100,"warmup":"3s","warmup_per_s":5.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let work = Duration::from_millis(100);
    let _targets: Vec<_> = (0..9)
        .map(|i| Target::open("vault", ZONES[i % 3], work, PAGE_BYTES, &store, &record))
        .collect();
    let verdict = with_instances(&store, &ZONES, 3, |instances| {
        Some(play(&record, instances, trouble))
    });
    record.write(record_path).ok()?;
    verdict
}

/// Returns whether the rule held.
fn play(record: &Arc<Record>, instances: &[Arc<Instance>], trouble: bool) -> bool {
    let clients = (0..CLIENTS).map(|number| {
        let (record, instance) = (record.clone(), instances[number % 3].clone());
        thread::spawn(move || {
            let attempts = read_archives(&instance, number, trouble);
            attempts.unwrap_or_else(|error| {
                record.note(&format!("client {number}: {error}"));
                Vec::new()
            })
        })
    });
    let clients: Vec<_> = clients.collect();
    let attempts: Vec<Attempt> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    let runs = record.runs.lock().unwrap().clone();
    let lost = attempts
        .iter()
        .filter(|a| a.outcome.starts_with("no byte") && runs.iter().any(|run| run.id == a.id))
        .count();
    let broken = attempts
        .iter()
        .filter(|a| a.outcome.starts_with("broken"))
        .count();
    for attempt in attempts {
        record.attempt(attempt);
    }
    record.note(&format!(
        "of {CLIENTS} clients, {broken} got an answer that breaks off; {lost} requests were passed on and got no byte of an answer"
    ));
    lost <= LOST
}

/// Sends a request, and when it has been answered two more, one behind the other. Pauses before it reads
/// their answers, if `pauses`.
fn read_archives(
    instance: &Instance,
    number: usize,
    pauses: bool,
) -> std::io::Result<Vec<Attempt>> {
    let mut stream = TcpStream::connect(instance.front())?;
    stream.set_read_timeout(Some(TIME_LIMIT))?;
    let mut buffer = Vec::new();
    let send = |stream: &mut TcpStream, path: String| {
        let id = client::new_id();
        let headers = [
            ("Host", client::HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
        ];
        http::write(stream, &format!("GET {path} HTTP/1.1"), &headers, b"")?;
        std::io::Result::Ok(Attempt {
            id,
            path,
            instance: instance.number,
            sent_at: Instant::now(),
            outcome: String::new(),
        })
    };
    let mut page = send(&mut stream, "/work/page".to_owned())?;
    page.outcome = read(&mut stream, &mut buffer, PAGE_BYTES, &page);
    let first = send(&mut stream, format!("{ARCHIVE}{number}-a"))?;
    let second = send(&mut stream, format!("{ARCHIVE}{number}-b"))?;
    if pauses {
        thread::sleep(PAUSE);
    }
    let mut attempts = vec![page, first, second];
    for attempt in &mut attempts[1..] {
        attempt.outcome = read(&mut stream, &mut buffer, ARCHIVE_BYTES, attempt);
    }
    Ok(attempts)
}

/// Reads the answer to `attempt`. Returns what came of it.
fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>, bytes: usize, attempt: &Attempt) -> String {
    let answer = http::read(stream, buffer);
    let took = attempt.sent_at.elapsed().as_millis();
    let received = std::mem::take(buffer);
    let outcome = match answer {
        Ok(Some(answer)) => {
            let is_own = answer.header("x-request-id") == Some(&attempt.id);
            *buffer = received;
            return format!(
                "{} {}, {} bytes, after {took} ms",
                if is_own && answer.body.len() == bytes {
                    "whole"
                } else {
                    "wrong"
                },
                answer.status(),
                answer.body.len()
            );
        }
        Ok(None) => "the connection was closed".to_owned(),
        Err(error) => error.to_string(),
    };
    let length = received.len();
    if length > 0 {
        format!("broken off after {length} bytes and {took} ms: {outcome}")
    } else {
        format!("no byte of an answer after {took} ms: {outcome}")
    }
}
