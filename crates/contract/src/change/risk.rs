//! Finds the changes that could cause harm.

use jiff::Timestamp;

use super::{Danger, Step};
use crate::{check, id, Bundle, Rollout, Route, Service};

/// The methods checked for a route that matches all methods.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Returns the dangers of replacing `old` by `new` at the time `now`. `steps` are the individual
/// changes from `old` to `new`.
pub(super) fn dangers(old: &Bundle, new: &Bundle, steps: &[Step], now: Timestamp) -> Vec<Danger> {
    let mut dangers = centre_dangers(old, new);
    for service in &new.services {
        let rollout = service.rollout.iter();
        dangers.extend(rollout.flat_map(|rollout| rollout_dangers(service, rollout, now)));
        let before = old.services.iter().find(|s| s.name == service.name);
        dangers.extend(
            before
                .into_iter()
                .flat_map(|before| repeat_dangers(before, service)),
        );
    }
    dangers.extend(steps.iter().filter_map(|step| step_danger(old, step)));
    dangers
}

fn centre_dangers(old: &Bundle, new: &Bundle) -> Vec<Danger> {
    let mut dangers = Vec::new();
    if !new.centres.iter().any(|c| c.in_service) {
        dangers.push(Danger::AllCentresOut);
    }
    let taken_out = old.centres.iter().filter(|c| c.in_service);
    let taken_out = taken_out.filter(|c| !new.in_service(c.name.as_str()));
    let centres: Vec<_> = taken_out.map(|c| c.name.clone()).collect();
    if centres.len() > 1 {
        dangers.push(Danger::CentresOut { centres });
    }
    dangers
}

fn rollout_dangers(service: &Service, rollout: &Rollout, now: Timestamp) -> Vec<Danger> {
    let mut dangers = Vec::new();
    let service = service.name.clone();
    // NaN is not in the range and is reported as well.
    if !(0.0..=check::MAX_FIRST_SHARE).contains(&rollout.first_share) {
        dangers.push(Danger::FirstShareTooLarge {
            service: service.clone(),
            share: rollout.first_share,
        });
    }
    let deadline = i64::try_from(rollout.deadline).unwrap_or(i64::MAX);
    if deadline <= now.as_second() {
        dangers.push(Danger::DeadlinePassed {
            service,
            deadline: rollout.deadline,
        });
    }
    dangers
}

/// Returns a danger for each route of `old` whose calls run at most once but could run more than
/// once in `new`. In `new`, a route of another name may match these calls.
fn repeat_dangers(old: &Service, new: &Service) -> Vec<Danger> {
    let danger = |route: &Route| {
        let matched = once_methods(route).find_map(|method| {
            let matched = new.route(method, &route.path);
            matched.filter(|matched| matched.is_idempotent(method))
        });
        matched.map(|matched| Danger::MayRepeat {
            service: new.name.clone(),
            route: matched.name.clone(),
            path: route.path.clone(),
        })
    };
    old.routes.iter().filter_map(danger).collect()
}

/// Returns the methods whose calls run at most once on `route`.
fn once_methods(route: &Route) -> impl Iterator<Item = &str> {
    let listed = route.methods.iter().map(String::as_str);
    let all = METHODS.into_iter().filter(|_| route.methods.is_empty());
    listed
        .chain(all)
        .filter(|method| !route.is_idempotent(method))
}

fn step_danger(old: &Bundle, step: &Step) -> Option<Danger> {
    match step {
        // Any service of the bundle in force may have traffic.
        Step::ServiceRemoved { service } => Some(Danger::ServiceRemoved {
            service: service.clone(),
        }),
        Step::Switch { service, from, to } if !has_rollout_to(old, service, to) => {
            Some(Danger::Untried {
                service: service.clone(),
                from: from.clone(),
                to: to.clone(),
            })
        }
        _ => None,
    }
}

/// Returns whether `old` has a rollout of `service` to `version`.
fn has_rollout_to(old: &Bundle, service: &id::Service, version: &id::Version) -> bool {
    let service = old.services.iter().find(|s| s.name == *service);
    let rollout = service.and_then(|service| service.rollout.as_ref());
    rollout.is_some_and(|rollout| rollout.to == *version)
}
