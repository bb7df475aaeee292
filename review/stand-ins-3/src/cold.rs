//! Servers become cold at work, a little after a planned restart of one machine.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::edge::{self, Edge, Settings};
use crate::http;
use crate::record::Record;
use crate::site::{config, request, Site};
use crate::store::Store;
use crate::target::Target;

const ZONE: &str = "downs-a";
const MACHINES: u8 = 6;
const SERVERS: usize = 9;
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(45);

/// Together some 48 requests a second for each server, which can take 88.
const CLIENTS: usize = 108;
const CLIENT_INTERVAL: Duration = Duration::from_millis(250);

/// One machine is stopped and started a round, and a little later each server becomes cold in turn, for as
/// long as the configuration says.
const ROUNDS: usize = 5;
const REST: Duration = Duration::from_millis(1500);
const COLD_INTERVAL: Duration = Duration::from_millis(1200);
const WARMUP: Duration = Duration::from_secs(3);

/// How long the process may take to end after SIGTERM, as in the settings, and to be ready again.
const GRACE: Duration = Duration::from_secs(6);
const START_LIMIT: Duration = Duration::from_secs(5);

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// `warmup_per_s` of the configuration, and the bounds of the settings for it.
const WARMUP_RATE: f64 = 18.0;
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;

/// A span in which a server was cold.
struct Cold {
    server: usize,
    from: Instant,
}

pub fn run(record: &Record, directory: &Path, trouble: bool) -> bool {
    let site = Site::open(&[ZONE], SERVERS, SLOTS, WORK, 1000);
    let rate = format!("\"warmup_per_s\":{WARMUP_RATE:.1}");
    let config = config().replace("\"warmup_per_s\":5.4", &rate);
    assert!(config.contains(&rate));
    site.store.put("config", "main", &config);
    let hosts: Vec<_> = (1..=MACHINES).map(edge::host).collect();
    let seeds = [hosts[0], hosts[2], hosts[4]];
    let mut edges: Vec<Edge> = hosts
        .iter()
        .enumerate()
        .map(|(i, host)| {
            let settings = Settings {
                name: format!("front-{ZONE}-{i}"),
                zone: ZONE.to_owned(),
                memory_mb: 260,
                max_fds: 4100,
                seeds: seeds.to_vec(),
            };
            Edge::start(&settings, *host, site.store.address, directory)
        })
        .collect();
    for edge in &mut edges {
        assert!(edge.wait_ready(Duration::from_secs(10)), "not ready");
    }
    let fronts: Vec<SocketAddr> = edges.iter().map(|edge| edge.front).collect();
    let over = AtomicBool::new(false);
    let (answered, other) = (AtomicU32::new(0), AtomicU32::new(0));
    let colds = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let (over, colds, site, fronts) = (&over, &colds, &site, &fronts);
        let (answered, other) = (&answered, &other);
        for (i, target) in site.targets.iter().enumerate() {
            scope.spawn(move || write_entries(&site.store, target, i, over));
        }
        for client in 0..CLIENTS {
            scope.spawn(move || call(record, fronts, client, over, answered, other));
        }
        thread::sleep(Duration::from_secs(5));
        for round in 0..ROUNDS {
            let machine = round % edges.len();
            if trouble {
                record.add(&format!("machine {machine} gets SIGTERM"));
                assert!(edges[machine].stop(GRACE), "it did not end");
                record.add(&format!("machine {machine} has ended, and is started"));
                edges[machine].restart();
                assert!(edges[machine].wait_ready(START_LIMIT), "not ready");
                record.add(&format!("machine {machine} is ready"));
            }
            thread::sleep(REST);
            for (server, target) in site.targets.iter().enumerate() {
                target.become_cold(WARMUP);
                let from = Instant::now();
                colds.lock().unwrap().push(Cold { server, from });
                record.add(&format!("server {server} is cold for 3 s"));
                thread::sleep(COLD_INTERVAL);
            }
            thread::sleep(WARMUP - COLD_INTERVAL);
        }
        over.store(true, Ordering::Release);
    });
    for edge in &mut edges {
        assert!(edge.is_running(), "an instance has ended");
    }
    let allowed = WARMUP_RATE * WARMUP_FACTOR + WARMUP_SLACK;
    let mut broken = 0;
    for Cold { server, from } in colds.into_inner().unwrap() {
        let target = &site.targets[server];
        let arrivals: Vec<Instant> = {
            let all = target.arrivals.lock().unwrap();
            let all = all.iter().map(|(at, _)| *at);
            all.filter(|at| (from..from + WARMUP).contains(at))
                .collect()
        };
        let most = most_in_a_second(&arrivals);
        broken += u32::from(most as f64 > allowed);
        record.note(
            from,
            &format!(
                "server {server} cold: {} requests, {most} in one second",
                arrivals.len()
            ),
        );
    }
    for target in &site.targets {
        note_arrivals(record, target);
    }
    record.add(&format!(
        "callers: {} requests answered with 200, {} otherwise",
        answered.load(Ordering::Acquire),
        other.load(Ordering::Acquire)
    ));
    record.add(&format!(
        "{broken} of {} times a cold server got more than {allowed:.1} requests in one second",
        ROUNDS * SERVERS
    ));
    broken > 0
}

/// Returns the most arrivals within one second.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let from = |i: usize| {
        arrivals[i..]
            .iter()
            .filter(move |at| at.duration_since(arrivals[i]) < second)
    };
    (0..arrivals.len())
        .map(|i| from(i).count())
        .max()
        .unwrap_or(0)
}

/// Records the ids of the requests that reached a server, one line a second.
fn note_arrivals(record: &Record, target: &Target) {
    let arrivals = target.arrivals.lock().unwrap();
    let mut rest = arrivals.as_slice();
    while let Some((first, _)) = rest.first() {
        let same = |(at, _): &(Instant, String)| at.duration_since(*first) < Duration::from_secs(1);
        let count = rest.iter().take_while(|arrival| same(arrival)).count();
        let (now, later) = rest.split_at(count);
        let ids: Vec<&str> = now.iter().map(|(_, id)| id.as_str()).collect();
        let text = format!("in one second {} got {}", target.id, ids.join(" "));
        record.note(*first, &text);
        rest = later;
    }
}

/// Writes the entry of a server every now and then, as the servers of the pages do.
fn write_entries(store: &Store, target: &Target, number: usize, over: &AtomicBool) {
    thread::sleep(HEARTBEAT * number as u32 / SERVERS as u32);
    let mut sequence = 1;
    while !over.load(Ordering::Acquire) {
        sequence += 1;
        let entry = target.entry(ZONE, "v1", "ready");
        let entry = entry.replace("\"seq\":1", &format!("\"seq\":{sequence}"));
        store.put("servers", &target.id, &entry);
        thread::sleep(HEARTBEAT);
    }
}

/// Sends requests on a kept connection, and goes to some other machine if it ends.
fn call(
    record: &Record,
    fronts: &[SocketAddr],
    client: usize,
    over: &AtomicBool,
    answered: &AtomicU32,
    other: &AtomicU32,
) {
    thread::sleep(CLIENT_INTERVAL * client as u32 / CLIENTS as u32);
    let (mut sent, mut machine) = (0, client);
    let mut next_at = Instant::now();
    'connect: while !over.load(Ordering::Acquire) {
        // Each try goes to some machine.
        machine = machine * 31 % 1009 + client + 1;
        let Ok(stream) = TcpStream::connect(fronts[machine % fronts.len()]) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut reader = BufReader::new(&stream);
        while !over.load(Ordering::Acquire) {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at = Instant::now().max(next_at + CLIENT_INTERVAL);
            sent += 1;
            let (id, sent_at) = (format!("k{client}-{sent}"), Instant::now());
            let kind = if sent % 2 == 0 { "levels" } else { "repair" };
            let text = request(&format!("/{kind}/1"), &id, 2000);
            let response = (&stream)
                .write_all(text.as_bytes())
                .and_then(|()| http::read(&mut reader));
            let status = response
                .as_ref()
                .map(|r| r.as_ref().map(http::Message::status));
            let is_good = matches!(status, Ok(Some(200)));
            let counter = if is_good { answered } else { other };
            counter.fetch_add(1, Ordering::AcqRel);
            if !is_good {
                let millis = sent_at.elapsed().as_millis();
                let text = format!("{id} sent, answered {status:?} after {millis} ms");
                record.note(sent_at, &text);
            }
            if !matches!(status, Ok(Some(_))) {
                continue 'connect;
            }
        }
    }
    record.note(
        Instant::now(),
        &format!("client {client}: k{client}-1 to k{client}-{sent} sent, answered with 200 but those named above"),
    );
}
