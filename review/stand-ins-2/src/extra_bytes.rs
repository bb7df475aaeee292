//! Targets that send further bytes behind complete answers.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::instance::{with_instances, Instance};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Target, PAGE_BYTES};

/// The largest dose of `garble` on the site: a share of the targets, and of their answers.
const FAULTY: usize = 7;
const TARGETS: usize = 12;
const EXTRA_SHARE: f64 = 0.03;
const LENGTH: Duration = Duration::from_secs(80);
const ZONES: [&str; 3] = ["downs-a", "downs-b", "downs-c"];
const CLIENTS: usize = 12;

const CONFIG: &str = r#"{"version":"00000003",
"routes":[{"name":"puddle","host":"pond.example","path_prefix":"/work/","kind":"unsafe","timeout":"5000ms","aim":"800ms","priority":1,"max_attempts":2,"service":"clayworks"}],
"services":[{"name":"clayworks","health_path":"/health","max_conns":260,"warmup":"3s","warmup_per_s":5.4}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3s","idle_timeout":"15s"}}"#;

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", CONFIG);
    let _targets: Vec<_> = (0..TARGETS)
        .map(|i| {
            let extra_share = if trouble && i < FAULTY {
                EXTRA_SHARE
            } else {
                0.0
            };
            let work = Duration::from_millis(40);
            Target::open_faulty(
                "clayworks",
                ZONES[i % 3],
                work,
                PAGE_BYTES,
                extra_share,
                &store,
                &record,
            )
        })
        .collect();
    let verdict = with_instances(&store, &ZONES, 6, |instances| {
        Some(play(&record, instances))
    });
    record.write(record_path).ok()?;
    verdict
}

/// Returns whether no order ran twice.
fn play(record: &Arc<Record>, instances: &[Arc<Instance>]) -> bool {
    let stopped = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(70);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|first| {
            let request = ("POST", "/work/order");
            client::run_with(request, record, instances, first, interval, &stopped)
        })
        .collect();
    thread::sleep(LENGTH);
    stopped.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in record.runs.lock().unwrap().iter() {
        *runs.entry(run.id.clone()).or_default() += 1;
    }
    let twice: Vec<&String> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(id, _)| id)
        .collect();
    let attempts = record.attempts.lock().unwrap().clone();
    let refused = attempts
        .iter()
        .filter(|a| a.outcome == "503" && runs.contains_key(&a.id))
        .count();
    record.note(&format!(
        "{} of {} orders ran twice; {refused} got 503 and have run",
        twice.len(),
        attempts.len()
    ));
    twice.is_empty()
}
