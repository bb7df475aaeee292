//! Routes of requests.

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
    }
}

fn chosen(host: &str, path: &str) -> Option<String> {
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
    };
    config.route(host, path).map(|r| r.name.clone())
}

fn goes_to(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(chosen(host, path).as_deref(), expected);
}

/// Counts the requests of each service over evenly drawn points.
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
    longest_prefix_wins => goes_to("pond.example", "/levels/deep/3", Some("deep"));
    shorter_prefix_serves_the_rest => goes_to("pond.example", "/levels/3", Some("levels"));
    root_takes_what_is_left => goes_to("pond.example", "/repairs/3", Some("all"));
    port_of_the_host_does_not_count => goes_to("pond.example:8080", "/levels/3", Some("levels"));
    host_has_no_case => goes_to("Pond.Example", "/levels/3", Some("levels"));
    prefix_of_another_host_does_not_count => goes_to("moor.example", "/repairs/3", None);
    prefix_ends_at_its_slash => goes_to("moor.example", "/levelsx", None);
    weights_are_kept => assert_eq!(split(&[90.0, 10.0]), [900, 100]);
    weights_need_no_sum => assert_eq!(split(&[1.0, 1.0, 2.0]), [250, 250, 500]);
    weight_of_zero_gets_nothing => assert_eq!(split(&[0.0, 5.0]), [0, 1000]);
}
