//! Changes that could cause harm, with their stable codes.

use serde::Serialize;
use thiserror::Error;

use super::step::time_words;
use crate::{check, id};

/// A change that could cause harm. Displays as a sentence.
#[derive(Clone, Debug, PartialEq, Serialize, Error)]
#[serde(tag = "danger", rename_all = "kebab-case")]
pub enum Danger {
    /// No data centre would be in service.
    #[error("no data centre would be in service: every call would be refused")]
    AllCentresOut,
    /// More than one data centre is taken out at once.
    #[error("{} data centres are taken out at once: {}", .centres.len(), list(.centres))]
    CentresOut {
        /// The data centres.
        centres: Vec<id::Centre>,
    },
    /// The initial share of a rollout is above the limit.
    #[error(
        "service {service}: a first share of {share} is over the bound of {}",
        check::MAX_FIRST_SHARE
    )]
    FirstShareTooLarge {
        /// The service.
        service: id::Service,
        /// The initial share.
        share: f64,
    },
    /// The deadline of a rollout has passed.
    #[error("service {service}: the deadline of the move has passed: {}", time_words(*.deadline))]
    DeadlinePassed {
        /// The service.
        service: id::Service,
        /// The deadline in seconds since 1970-01-01 UTC.
        deadline: u64,
    },
    /// A version gets all traffic at once, without a preceding rollout to it.
    #[error("service {service}: {to} gets all traffic at once, without a move from {from}")]
    Untried {
        /// The service.
        service: id::Service,
        /// The version that carries the traffic now.
        from: id::Version,
        /// The version that would carry all traffic.
        to: id::Version,
    },
    /// Calls that run at most once now could run more than once.
    #[error(
        "service {service}: calls to {path} ran at most once, and could repeat on route {route}"
    )]
    MayRepeat {
        /// The service.
        service: id::Service,
        /// The route that would match the calls.
        route: id::Route,
        /// The path of the calls.
        path: String,
    },
    /// A service that may have traffic is removed.
    #[error("service {service} is removed: its calls would be refused")]
    ServiceRemoved {
        /// The service.
        service: id::Service,
    },
}

impl Danger {
    /// Returns whether an operator may accept the risk. Taking all data centres out of service and
    /// a deadline in the past can only be mistakes.
    pub fn is_acceptable(&self) -> bool {
        !matches!(self, Danger::AllCentresOut | Danger::DeadlinePassed { .. })
    }

    /// Returns the stable code of the danger.
    pub fn code(&self) -> &'static str {
        match self {
            Danger::AllCentresOut => "all-centres-out",
            Danger::CentresOut { .. } => "centres-out",
            Danger::FirstShareTooLarge { .. } => "first-share-too-large",
            Danger::DeadlinePassed { .. } => "deadline-passed",
            Danger::Untried { .. } => "untried",
            Danger::MayRepeat { .. } => "may-repeat",
            Danger::ServiceRemoved { .. } => "service-removed",
        }
    }
}

fn list(centres: &[id::Centre]) -> String {
    let names: Vec<&str> = centres.iter().map(id::Centre::as_str).collect();
    names.join(", ")
}
