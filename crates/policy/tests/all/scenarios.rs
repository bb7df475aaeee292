//! One test for each failure that a pool must get through.

use std::collections::BTreeMap;

use contract::id;
use policy::feedback::{Feedback, Outcome, StartId};
use policy::pool::{Config, Fault, Pool};
use policy::quarantine::Fingerprint;
use policy::ticket::Refusal;

use crate::support::{at, cases, feedback, listed, ms, pool, state, ticket, Loop};

cases! {
    cold_server_has_one_credit => cold_server();
    cold_version_earns_nothing => cold_version();
    slow_version_is_not_taken_for_cold => slow_version();
    cold_pool_becomes_warm => cold_pool();
    silent_restart_sets_a_server_back => silent_restart();
    lost_connection_costs_no_allowance => lost_connection();
    slow_server_loses_its_share => sudden_slowdown();
    shedding_server_is_left_alone => shed_storm();
    fast_failing_server_draws_no_traffic => fast_failure();
    failing_route_ejects_no_server => failing_route();
    dead_server_comes_back_by_a_probe => dead_server();
    good_probes_earn_nothing => misleading_probes();
    cut_off_instance_is_not_believed => cut_off();
    data_centre_comes_back_cold => out_and_back();
    crashing_request_stops_at_two_servers => crashing_request();
    shares_are_exact => shares(&[0.05, 0.95]);
    even_shares_are_exact => shares(&[0.5, 0.5]);
    three_shares_are_exact => shares(&[0.1, 0.3, 0.6]);
    small_share_holds_without_the_old_version => lonely_version();
    version_without_share_stops_at_once => stopped_version();
    handed_over_pool_stays_warm => handed_over();
    hopeless_settings_are_refused => settings();
}

fn answer(latency: u64) -> Feedback {
    feedback(Outcome::Answered, ms(latency))
}

/// Returns a pool whose servers have all their slots.
fn warm(servers: usize) -> Loop {
    let mut run = Loop::new(pool(Config::new(4), servers));
    run.run(servers * 4, ms(1000), |_, _| Feedback {
        start_id: Some(StartId(1)),
        ..answer(5)
    });
    run.run(0, ms(10), |_, _| answer(5));
    assert!(run.pool.snapshot().iter().all(|s| s.allowance == 4));
    run.log.clear();
    run
}

/// Grants `count` credits at once, and returns their numbers.
fn grant(run: &mut Loop, count: u64) -> Vec<policy::credit::Id> {
    let deadline = run.now + ms(1000);
    for id in 0..count {
        let asked = run.pool.enqueue(ticket(1_000_000 + id, deadline), run.now);
        assert_eq!(asked, Ok(()));
    }
    let grants = run.pool.grant(run.now);
    let ids = grants.iter().map(|g| {
        run.pool.withdraw(g.ticket);
        g.credit.id
    });
    ids.collect()
}

/// A cold server gets one credit, and the next when that is returned.
fn cold_server() {
    let mut run = Loop::new(pool(Config::new(4), 1));
    let first = grant(&mut run, 3);
    assert_eq!(first.len(), 1);
    assert!(run.pool.release(first[0], Some(answer(5)), at(5)));
    assert_eq!(run.pool.grant(at(5)).len(), 1);
}

/// Returns a server's answer that takes 10 ms, or four times as long for each request at hand
/// while fewer than `cold` were counted.
fn warming(counts: &mut BTreeMap<String, usize>, cold: usize, name: &str, busy: usize) -> Feedback {
    let count = counts.entry(name.to_owned()).or_default();
    *count += 1;
    match *count <= cold {
        true => {
            assert_eq!(busy, 1, "{name} is cold");
            answer(40)
        }
        false => answer(10),
    }
}

/// The servers of the new version.
const NEW: [&str; 4] = ["n0", "n1", "n2", "n3"];

/// Returns a pool of five warm servers, to which four of a new version come, on a tenth of the calls.
fn new_version() -> Loop {
    let mut run = warm(5);
    run.run(10, ms(100), |_, _| answer(10));
    let mut all: Vec<_> = (0..5).map(|n| listed(&format!("s{n}"), "v1")).collect();
    all.extend(NEW.map(|name| listed(name, "v2")));
    run.pool.set_servers(&all, run.now);
    run.pool
        .set_shares(&[("v1".into(), 0.9), ("v2".into(), 0.1)]);
    run.log.clear();
    run
}

/// Servers of a new version that start cold get one request at a time until they are as fast as
/// warm ones, and all their slots soon after that.
fn cold_version() {
    let mut run = new_version();
    let mut counts = BTreeMap::new();
    run.run(16, ms(2000), |name, busy| {
        let cold = if name.starts_with('n') { 10 } else { 0 };
        warming(&mut counts, cold, name, busy)
    });
    let new = NEW.map(|name| state(&run.pool, name));
    assert!(new.iter().all(|s| !s.cold && s.allowance == 4), "{new:?}");
}

/// A version that is slower than the old one for good gets its share, and counts as warm in the
/// end.
fn slow_version() {
    let mut run = new_version();
    run.run(4, ms(10_000), |name, _| match name.starts_with('n') {
        true => answer(40),
        false => answer(10),
    });
    let part: f64 = NEW.iter().map(|name| run.part(name)).sum();
    assert!(part > 0.05, "{part}");
    let new = NEW.map(|name| state(&run.pool, name));
    assert!(new.iter().all(|s| !s.cold), "{new:?}");
}

/// A pool whose servers all start cold, with or without a past, overloads none of them and is warm
/// within a second.
fn cold_pool() {
    let mut run = Loop::new(pool(Config::new(4), 6));
    for _ in 0..2 {
        let mut counts = BTreeMap::new();
        run.run(24, ms(1000), |name, busy| {
            warming(&mut counts, 10, name, busy)
        });
        let states = run.pool.snapshot();
        assert!(states.iter().all(|s| s.allowance == 4), "{states:?}");
        run.run(0, ms(100), |_, _| answer(10));
        run.pool.set_in_service(false);
        run.pool.set_in_service(true);
    }
}

/// A server that answers as another run is cold, and late answers of the old run change nothing.
fn silent_restart() {
    let mut run = warm(1);
    let ids = grant(&mut run, 4);
    let of_run = |n| Feedback {
        start_id: Some(StartId(n)),
        ..answer(5)
    };
    run.pool.release(ids[0], Some(of_run(2)), run.now);
    assert_eq!(state(&run.pool, "s0").allowance, 1);
    run.pool.release(ids[1], Some(of_run(1)), run.now);
    assert_eq!(state(&run.pool, "s0").start_id, Some(StartId(2)));
    assert!(grant(&mut run, 4).is_empty(), "two credits are still live");
    run.pool.release(ids[2], Some(of_run(2)), run.now);
    run.pool.release(ids[3], None, run.now);
    assert_eq!(run.pool.grant(run.now).len(), 1);
}

/// A reset counts as a restart until the same run answers.
fn lost_connection() {
    let mut run = warm(1);
    let ids = grant(&mut run, 1);
    run.pool
        .release(ids[0], Some(feedback(Outcome::Crashed, ms(1))), run.now);
    assert_eq!(state(&run.pool, "s0").allowance, 1);
    let ids = grant(&mut run, 1);
    let same = Feedback {
        start_id: Some(StartId(1)),
        ..answer(5)
    };
    run.pool.release(ids[0], Some(same), run.now);
    assert_eq!(state(&run.pool, "s0").allowance, 4);
}

/// A server that slows down loses its share within 50 ms of the first slow answer, and counts as
/// cold when it is much slower than before.
fn sudden_slowdown() {
    let mut run = warm(10);
    run.run(10, ms(50), |name, _| {
        answer(if name == "s3" { 15 } else { 5 })
    });
    run.log.clear();
    run.run(10, ms(500), |name, _| {
        answer(if name == "s3" { 15 } else { 5 })
    });
    assert!(run.part("s3") < 0.01, "{}", run.part("s3"));
    let serve = |name: &str, _| answer(if name == "s3" { 100 } else { 5 });
    run.run(10, ms(150), serve);
    run.log.clear();
    run.run(10, ms(500), serve);
    assert!(run.part("s3") < 0.01, "{}", run.part("s3"));
    run.run(40, ms(500), serve);
    assert!(state(&run.pool, "s3").cold);
}

/// A server that bears two requests and sheds others is asked for more ever more rarely.
fn shed_storm() {
    let mut run = warm(1);
    run.run(8, ms(20_000), |_, busy| match busy {
        0..=2 => answer(5),
        _ => feedback(Outcome::Shed, ms(1)),
    });
    assert!(
        run.count(Outcome::Shed) <= 10,
        "{}",
        run.count(Outcome::Shed)
    );
    assert!(run.count(Outcome::Answered) > 6000, "{}", run.log.len());
}

/// A server that fails ten times faster than others answer gets next to nothing.
fn fast_failure() {
    let mut run = warm(10);
    run.run(10, ms(10_000), |name, _| match name {
        "s3" => feedback(Outcome::Failed, ms(1)),
        _ => answer(10),
    });
    assert!(run.part("s3") < 0.005, "{}", run.part("s3"));
}

/// A route that fails everywhere costs the other routes no servers once that is plain.
fn failing_route() {
    let mut run = warm(10);
    run.run(40, ms(5000), |_, _| Feedback {
        route: "broken".into(),
        ..feedback(Outcome::Failed, ms(5))
    });
    let states = run.pool.snapshot();
    let ejected = states.iter().filter(|s| s.ejected).count();
    assert_eq!(ejected, 0);
}

/// A dead server is left alone for ever longer times, and the first request that it gets on its
/// return is a probe.
fn dead_server() {
    let mut run = warm(10);
    let dead = |name: &str, _| match name {
        "s3" => feedback(Outcome::Unreachable, ms(1)),
        _ => answer(5),
    };
    run.run(10, ms(30_000), dead);
    let attempts = run.count(Outcome::Unreachable);
    assert!((4..=12).contains(&attempts), "{attempts}");
    let by_calls = attempts - run.probes;
    assert!(by_calls <= 3, "{by_calls} calls met the dead server");
    run.log.clear();
    run.run(10, ms(15_000), |_, _| answer(5));
    let back = state(&run.pool, "s3");
    assert!(!back.ejected && !back.cold, "{back:?}");
}

/// Answers to probes make no server warm and no route fast, and an idle pool stops probing.
fn misleading_probes() {
    let mut run = Loop::new(pool(Config::new(4), 3));
    run.run(0, ms(60_000), |_, _| answer(1));
    assert_eq!(run.probes, 3);
    assert!(run.pool.snapshot().iter().all(|s| s.allowance == 1));
    let dead = |_: &str, _| feedback(Outcome::Unreachable, ms(1));
    run.run(3, ms(100), dead);
    run.log.clear();
    run.run(0, ms(60_000), |_, _| answer(1));
    assert_eq!(run.count(Outcome::Answered), 3);
    assert!(run.pool.snapshot().iter().all(|s| s.cold && !s.ejected));
}

/// An instance that reaches no server costs one server's further slots and no more, unless no
/// instance reaches any.
fn cut_off() {
    let mut run = warm(10);
    let unreachable = || Some(feedback(Outcome::Unreachable, ms(1)));
    for n in 0..50 {
        run.run(5, ms(10), |_, _| Feedback {
            start_id: Some(StartId(1)),
            ..answer(5)
        });
        let mut call = ticket(2_000_000 + n, run.now + ms(100));
        call.instance = "cut off".into();
        assert_eq!(run.pool.enqueue(call, run.now), Ok(()));
        for grant in run.pool.grant(run.now) {
            run.pool.release(grant.credit.id, unreachable(), run.now);
        }
    }
    let allowances = run.pool.snapshot().iter().map(|s| s.allowance).sum::<u32>();
    assert!(allowances >= 37, "{allowances}");
    run.run(40, ms(2000), |_, _| feedback(Outcome::Unreachable, ms(1)));
    assert!(run.pool.snapshot().iter().all(|s| s.ejected));
}

/// Out of service the queue is refused and nothing is granted; back in service each server gets
/// one request until it has earned more.
fn out_and_back() {
    let mut run = warm(5);
    let held = grant(&mut run, 25);
    assert_eq!(held.len(), 20);
    run.pool.set_in_service(false);
    let dropped = run.pool.take_dropped();
    assert!(dropped.iter().all(|d| d.refusal == Refusal::OutOfService));
    assert_eq!(dropped.len(), 5);
    let late = run.pool.enqueue(ticket(1, run.now + ms(100)), run.now);
    assert_eq!(late, Err(Refusal::OutOfService));
    for id in held {
        run.pool.release(id, Some(answer(5)), run.now);
    }
    assert_eq!(run.pool.probe(run.now + ms(5000)), None);
    run.pool.set_in_service(true);
    assert_eq!(grant(&mut run, 20).len(), 5);
}

/// Copies of a request that crashes servers reach two servers, and are refused then. No server is
/// ejected, and other requests go on.
fn crashing_request() {
    let mut run = warm(10);
    let killer = Some(Fingerprint(7));
    let mut crashes = 0;
    for id in 0..20 {
        let mut copy = ticket(2_000_000 + id, run.now + ms(100));
        copy.fingerprint = killer;
        copy.instance = "idle but for this".into();
        let asked = run.pool.enqueue(copy, run.now);
        assert_eq!(
            asked,
            if crashes < 2 {
                Ok(())
            } else {
                Err(Refusal::Quarantined)
            }
        );
        for grant in run.pool.grant(run.now) {
            crashes += 1;
            let crash = Feedback {
                fingerprint: killer,
                ..feedback(Outcome::Crashed, ms(5))
            };
            run.pool.release(grant.credit.id, Some(crash), run.now);
        }
    }
    assert_eq!(crashes, 2);
    let states = run.pool.snapshot();
    assert!(states.iter().all(|s| !s.ejected));
    assert_eq!(states.iter().filter(|s| s.cold).count(), 2);
    assert_eq!(grant(&mut run, 32).len(), 32);
}

/// With room for every version, each prefix of the grants follows the shares within one grant.
fn shares(shares: &[f64]) {
    let config = Config::new(2000).queue_limit(2000).growth_responses(1);
    let names = shares.iter().enumerate();
    let names: Vec<_> = names
        .map(|(n, s)| (id::Version::from(format!("v{n}").as_str()), *s))
        .collect();
    let mut pool = Pool::new(config, at(0));
    let servers: Vec<_> = names
        .iter()
        .map(|(v, _)| listed(v.as_str(), v.as_str()))
        .collect();
    pool.set_servers(&servers, at(0));
    pool.set_shares(&names);
    let mut warm = pool.snapshot();
    for state in &mut warm {
        state.allowance = 2000;
        state.cold = false;
    }
    pool.restore(&warm, at(0));
    for id in 0..1000 {
        assert_eq!(pool.enqueue(ticket(id, at(1000)), at(0)), Ok(()));
    }
    let grants = pool.grant(at(0));
    assert_eq!(grants.len(), 1000);
    let mut counts = vec![0.0; shares.len()];
    for (total, grant) in grants.iter().enumerate() {
        for (n, (version, share)) in names.iter().enumerate() {
            counts[n] += f64::from(u8::from(grant.credit.version == *version));
            let due = share * (total + 1) as f64;
            assert!(
                (counts[n] - due).abs() < 1.0 + 1e-6,
                "{version}: {}, due {due}",
                counts[n]
            );
        }
    }
}

/// A version on trial gets no more than its share when the old one fails as a whole, and the old
/// one takes the turns of the new one when that fails.
fn lonely_version() {
    for failing in ["old", "new"] {
        let mut pool = Pool::new(Config::new(4), at(0));
        pool.set_servers(&[listed("old", "v1"), listed("new", "v2")], at(0));
        pool.set_shares(&[("v1".into(), 0.9), ("v2".into(), 0.1)]);
        let mut run = Loop::new(pool);
        run.run(4, ms(1000), |_, _| answer(5));
        run.log.clear();
        run.probes = 0;
        run.run(4, ms(20_000), |name, _| match name == failing {
            true => feedback(Outcome::Unreachable, ms(1)),
            false => answer(5),
        });
        let total = run.log.len() as f64;
        let new = run.part("new") * total;
        assert!(
            new <= 0.1 * total + 2.0 + run.probes as f64,
            "{new} of {total}"
        );
        assert!(failing == "old" || total > 10_000.0, "{total}");
    }
}

/// A version whose share falls to nothing gets no more grants, also of queued tickets.
fn stopped_version() {
    let (old, new) = (id::Version::from("v1"), id::Version::from("v2"));
    let mut pool = Pool::new(Config::new(1), at(0));
    pool.set_servers(&[listed("old", "v1"), listed("new", "v2")], at(0));
    pool.set_shares(&[(old.clone(), 0.5), (new.clone(), 0.5)]);
    for id in 0..4 {
        assert_eq!(pool.enqueue(ticket(id, at(1000)), at(0)), Ok(()));
    }
    pool.set_shares(&[(old, 1.0), (new, 0.0)]);
    let grants = pool.grant(at(0));
    let servers: Vec<&str> = grants.iter().map(|g| g.credit.server.as_str()).collect();
    assert_eq!(servers, ["old"]);
    let probe = pool.probe(at(5000)).map(|o| o.credit.server);
    assert_eq!(probe, Some("old".into()));
    assert_eq!(pool.probe(at(6001)), None);
}

/// A pool handed over keeps its allowances; credits of the old owner count against them.
fn handed_over() {
    let old = warm(4);
    let mut new = pool(Config::new(4), 4);
    let mut states = old.pool.snapshot();
    states[2].ejected = true;
    states[3].leaving = true;
    new.restore(&states, at(0));
    new.adopt(&[(policy::credit::Id(9), "s0".into(), at(3000))], at(0));
    let mut run = Loop::new(new);
    run.pool.hold_until(at(10));
    assert!(grant(&mut run, 8).is_empty());
    assert_eq!(run.pool.next_event(), Some(at(10)));
    assert_eq!(run.pool.grant(at(10)).len(), 7);
}

/// Settings that cannot work are refused.
fn settings() {
    let fault = |config: Config| config.validate().err();
    assert_eq!(fault(Config::default()), None);
    assert_eq!(fault(Config::new(0)), Some(Fault::ZeroSlots));
    assert_eq!(
        fault(Config::new(1).queue_limit(0)),
        Some(Fault::ZeroQueueLimit)
    );
    let rate = Config::new(1).probes_per_second(-1.0);
    assert_eq!(fault(rate), Some(Fault::InvalidProbeRate(-1.0)));
    let never = Config::new(1).credit_ttl(ms(0));
    assert_eq!(fault(never), Some(Fault::ZeroCreditTtl));
}
