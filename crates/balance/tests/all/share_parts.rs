//! Tests of the parts of `share` against naive versions.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use balance::share::reserve::{probability, Served};
use balance::share::water_level::{level, Demand};
use balance::share::{
    Admission, ClassReport, Priority, Report, Shares, Standing, Summary, TenantReport, Total,
};

use crate::support::at;

/// Naive max-min fairness: hands out the capacity in small parts, to whoever has the least for its
/// weight and asks for more.
#[test]
fn water_level_is_max_min_fair() {
    const PART: f64 = 0.01;
    arbtest(|u| {
        let mut demands = Vec::new();
        for _ in 0..u.int_in_range(1..=6)? {
            let requests = f64::from(u.int_in_range(0..=20)?);
            let weight = f64::from(u.int_in_range(1..=9)?) / 9.0;
            demands.push(Demand { requests, weight });
        }
        let capacity = f64::from(u.int_in_range(0..=60)?);
        let mut granted = vec![0.0; demands.len()];
        for _ in 0..(capacity / PART) as usize {
            let unsatisfied = (0..demands.len()).filter(|i| granted[*i] < demands[*i].requests);
            let ratio = |i: &usize| granted[*i] / demands[*i].weight;
            let Some(next) = unsatisfied.min_by(|a, b| ratio(a).total_cmp(&ratio(b))) else {
                break;
            };
            granted[next] += PART;
        }
        let level = level(&demands, capacity);
        for (demand, granted) in demands.iter().zip(granted) {
            let share = demand.requests.min(level * demand.weight);
            assert!(
                (share - granted).abs() < 0.1,
                "{share} {granted} {demands:?}"
            );
        }
        Ok(())
    });
}

/// A summary has each tenant with more than its part, and never counts others' requests as its own.
#[test]
fn summary_matches_exact_counts() {
    const CAPACITY: usize = 8;
    arbtest(|u| {
        let mut summary = Summary::new(CAPACITY, Duration::from_secs(1_000_000_000));
        let mut exact: HashMap<String, f64> = HashMap::new();
        for _ in 0..u.int_in_range(1..=400)? {
            let name = format!("t{}", u.int_in_range(0..=5)? * u.int_in_range(0..=5)?);
            summary.record(Some(&name), at(1));
            *exact.entry(name).or_default() += 1.0;
        }
        assert!(summary.len() <= CAPACITY);
        let total: f64 = exact.values().sum();
        for (name, count) in exact {
            let found = summary.count(Some(&name), at(1));
            assert!(found <= count + 0.01, "{name}: {found} of {count}");
            let is_listed = summary.tenants(at(1)).any(|(n, _)| n == Some(&name));
            assert!(is_listed || count <= total / CAPACITY as f64 + 0.01);
        }
        Ok(())
    });
}

/// Guards against a rank that puts the route's priority, or a tenant over its share, before the
/// tenant's priority.
#[test]
fn rank_orders_like_its_parts() {
    arbtest(|u| {
        let mut draw = || {
            let priority = Priority::new(u.arbitrary()?, u.arbitrary()?);
            let standing = *u.choose(&Standing::ALL[1..])?;
            Ok::<_, arbtest::arbitrary::Error>(Admission { priority, standing })
        };
        let (a, b) = (draw()?, draw()?);
        let key = |a: Admission| (a.priority, a.standing == Standing::Over);
        assert_eq!(a.rank().cmp(&b.rank()), key(a).cmp(&key(b)));
        let reserved = Admission {
            standing: Standing::Reserved,
            ..a
        };
        assert!(reserved.rank() < b.rank() && Admission::is_shared(reserved.rank()));
        Ok(())
    });
    assert_eq!(Priority::new(None, 3), Priority::new(Some(3), 3));
    assert!(Priority::new(Some(0), 9) < Priority::new(Some(1), 0));
}

/// What is reserved never exceeds the part of the requests that is served, so that all of it is.
#[test]
fn reserve_is_within_the_capacity() {
    arbtest(|u| {
        let mut part =
            || Ok::<_, arbtest::arbitrary::Error>(f64::from(u.int_in_range(0..=100)?) / 100.0);
        let (overall, here, fraction) = (part()?, part()?, part()?);
        let (asked, refused) = (100.0 * part()? as f32, part()? as f32);
        let outcomes = Total {
            asked,
            refused: refused * asked,
        };
        for standing in &Standing::ALL[1..] {
            let served = Served { overall, here };
            let reserved = probability(served, fraction, *standing, outcomes, outcomes);
            assert!((0.0..=here.min(overall)).contains(&reserved));
        }
        Ok(())
    });
}

/// Guards against counts in datagrams that no instance can mean.
#[test]
fn extreme_reports_limit_nobody() {
    for count in [f32::NAN, f32::INFINITY, -1.0, f32::MAX, 0.0] {
        let mut shares = Shares::default();
        let priority = Priority::new(None, 1);
        let tenant = TenantReport {
            name: Some("t".to_owned()),
            recent: count,
            usual: count,
        };
        let class = ClassReport {
            service: "gauge".to_owned(),
            priority,
            outcomes: Total {
                asked: count,
                refused: count,
            },
            recent: count,
            usual: count,
            tenants: vec![tenant; 1000],
        };
        shares.set_report(2, Some(Report(vec![class; 1000])), at(1));
        shares.set_centre(
            "west",
            Total {
                asked: count,
                refused: count,
            },
            Duration::MAX,
            at(1),
        );
        shares.admit("gauge", priority, Some("t"), [0.9, 0.9], at(1));
        shares.refresh(10, at(1));
        let admission = shares.admit("gauge", priority, Some("t"), [0.9, 0.9], at(1));
        assert_eq!(admission.standing, Standing::Within, "{count}");
    }
}
