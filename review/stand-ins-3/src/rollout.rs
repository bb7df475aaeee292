//! A bad version is rolled back, and the operator orders the next version at once.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::edge::{self, Edge, Settings};
use crate::http;
use crate::record::Record;
use crate::site::{config, request};
use crate::store::Store;
use crate::target::{Target, Work};

const ZONES: [&str; 3] = ["downs-a", "downs-b", "downs-c"];
const SERVERS_A_ZONE: usize = 7;
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(100);

/// The bad version takes four times as long.
const SLOWDOWN: u32 = 4;

const CLIENTS: usize = 105;
const THINK_TIME: Duration = Duration::from_millis(300);

/// The time that both orders give, and the bounds of the settings for it.
const DURATION: Duration = Duration::from_secs(8);
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

/// How long after a rollback the operator orders the next version, and the servers of the bad one drain.
const NEXT_ORDER_AFTER: Duration = Duration::from_millis(500);
const DRAIN_AFTER: Duration = Duration::from_secs(5);
const LEAVE_AFTER: Duration = Duration::from_secs(3);

/// How long a server is cold that starts during traffic, as the configuration says.
const WARMUP: Duration = Duration::from_secs(3);

pub fn run(record: &Record, directory: &Path, trouble: bool) -> bool {
    let store = Store::open("127.0.0.1:0".parse().unwrap());
    store.put("config", "main", &config());
    let [v1, v2, v3] = [("v1", WORK), ("v2", WORK * SLOWDOWN), ("v3", WORK)]
        .map(|(version, time)| fleet(version, time));
    list(&store, &v1, "v1", "ready");
    let hosts = [1, 2, 3].map(edge::host);
    let mut edges: Vec<Edge> = hosts
        .iter()
        .zip(ZONES)
        .map(|(host, zone)| {
            let settings = Settings {
                name: format!("front-{zone}-1"),
                zone: zone.to_owned(),
                memory_mb: 260,
                max_fds: 4100,
                seeds: hosts.to_vec(),
            };
            Edge::start(&settings, *host, store.address, directory)
        })
        .collect();
    for edge in &mut edges {
        assert!(edge.wait_ready(Duration::from_secs(10)), "not ready");
    }
    let fronts: Vec<SocketAddr> = edges.iter().map(|edge| edge.front).collect();
    let over = AtomicBool::new(false);
    let (answered, other) = (AtomicU32::new(0), AtomicU32::new(0));
    let mut broken = false;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (over, answered, other, front) =
                (&over, &answered, &other, fronts[client % fronts.len()]);
            scope.spawn(move || call(record, front, client, over, answered, other));
        }
        thread::sleep(Duration::from_secs(4));
        let ordered_at = Instant::now();
        v2.iter().for_each(|target| target.start_cold(WARMUP));
        list(&store, &v2, "v2", "ready");
        store.put("rollouts", "gauge", &order("v2"));
        record.add("operator: move gauge to v2, 8 s; servers of v2, which take four times as long, are ready");
        let rolled_back = wait_for(&store, "rolled_back", DURATION);
        let rolled_back_at = Instant::now();
        record.add(&format!(
            "status: {:?}, {:.2} s after the order",
            store.status("rollouts", "gauge"),
            ordered_at.elapsed().as_secs_f64()
        ));
        assert!(rolled_back, "v2 was not rolled back");
        let so_far = arrivals(&v2, ordered_at, Instant::now());
        record.add(&format!("servers of v2 have had {so_far} requests"));
        if trouble {
            thread::sleep(NEXT_ORDER_AFTER);
            v3.iter().for_each(|target| target.start_cold(WARMUP));
            list(&store, &v3, "v3", "ready");
            store.put("rollouts", "gauge", &order("v3"));
            record.add("operator: move gauge to v3, 8 s; servers of v3 are ready");
        }
        thread::sleep(DRAIN_AFTER.saturating_sub(rolled_back_at.elapsed()));
        v2.iter().for_each(Target::leave);
        list(&store, &v2, "v2", "draining");
        record.add("servers of v2 drain");
        thread::sleep(LEAVE_AFTER);
        v2.iter()
            .for_each(|target| store.delete("servers", &target.id));
        record.add("servers of v2 have left");
        thread::sleep(DURATION.saturating_sub(ordered_at.elapsed()));
        let ended_at = ordered_at + DURATION;
        over.store(true, Ordering::Release);
        let [old, bad, next] = [&v1, &v2, &v3].map(|fleet| arrivals(fleet, ordered_at, ended_at));
        let all = old + bad + next;
        let allowed = f64::from(all) * EXPOSE_SHARE + EXPOSE_SLACK;
        let late = arrivals(&v2, rolled_back_at + Duration::from_secs(5), ended_at);
        record.add(&format!("status: {:?}", store.status("rollouts", "gauge")));
        record.add(&format!("requests in the 8 s after the order of v2: v1 {old}, v2 {bad}, v3 {next}; v2 later than 5 s after the rollback: {late}"));
        record.add(&format!("v2 got {bad} of {all}, {allowed:.0} are allowed"));
        broken = f64::from(bad) > allowed;
    });
    record.add(&format!(
        "callers: {} requests answered with 200, {} otherwise",
        answered.load(Ordering::Acquire),
        other.load(Ordering::Acquire)
    ));
    for target in [&v1, &v2, &v3].into_iter().flatten() {
        for (at, id) in target.arrivals.lock().unwrap().iter() {
            record.note(*at, &format!("{id} reached {}", target.id));
        }
    }
    for edge in &mut edges {
        assert!(edge.is_running(), "an instance has ended");
    }
    broken
}

fn fleet(version: &str, time: Duration) -> Vec<Target> {
    let count = SERVERS_A_ZONE * ZONES.len();
    (0..count)
        .map(|i| {
            let work = Work {
                slots: SLOTS,
                time,
                response_bytes: 1000,
            };
            Target::open(
                &format!("i-{version}-{i}"),
                "gauge",
                "127.0.0.1:0".parse().unwrap(),
                work,
            )
        })
        .collect()
}

fn list(store: &Store, fleet: &[Target], version: &str, state: &str) {
    for (i, target) in fleet.iter().enumerate() {
        let entry = target.entry(ZONES[i % ZONES.len()], version, state);
        let sequence = if state == "draining" {
            "\"seq\":2"
        } else {
            "\"seq\":1"
        };
        store.put("servers", &target.id, &entry.replace("\"seq\":1", sequence));
    }
}

fn order(version: &str) -> String {
    format!(
        r#"{{"service":"gauge","to_version":"{version}","duration":"{}s"}}"#,
        DURATION.as_secs()
    )
}

/// Waits until the order's status has this state.
fn wait_for(store: &Store, state: &str, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if store
            .status("rollouts", "gauge")
            .is_some_and(|status| status.contains(state))
        {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn arrivals(fleet: &[Target], from: Instant, to: Instant) -> u32 {
    let count = |target: &Target| {
        target
            .arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .count()
    };
    fleet.iter().map(|target| count(target) as u32).sum()
}

/// Sends requests on a kept connection.
fn call(
    record: &Record,
    front: SocketAddr,
    client: usize,
    over: &AtomicBool,
    answered: &AtomicU32,
    other: &AtomicU32,
) {
    let mut sent = 0;
    'connect: while !over.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(50));
        let Ok(stream) = TcpStream::connect(front) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut reader = BufReader::new(&stream);
        while !over.load(Ordering::Acquire) {
            sent += 1;
            let (id, sent_at) = (format!("k{client}-{sent}"), Instant::now());
            let text = request(
                if sent % 2 == 0 {
                    "/levels/1"
                } else {
                    "/repair/1"
                },
                &id,
                4000,
            );
            let response = (&stream)
                .write_all(text.as_bytes())
                .and_then(|()| http::read(&mut reader));
            let status = response
                .as_ref()
                .map(|r| r.as_ref().map(http::Message::status));
            let millis = sent_at.elapsed().as_millis();
            record.note(
                sent_at,
                &format!("{id} sent, answered {status:?} after {millis} ms"),
            );
            match response {
                Ok(Some(response)) if response.status() == 200 => {
                    answered.fetch_add(1, Ordering::AcqRel);
                }
                Ok(Some(_)) => {
                    other.fetch_add(1, Ordering::AcqRel);
                }
                _ => {
                    other.fetch_add(1, Ordering::AcqRel);
                    continue 'connect;
                }
            }
            thread::sleep(THINK_TIME);
        }
    }
}
