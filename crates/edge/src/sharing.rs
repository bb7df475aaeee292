//! Shares capacity between tenants: gives requests their ranks, and tells operators who is limited.

use std::sync::Arc;
use std::time::Duration;

use balance::route::Route;
use balance::share::{Admission, Priority, Total};
use clock::Clock;

use crate::gossip::{CentreState, Heartbeat};
use crate::headers::{Codec, Tenancy};
use crate::node::Node;
use crate::store::Store;

/// The interval at which the decisions are derived from the counts. Reports of other instances arrive
/// no more often.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The rank of a request among those that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    /// Lower values go first.
    pub(crate) value: u32,
    /// What the value follows from, if the configuration has tenants. Otherwise it is the route's
    /// priority.
    admission: Option<Admission>,
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Counts a request and returns its rank among those that wait.
    pub(crate) fn admit(
        &self,
        service: &str,
        route: &Route,
        tenancy: Tenancy<'_>,
        tenant_priority: Option<u32>,
    ) -> Rank {
        let name = match tenancy {
            Tenancy::Disabled => {
                return Rank {
                    value: route.priority,
                    admission: None,
                }
            }
            Tenancy::Anonymous => None,
            Tenancy::Tenant(name) => Some(name),
        };
        let priority = Priority::new(tenant_priority, route.priority);
        let draws = [fastrand::f64(), fastrand::f64()];
        let now = self.now();
        let admission = self
            .shares
            .lock()
            .admit(service, priority, name, draws, now);
        Rank {
            value: admission.rank(),
            admission: Some(admission),
        }
    }

    /// Counts the outcome of a request: whether it was passed on to a server, or refused because
    /// capacity ran out. `None` if neither.
    pub(crate) fn record_outcome(&self, service: &str, rank: Rank, passed_on: Option<bool>) {
        let Some(admission) = rank.admission else {
            return;
        };
        self.metrics.tenant_request(admission, passed_on);
        if let Some(passed_on) = passed_on {
            let now = self.now();
            let mut shares = self.shares.lock();
            shares.record_outcome(service, admission, passed_on, now);
        }
    }

    /// Applies what another instance of the data centre reports.
    pub(crate) fn apply_shares(&self, heartbeat: &Heartbeat) {
        let now = self.now();
        let mut shares = self.shares.lock();
        let report = heartbeat.tenancy.as_ref().and_then(|t| t.shares.clone());
        shares.set_report(heartbeat.from.boot, report, now);
        drop(shares);
        for state in &heartbeat.centres {
            self.apply_centre_shares(state);
        }
    }

    /// Applies what another data centre reports.
    pub(crate) fn apply_centre_shares(&self, state: &CentreState) {
        let total: Option<Total> = state.tenancy.as_ref().and_then(|t| t.outcomes);
        if let Some(total) = total.filter(|_| state.centre != self.identity.centre) {
            let mut shares = self.shares.lock();
            shares.set_centre(&state.centre, total, state.age, self.now());
        }
    }

    fn refresh_shares(&self) {
        let config = self.config.load();
        let tenants = config.as_ref().and_then(|c| c.tenants.as_ref());
        let tenants = tenants.map_or(0, |tenants| tenants.len());
        let now = self.now();
        let (change, limited) = {
            let mut shares = self.shares.lock();
            let change = shares.refresh(tenants, now);
            let limited: Vec<String> = shares.limited().map(str::to_owned).collect();
            (change, limited)
        };
        if change.is_empty() {
            return;
        }
        self.metrics.limited_tenants(&limited);
        if let Some(suppressed) = self.limits.tenants.pass(now) {
            slog::info!(self.log, "sharing: limited tenants changed"; "begun" => ?change.begun,
                "ended" => ?change.ended, "limited" => ?limited, "suppressed" => suppressed);
        }
    }
}

/// Derives the decisions about requests from the counts until the task is dropped.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.refresh_shares();
        node.clock.sleep(REFRESH_INTERVAL).await;
    }
}
