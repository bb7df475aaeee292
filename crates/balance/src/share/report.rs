//! What an instance tells others of the use of its capacity.

use serde::{Deserialize, Serialize};

use super::{Priority, Total};

/// The most classes in a report.
pub(super) const MAX_CLASSES: usize = 12;

/// The most tenants in a report that exceed their usual part of the requests at the sender.
pub(super) const MAX_LOCAL_TENANTS: usize = 4;

/// The most tenants in a report that exceed their usual part in the sum of all reports. All instances
/// name them, so that this sum is complete.
pub(super) const MAX_SUSPECTS: usize = 4;

/// The largest count that an instance can mean.
const MAX_COUNT: f32 = 1e9;

/// The requests of one tenant in a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// The tenant, or `None` for requests without one.
    pub name: Option<String>,
    /// Recent requests.
    pub recent: f32,
    /// What is usual for it, on the scale of [`ClassReport::usual`].
    pub usual: f32,
}

/// The requests of one service and priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The service.
    pub service: String,
    /// The priority.
    pub priority: Priority,
    /// The outcomes of recent requests.
    pub outcomes: Total,
    /// Recent requests of all tenants.
    pub recent: f32,
    /// What is usual for all tenants together.
    pub usual: f32,
    /// Tenants that may exceed their usual part of the requests.
    pub tenants: Vec<TenantReport>,
}

/// What an instance tells others while requests are refused. Its size is bounded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report(pub Vec<ClassReport>);

impl Report {
    /// Returns the report, without what another instance cannot mean.
    pub(super) fn sanitized(mut self) -> Self {
        self.0.truncate(MAX_CLASSES);
        let mut tenants_left = MAX_LOCAL_TENANTS + MAX_SUSPECTS;
        for class in &mut self.0 {
            class.outcomes = class.outcomes.sanitized();
            class.recent = sanitized(class.recent);
            class.usual = sanitized(class.usual);
            class.tenants.truncate(tenants_left);
            tenants_left -= class.tenants.len();
            for tenant in &mut class.tenants {
                tenant.recent = sanitized(tenant.recent).min(class.recent);
                tenant.usual = sanitized(tenant.usual).min(class.usual);
            }
        }
        self
    }
}

/// Returns a count that an instance can mean.
pub(super) fn sanitized(count: f32) -> f32 {
    if count.is_finite() {
        count.clamp(0.0, MAX_COUNT)
    } else {
        0.0
    }
}
