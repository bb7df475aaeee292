//! Measures what control costs each instance, by the number of instances.
//!
//! Starts fleets of instances as processes, without calls, and prints as a Markdown table what each
//! spends on heartbeats, lists, the bundle and idle pools: processor time, memory, and bytes on the
//! loopback interface. Nothing else may use that interface meanwhile.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use std::time::Duration;

use stand_in::backend;

/// The sizes of the fleets.
const CLUSTER_SIZES: [usize; 4] = [3, 7, 13, 19];

/// How long a fleet settles, and how long it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const PHASE_TIME: Duration = Duration::from_secs(10);

fn main() {
    println!("| instances | share of a core each | resident memory each | bytes/s each | store calls/s |");
    println!("|---|---|---|---|---|");
    for size in CLUSTER_SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut cluster = cluster::Cluster::open(14, &backend::Config::default());
    cluster.publish_bundle(cluster::bundle());
    // The defaults of the daemon, not the short leases of the tests.
    let settings = [
        ("lease-ms", "3000".to_owned()),
        ("heartbeat-ms", "500".to_owned()),
    ];
    let start = |i: usize| cluster.start_with(cluster::CENTRES[i % 3], &settings);
    let instances: Vec<_> = (0..size).map(start).collect();
    cluster::eventually("the whole roster", || {
        instances[0].status().members.len() == size
    });
    std::thread::sleep(SETTLE_TIME);
    let ids: Vec<u32> = instances.iter().map(cluster::Instance::id).collect();
    let before = (
        total(&ids, processor_time),
        loopback_bytes(),
        store_calls(&cluster),
    );
    std::thread::sleep(PHASE_TIME);
    let after = (
        total(&ids, processor_time),
        loopback_bytes(),
        store_calls(&cluster),
    );
    let each = |value: f64| value / PHASE_TIME.as_secs_f64() / size as f64;
    println!(
        "| {size} | {:.4} | {:.1} MB | {:.0} | {:.1} |",
        each(after.0 - before.0),
        total(&ids, resident_mb) / size as f64,
        each(after.1 - before.1),
        (after.2 - before.2) / PHASE_TIME.as_secs_f64(),
    );
}

fn total(ids: &[u32], of: fn(u32) -> f64) -> f64 {
    ids.iter().map(|id| of(*id)).sum()
}

/// Returns the processor time that a process has used, in seconds.
fn processor_time(id: u32) -> f64 {
    /// The clock ticks of `/proc`, a second. Linux fixes it for user space.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("ticks");
    (ticks(12) + ticks(13)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("status");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("VmRSS");
    let kilobytes = line.split_whitespace().nth(1).expect("size");
    kilobytes.parse::<f64>().expect("size") / 1000.0
}

/// Returns the bytes that the loopback interface has carried.
fn loopback_bytes() -> f64 {
    let devices = std::fs::read_to_string("/proc/net/dev").expect("devices");
    let line = devices
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .expect("lo");
    line.split_whitespace()
        .nth(1)
        .expect("bytes")
        .parse()
        .expect("bytes")
}

/// Returns the calls that the platform stand-in has had.
fn store_calls(cluster: &cluster::Cluster) -> f64 {
    let counts = cluster.platform.counts();
    (counts.reads + counts.watches + counts.writes + counts.removes + counts.lists) as f64
}
