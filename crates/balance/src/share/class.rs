//! The requests of one service and priority at one instance.

use clock::Instant;

use super::tally::Tally;
use super::usage::{self, Excess};
use super::{
    reserve, Admission, ClassReport, Priority, Standing, Summary, TenantReport, Total, RECENT,
    USUAL,
};

/// The tenants whose recent requests are counted. Those that are reported and limited are far fewer.
const RECENT_TENANTS: usize = 32;

/// The tenants of whom is known what is usual.
const USUAL_TENANTS: usize = 64;

/// The requests of one service and priority at one instance.
#[derive(Debug)]
pub(super) struct Class {
    outcomes: [Tally; Standing::ALL.len()],
    recent: Summary,
    usual: Summary,
    /// The tenants that exceed their fair share.
    pub(super) excesses: Vec<Excess>,
    pub(super) last_request: Instant,
}

impl Class {
    pub(super) fn new() -> Self {
        Self {
            outcomes: Default::default(),
            recent: Summary::new(RECENT_TENANTS, RECENT),
            usual: Summary::new(USUAL_TENANTS, USUAL),
            excesses: Vec::new(),
            last_request: Instant::ZERO,
        }
    }

    /// Counts a request of `tenant` and returns its standing. `draws` are two random numbers from 0
    /// to 1.
    pub(super) fn admit(
        &mut self,
        tenant: Option<&str>,
        served: reserve::Served,
        draws: [f64; 2],
        now: Instant,
    ) -> Standing {
        self.last_request = now;
        self.recent.record(tenant, now);
        let excess = self.excesses.iter().find(|e| e.name.as_deref() == tenant);
        let (fraction, usual_fraction) =
            excess.map_or((1.0, 1.0), |e| (e.fraction, e.usual_fraction));
        // A flood does not become usual while it lasts.
        if draws[0] < usual_fraction {
            self.usual.record(tenant, now);
        }
        let standing = if draws[0] < fraction {
            Standing::Within
        } else {
            Standing::Over
        };
        let outcomes = |standing| self.outcomes(standing, now);
        let (within, over) = (outcomes(Standing::Within), outcomes(Standing::Over));
        let reserved = reserve::probability(served, fraction, standing, within, over);
        if draws[1] < reserved {
            Standing::Reserved
        } else {
            standing
        }
    }

    /// Counts the outcome of a request.
    pub(super) fn record(&mut self, admission: Admission, passed_on: bool, now: Instant) {
        self.outcomes[admission.standing as usize].record(passed_on, now);
    }

    fn outcomes(&self, standing: Standing, now: Instant) -> Total {
        self.outcomes[standing as usize].total(now)
    }

    /// Returns the outcomes of all requests.
    pub(super) fn total(&self, now: Instant) -> Total {
        self.outcomes.iter().map(|tally| tally.total(now)).sum()
    }

    /// Returns the counts of one tenant.
    pub(super) fn tenant(&self, name: Option<&str>, now: Instant) -> TenantReport {
        TenantReport {
            name: name.map(str::to_owned),
            recent: self.recent.count(name, now) as f32,
            usual: self.usual.count(name, now) as f32,
        }
    }

    /// Returns the counts, with all tenants that are known.
    pub(super) fn report(&self, service: &str, priority: Priority, now: Instant) -> ClassReport {
        let tenants = self.recent.tenants(now).map(|(name, recent)| TenantReport {
            name: name.map(str::to_owned),
            recent: recent as f32,
            usual: self.usual.count(name, now) as f32,
        });
        ClassReport {
            service: service.to_owned(),
            priority,
            outcomes: self.total(now),
            recent: self.recent.total(now) as f32,
            usual: self.usual.total(now) as f32,
            tenants: tenants.collect(),
        }
    }
}

/// Returns by how many requests `tenant` exceeds its usual part of those in `class`.
pub(super) fn excess(class: &ClassReport, tenant: &TenantReport, tenants: usize) -> f64 {
    let recent = f64::from(class.recent);
    let (usual, total) = (f64::from(tenant.usual), f64::from(class.usual));
    f64::from(tenant.recent) - recent * usage::weight(usual, total, recent, tenants)
}
