//! Clients that send further requests before the first one is answered, and leave.

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
use crate::target::{Target, LONG, LONG_WORK, PAGE_BYTES};

const TIME_LIMIT: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["ikeja-a", "lekki-b", "ibadan-c"];
const CLIENTS: usize = 6;
/// The requests that one client sends.
const REQUESTS: usize = 12;
const GAP: Duration = Duration::from_millis(5);
/// When a client leaves, from its first request.
const LEAVES_AFTER: Duration = Duration::from_millis(400);
/// The time after which a target may no longer be at work, from RULES.md.
const LATE: Duration = Duration::from_millis(500);
/// The requests that may reach a target later than that.
const FEW: usize = 3;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"archive","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"10s","aim":"2000ms","priority":2,"max_attempts":2,"service":"vault"}],
"services":[{"name":"vault","health_path":"/health","max_conns":1100,"warmup":"3s","warmup_per_s":5.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let _targets: Vec<_> = (0..24)
        .map(|i| {
            Target::open(
                "vault",
                ZONES[i % 3],
                Duration::from_millis(50),
                PAGE_BYTES,
                &store,
                &record,
            )
        })
        .collect();
    let verdict = with_instances(&store, &ZONES, 3, |instances| {
        play(&record, instances, trouble)
    });
    record.write(record_path).ok()?;
    verdict
}

fn play(record: &Arc<Record>, instances: &[Arc<Instance>], trouble: bool) -> Option<bool> {
    let clients = (0..CLIENTS).map(|i| {
        let (record, instance) = (record.clone(), instances[i % 3].clone());
        thread::spawn(move || pipeline(&record, &instance, i, trouble))
    });
    let clients: Vec<_> = clients.collect();
    let left: Vec<(Vec<String>, Option<Instant>)> =
        clients.into_iter().filter_map(|c| c.join().ok()).collect();
    thread::sleep(LONG_WORK * 3);
    let runs = record.runs.lock().unwrap().clone();
    let ends = record.ends.lock().unwrap().clone();
    let (mut would_last, mut at_work, mut reached) = (0, 0, 0);
    for (ids, left_at) in left {
        let Some(left_at) = left_at else { continue };
        for id in ids {
            let Some(run) = runs.iter().find(|run| run.id == id) else {
                continue;
            };
            let limit = left_at + LATE;
            let ended = ends
                .iter()
                .find(|(other, ..)| *other == id)
                .map(|(_, at, _)| *at);
            if run.at > limit {
                reached += 1;
            } else if run.at + LONG_WORK > limit {
                would_last += 1;
                at_work += usize::from(ended.is_none_or(|at| at > limit));
            }
        }
    }
    record.note(&format!(
        "{at_work} of {would_last} requests still at work 0.5 s after their clients had left; {reached} reached a target later than that"
    ));
    Some(at_work * 4 <= would_last && reached <= FEW)
}

/// Sends requests one behind the other. Returns their ids, and when the client left, if it did.
fn pipeline(
    record: &Record,
    instance: &Instance,
    number: usize,
    leaves: bool,
) -> (Vec<String>, Option<Instant>) {
    let started = Instant::now();
    let mut ids = Vec::new();
    let Ok(mut stream) = TcpStream::connect(instance.front()) else {
        return (ids, None);
    };
    let _ = stream.set_nodelay(true);
    for request in 0..REQUESTS {
        let id = client::new_id();
        let path = format!("{LONG}{number}-{request}");
        let headers = [
            ("Host", client::HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
        ];
        let sent = http::write(&mut stream, &format!("GET {path} HTTP/1.1"), &headers, b"");
        record.attempt(Attempt {
            id: id.clone(),
            path,
            instance: instance.number,
            sent_at: Instant::now(),
            outcome: sent.map_or_else(|e| e.to_string(), |()| "sent".to_owned()),
        });
        ids.push(id);
        thread::sleep(GAP);
    }
    if leaves {
        thread::sleep(LEAVES_AFTER.saturating_sub(started.elapsed()));
        drop(stream);
        record.note(&format!("client {number} has left"));
        return (ids, Some(Instant::now()));
    }
    let _ = stream.set_read_timeout(Some(TIME_LIMIT));
    let mut buffer = Vec::new();
    let mut answers = 0;
    while answers < REQUESTS && matches!(http::read(&mut stream, &mut buffer), Ok(Some(_))) {
        answers += 1;
    }
    record.note(&format!("client {number} got {answers} answers"));
    (ids, None)
}
