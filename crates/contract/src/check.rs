//! Validates a bundle: its limits and the rules that do not depend on other bundles.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fault::{labels, Fault, Faults, Kind, Path};
use crate::{Bundle, Rollout, Route, Service};

/// The maximum version of a bundle.
pub const MAX_VERSION: u64 = (1 << 53) - 1;

/// The maximum number of data centres.
pub const MAX_CENTRES: usize = 32;

/// The maximum number of services.
pub const MAX_SERVICES: usize = 1000;

/// The maximum number of routes per service.
pub const MAX_ROUTES: usize = 64;

/// The maximum number of versions per service.
pub const MAX_VERSIONS: usize = 16;

/// The maximum number of hosts per service.
pub const MAX_HOSTS: usize = 32;

/// The maximum number of methods per route.
pub const MAX_METHODS: usize = 16;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The maximum length of a host, in bytes (RFC 1035, section 2.3.4).
pub const MAX_HOST_BYTES: usize = 253;

/// The maximum length of a method, in bytes.
pub const MAX_METHOD_BYTES: usize = 32;

/// The maximum length of a path, in bytes.
pub const MAX_PATH_BYTES: usize = 512;

/// The maximum number of slots per backend server.
pub const MAX_SLOTS: u32 = 1000;

/// The maximum number of probes per second for a service.
pub const MAX_PROBES_PER_SECOND: f64 = 1000.0;

/// The maximum initial share of a rollout.
pub const MAX_FIRST_SHARE: f64 = 0.05;

/// The minimum initial share of a rollout.
pub const MIN_FIRST_SHARE: f64 = 0.0001;

/// The minimum time limit of a route.
pub const MIN_TIME_LIMIT: Duration = Duration::from_millis(1);

/// The maximum time limit of a route.
pub const MAX_TIME_LIMIT: Duration = Duration::from_secs(600);

/// The latest deadline, in seconds since 1970-01-01 UTC: the end of the year 9999.
pub const MAX_DEADLINE_SECS: u64 = 253_402_300_799;

/// Checks `bundle` against all rules. On failure, returns all faults.
pub fn check(bundle: &Bundle) -> Result<(), Faults> {
    let mut checker = Checker::default();
    checker.bundle(bundle);
    Faults::new(checker.faults).into_result()
}

/// Returns whether `text` is a valid name.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Collects the faults of a bundle.
#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn add_fault(&mut self, path: Path, kind: Kind) {
        self.faults.push(Fault::new(path, kind));
    }

    fn bundle(&mut self, bundle: &Bundle) {
        let root = Path::root();
        self.integer(root.key("version"), bundle.version, 1, MAX_VERSION);
        self.centres(bundle, root.key("data-centre"));
        self.services(&bundle.services, root.key("service"));
    }

    fn centres(&mut self, bundle: &Bundle, path: Path) {
        self.count(&path, bundle.centres.len(), 1, MAX_CENTRES);
        let names: Vec<&str> = bundle.centres.iter().map(|c| c.name.as_str()).collect();
        self.names(&path, &names, &positions(names.len()));
        if !names.is_empty() && !bundle.centres.iter().any(|c| c.in_service) {
            self.add_fault(path, Kind::NoCentreInService);
        }
    }

    fn services(&mut self, services: &[Service], path: Path) {
        self.count(&path, services.len(), 1, MAX_SERVICES);
        let names: Vec<&str> = services.iter().map(|s| s.name.as_str()).collect();
        let labels = labels(&names);
        self.names(&path, &names, &labels);
        let mut hosts = BTreeMap::new();
        for (service, label) in services.iter().zip(labels) {
            let path = path.item(label);
            self.hosts(&service.hosts, path.key("hosts"), &mut hosts);
            self.service(service, &path);
        }
    }

    fn hosts<'a>(&mut self, hosts: &'a [String], path: Path, seen: &mut BTreeMap<&'a str, Path>) {
        self.count(&path, hosts.len(), 1, MAX_HOSTS);
        for (at, host) in hosts.iter().enumerate() {
            let path = path.at(at);
            if !is_host(host) {
                self.add_fault(path, Kind::BadHost { host: host.clone() });
            } else if let Some(first) = seen.get(host.as_str()) {
                let (host, first) = (host.clone(), first.clone());
                self.add_fault(path, Kind::SharedHost { host, first });
            } else {
                seen.insert(host, path);
            }
        }
    }

    fn service(&mut self, service: &Service, path: &Path) {
        let slots = u64::from(service.slots);
        self.integer(path.key("slots"), slots, 1, u64::from(MAX_SLOTS));
        let probes = path.key("probes-per-second");
        self.number(
            probes,
            service.probes_per_second,
            0.0,
            MAX_PROBES_PER_SECOND,
        );
        self.url_path(path.key("probe-path"), &service.probe_path);
        self.routes(&service.routes, path.key("route"));
        let versions: Vec<&str> = service.versions.iter().map(|v| v.name.as_str()).collect();
        self.versions(&versions, path.key("version"));
        if let Some(rollout) = &service.rollout {
            self.rollout(rollout, &versions, path.key("move"));
        }
    }

    fn routes(&mut self, routes: &[Route], path: Path) {
        self.count(&path, routes.len(), 1, MAX_ROUTES);
        let names: Vec<&str> = routes.iter().map(|r| r.name.as_str()).collect();
        self.names(&path, &names, &positions(names.len()));
        // Routes above the limit are not compared: the time grows with the square of their number.
        for (at, route) in routes.iter().enumerate().take(MAX_ROUTES) {
            self.route(route, &path.at(at));
            let earlier = routes[..at].iter().position(|r| overlaps(r, route));
            if let Some(first) = earlier {
                let first = path.at(first);
                self.add_fault(path.at(at).key("path"), Kind::SameCalls { first });
            }
        }
    }

    fn route(&mut self, route: &Route, path: &Path) {
        self.methods(&route.methods, path.key("methods"));
        self.url_path(path.key("path"), &route.path);
        let limit = route.time_limit.as_secs_f64() * 1000.0;
        let min = MIN_TIME_LIMIT.as_secs_f64() * 1000.0;
        let max = MAX_TIME_LIMIT.as_secs_f64() * 1000.0;
        self.number(path.key("time-limit-ms"), limit, min, max);
    }

    fn methods(&mut self, methods: &[String], path: Path) {
        self.count(&path, methods.len(), 0, MAX_METHODS);
        for (at, method) in methods.iter().enumerate().take(MAX_METHODS) {
            let path = path.at(at);
            let method = method.clone();
            if !is_method(&method) {
                self.add_fault(path, Kind::BadMethod { method });
            } else if let Some(first) = methods[..at].iter().position(|m| *m == method) {
                let first = path.parent().unwrap_or_default().at(first);
                self.add_fault(
                    path,
                    Kind::Duplicate {
                        name: method,
                        first,
                    },
                );
            }
        }
    }

    fn versions(&mut self, names: &[&str], path: Path) {
        self.count(&path, names.len(), 1, MAX_VERSIONS);
        self.names(&path, names, &positions(names.len()));
    }

    fn rollout(&mut self, rollout: &Rollout, versions: &[&str], path: Path) {
        let (from, to) = (rollout.from.as_str(), rollout.to.as_str());
        self.rollout_version(path.key("from"), from, versions);
        self.rollout_version(path.key("to"), to, versions);
        if from == to {
            let name = to.to_owned();
            self.add_fault(path.key("to"), Kind::SameVersion { name });
        }
        let share = path.key("first-share");
        self.number(share, rollout.first_share, MIN_FIRST_SHARE, MAX_FIRST_SHARE);
        self.integer(path.key("deadline"), rollout.deadline, 1, MAX_DEADLINE_SECS);
    }

    fn rollout_version(&mut self, path: Path, name: &str, versions: &[&str]) {
        // An empty or unreadable list of versions is reported as a fault of its own; the rollout
        // cannot be checked against it.
        let listed = versions.contains(&name);
        if listed || versions.is_empty() || versions.contains(&"") {
            return;
        }
        let kind = Kind::NoSuchVersion {
            name: name.to_owned(),
            known: versions.join(", "),
        };
        self.add_fault(path, kind);
    }

    /// Checks that the items of the list at `path` have valid and unique names.
    fn names(&mut self, path: &Path, names: &[&str], labels: &[String]) {
        let mut seen = BTreeMap::new();
        for (name, label) in names.iter().zip(labels) {
            let path = path.item(label).key("name");
            let text = (*name).to_owned();
            if !is_name(name) {
                self.add_fault(path, Kind::BadName { name: text });
            } else if let Some(first) = seen.get(name) {
                let first = Path::clone(first);
                self.add_fault(path, Kind::Duplicate { name: text, first });
            } else {
                seen.insert(name, path);
            }
        }
    }

    fn url_path(&mut self, path: Path, text: &str) {
        let forbidden = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
        if text.len() > MAX_PATH_BYTES {
            let (size, limit) = (text.len(), MAX_PATH_BYTES);
            self.add_fault(path, Kind::TooLong { size, limit });
        } else if !text.starts_with('/') || text.contains(forbidden) {
            let text = text.to_owned();
            self.add_fault(path, Kind::BadPath { path: text });
        }
    }

    fn count(&mut self, path: &Path, count: usize, min: usize, max: usize) {
        if count < min {
            self.add_fault(path.clone(), Kind::Empty);
        } else if count > max {
            let kind = Kind::TooMany { count, limit: max };
            self.add_fault(path.clone(), kind);
        }
    }

    fn integer(&mut self, path: Path, found: u64, min: u64, max: u64) {
        if !(min..=max).contains(&found) {
            let [found, min, max] = [found, min, max].map(|n| n as f64);
            self.add_fault(path, Kind::OutOfBounds { found, min, max });
        }
    }

    fn number(&mut self, path: Path, found: f64, min: f64, max: f64) {
        // No range contains NaN.
        if !(min..=max).contains(&found) {
            self.add_fault(path, Kind::OutOfBounds { found, min, max });
        }
    }
}

/// Returns the labels of `count` items that paths identify by position.
fn positions(count: usize) -> Vec<String> {
    (1..=count).map(|position| position.to_string()).collect()
}

/// Returns whether a call could match both routes with the same path prefix.
fn overlaps(a: &Route, b: &Route) -> bool {
    let any_method = a.methods.is_empty() || b.methods.is_empty();
    let shared_method = any_method || a.methods.iter().any(|m| b.methods.contains(m));
    a.path == b.path && shared_method
}

fn is_host(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.');
    !text.is_empty() && text.len() <= MAX_HOST_BYTES && text.bytes().all(allowed)
}

fn is_method(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_uppercase() || b == b'-';
    !text.is_empty() && text.len() <= MAX_METHOD_BYTES && text.bytes().all(allowed)
}
