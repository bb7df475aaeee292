//! Usage of tenants, as collected from two instances.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use balance::usage::{window, Report};

use crate::cases;
use crate::script::{header_value, read_head, spawn, OK};
use crate::site::{exchange, status, Site, USAGE_WINDOW};

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";

/// What servers do with a request, as its id begins.
const RUN: &str = "run";
/// The first server refuses it.
const REFUSE_ONCE: &str = "once";
/// All refuse it.
const REFUSE: &str = "never";
/// The first server runs it, and closes the connection without a response.
const LOSE: &str = "lost";
/// The first server runs it for longer than its objective.
const SLOW: &str = "slow";

/// The ids that servers have received, and the tenants of those that they began to run.
#[derive(Default)]
struct Ledger {
    seen: BTreeSet<String>,
    began: BTreeMap<String, String>,
}

impl Ledger {
    /// Returns the number of requests that servers began to run, by tenant.
    fn counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for tenant in self.began.values() {
            *counts.entry(tenant.clone()).or_default() += 1;
        }
        counts
    }
}

/// Starts `count` servers that behave as the ids of requests tell them.
fn spawn_servers(count: usize) -> (Vec<SocketAddr>, Arc<Mutex<Ledger>>) {
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let shared = ledger.clone();
    let server = move || {
        let ledger = shared.clone();
        let (address, _) = spawn(move |stream, _| serve(stream, &ledger));
        address
    };
    ((0..count).map(|_| server()).collect(), ledger)
}

fn serve(mut stream: TcpStream, ledger: &Mutex<Ledger>) {
    const SLOW_TIME: Duration = Duration::from_millis(1300);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let id = header_value(&head, "id").unwrap_or_default();
        if head.starts_with("GET /health ") {
            if stream.write_all(HEALTHY.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let is_first = ledger.lock().unwrap().seen.insert(id.clone());
        let behaves = |as_: &str| id.starts_with(as_);
        let is_refused = behaves(REFUSE) || (behaves(REFUSE_ONCE) && is_first);
        if !is_refused {
            let tenant = header_value(&head, "tenant").unwrap();
            ledger.lock().unwrap().began.insert(id.clone(), tenant);
        }
        if behaves(LOSE) && is_first {
            return;
        }
        if behaves(SLOW) && is_first {
            thread::sleep(SLOW_TIME);
        }
        let response = if is_refused { REFUSAL } else { OK };
        if stream
            .write_all(response.replace("{id}", &id).as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// Sends a request that may repeat, or one that must not, for `tenant`. Returns the status.
fn call(site: &Site, tenant: &str, route: &str, id: &str) -> u16 {
    let response = exchange(
        site.callers,
        &format!(
            "GET /{route}/1 HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\nKey: {tenant}\r\n\
             Wait: 5000\r\nConnection: close\r\n\r\n"
        ),
    );
    status(&response)
}

fn current_window() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    window(now.unwrap(), USAGE_WINDOW)
}

/// Sends some requests of two tenants to each of `sites`.
fn send_requests(sites: &[Site]) {
    thread::scope(|scope| {
        for (i, site) in sites.iter().enumerate() {
            for (j, kind) in [RUN, RUN, REFUSE_ONCE, REFUSE, LOSE, SLOW]
                .iter()
                .enumerate()
            {
                let tenant = if j % 3 == 0 { "seje" } else { "cuka" };
                let id = format!("{kind}-{i}-{j}");
                scope.spawn(move || {
                    let status = call(site, tenant, "safe", &id);
                    assert_eq!(status == 503, id.starts_with(REFUSE), "{id}: {status}");
                });
                thread::sleep(Duration::from_millis(150));
            }
            // The server may have run it, and nobody may send it again.
            assert_eq!(call(site, "seje", "once", &format!("{LOSE}-{i}-x")), 502);
        }
    });
}

/// The last reports of a data centre about each window.
#[derive(Default)]
struct Reports(BTreeMap<u64, BTreeMap<String, u64>>);

impl Reports {
    fn read(&mut self, site: &Site, centre: &str) {
        for Report { window, counts } in site.store.usage(centre) {
            self.0.insert(window, counts);
        }
    }

    fn counts(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for (tenant, count) in self.0.values().flatten() {
            *sums.entry(tenant.clone()).or_default() += count;
        }
        sums
    }
}

/// Guards against requests that count twice because they were retried or sent to a second server, or
/// although no server ran them, or not at all because their response was lost.
fn sums_are_what_servers_began() {
    let (servers, ledger) = spawn_servers(4);
    let sites = Site::open_metered_fleet(&servers, &["east", "east"], &["cuka", "seje"]);
    send_requests(&sites);
    let expected = ledger.lock().unwrap().counts();
    let mut reports = Reports::default();
    sites[0].wait_until(|site| {
        reports.read(site, "east");
        reports.counts() == expected
    });
    // Later reports about the same windows say the same.
    let last = current_window();
    sites[0].wait_until(|site| {
        reports.read(site, "east");
        reports.0.contains_key(&(last + 4))
    });
    assert_eq!(reports.counts(), expected);
}

/// Guards against sums that lack a data centre, also one whose instances have ended.
fn data_centres_are_summed_up() {
    let (servers, ledger) = spawn_servers(4);
    let mut sites =
        Site::open_metered_fleet(&servers, &["east", "east", "west"], &["cuka", "seje"]);
    let first = current_window();
    send_requests(&sites);
    let last = current_window();
    sites[0].wait_until(|_| current_window() > last);
    let expected = ledger.lock().unwrap().counts();
    let collect = |site: &Site| {
        let mut sums = BTreeMap::new();
        let mut missing = Vec::new();
        for window in first..=last {
            let collected = smol::block_on(site.daemon.usage(window));
            missing.extend(collected.missing);
            for (tenant, count) in collected.counts {
                *sums.entry(tenant).or_default() += count;
            }
        }
        (sums, missing)
    };
    sites[0].wait_until(|site| collect(site) == (expected.clone(), Vec::new()));
    let west = sites.pop().unwrap();
    assert_eq!(call(&west, "cuka", "safe", "run-late"), 200);
    let written = |site: &Site| {
        let reports = site.store.usage("west");
        let (_, ended) = reports.split_last()?;
        let mut with_counts = ended
            .iter()
            .filter(|report| report.counts.contains_key("cuka"));
        with_counts.next().map(|report| report.window)
    };
    west.wait_until(|site| written(site) > Some(last));
    drop(west);
    // Connections that the first instance has kept to it still work.
    let asker = &sites[1];
    let report_of = |centre: &str, window: u64| {
        let mut reports = asker.store.usage(centre).into_iter();
        reports.find(|report| report.window == window)
    };
    let window = written(asker).unwrap();
    let collected = smol::block_on(asker.daemon.usage(window));
    let mut expected = report_of("west", window).unwrap().counts;
    let east = report_of("east", window).map(|report| report.counts);
    for (tenant, count) in east.unwrap_or_default() {
        *expected.entry(tenant).or_default() += count;
    }
    assert_eq!(
        (collected.counts, collected.missing),
        (expected, Vec::new())
    );
    // Of a window that had not ended at the last write, not all is known.
    let last = asker.store.usage("west").into_iter().next_back().unwrap();
    asker.wait_until(|_| current_window() > last.window + 2);
    let collected = smol::block_on(asker.daemon.usage(last.window));
    assert_eq!(collected.missing, ["west"]);
}

/// Guards against the usage of a data centre that is left out of the sums, without a record, because it
/// has been cut off for so long that its instances are forgotten.
fn data_centre_that_is_cut_off_for_long_is_summed_up() {
    const CUT_OFF: Duration = Duration::from_secs(90);
    let (servers, _) = spawn_servers(1);
    let mut sites = Site::open_metered_fleet(&servers, &["east", "west"], &["cuka"]);
    let west = sites.pop().unwrap();
    let asker = sites.pop().unwrap();
    assert_eq!(call(&west, "cuka", "safe", "run-1"), 200);
    let written = |site: &Site| {
        let reports = site.store.usage("west");
        let (_, ended) = reports.split_last()?;
        let with_counts = ended
            .iter()
            .find(|report| report.counts.contains_key("cuka"));
        with_counts.map(|report| report.window)
    };
    west.wait_until(|site| written(site).is_some());
    drop(west);
    let window = written(&asker).unwrap();
    asker.clock.advance(CUT_OFF);
    // Members are forgotten before a heartbeat is sent.
    thread::sleep(Duration::from_secs(1));
    let collected = smol::block_on(asker.daemon.usage(window));
    assert_eq!(collected.counts.get("cuka"), Some(&1));
    assert!(!collected.missing.contains(&"west".to_owned()));
    // Of this one, nothing is known.
    let collected = smol::block_on(asker.daemon.usage(window + 10));
    assert!(collected.missing.contains(&"west".to_owned()));
}

cases! {
    retries_copies_and_refusals => sums_are_what_servers_began();
    two_data_centres => data_centres_are_summed_up();
    forgotten_data_centre => data_centre_that_is_cut_off_for_long_is_summed_up();
}
