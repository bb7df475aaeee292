//! What one bundle changes about another.

mod danger;
mod step;

use std::collections::BTreeMap;

use jiff::Timestamp;

pub use danger::Danger;
pub use step::Step;

use crate::{check, id, Bundle, Centre, Route, Service, Shift};

/// What a bundle changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<'a> {
    old: Option<&'a Bundle>,
    new: &'a Bundle,
    steps: Vec<Step>,
}

impl<'a> Change<'a> {
    /// Returns what changes when `new` takes the place of `old`, or is the first bundle.
    pub fn between(old: Option<&'a Bundle>, new: &'a Bundle) -> Self {
        let nothing = Bundle::default();
        let before = old.unwrap_or(&nothing);
        let mut steps = Vec::new();
        compare_centres(&before.centres, &new.centres, &mut steps);
        compare_services(&before.services, &new.services, &mut steps);
        Self { old, new, steps }
    }

    /// Returns the single changes, data centres first. Each displays as a sentence.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns whether nothing changes but the version of the bundle.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns what could do harm, given the time of the change.
    pub fn dangers(&self, now: Timestamp) -> Vec<Danger> {
        let mut dangers = self.centre_dangers();
        for service in &self.new.services {
            let shift = service.shift.as_ref();
            dangers.extend(
                shift
                    .into_iter()
                    .flat_map(|s| shift_dangers(service, s, now)),
            );
        }
        dangers.extend(self.steps.iter().filter_map(|step| self.step_danger(step)));
        dangers
    }

    fn step_danger(&self, step: &Step) -> Option<Danger> {
        match step {
            // Each service of a bundle in force may have traffic.
            Step::ServiceRemoved { service } => Some(Danger::ServiceRemoved {
                service: service.clone(),
            }),
            Step::Switch { service, from, to } if !self.moved_to(service, to) => {
                Some(Danger::Untried {
                    service: service.clone(),
                    from: from.clone(),
                    to: to.clone(),
                })
            }
            _ => None,
        }
    }

    /// Returns whether the old bundle states a move of `service` to `version`.
    fn moved_to(&self, service: &id::Service, version: &id::Version) -> bool {
        let mut services = self.old.into_iter().flat_map(|old| &old.services);
        let old = services.find(|s| s.name == *service);
        let shift = old.and_then(|service| service.shift.as_ref());
        shift.is_some_and(|shift| shift.to == *version)
    }

    fn centre_dangers(&self) -> Vec<Danger> {
        let mut dangers = Vec::new();
        if !self.new.centres.iter().any(|c| c.in_service) {
            dangers.push(Danger::AllCentresOut);
        }
        let before = self.old.map_or(&[][..], |old| &old.centres);
        let taken_out = before.iter().filter(|c| c.in_service);
        let taken_out = taken_out.filter(|c| !self.new.in_service(c.name.as_str()));
        let names: Vec<_> = taken_out.map(|c| c.name.clone()).collect();
        if names.len() > 1 {
            dangers.push(Danger::CentresOut { centres: names });
        }
        dangers
    }
}

fn shift_dangers(service: &Service, shift: &Shift, now: Timestamp) -> Vec<Danger> {
    let mut dangers = Vec::new();
    let service = service.name.clone();
    // NaN is above the bound too.
    if !(0.0..=check::MAX_FIRST_SHARE).contains(&shift.first_share) {
        dangers.push(Danger::FirstShareTooLarge {
            service: service.clone(),
            share: shift.first_share,
        });
    }
    let deadline = i64::try_from(shift.deadline).unwrap_or(i64::MAX);
    if deadline <= now.as_second() {
        dangers.push(Danger::DeadlinePassed {
            service,
            deadline: shift.deadline,
        });
    }
    dangers
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
    compare_shifts(old, new, steps);
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

fn compare_shifts(old: &Service, new: &Service, steps: &mut Vec<Step>) {
    let service = new.name.clone();
    match (&old.shift, &new.shift) {
        (old, Some(shift)) if old.as_ref() != Some(shift) => steps.push(Step::Move {
            service,
            shift: shift.clone(),
        }),
        (Some(shift), None) => steps.push(Step::MoveEnded {
            service,
            shift: shift.clone(),
        }),
        _ => {}
    }
}

/// Calls `visit` with the items of each name in `old` and `new`, in the order of the names.
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

/// Returns all that a route states, in words.
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
