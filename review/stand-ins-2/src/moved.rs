//! The store moves to another address, which the settings files name from then on.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::instance::{with_instances, Instance};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Target, PAGE_BYTES};

const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// The time from the move to the change of the config: `contact` + `outer`, and a little more.
const SETTLED_AFTER: Duration = Duration::from_millis(8500);
const WATCHED_FOR: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["downs-a", "downs-b", "downs-c"];

fn config(version: &str, service: &str) -> String {
    format!(
        r#"{{"version":"{version}",
"routes":[{{"name":"levels","host":"pond.example","path_prefix":"/work/","kind":"safe","timeout":"4000ms","aim":"600ms","priority":2,"max_attempts":2,"service":"{service}"}}],
"services":[{{"name":"gauge","health_path":"/health","max_conns":260,"warmup":"3s","warmup_per_s":5.4}},{{"name":"gauge-new","health_path":"/health","max_conns":260,"warmup":"3s","warmup_per_s":5.4}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3s","idle_timeout":"15s"}}}}"#
    )
}

pub fn run(record_path: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new());
    let store = Store::open();
    store.put("config", "main", &config("00000003", "gauge"));
    let open = |service, zone| {
        Target::open(
            service,
            zone,
            Duration::from_millis(30),
            PAGE_BYTES,
            &store,
            &record,
        )
    };
    let _targets: Vec<_> = (0..6)
        .flat_map(|i| [open("gauge", ZONES[i % 3]), open("gauge-new", ZONES[i % 3])])
        .collect();
    let verdict = with_instances(&store, &ZONES, 3, |instances| {
        Some(play(&record, instances, &store, trouble))
    });
    record.write(record_path).ok()?;
    verdict
}

fn play(record: &Arc<Record>, instances: &[Arc<Instance>], store: &Store, trouble: bool) -> bool {
    let stopped = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(60);
    let clients: Vec<_> = (0..6)
        .map(|first| client::run(record, instances, first, interval, &stopped))
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let moved = store.at_new_address();
        for instance in instances {
            instance.change_settings(&store.address.to_string(), &moved.address.to_string());
        }
        store.close();
        record.note("the store has moved; the settings files name its new address, with SIGHUP");
    }
    thread::sleep(SETTLED_AFTER);
    store.put("config", "main", &config("00000005", "gauge-new"));
    let confirmed_at = Instant::now();
    record.note("the store has confirmed version 5, which sends all requests to gauge-new");
    thread::sleep(CONFIG_APPLY + WATCHED_FOR);
    stopped.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let attempts = record.attempts.lock().unwrap().clone();
    let bound_at = confirmed_at + CONFIG_APPLY;
    let late: HashMap<&str, Instant> = attempts
        .iter()
        .filter(|a| a.sent_at > bound_at)
        .map(|a| (a.id.as_str(), a.sent_at))
        .collect();
    let runs = record.runs.lock().unwrap().clone();
    let old = runs
        .iter()
        .filter(|run| late.contains_key(run.id.as_str()) && !run.target.contains("gauge-new"))
        .map(|run| run.id.as_str());
    let old = old.collect::<HashSet<_>>().len();
    record.note(&format!(
        "{old} of {} requests sent later than 2 s after that were run by gauge",
        late.len()
    ));
    old == 0
}
