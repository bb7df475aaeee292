//! The shares of tenants in the capacity of all services.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;

use super::class::{self, Class};
use super::limited::Limited;
use super::report::{MAX_CLASSES, MAX_LOCAL_TENANTS, MAX_SUSPECTS};
use super::reserve::Served;
use super::usage::Usage;
use super::{
    decay, Admission, Change, ClassReport, Priority, Report, TenantReport, Total, RECENT, USUAL,
};

/// How long the report of an instance counts unless it is repeated. In a large data centre,
/// heartbeats from one instance to another are up to 2.5 s apart, and one may be lost.
const REPORT_TTL: Duration = Duration::from_secs(6);

/// How long the sum of another data centre counts unless it is repeated.
const CENTRE_TTL: Duration = Duration::from_secs(3);

/// The most classes of a service.
const MAX_CLASSES_PER_SERVICE: usize = 32;

/// How long a class without requests is kept.
const CLASS_TTL: Duration = USUAL;

/// A tenant that may exceed its usual part of the requests in a class of a service.
#[derive(Debug)]
struct Suspect {
    service: String,
    priority: Priority,
    name: Option<String>,
    excess: f64,
}

#[derive(Debug, Default)]
struct Service {
    classes: BTreeMap<Priority, Class>,
    served: Served,
}

/// The shares of tenants in the capacity of all services, as one instance knows them.
#[derive(Debug, Default)]
pub struct Shares {
    services: BTreeMap<String, Service>,
    heard: BTreeMap<u64, (Report, Instant)>,
    centres: BTreeMap<String, (Total, Instant)>,
    suspects: Vec<Suspect>,
    limited: Limited,
    /// The number of tenants in the configuration.
    tenants: usize,
}

impl Shares {
    /// Counts a request and returns its place among those that wait. `draws` are two random numbers
    /// from 0 to 1.
    pub fn admit(
        &mut self,
        service: &str,
        priority: Priority,
        tenant: Option<&str>,
        draws: [f64; 2],
        now: Instant,
    ) -> Admission {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Service::default());
        }
        let standing = self
            .services
            .get_mut(service)
            .map_or(super::Standing::Within, |service| {
                let served = service.served;
                service.class(priority).admit(tenant, served, draws, now)
            });
        Admission { priority, standing }
    }

    /// Counts the outcome of a request: whether it was passed on to a server, or refused because
    /// capacity ran out.
    pub fn record_outcome(
        &mut self,
        service: &str,
        admission: Admission,
        passed_on: bool,
        now: Instant,
    ) {
        let service = self.services.get_mut(service);
        if let Some(class) = service.and_then(|s| s.classes.get_mut(&admission.priority)) {
            class.record(admission, passed_on, now);
        }
    }

    /// Replaces the report of another instance of the data centre.
    pub fn set_report(&mut self, instance: u64, report: Option<Report>, now: Instant) {
        match report {
            Some(report) => {
                self.heard.insert(instance, (report.sanitized(), now));
            }
            None => {
                self.heard.remove(&instance);
            }
        }
    }

    /// Replaces the sum of another data centre, which is `age` old.
    pub fn set_centre(&mut self, centre: &str, total: Total, age: Duration, now: Instant) {
        let at = now.before(age);
        let known = self.centres.get(centre);
        if known.is_none_or(|(_, known_at)| *known_at <= at) {
            self.centres
                .insert(centre.to_owned(), (total.sanitized(), at));
        }
    }

    /// Derives the decisions about requests from all counts. To be called several times a second.
    /// `tenants` is the number of tenants in the configuration.
    pub fn refresh(&mut self, tenants: usize, now: Instant) -> Change {
        self.tenants = tenants;
        self.heard.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        self.centres
            .retain(|_, (_, at)| now.since(*at) < CENTRE_TTL);
        let overall = self.overall(now).served_share();
        let is_contended = self.is_contended(now);
        let heard = &self.heard;
        self.suspects.clear();
        for (name, service) in &mut self.services {
            service
                .classes
                .retain(|_, class| now.since(class.last_request) < CLASS_TTL);
            let own = service.classes.values().map(|class| class.total(now));
            let others = reports(heard, now).filter(|(class, _)| class.service == *name);
            let others = others.map(|(class, factor)| class.outcomes.scaled(factor));
            let here = own.chain(others).sum::<Total>().served_share();
            service.served = Served { overall, here };
            for (priority, class) in &mut service.classes {
                if !is_contended {
                    class.excesses.clear();
                    continue;
                }
                let own = class.report(name, *priority, now);
                let mut usage = Usage::default();
                usage.add(&own, 1.0);
                let others = reports(heard, now)
                    .filter(|(c, _)| c.priority == *priority && c.service == *name);
                for (report, factor) in others {
                    usage.add(report, factor);
                }
                class.excesses = usage.excesses(tenants);
                for (tenant, excess) in usage.suspects(tenants) {
                    keep_greatest(
                        &mut self.suspects,
                        MAX_SUSPECTS,
                        excess,
                        |s| s.excess,
                        || Suspect {
                            service: name.clone(),
                            priority: *priority,
                            name: tenant.map(str::to_owned),
                            excess,
                        },
                    );
                }
            }
        }
        self.services
            .retain(|_, service| !service.classes.is_empty());
        let classes = self.services.values().flat_map(|s| s.classes.values());
        self.limited
            .update(classes.flat_map(|class| &class.excesses), now)
    }

    /// Returns the sum of this data centre, as far as known.
    pub fn total(&self, now: Instant) -> Total {
        let others = reports(&self.heard, now);
        let others = others.map(|(class, factor)| class.outcomes.scaled(factor));
        self.own_total(now) + others.sum()
    }

    /// Returns the outcomes that tell how often all clients together are served.
    fn overall(&self, now: Instant) -> Total {
        let elsewhere: Total = self.centres.values().map(|(total, _)| *total).sum();
        self.total(now) + elsewhere
    }

    fn own_total(&self, now: Instant) -> Total {
        let classes = self.services.values().flat_map(|s| s.classes.values());
        classes.map(|class| class.total(now)).sum()
    }

    /// Returns whether requests were refused recently, here or at another instance.
    fn is_contended(&self, now: Instant) -> bool {
        let centres = self.centres.values().map(|(total, _)| *total);
        let others = self.heard.values().flat_map(|(report, _)| &report.0);
        let mut totals = centres
            .chain(others.map(|class| class.outcomes))
            .chain([self.own_total(now)]);
        totals.any(Total::is_contended)
    }

    /// Returns what to tell the other instances of the data centre: nothing while no requests are
    /// refused.
    pub fn report(&self, now: Instant) -> Option<Report> {
        if !self.is_contended(now) {
            return None;
        }
        let services = self.services.iter();
        let mut classes: Vec<ClassReport> = services
            .flat_map(|(name, service)| {
                let classes = service.classes.iter();
                classes.map(|(priority, class)| class.report(name, *priority, now))
            })
            .collect();
        classes.sort_by(|a, b| b.outcomes.asked.total_cmp(&a.outcomes.asked));
        classes.truncate(MAX_CLASSES);
        // The tenants that are named in any case, and of the others those with the greatest excess.
        let mut local: Vec<(usize, TenantReport, f64)> = Vec::new();
        for (index, report) in classes.iter_mut().enumerate() {
            let known = std::mem::take(&mut report.tenants);
            let suspects: Vec<Option<&str>> = self.suspects_of(report).collect();
            for tenant in known {
                let excess = class::excess(report, &tenant, self.tenants);
                if excess > 0.0 && !suspects.contains(&tenant.name.as_deref()) {
                    keep_greatest(
                        &mut local,
                        MAX_LOCAL_TENANTS,
                        excess,
                        |l| l.2,
                        || (index, tenant, excess),
                    );
                }
            }
            let service = self.services.get(&report.service);
            if let Some(class) = service.and_then(|s| s.classes.get(&report.priority)) {
                let suspects = suspects.into_iter();
                report.tenants = suspects.map(|name| class.tenant(name, now)).collect();
            }
        }
        for (index, tenant, _) in local {
            classes[index].tenants.push(tenant);
        }
        Some(Report(classes).sanitized())
    }

    /// Returns the tenants of a class of which all instances report their counts.
    fn suspects_of<'a>(
        &'a self,
        class: &ClassReport,
    ) -> impl Iterator<Item = Option<&'a str>> + use<'a> {
        let (service, priority) = (class.service.clone(), class.priority);
        let suspects = self.suspects.iter();
        suspects
            .filter(move |s| s.priority == priority && s.service == service)
            .map(|s| s.name.as_deref())
    }

    /// Returns the sum to tell other data centres: nothing while no requests are refused.
    pub fn centre_total(&self, now: Instant) -> Option<Total> {
        self.is_contended(now).then(|| self.total(now))
    }

    /// Returns the tenants that are limited now. Their number is bounded.
    pub fn limited(&self) -> impl Iterator<Item = &str> {
        self.limited.names()
    }
}

impl Service {
    /// Returns the class with `priority`. If there are too many classes, the one that was unused for
    /// the longest time is dropped.
    fn class(&mut self, priority: Priority) -> &mut Class {
        let is_full = self.classes.len() >= MAX_CLASSES_PER_SERVICE;
        if is_full && !self.classes.contains_key(&priority) {
            let idle = self.classes.iter().min_by_key(|(_, c)| c.last_request);
            if let Some(idle) = idle.map(|(priority, _)| *priority) {
                self.classes.remove(&idle);
            }
        }
        self.classes.entry(priority).or_insert_with(Class::new)
    }
}

/// Returns the classes that other instances reported, with the factor by which recent counts have
/// decayed since.
fn reports(
    heard: &BTreeMap<u64, (Report, Instant)>,
    now: Instant,
) -> impl Iterator<Item = (&ClassReport, f64)> {
    heard.values().flat_map(move |(report, at)| {
        let factor = decay(now.since(*at), RECENT);
        report.0.iter().map(move |class| (class, factor))
    })
}

/// Adds an item to `items` if it is among the `count` with the greatest `value`.
fn keep_greatest<T>(
    items: &mut Vec<T>,
    count: usize,
    value: f64,
    value_of: impl Fn(&T) -> f64,
    item: impl FnOnce() -> T,
) {
    let at = items.partition_point(|other| value_of(other) >= value);
    if at < count {
        items.insert(at, item());
        items.truncate(count);
    }
}
