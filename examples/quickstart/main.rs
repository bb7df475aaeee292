//! A whole site in one process, on loopback ports that the system chooses.
//!
//! Starts a platform stand-in, two versions of a service in three data centres and three instances.
//! Callers send reads and orders while traffic moves to the new version and one data centre is taken
//! out and brought back. Prints what happens, and last how the calls ended. Exits with 0 if no answer
//! was wrong and no order ran twice.

mod callers;
mod site;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use callers::Callers;
use contract::report::State;
use site::Site;

/// The time between two steps of the story.
const SPELL: Duration = Duration::from_secs(3);

/// The longest wait for the move to end.
const MOVE_LIMIT: Duration = Duration::from_secs(12);

fn main() -> ExitCode {
    // The threads that run tasks; it has to be set before the first task.
    std::env::set_var("SMOL_THREADS", "4");
    smol::block_on(async {
        match story().await {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("the quick start failed: {error}");
                ExitCode::FAILURE
            }
        }
    })
}

async fn story() -> Result<bool, site::Error> {
    let started = Instant::now();
    let tell = |text: &str| println!("{:5.1} s  {text}", started.elapsed().as_secs_f64());
    let mut site = Site::open().await?;
    tell("a platform, 18 backend servers in 3 data centres and 3 instances are up");
    site.roll(site::bundle(None, true)).await?;
    tell("bundle 1 is signed by two operators and rolled: version v1 carries all traffic");
    let callers = Callers::start(&site);
    callers.wait_for_answer().await;
    tell("the first calls are answered");
    sleep(SPELL).await;

    let deadline = site::wall_clock() + (2 * SPELL + MOVE_LIMIT).as_secs();
    site.roll(site::bundle(Some(deadline), true)).await?;
    tell("bundle 2: traffic is to move from v1 to v2");
    sleep(SPELL).await;
    site.roll(site::bundle(Some(deadline), false)).await?;
    tell("bundle 3: data centre north is taken out");
    sleep(SPELL).await;
    let north = site.requests_in("north");
    sleep(Duration::from_millis(500)).await;
    let late = site.requests_in("north") - north;
    tell(&format!(
        "north got {late} requests in the last half second"
    ));
    site.roll(site::bundle(Some(deadline), true)).await?;
    tell("bundle 4: data centre north is back");

    let ended = wait_for_move(&site).await;
    match ended {
        Some(ended) => tell(&format!(
            "the move is {}: v2 has {:.0} % of the traffic ({})",
            words(ended.state),
            ended.share * 100.0,
            ended.reason
        )),
        None => tell("the move has not ended yet"),
    }
    let seen = callers.stop().await;
    let twice = site.keys_run_twice(&seen.keys);
    let false_refusals = site.keys_run(&seen.refused_keys);
    let wrong = seen.wrong + false_refusals + late_work(late);
    site.stop().await;
    tell("the instances have stopped");
    println!("{}", site.summary());
    println!(
        "complete={} not-run={} unknown={} wrong={wrong} twice={twice}",
        seen.complete, seen.not_run, seen.unknown
    );
    Ok(wrong == 0 && twice == 0 && seen.complete > 0)
}

/// A data centre that is out gets no work: each request that it got counts as wrong.
fn late_work(requests: u64) -> u64 {
    requests
}

async fn wait_for_move(site: &Site) -> Option<contract::report::Rollout> {
    let deadline = Instant::now() + MOVE_LIMIT;
    while Instant::now() < deadline {
        let ended = site
            .moves()
            .into_iter()
            .find(|m| matches!(m.state, State::Done | State::RolledBack));
        if ended.is_some() {
            return ended;
        }
        sleep(Duration::from_millis(100)).await;
    }
    site.moves().into_iter().next()
}

fn words(state: State) -> &'static str {
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
