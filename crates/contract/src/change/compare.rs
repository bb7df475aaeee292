//! Finds the individual changes between two bundles.

use std::collections::BTreeMap;

use super::Step;
use crate::{Bundle, Centre, Route, Service};

/// Returns the changes from `old` to `new`, data centres first. Items are ordered by
/// name.
pub(super) fn steps(old: &Bundle, new: &Bundle) -> Vec<Step> {
    let mut steps = Vec::new();
    compare_centres(&old.centres, &new.centres, &mut steps);
    compare_services(&old.services, &new.services, &mut steps);
    steps
}

fn compare_centres(old: &[Centre], new: &[Centre], steps: &mut Vec<Step>) {
    let name = |centre: &Centre| centre.name.as_str().to_owned();
    pair(old, new, name, |pair| {
        let step = match pair {
            (None, Some(new)) => Step::CentreAdded {
                centre: new.name.clone(),
                in_service: new.in_service,
            },
            (Some(old), None) => Step::CentreRemoved {
                centre: old.name.clone(),
                in_service: old.in_service,
            },
            (Some(old), Some(new)) if old.in_service && !new.in_service => Step::CentreOut {
                centre: new.name.clone(),
            },
            (Some(old), Some(new)) if !old.in_service && new.in_service => Step::CentreIn {
                centre: new.name.clone(),
            },
            _ => return,
        };
        steps.push(step);
    });
}

fn compare_services(old: &[Service], new: &[Service], steps: &mut Vec<Step>) {
    let name = |service: &Service| service.name.as_str().to_owned();
    pair(old, new, name, |pair| match pair {
        (None, Some(new)) => steps.push(Step::ServiceAdded {
            service: new.name.clone(),
        }),
        (Some(old), None) => steps.push(Step::ServiceRemoved {
            service: old.name.clone(),
        }),
        (Some(old), Some(new)) => compare_service(old, new, steps),
        (None, None) => {}
    });
}

fn compare_service(old: &Service, new: &Service, steps: &mut Vec<Step>) {
    let service = &new.name;
    let mut setting = |name: &'static str, from: String, to: String| {
        if from != to {
            steps.push(Step::Setting {
                service: service.clone(),
                name,
                from,
                to,
            });
        }
    };
    setting("hosts", sorted(&old.hosts), sorted(&new.hosts));
    setting("slots", old.slots.to_string(), new.slots.to_string());
    let probes = |s: &Service| s.probes_per_second.to_string();
    setting("probes-per-second", probes(old), probes(new));
    setting("probe-path", old.probe_path.clone(), new.probe_path.clone());
    setting("versions", versions(old), versions(new));
    compare_stable_versions(old, new, steps);
    compare_routes(old, new, steps);
    compare_rollouts(old, new, steps);
}

fn compare_stable_versions(old: &Service, new: &Service, steps: &mut Vec<Step>) {
    match (old.stable_version(), new.stable_version()) {
        (Some(from), Some(to)) if from != to => steps.push(Step::Switch {
            service: new.name.clone(),
            from: from.clone(),
            to: to.clone(),
        }),
        _ => {}
    }
}

fn compare_routes(old: &Service, new: &Service, steps: &mut Vec<Step>) {
    let service = &new.name;
    let name = |route: &Route| route.name.as_str().to_owned();
    pair(&old.routes, &new.routes, name, |pair| match pair {
        (None, Some(new)) => steps.push(Step::RouteAdded {
            service: service.clone(),
            route: new.name.clone(),
        }),
        (Some(old), None) => steps.push(Step::RouteRemoved {
            service: service.clone(),
            route: old.name.clone(),
        }),
        (Some(old), Some(new)) if describe(old) != describe(new) => {
            steps.push(Step::RouteChanged {
                service: service.clone(),
                route: new.name.clone(),
                from: describe(old),
                to: describe(new),
            });
        }
        _ => {}
    });
}

fn compare_rollouts(old: &Service, new: &Service, steps: &mut Vec<Step>) {
    let service = new.name.clone();
    match (&old.rollout, &new.rollout) {
        (old, Some(rollout)) if old.as_ref() != Some(rollout) => steps.push(Step::Rollout {
            service,
            rollout: rollout.clone(),
        }),
        (Some(rollout), None) => steps.push(Step::RolloutEnded {
            service,
            rollout: rollout.clone(),
        }),
        _ => {}
    }
}

/// Calls `visit` once per name in `old` or `new`, ordered by name, with the items of that name.
fn pair<'a, T>(
    old: &'a [T],
    new: &'a [T],
    name: impl Fn(&T) -> String,
    mut visit: impl FnMut((Option<&'a T>, Option<&'a T>)),
) {
    let mut pairs: BTreeMap<String, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for item in old {
        pairs.entry(name(item)).or_default().0 = Some(item);
    }
    for item in new {
        pairs.entry(name(item)).or_default().1 = Some(item);
    }
    pairs.into_values().for_each(&mut visit);
}

fn sorted(texts: &[String]) -> String {
    let mut sorted = texts.to_vec();
    sorted.sort();
    sorted.join(", ")
}

fn versions(service: &Service) -> String {
    let names: Vec<&str> = service.versions.iter().map(|v| v.name.as_str()).collect();
    names.join(", ")
}

/// Returns all settings of a route except its name, in words.
fn describe(route: &Route) -> String {
    let methods = match route.methods.is_empty() {
        true => "all methods".to_owned(),
        false => sorted(&route.methods),
    };
    let repeat = match route.idempotent {
        Some(true) => "idempotent",
        Some(false) => "runs at most once",
        None => "idempotent by method",
    };
    let wait = match route.can_wait {
        true => "can wait",
        false => "cannot wait",
    };
    let limit = route.time_limit.as_millis();
    format!(
        "{methods} {}, {repeat}, {wait}, at most {limit} ms",
        route.path
    )
}
