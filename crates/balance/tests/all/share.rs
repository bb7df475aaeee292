//! How often tenants are served under patterns of load that callers of a shared system produce.

use balance::share::{Priority, Report, Shares};

use crate::cases;
use crate::share_fleet::{Fleet, Outcome, Tenants};
use crate::support::at;

/// How often each tenant is to be served at least, relative to all clients together.
const FLOOR: f64 = 0.25;

/// How much less others may be served because of a tenant that is over its share, at most.
const TOLERANCE: f64 = 0.05;

fn fleet(instances: usize, gossip: bool) -> Fleet {
    Fleet {
        instances,
        capacity: 7.0 * instances as f64,
        gossip,
        seed: 7,
    }
}

/// 79 tenants with their usual load, and one that sends `factor` times its own, together 1.3 times
/// what the servers take: a client with a retry loop, or a customer's batch job. Guards against the
/// others being refused with it.
fn flood(fleet: &Fleet, factor: f64, instance: Option<usize>, least: f64) {
    let rate = 1.3 * fleet.capacity / (79.0 + factor);
    let flooding = Tenants::new(1, rate, factor * rate);
    let flooding = instance.map_or(flooding.clone(), |i| flooding.at_instance(i));
    let outcome = fleet.run(&[Tenants::new(79, rate, rate), flooding]);
    let [others, flooding]: [f64; 2] = outcome.shares[..].try_into().unwrap();
    let all = outcome.all;
    // Max-min fairness leaves the flooding tenant one eightieth, and the floor what it guarantees.
    let ideal = (fleet.capacity - FLOOR * all * factor * rate) / (79.0 * rate);
    let flooded = flooding < others && others >= ideal.min(1.0) - least;
    assert!(flooded, "others {others} of {ideal}, flooding {flooding}");
    assert!(flooding >= FLOOR * all, "flooding {flooding}, all {all}");
    if fleet.gossip {
        assert_eq!(outcome.limited, ["1-0".to_owned()].into());
    }
}

/// A large tenant with its usual load beside one that floods. Guards against taking size for a flood.
fn large() {
    let fleet = fleet(12, true);
    let rate = 1.3 * fleet.capacity / 110.0;
    let large = Tenants::new(3, 10.0 * rate, 10.0 * rate);
    let groups = [
        Tenants::new(70, rate, rate),
        large,
        Tenants::new(1, rate, 10.0 * rate),
    ];
    let shares = fleet.run(&groups).shares;
    assert!((shares[0] - shares[1]).abs() < TOLERANCE, "{shares:?}");
    assert!(shares[2] < 0.5 * shares[1], "{shares:?}");
}

/// Tenants of low priority under a burst of urgent requests, `burst` times what the servers take: a
/// sale or an alarm. Guards against low priorities that are never served, and against reserving more
/// for them than that takes.
fn burst(fleet: &Fleet, burst: f64, low: Tenants) {
    let urgent = Tenants::new(10, 0.05 * fleet.capacity, burst / 10.0 * fleet.capacity);
    let Outcome { shares, all, .. } = fleet.run(&[urgent.with_priority(0), low]);
    assert!(shares[1] >= FLOOR * all, "{shares:?}, all {all}");
    // Without gossip, an urgent request goes before others of its instance only.
    let strict = if fleet.gossip {
        (1.0 / burst).min(1.0)
    } else {
        all
    };
    assert!(shares[0] >= 0.85 * strict, "{shares:?}, strict {strict}");
    assert!(shares[0] > shares[1], "{shares:?}");
}

fn many_low(fleet: &Fleet) -> Tenants {
    let rate = 0.4 * fleet.capacity / 60.0;
    Tenants::new(60, rate, rate).with_priority(3)
}

/// 1200 integrations that poll once a minute each. Guards against counts that need several requests
/// of a tenant before it is served.
fn one_request_a_minute() -> Tenants {
    const RATE: f64 = 1.0 / 60.0;
    Tenants::new(1200, RATE, RATE).with_priority(5)
}

/// A tenant behind one balancer address, which always reaches the same instance. Guards against
/// counting on requests being spread.
fn at_one_instance() -> Tenants {
    Tenants::new(1, 8.0, 8.0).with_priority(5).at_instance(2)
}

/// 100,000 tenants in several classes at one instance. Guards against state, reports and names that
/// grow with them.
fn many_tenants() {
    const MAX_BYTES: usize = 900;
    let mut shares = Shares::default();
    for i in 0..100_000_u32 {
        let (name, now) = (format!("tenant{i}"), at(u64::from(i)));
        let service = ["gauge", "ledger", "archive"][i as usize % 3];
        let priority = Priority::new(Some(i % 50), i % 3);
        let admission = shares.admit(service, priority, Some(&name), [0.5, 0.9], now);
        shares.record_outcome(service, admission, i % 2 == 0, now);
        if i % 1000 == 0 {
            shares.refresh(100_000, now);
            let report: Report = shares.report(now).unwrap_or_default();
            assert!(rmp_serde::to_vec(&report).unwrap().len() < MAX_BYTES);
        }
    }
    assert_eq!(shares.limited().count(), 0, "no tenant has many requests");
}

/// Operators see who is limited, and no more once the flood has ended.
fn names_of_limited_tenants() {
    let mut shares = Shares::default();
    let mut changes = Vec::new();
    for ms in (0..90_000).step_by(50) {
        let is_flooding = (30_000..50_000).contains(&ms) && ms % 100 == 0;
        let other = format!("t{}", ms / 50 % 40);
        let name = if is_flooding { "flooding" } else { &other };
        let priority = Priority::new(None, 1);
        let admission = shares.admit("gauge", priority, Some(name), [0.5, 0.9], at(ms));
        shares.record_outcome("gauge", admission, ms % 150 != 0, at(ms));
        if ms % 250 == 0 {
            let change = shares.refresh(41, at(ms));
            changes.extend(change.begun.into_iter().map(|name| (name, true)));
            changes.extend(change.ended.into_iter().map(|name| (name, false)));
        }
    }
    let expected = [
        ("flooding".to_owned(), true),
        ("flooding".to_owned(), false),
    ];
    assert_eq!(changes, expected);
}

/// Guards against costs for heartbeats, and against limits, while nothing is refused.
fn calm() {
    let mut shares = Shares::default();
    for ms in (0..60_000).step_by(100) {
        let priority = Priority::new(None, 1);
        let name = if ms > 30_000 { "large" } else { "small" };
        let admission = shares.admit("gauge", priority, Some(name), [0.999, 0.4], at(ms));
        assert_eq!(admission.standing, balance::share::Standing::Within);
        shares.record_outcome("gauge", admission, true, at(ms));
        shares.refresh(2, at(ms));
        assert_eq!(
            (shares.report(at(ms)), shares.centre_total(at(ms))),
            (None, None)
        );
    }
}

cases! {
    flood_in_a_fleet => flood(&fleet(12, true), 10.0, None, TOLERANCE);
    flood_in_a_fleet_of_120 => flood(&fleet(120, true), 10.0, None, TOLERANCE);
    flood_at_one_instance => flood(&fleet(12, true), 10.0, Some(3), TOLERANCE);
    flood_without_gossip => flood(&fleet(12, false), 10.0, None, 0.12);
    flood_in_a_fleet_of_120_without_gossip => flood(&fleet(120, false), 10.0, None, 0.12);
    flood_at_one_instance_without_gossip => flood(&fleet(12, false), 10.0, Some(3), 0.2);
    large_tenants_beside_a_flood => large();
    burst_beside_low_priorities => burst(&fleet(12, true), 1.2, many_low(&fleet(12, true)));
    burst_without_gossip => burst(&fleet(12, false), 0.95, many_low(&fleet(12, false)));
    burst_within_the_capacity => burst(&fleet(12, true), 0.95, many_low(&fleet(12, true)));
    burst_beside_rare_requests => burst(&fleet(12, true), 1.3, one_request_a_minute());
    burst_beside_a_tenant_at_one_instance => burst(&fleet(12, true), 1.3, at_one_instance());
    hundred_thousand_tenants => many_tenants();
    limited_tenants_are_named => names_of_limited_tenants();
    calm_costs_nothing => calm();
}
