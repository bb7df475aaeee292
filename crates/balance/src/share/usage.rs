//! The use of the capacity of one service and priority by tenants.

use std::collections::BTreeMap;

use super::water_level::{self, Demand};
use super::{ClassReport, Total};

/// The part of refused requests below which no tenant is limited.
const MIN_REFUSED_SHARE: f64 = 0.01;

/// How far a tenant exceeds what is usual, relative to all tenants together, before it may be limited.
/// Requests of usual tenants vary by chance.
const MIN_EXCESS: f64 = 1.5;

/// By how many standard deviations of a random number of requests it has to exceed that as well.
const MIN_DEVIATIONS: f64 = 2.0;

/// How far a tenant may exceed what is usual so that all of its requests count towards it. Without this
/// margin, a tenant whose load varies would count as smaller than it is; with a larger one, a flood
/// would sooner become usual.
const USUAL_EXCESS: f64 = 1.25;

/// The weight of the assumption that all tenants are alike, in requests. Where little is known of
/// what is usual, it decides.
const UNIFORM_PRIOR: f64 = 20.0;

/// A tenant that exceeds its usual part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Excess {
    /// The tenant.
    pub(super) name: Option<String>,
    /// Its recent requests.
    pub(super) requests: f64,
    /// The part of its requests that is within its fair share.
    pub(super) fraction: f64,
    /// The part of its requests that counts towards what is usual for it.
    pub(super) usual_fraction: f64,
}

#[derive(Debug, Default)]
struct Tenant {
    recent: f64,
    usual: f64,
    /// What is usual for all tenants at the instances that name it.
    usual_total: f64,
}

/// The use of the capacity of one class by tenants, summed over instances.
#[derive(Debug, Default)]
pub(super) struct Usage<'a> {
    outcomes: Total,
    recent: f64,
    usual: f64,
    tenants: BTreeMap<Option<&'a str>, Tenant>,
}

impl<'a> Usage<'a> {
    /// Adds the counts of one instance, of which recent ones have decayed by `factor` since.
    pub(super) fn add(&mut self, report: &'a ClassReport, factor: f64) {
        self.outcomes = self.outcomes + report.outcomes.scaled(factor);
        self.recent += f64::from(report.recent) * factor;
        self.usual += f64::from(report.usual);
        for tenant in &report.tenants {
            let sum = self.tenants.entry(tenant.name.as_deref()).or_default();
            sum.recent += f64::from(tenant.recent) * factor;
            sum.usual += f64::from(tenant.usual);
            sum.usual_total += f64::from(report.usual);
        }
    }

    /// Returns the tenants by how many of their recent requests exceed what is usual, as far as they
    /// are named. Of these, all instances should report their counts.
    pub(super) fn suspects(
        &self,
        tenants: usize,
    ) -> impl Iterator<Item = (Option<&'a str>, f64)> + '_ {
        let (recent, usual) = (self.recent, self.usual);
        self.tenants.iter().map(move |(name, tenant)| {
            let weight = weight(tenant.usual, usual, recent, tenants);
            (*name, tenant.recent - recent * weight)
        })
    }

    /// Returns the tenants that exceed their fair share, where `tenants` share the capacity.
    pub(super) fn excesses(&self, tenants: usize) -> Vec<Excess> {
        let served = self.outcomes.served_share();
        if !self.outcomes.is_contended() || served > 1.0 - MIN_REFUSED_SHARE {
            return Vec::new();
        }
        // All other tenants count as one. The reports do not name all of their requests.
        let mut rest = Demand {
            requests: self.recent,
            weight: 1.0,
        };
        let mut heavy = Vec::new();
        for (name, tenant) in &self.tenants {
            let weight = weight(tenant.usual, tenant.usual_total, self.recent, tenants);
            let usual = weight * self.recent;
            if tenant.recent > MIN_EXCESS * usual + MIN_DEVIATIONS * usual.sqrt() {
                let requests = tenant.recent;
                heavy.push((*name, Demand { requests, weight }));
                rest.requests -= requests;
                rest.weight -= weight;
            }
        }
        rest.requests = rest.requests.max(0.0);
        rest.weight = rest.weight.max(f64::EPSILON);
        let demands: Vec<Demand> = heavy.iter().map(|(_, d)| *d).chain([rest]).collect();
        let level = water_level::level(&demands, served * self.recent);
        let excesses = heavy.into_iter().map(|(name, demand)| Excess {
            name: name.map(str::to_owned),
            requests: demand.requests,
            fraction: level * demand.weight / demand.requests,
            usual_fraction: USUAL_EXCESS * self.recent * demand.weight / demand.requests,
        });
        excesses.filter(|e| e.fraction < 1.0).collect()
    }
}

/// Returns the part of the requests that counts as usual for a tenant with `usual` of `usual_total`,
/// among `tenants`, of which `recent` requests came recently.
pub(super) fn weight(usual: f64, usual_total: f64, recent: f64, tenants: usize) -> f64 {
    let mean = 1.0 / tenants.max(1) as f64;
    let known = (usual + UNIFORM_PRIOR * mean) / (usual_total + UNIFORM_PRIOR);
    // One request is never too much.
    known.max(mean).max(1.0 / recent.max(1.0))
}
