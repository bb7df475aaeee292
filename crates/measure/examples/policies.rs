//! Prints Markdown tables that compare the credit policy with other balancers in the queueing
//! model.
//!
//! The mean service time of a call is 10 ms. Latencies are ratios to the ideal: one queue in front
//! of all slots of warm servers, without network delay or changes.

use std::thread;
use std::time::Duration;

use clock::Instant;
use measure::contender::Contender;
use measure::ideal;
use measure::scenario::Scenario;
use measure::summary::Summary;
use measure::table::Table;
use measure::tally::Tally;
use measure::traffic::Traffic;

/// The seed of all runs.
const SEED: u64 = 1;

/// The sizes of the service, in backend servers.
const SERVERS: [usize; 3] = [20, 10, 6];

/// The loads of the runs without changes.
const LOADS: [f64; 4] = [0.3, 0.6, 0.8, 0.95];

/// The load of the runs with changes.
const CHANGING_LOAD: f64 = 0.6;

fn main() {
    plain("Steady load", Traffic::Steady);
    plain("Load that shifts between data centres", Traffic::Shifting);
    plain("Load in bursts", Traffic::Bursts);
    changing(
        "A seventh of the servers is 5 times slower for 2 s",
        |servers| Scenario::slowdown(servers, CHANGING_LOAD),
    );
    changing(
        "A seventh of the servers starts again, unannounced",
        |servers| Scenario::restart(servers, CHANGING_LOAD),
    );
    changing(
        "A seventh of the servers makes way for a new version",
        |servers| Scenario::new_version(servers, CHANGING_LOAD),
    );
    changing(
        "A data centre leaves and returns with cold servers",
        |servers| Scenario::absence(servers, CHANGING_LOAD),
    );
    changing("All servers start cold", |servers| {
        Scenario::site_start(servers, CHANGING_LOAD)
    });
    handling();
}

/// Prints the runs without changes.
fn plain(title: &str, traffic: Traffic) {
    println!("### {title}\n");
    let head = ["servers", "balancer", "30 %", "60 %", "80 %", "95 %"];
    let mut ratios = Table::new(&head);
    let mut counts = Table::new(&head);
    let rows = each(&Contender::ALL, |servers, contender| {
        let mut ratio = label(servers, contender);
        let mut count = ratio.clone();
        for load in LOADS {
            let scenario = Scenario::plain(servers, traffic, load);
            let (tally, text) = measure(&scenario, contender);
            ratio.push(text);
            count.push(format_counts(&tally));
        }
        (ratio, count)
    });
    for (ratio, count) in rows {
        ratios.push(ratio);
        counts.push(count);
    }
    println!("Latency p50 / p99 / p99.9, in units of the ideal:\n\n{ratios}");
    println!("Lost (refused or expired) / over slots, in 1000 calls; messages a call:\n\n{counts}");
}

/// Prints the runs with changes.
fn changing<F>(title: &str, scenario: F)
where
    F: Fn(usize) -> Scenario + Sync,
{
    println!("### {title}\n");
    let head = [
        "servers",
        "balancer",
        "p50 / p99 / p99.9",
        "lost",
        "over slots",
        "over cold",
        "probes",
        "full at",
    ];
    let mut table = Table::new(&head);
    let rows = each(&Contender::ALL, |servers, contender| {
        let (tally, text) = measure(&scenario(servers), contender);
        let mut row = label(servers, contender);
        row.extend([
            text,
            (tally.refused + tally.expired).to_string(),
            tally.over_slots.to_string(),
            tally.over_cold.to_string(),
            tally.probes.to_string(),
            format_full_at(&tally),
        ]);
        row
    });
    rows.into_iter().for_each(|row| table.push(row));
    println!("{table}");
}

/// Prints the effect of the handling time of messages between entry instances and owners.
fn handling() {
    println!("### Messages that take longer to handle\n");
    let head = ["servers", "balancer", "0 ms", "0.1 ms", "0.25 ms", "0.5 ms"];
    let mut table = Table::new(&head);
    let rows = each(&Contender::CREDITS, |servers, contender| {
        let mut row = label(servers, contender);
        for micros in [0, 100, 250, 500] {
            let mut scenario = Scenario::plain(servers, Traffic::Steady, CHANGING_LOAD);
            scenario.site.handling = Duration::from_micros(micros);
            row.push(measure(&scenario, contender).1);
        }
        row
    });
    rows.into_iter().for_each(|row| table.push(row));
    println!("Latency p50 / p99 / p99.9 at 60 %, in units of the ideal:\n\n{table}");
}

/// Runs `run` for each size of service and each contender, one thread per size, and returns the
/// results in this order.
fn each<F, T>(contenders: &[Contender], run: F) -> Vec<T>
where
    F: Fn(usize, Contender) -> T + Sync,
    T: Send,
{
    let run = &run;
    thread::scope(|scope| {
        let of_size = |servers| {
            let runs = contenders.iter().map(move |c| run(servers, *c));
            scope.spawn(move || runs.collect::<Vec<T>>())
        };
        let threads = SERVERS.map(of_size);
        let results = threads.into_iter().filter_map(|t| t.join().ok());
        results.flatten().collect()
    })
}

/// Returns the cells that label a row.
fn label(servers: usize, contender: Contender) -> Vec<String> {
    vec![servers.to_string(), contender.name().to_owned()]
}

/// Runs a scenario, and returns its counters and the latencies in units of the ideal.
fn measure(scenario: &Scenario, contender: Contender) -> (Tally, String) {
    let calls = scenario.calls(SEED);
    let best = Summary::of(&ideal::run(&scenario.site, &calls, scenario.settled));
    let tally = contender.run(scenario, &calls, SEED);
    let ratios = Summary::of(&tally).ratios(&best);
    let text = ratios.map(|ratio| format!("{ratio:.2}")).join(" / ");
    (tally, text)
}

fn format_counts(tally: &Tally) -> String {
    let lost = tally.refused + tally.expired;
    let calls = tally.latencies.len() as f64 + lost as f64;
    let lost = lost as f64 / calls * 1000.0;
    let over_slots = tally.over_slots as f64 / calls * 1000.0;
    let messages = tally.messages as f64 / calls;
    format!("{lost:.1} / {over_slots:.1}; {messages:.1}")
}

fn format_full_at(tally: &Tally) -> String {
    let since = tally.full.map(|at| (at - Instant::ZERO).as_secs_f64());
    since.map_or("-".to_owned(), |s| format!("{s:.2} s"))
}
