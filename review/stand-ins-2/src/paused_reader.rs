//! Clients that pause while they read an answer.

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

/// Requests whose connection may be closed without an answer.
const LOST: usize = 3;

/// How long a client does not read, with the disruption and without.
const PAUSE: Duration = Duration::from_millis(4000);
const NO_PAUSE: Duration = Duration::from_millis(0);

const TIME_LIMIT: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["ikeja-a", "lekki-b", "ibadan-c"];

const CLIENTS: usize = 9;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"archive","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"10s","aim":"2000ms","priority":2,"max_attempts":3,"service":"vault"}],
"services":[{"name":"vault","health_path":"/health","max_conns":260,"warmup":"3s","warmup_per_s":5.4}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let _targets: Vec<_> = (0..9)
        .map(|i| {
            Target::open(
                "vault",
                ZONES[i % 3],
                Duration::from_millis(100),
                PAGE_BYTES,
                &store,
                &record,
            )
        })
        .collect();
    let verdict = with_instances(&store, &ZONES, 3, |instances| {
        play(&record, instances, if trouble { PAUSE } else { NO_PAUSE })
    });
    record.write(record_path).ok()?;
    verdict
}

/// Returns whether the rule held.
fn play(record: &Arc<Record>, instances: &[Arc<Instance>], pause: Duration) -> Option<bool> {
    let clients = (0..CLIENTS).map(|i| {
        let (record, instance) = (record.clone(), instances[i % 3].clone());
        thread::spawn(move || read_archive(&record, &instance, i, pause))
    });
    let clients: Vec<_> = clients.collect();
    let lost = clients
        .into_iter()
        .filter_map(|c| c.join().ok())
        .filter(|ok| !ok)
        .count();
    record.note(&format!(
        "{lost} of {CLIENTS} requests got no complete answer"
    ));
    Some(lost <= LOST)
}

/// Sends two requests on one connection, and pauses before it reads the second answer.
fn read_archive(record: &Record, instance: &Instance, number: usize, pause: Duration) -> bool {
    let outcome = (|| {
        let mut stream = TcpStream::connect(instance.front())?;
        stream.set_read_timeout(Some(TIME_LIMIT))?;
        let mut buffer = Vec::new();
        let requests = [
            ("/work/page".to_owned(), PAGE_BYTES, NO_PAUSE),
            (format!("{ARCHIVE}{number}"), ARCHIVE_BYTES, pause),
        ];
        for (path, bytes, pause) in requests {
            let id = client::new_id();
            let sent_at = Instant::now();
            let headers = [
                ("Host", client::HOST.to_owned()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
            ];
            http::write(&mut stream, &format!("GET {path} HTTP/1.1"), &headers, b"")?;
            thread::sleep(pause);
            let answer = http::read(&mut stream, &mut buffer);
            let took = sent_at.elapsed();
            let outcome = match &answer {
                Ok(Some(a)) => format!("{} with {} bytes after {took:?}", a.status(), a.body.len()),
                Ok(None) => format!("closed after {} bytes and {took:?}", buffer.len()),
                Err(error) => format!("{error} after {} bytes and {took:?}", buffer.len()),
            };
            record.note(&outcome);
            record.attempt(Attempt {
                id,
                path,
                instance: instance.number,
                sent_at,
                outcome,
            });
            if answer?.is_none_or(|a| a.status() != 200 || a.body.len() != bytes) {
                return Ok(false);
            }
        }
        std::io::Result::Ok(true)
    })();
    outcome.unwrap_or(false)
}
