//! Tests of how requests are routed.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::config::{Config, Limits};
use balance::route::{Route, Share};

use crate::cases;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(600),
        max_attempts: 2,
        priority: 0,
        shares: Vec::new(),
        public: false,
    }
}

fn matched_route(host: &str, path: &str) -> Option<String> {
    let config = Config {
        version: 4,
        routes: vec![
            route("all", "pond.example", "/"),
            route("levels", "pond.example", "/levels/"),
            route("deep", "pond.example", "/levels/deep/"),
            route("other", "moor.example", "/levels/"),
        ],
        services: BTreeMap::new(),
        limits: Limits::default(),
        tenants: None,
        faults: Vec::new(),
    };
    config.route(host, path).map(|r| r.name.clone())
}

fn check_route(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(matched_route(host, path).as_deref(), expected);
}

/// Returns the number of requests that each service gets, over evenly distributed points.
fn split(weights: &[f64]) -> Vec<usize> {
    const DRAWS: usize = 1000;
    let shares = weights.iter().enumerate().map(|(i, weight)| Share {
        service: i.to_string(),
        weight: *weight,
    });
    let route = Route {
        shares: shares.collect(),
        ..route("split", "pond.example", "/")
    };
    let mut counts = vec![0; weights.len()];
    for i in 0..DRAWS {
        let service = route.service(i as f64 / DRAWS as f64).unwrap();
        counts[service.parse::<usize>().unwrap()] += 1;
    }
    counts
}

cases! {
    longest_prefix_is_chosen => check_route("pond.example", "/levels/deep/3", Some("deep"));
    shorter_prefix_matches_other_paths => check_route("pond.example", "/levels/3", Some("levels"));
    root_matches_remaining_paths => check_route("pond.example", "/repairs/3", Some("all"));
    port_of_the_host_is_ignored => check_route("pond.example:8080", "/levels/3", Some("levels"));
    case_of_the_host_is_ignored => check_route("Pond.Example", "/levels/3", Some("levels"));
    prefix_of_another_host_does_not_match => check_route("moor.example", "/repairs/3", None);
    prefix_matches_whole_segments => check_route("moor.example", "/levelsx", None);
    requests_are_split_by_weight => assert_eq!(split(&[90.0, 10.0]), [900, 100]);
    weights_may_have_any_sum => assert_eq!(split(&[1.0, 1.0, 2.0]), [250, 250, 500]);
    weight_of_zero_gets_no_requests => assert_eq!(split(&[0.0, 5.0]), [0, 1000]);
}
