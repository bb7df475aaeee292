//! One test for each kind of failure that a pool must handle.

use std::collections::BTreeMap;

use contract::id;
use policy::feedback::{Feedback, Outcome, StartId};
use policy::pool::{Config, Fault, Pool};
use policy::quarantine::Fingerprint;
use policy::ticket::Refusal;

use crate::support::{at, cases, feedback, listed, ms, pool, state, ticket, Simulation};

cases! {
    cold_server_has_one_credit => cold_server();
    cold_version_grows_only_when_warm => cold_version();
    slow_version_ends_up_warm => slow_version();
    cold_pool_becomes_warm => cold_pool();
    silent_restart_resets_to_cold => silent_restart();
    lost_connection_keeps_allowance => lost_connection();
    slow_server_loses_its_share => slow_server();
    shedding_server_gets_few_extra_requests => shed_storm();
    fast_failing_server_attracts_no_traffic => fast_failure();
    failing_route_ejects_no_server => failing_route();
    failed_server_returns_by_probe => failed_server();
    probe_responses_raise_no_allowance => misleading_probes();
    isolated_instance_is_ignored => isolated_instance();
    data_centre_returns_cold => return_to_service();
    crashing_request_reaches_two_servers => crashing_request();
    two_shares_are_exact => shares(&[0.05, 0.95]);
    even_shares_are_exact => shares(&[0.5, 0.5]);
    three_shares_are_exact => shares(&[0.1, 0.3, 0.6]);
    share_holds_while_the_other_version_fails => failing_version();
    version_without_share_gets_no_grants => stopped_version();
    handover_keeps_allowances => handover();
    invalid_settings_are_rejected => settings();
}

fn answer(latency: u64) -> Feedback {
    feedback(Outcome::Answered, ms(latency))
}

/// Returns a simulation whose servers are all warm and have their full allowance.
fn warm(servers: usize) -> Simulation {
    let mut run = Simulation::new(pool(Config::new(4), servers));
    run.run(servers * 4, ms(1000), |_, _| Feedback {
        start_id: Some(StartId(1)),
        ..answer(5)
    });
    run.run(0, ms(10), |_, _| answer(5));
    assert!(run.pool.snapshot().iter().all(|s| s.allowance == 4));
    run.log.clear();
    run
}

/// Queues `count` tickets and returns the ids of the credits granted immediately.
fn grant(run: &mut Simulation, count: u64) -> Vec<policy::credit::Id> {
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

/// A cold server gets one credit, and the next only after that is released.
fn cold_server() {
    let mut run = Simulation::new(pool(Config::new(4), 1));
    let first = grant(&mut run, 3);
    assert_eq!(first.len(), 1);
    assert!(run.pool.release(first[0], Some(answer(5)), at(5)));
    assert_eq!(run.pool.grant(at(5)).len(), 1);
}

/// Returns a response that takes 40 ms for each of a server's first `cold` requests, which must
/// be its only one in flight, and 10 ms after that.
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

/// Returns a simulation with five warm servers and four of a new version, whose share is a tenth.
fn new_version() -> Simulation {
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

/// Cold servers of a new version get one request at a time until they are as fast as warm ones,
/// and reach their full allowance soon after that.
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

/// A version that is permanently slower than the old one gets its share and eventually counts as
/// warm.
fn slow_version() {
    let mut run = new_version();
    run.run(4, ms(10_000), |name, _| match name.starts_with('n') {
        true => answer(40),
        false => answer(10),
    });
    let share: f64 = NEW.iter().map(|name| run.fraction(name)).sum();
    assert!(share > 0.05, "{share}");
    let new = NEW.map(|name| state(&run.pool, name));
    assert!(new.iter().all(|s| !s.cold), "{new:?}");
}

/// A pool whose servers are all cold, whether new or back in service, overloads none of them and
/// is warm within a second.
fn cold_pool() {
    let mut run = Simulation::new(pool(Config::new(4), 6));
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

/// A server that responds with a new start id is cold, and late responses of the old process have
/// no effect.
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

/// A lost connection counts as a restart until a response shows that the server did not restart.
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

/// A server that slows down loses its share within 50 ms of the first slow response, and counts as
/// cold when it is much slower than before.
fn slow_server() {
    let mut run = warm(10);
    run.run(10, ms(50), |name, _| {
        answer(if name == "s3" { 15 } else { 5 })
    });
    run.log.clear();
    run.run(10, ms(500), |name, _| {
        answer(if name == "s3" { 15 } else { 5 })
    });
    assert!(run.fraction("s3") < 0.01, "{}", run.fraction("s3"));
    let serve = |name: &str, _| answer(if name == "s3" { 100 } else { 5 });
    run.run(10, ms(150), serve);
    run.log.clear();
    run.run(10, ms(500), serve);
    assert!(run.fraction("s3") < 0.01, "{}", run.fraction("s3"));
    run.run(40, ms(500), serve);
    assert!(state(&run.pool, "s3").cold);
}

/// A server that runs two requests and sheds others is offered more requests at growing intervals.
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

/// A server that fails ten times faster than others respond gets almost no requests.
fn fast_failure() {
    let mut run = warm(10);
    run.run(10, ms(10_000), |name, _| match name {
        "s3" => feedback(Outcome::Failed, ms(1)),
        _ => answer(10),
    });
    assert!(run.fraction("s3") < 0.005, "{}", run.fraction("s3"));
}

/// Once most attempts of a route fail, its failures no longer eject servers.
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

/// A failed server is ejected for growing periods, after which calls rarely reach it before a
/// probe does, and it becomes warm again once it responds.
fn failed_server() {
    let mut run = warm(10);
    let serve = |name: &str, _| match name {
        "s3" => feedback(Outcome::Unreachable, ms(1)),
        _ => answer(5),
    };
    run.run(10, ms(30_000), serve);
    let attempts = run.count(Outcome::Unreachable);
    assert!((4..=12).contains(&attempts), "{attempts}");
    let by_calls = attempts - run.probes;
    assert!(by_calls <= 3, "{by_calls} calls reached the failed server");
    run.log.clear();
    run.run(10, ms(15_000), |_, _| answer(5));
    let back = state(&run.pool, "s3");
    assert!(!back.ejected && !back.cold, "{back:?}");
}

/// Responses to probes neither make a server warm nor count towards a route's baseline, and an idle
/// pool stops probing once its servers have responded.
fn misleading_probes() {
    let mut run = Simulation::new(pool(Config::new(4), 3));
    run.run(0, ms(60_000), |_, _| answer(1));
    assert_eq!(run.probes, 3);
    assert!(run.pool.snapshot().iter().all(|s| s.allowance == 1));
    let unreachable = |_: &str, _| feedback(Outcome::Unreachable, ms(1));
    run.run(3, ms(100), unreachable);
    run.log.clear();
    run.run(0, ms(60_000), |_, _| answer(1));
    assert_eq!(run.count(Outcome::Answered), 3);
    assert!(run.pool.snapshot().iter().all(|s| s.cold && !s.ejected));
}

/// An instance that reaches no server lowers the allowance of at most one server, unless no
/// instance reaches any.
fn isolated_instance() {
    let mut run = warm(10);
    let unreachable = || Some(feedback(Outcome::Unreachable, ms(1)));
    for n in 0..50 {
        run.run(5, ms(10), |_, _| Feedback {
            start_id: Some(StartId(1)),
            ..answer(5)
        });
        let mut call = ticket(2_000_000 + n, run.now + ms(100));
        call.instance = "isolated".into();
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

/// Out of service, queued tickets are dropped and nothing is granted; back in service, each server
/// gets one request until its allowance grows.
fn return_to_service() {
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

/// Copies of a request that crashes servers reach two servers and are then refused. No server is
/// ejected, and other requests are still granted.
fn crashing_request() {
    let mut run = warm(10);
    let crashing = Some(Fingerprint(7));
    let mut crashes = 0;
    for id in 0..20 {
        let mut copy = ticket(2_000_000 + id, run.now + ms(100));
        copy.fingerprint = crashing;
        copy.instance = "only this request".into();
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
                fingerprint: crashing,
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

/// While every version has room, each prefix of the grants is within one grant of the shares.
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

/// A new version gets no more than its share when the old one fails, and the old one takes the
/// grants of the new one when that fails.
fn failing_version() {
    for failing in ["old", "new"] {
        let mut pool = Pool::new(Config::new(4), at(0));
        pool.set_servers(&[listed("old", "v1"), listed("new", "v2")], at(0));
        pool.set_shares(&[("v1".into(), 0.9), ("v2".into(), 0.1)]);
        let mut run = Simulation::new(pool);
        run.run(4, ms(1000), |_, _| answer(5));
        run.log.clear();
        run.probes = 0;
        run.run(4, ms(20_000), |name, _| match name == failing {
            true => feedback(Outcome::Unreachable, ms(1)),
            false => answer(5),
        });
        let total = run.log.len() as f64;
        let new = run.fraction("new") * total;
        assert!(
            new <= 0.1 * total + 2.0 + run.probes as f64,
            "{new} of {total}"
        );
        assert!(failing == "old" || total > 10_000.0, "{total}");
    }
}

/// A version whose share falls to zero gets no further grants, even for queued tickets.
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

/// A handed-over pool keeps its allowances, and credits of the old owner count against them.
fn handover() {
    let old = warm(4);
    let mut new = pool(Config::new(4), 4);
    let mut states = old.pool.snapshot();
    states[2].ejected = true;
    states[3].leaving = true;
    new.restore(&states, at(0));
    new.adopt(&[(policy::credit::Id(9), "s0".into(), at(3000))], at(0));
    let mut run = Simulation::new(new);
    run.pool.hold_until(at(10));
    assert!(grant(&mut run, 8).is_empty());
    assert_eq!(run.pool.next_event(), Some(at(10)));
    assert_eq!(run.pool.grant(at(10)).len(), 7);
}

/// Invalid settings are rejected.
fn settings() {
    let error = |config: Config| config.validate().err();
    assert_eq!(error(Config::default()), None);
    assert_eq!(error(Config::new(0)), Some(Fault::ZeroSlots));
    assert_eq!(
        error(Config::new(1).queue_limit(0)),
        Some(Fault::ZeroQueueLimit)
    );
    let rate = Config::new(1).probes_per_second(-1.0);
    assert_eq!(error(rate), Some(Fault::InvalidProbeRate(-1.0)));
    let never = Config::new(1).credit_ttl(ms(0));
    assert_eq!(error(never), Some(Fault::ZeroCreditTtl));
}
