//! Measures the overhead of the control plane per instance, by the number of instances.
//!
//! Starts clusters of instances as processes, sends no calls, and prints a Markdown table of the
//! processor time, the memory and the bytes on the loopback interface that each instance uses for
//! heartbeats, lists, the bundle and idle pools. No other program may use the loopback interface
//! during the run.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use std::time::Duration;

use stand_in::backend;

/// The numbers of instances.
const CLUSTER_SIZES: [usize; 4] = [3, 7, 13, 19];

/// The time between the last instance's joining of the roster and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// The duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

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
    // The daemon's defaults instead of the short leases of the tests.
    let settings = [
        ("lease-ms", "3000".to_owned()),
        ("heartbeat-ms", "500".to_owned()),
    ];
    let start = |i: usize| cluster.start_with(cluster::CENTRES[i % 3], &settings);
    let instances: Vec<_> = (0..size).map(start).collect();
    cluster::eventually("all instances to join the roster", || {
        instances[0].status().members.len() == size
    });
    std::thread::sleep(SETTLE_TIME);
    let ids: Vec<u32> = instances.iter().map(cluster::Instance::id).collect();
    let before = (
        total(&ids, processor_time),
        loopback_bytes(),
        store_calls(&cluster),
    );
    std::thread::sleep(MEASURE_TIME);
    let after = (
        total(&ids, processor_time),
        loopback_bytes(),
        store_calls(&cluster),
    );
    let each = |value: f64| value / MEASURE_TIME.as_secs_f64() / size as f64;
    println!(
        "| {size} | {:.4} | {:.1} MB | {:.0} | {:.1} |",
        each(after.0 - before.0),
        total(&ids, resident_mb) / size as f64,
        each(after.1 - before.1),
        (after.2 - before.2) / MEASURE_TIME.as_secs_f64(),
    );
}

fn total(ids: &[u32], read: fn(u32) -> f64) -> f64 {
    ids.iter().map(|id| read(*id)).sum()
}

/// Returns the processor time that a process has used, in seconds.
fn processor_time(id: u32) -> f64 {
    /// The clock ticks per second in `/proc`. Linux fixes this value for user space.
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

/// Returns the number of bytes that the loopback interface has received.
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

/// Returns the number of requests that the simulated platform has received.
fn store_calls(cluster: &cluster::Cluster) -> f64 {
    let counts = cluster.platform.counts();
    (counts.reads + counts.watches + counts.writes + counts.removes + counts.lists) as f64
}
