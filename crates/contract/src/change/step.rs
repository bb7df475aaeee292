//! The individual changes between two bundles.

use jiff::Timestamp;
use serde::Serialize;
use thiserror::Error;

use crate::{id, Rollout};

/// An individual change that a bundle makes. Displays as a sentence.
#[derive(Clone, Debug, PartialEq, Serialize, Error)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Step {
    /// A data centre is added.
    #[error("data centre {centre} is added, {}", service_words(.in_service))]
    CentreAdded {
        /// The data centre.
        centre: id::Centre,
        /// Whether it is in service.
        in_service: bool,
    },
    /// A data centre is removed.
    #[error("data centre {centre} is removed; it was {}", service_words(.in_service))]
    CentreRemoved {
        /// The data centre.
        centre: id::Centre,
        /// Whether it was in service.
        in_service: bool,
    },
    /// A data centre is taken out of service.
    #[error("data centre {centre} is taken out of service: it gets no new work")]
    CentreOut {
        /// The data centre.
        centre: id::Centre,
    },
    /// A data centre is put into service.
    #[error("data centre {centre} is put into service")]
    CentreIn {
        /// The data centre.
        centre: id::Centre,
    },
    /// A service is added.
    #[error("service {service} is added")]
    ServiceAdded {
        /// The service.
        service: id::Service,
    },
    /// A service is removed.
    #[error("service {service} is removed: its calls will be refused")]
    ServiceRemoved {
        /// The service.
        service: id::Service,
    },
    /// A setting of a service changes.
    #[error("service {service}: {name} from {from} to {to}")]
    Setting {
        /// The service.
        service: id::Service,
        /// The key of the setting.
        name: &'static str,
        /// Its value before.
        from: String,
        /// Its value after.
        to: String,
    },
    /// All traffic switches to another version at once.
    #[error("service {service}: all traffic goes from {from} to {to} at once")]
    Switch {
        /// The service.
        service: id::Service,
        /// The version that carries the traffic before the change.
        from: id::Version,
        /// The version that carries the traffic after the change.
        to: id::Version,
    },
    /// A route is added.
    #[error("service {service}: route {route} is added")]
    RouteAdded {
        /// The service.
        service: id::Service,
        /// The route.
        route: id::Route,
    },
    /// A route is removed.
    #[error("service {service}: route {route} is removed")]
    RouteRemoved {
        /// The service.
        service: id::Service,
        /// The route.
        route: id::Route,
    },
    /// A route changes.
    #[error("service {service}: route {route} changes from \"{from}\" to \"{to}\"")]
    RouteChanged {
        /// The service.
        service: id::Service,
        /// The route.
        route: id::Route,
        /// The settings of the route before, in words.
        from: String,
        /// The settings of the route after, in words.
        to: String,
    },
    /// A rollout is added or changed.
    #[error("service {service}: {}", rollout_words(.rollout))]
    #[serde(rename = "move")]
    Rollout {
        /// The service.
        service: id::Service,
        /// The rollout.
        #[serde(rename = "move")]
        rollout: Rollout,
    },
    /// A rollout is no longer in the bundle.
    #[error(
        "service {service}: the move from {} to {} is no longer stated",
        .rollout.from,
        .rollout.to
    )]
    #[serde(rename = "move-ended")]
    RolloutEnded {
        /// The service.
        service: id::Service,
        /// The rollout.
        #[serde(rename = "move")]
        rollout: Rollout,
    },
}

fn service_words(in_service: &bool) -> &'static str {
    match in_service {
        true => "in service",
        false => "out of service",
    }
}

fn rollout_words(rollout: &Rollout) -> String {
    let share = rollout.first_share * 100.0;
    let deadline = time_words(rollout.deadline);
    let Rollout { from, to, .. } = rollout;
    format!("traffic moves from {from} to {to}, from a share of {share:.2} %, by {deadline}")
}

/// Formats the time `seconds` after 1970-01-01 UTC, also where it is out of the range of
/// [`Timestamp`].
pub(super) fn time_words(seconds: u64) -> String {
    let time = i64::try_from(seconds).ok();
    let time = time.and_then(|seconds| Timestamp::from_second(seconds).ok());
    time.map_or_else(|| format!("second {seconds}"), |time| time.to_string())
}
