//! Quick start: runs a whole cluster in one process, on loopback ports chosen by the system.
//!
//! Starts a simulated platform, backend servers of two versions of a service in three data
//! centres, and three instances. Callers send reads and orders during a rollout of the new version,
//! while one data centre is taken out of service and brought back. Prints each step, and finally
//! the number of calls by outcome. Exits with 0 if some calls completed, no response was wrong and
//! no order was executed twice.

mod callers;
mod cluster;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use callers::Callers;
use cluster::Cluster;
use contract::report::State;

/// The time between two steps of the demonstration.
const STEP_TIME: Duration = Duration::from_secs(3);

/// The longest wait for the rollout to end.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(12);

fn main() -> ExitCode {
    // The number of executor threads. It has to be set before the first task is spawned.
    std::env::set_var("SMOL_THREADS", "4");
    smol::block_on(async {
        match run().await {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("the quick start failed: {error}");
                ExitCode::FAILURE
            }
        }
    })
}

async fn run() -> Result<bool, cluster::Error> {
    let started = Instant::now();
    let print = |text: &str| println!("{:5.1} s  {text}", started.elapsed().as_secs_f64());
    let mut cluster = Cluster::open().await?;
    print("a platform, 18 backend servers in 3 data centres and 3 instances are up");
    cluster.publish_bundle(cluster::bundle(None, true)).await?;
    print("bundle 1 is signed by two operators and rolled: version v1 carries all traffic");
    let callers = Callers::start(&cluster);
    callers.wait_for_response().await;
    print("the first calls are answered");
    sleep(STEP_TIME).await;

    let deadline = cluster::wall_clock() + (2 * STEP_TIME + ROLLOUT_TIMEOUT).as_secs();
    cluster
        .publish_bundle(cluster::bundle(Some(deadline), true))
        .await?;
    print("bundle 2: traffic is to move from v1 to v2");
    sleep(STEP_TIME).await;
    cluster
        .publish_bundle(cluster::bundle(Some(deadline), false))
        .await?;
    print("bundle 3: data centre north is taken out");
    sleep(STEP_TIME).await;
    let north = cluster.requests_in("north");
    sleep(Duration::from_millis(500)).await;
    let late = cluster.requests_in("north") - north;
    print(&format!(
        "north got {late} requests in the last half second"
    ));
    cluster
        .publish_bundle(cluster::bundle(Some(deadline), true))
        .await?;
    print("bundle 4: data centre north is back");

    let ended = wait_for_rollout(&cluster).await;
    match ended {
        Some(ended) => print(&format!(
            "the move is {}: v2 has {:.0} % of the traffic ({})",
            describe(ended.state),
            ended.share * 100.0,
            ended.reason
        )),
        None => print("the move has not ended yet"),
    }
    let results = callers.stop().await;
    let twice = cluster.count_repeated(&results.keys);
    let executed_refusals = cluster.count_executed(&results.refused_keys);
    let wrong = results.wrong + executed_refusals + misrouted(late);
    cluster.stop().await;
    print("the instances have stopped");
    println!("{}", cluster.summary());
    println!(
        "complete={} not-run={} unknown={} wrong={wrong} twice={twice}",
        results.complete, results.not_run, results.unknown
    );
    Ok(wrong == 0 && twice == 0 && results.complete > 0)
}

/// Returns how many of the requests to a data centre that is out of service count as wrong: all of
/// them, since it must receive none.
fn misrouted(requests: u64) -> u64 {
    requests
}

async fn wait_for_rollout(cluster: &Cluster) -> Option<contract::report::Rollout> {
    let deadline = Instant::now() + ROLLOUT_TIMEOUT;
    while Instant::now() < deadline {
        let ended = cluster
            .moves()
            .into_iter()
            .find(|m| matches!(m.state, State::Done | State::RolledBack));
        if ended.is_some() {
            return ended;
        }
        sleep(Duration::from_millis(100)).await;
    }
    cluster.moves().into_iter().next()
}

fn describe(state: State) -> &'static str {
    match state {
        State::Planned => "planned",
        State::Canary => "at its first share",
        State::Ramping => "under way",
        State::Done => "done",
        State::RolledBack => "taken back",
    }
}

async fn sleep(duration: Duration) {
    smol::Timer::after(duration).await;
}
