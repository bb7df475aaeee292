//! Single changes.

use jiff::Timestamp;
use serde::Serialize;
use thiserror::Error;

use crate::{id, Rollout};

/// One change that a bundle makes. Displays as a sentence.
#[derive(Clone, Debug, PartialEq, Serialize, Error)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Step {
    /// A data centre is new.
    #[error("data centre {centre} is added, {}", service_words(.in_service))]
    CentreAdded {
        /// The data centre.
        centre: id::Centre,
        /// Whether it is in service.
        in_service: bool,
    },
    /// A data centre is gone.
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
    /// A service is new.
    #[error("service {service} is added")]
    ServiceAdded {
        /// The service.
        service: id::Service,
    },
    /// A service is gone.
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
    /// All traffic goes to another version at once.
    #[error("service {service}: all traffic goes from {from} to {to} at once")]
    Switch {
        /// The service.
        service: id::Service,
        /// The version that carried the traffic.
        from: id::Version,
        /// The version that carries it from now on.
        to: id::Version,
    },
    /// A route is new.
    #[error("service {service}: route {route} is added")]
    RouteAdded {
        /// The service.
        service: id::Service,
        /// The route.
        route: id::Route,
    },
    /// A route is gone.
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
        /// What it stated before.
        from: String,
        /// What it states after.
        to: String,
    },
    /// A move starts or changes.
    #[error("service {service}: {}", rollout_words(.rollout))]
    #[serde(rename = "move")]
    Rollout {
        /// The service.
        service: id::Service,
        /// The move.
        #[serde(rename = "move")]
        rollout: Rollout,
    },
    /// A move is no longer stated.
    #[error(
        "service {service}: the move from {} to {} is no longer stated",
        .rollout.from,
        .rollout.to
    )]
    #[serde(rename = "move-ended")]
    RolloutEnded {
        /// The service.
        service: id::Service,
        /// The move.
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

/// Returns the time `seconds` after 1970-01-01 UTC in words.
pub(super) fn time_words(seconds: u64) -> String {
    let time = i64::try_from(seconds).ok();
    let time = time.and_then(|seconds| Timestamp::from_second(seconds).ok());
    time.map_or_else(|| format!("second {seconds}"), |time| time.to_string())
}
