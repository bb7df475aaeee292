//! An instance that is restarted, while requests are known to crash targets.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::instance::{with_instances, Instance};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Target, DEADLY, PAGE_BYTES};

/// `contact` of the settings.
const CONTACT: Duration = Duration::from_secs(3);

/// `grace` of the settings.
const GRACE: Duration = Duration::from_secs(6);

/// The retries that may reach targets later than `contact` after the third crash.
const LATE_RETRIES: usize = 3;

const ZONES: [&str; 3] = ["downs-a", "downs-b", "downs-c"];
const INSTANCES: usize = 6;
const TARGETS: usize = 18;
const REQUESTS: usize = 16;
const RESTARTS: usize = 3;
/// How often all instances are asked again until all refuse all of the requests.
const ROUNDS: usize = 4;
const CLIENTS: usize = 12;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"levels","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"4000ms","aim":"600ms","priority":2,"max_attempts":3,"service":"gauge"}],
"services":[{"name":"gauge","health_path":"/health","max_conns":260,"warmup":"3s","warmup_per_s":5.4}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let _targets: Vec<_> = (0..TARGETS)
        .map(|i| {
            Target::open(
                "gauge",
                ZONES[i % 3],
                Duration::from_millis(40),
                PAGE_BYTES,
                &store,
                &record,
            )
        })
        .collect();
    let verdict = with_instances(&store, &ZONES, INSTANCES, |instances| {
        play(&record, instances, trouble)
    });
    record.write(record_path).ok()?;
    verdict
}

fn play(record: &Arc<Record>, instances: &[Arc<Instance>], trouble: bool) -> Option<bool> {
    let stopped = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(60);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|first| client::run(record, instances, first, interval, &stopped))
        .collect();
    thread::sleep(Duration::from_millis(1500));
    let taught = teach(record, instances);
    if taught {
        come_again(record, instances, trouble);
    }
    stopped.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    if !taught {
        record.note("the instances have not learnt that the requests crash targets");
        return None;
    }
    Some(judge(record))
}

fn path(request: usize) -> String {
    format!("{DEADLY}{request}")
}

fn runs_of(record: &Record, path: &str) -> usize {
    record
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.path == path)
        .count()
}

/// Sends each request until all instances refuse it.
fn teach(record: &Record, instances: &[Arc<Instance>]) -> bool {
    for request in 0..REQUESTS {
        let path = path(request);
        for attempt in 0..6 {
            let before = runs_of(record, &path);
            let status = client::send(
                record,
                &instances[(request + attempt) % INSTANCES],
                "GET",
                &path,
            );
            thread::sleep(Duration::from_millis(650));
            if status == 503 && before >= 2 && runs_of(record, &path) == before {
                break;
            }
        }
        record.note(&format!("{path}: {} runs", runs_of(record, &path)));
    }
    let runs = || -> usize { (0..REQUESTS).map(|r| runs_of(record, &path(r))).sum() };
    for _ in 0..ROUNDS {
        let before = runs();
        for request in 0..REQUESTS {
            for instance in instances {
                client::send(record, instance, "GET", &path(request));
            }
        }
        thread::sleep(Duration::from_millis(800));
        let more = runs() - before;
        record.note(&format!("all instances asked again: {more} more runs"));
        if more == 0 {
            return true;
        }
    }
    false
}

/// Restarts one instance several times. The requests come again at it once it is in touch.
fn come_again(record: &Record, instances: &[Arc<Instance>], trouble: bool) {
    let instance = &instances[0];
    for _ in 0..RESTARTS {
        if trouble {
            record.note("SIGTERM to instance 0");
            instance.terminate();
            let took = instance.wait(GRACE);
            instance.restart();
            let ready = instance.wait_until_ready(Duration::from_secs(5));
            record.note(&format!(
                "instance 0 ended after {took:?} and started again; ready: {ready}"
            ));
        } else {
            thread::sleep(Duration::from_millis(3500));
        }
        thread::sleep(CONTACT + Duration::from_millis(400));
        for round in 0..2 {
            for request in 0..REQUESTS {
                let disturbed = *instance.disturbed_at.lock().unwrap();
                assert!(!trouble || disturbed.elapsed() > CONTACT);
                client::send(record, instance, "GET", &path(request));
                thread::sleep(Duration::from_millis(40));
            }
            if round == 0 {
                thread::sleep(Duration::from_millis(1200));
            }
        }
    }
}

/// Returns whether the rule held for each request.
fn judge(record: &Record) -> bool {
    let attempts = record.attempts.lock().unwrap().clone();
    let sent: HashMap<&str, Instant> = attempts
        .iter()
        .map(|a| (a.id.as_str(), a.sent_at))
        .collect();
    let runs = record.runs.lock().unwrap().clone();
    let mut held = true;
    for request in 0..REQUESTS {
        let path = path(request);
        let runs: Vec<_> = runs.iter().filter(|run| run.path == path).collect();
        let Some(third) = runs.get(2) else {
            continue;
        };
        let mut late: Vec<&str> = runs
            .iter()
            .filter(|run| {
                sent.get(run.id.as_str())
                    .is_some_and(|at| *at > third.at + CONTACT)
            })
            .map(|run| run.id.as_str())
            .collect();
        late.dedup();
        record.note(&format!(
            "{path}: {} runs; {} retries reached targets later than 3 s after the third crash",
            runs.len(),
            late.len()
        ));
        held &= late.len() <= LATE_RETRIES;
    }
    let (attempts, runs) = record.counts();
    record.note(&format!(
        "{attempts} requests, {runs} runs; the rule {}",
        if held { "held" } else { "was broken" }
    ));
    held
}
