//! What needs an operator's attention.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use contract::id;
use contract::report::{Pool, Status};
use serde::Serialize;
use thiserror::Error;

use super::view::View;

/// How long a member may be silent: the length of a lease.
const LEASE: Duration = Duration::from_secs(3);

/// What needs an operator's attention. Displays as a sentence.
#[derive(Clone, Debug, PartialEq, Serialize, Error)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// Instances have different bundles of the same version.
    #[error("bundle {version} is not the same everywhere; escalate at once")]
    Fork {
        /// The version.
        version: u64,
    },
    /// Two instances each say that they own a pool, in the same epoch.
    #[error("{service} in {centre} has two owners in epoch {epoch}: {first} and {second}; escalate at once")]
    TwoOwners {
        /// The service.
        service: id::Service,
        /// The data centre.
        centre: id::Centre,
        /// The epoch.
        epoch: u64,
        /// One owner.
        first: id::Instance,
        /// The other.
        second: id::Instance,
    },
    /// No server of a pool may get work.
    #[error("{service} in {centre} has no backend server that may get work; {waiting} calls wait")]
    NoServer {
        /// The service.
        service: id::Service,
        /// The data centre.
        centre: id::Centre,
        /// The calls that wait.
        waiting: u64,
    },
    /// No instance has the authority to grant a pool's credits.
    #[error("{service} in {centre} has no owner; it should have one within seconds")]
    NoOwner {
        /// The service.
        service: id::Service,
        /// The data centre.
        centre: id::Centre,
    },
    /// An instance did not answer.
    #[error("the instance at {address} does not answer: {reason}")]
    Silent {
        /// The address of its operators' port.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// An instance has no bundle.
    #[error("{instance} has no bundle and answers no calls")]
    NoBundle {
        /// The instance.
        instance: id::Instance,
    },
    /// An instance has an older bundle than others.
    #[error("{instance} is at bundle {version}, behind {newest}; it should follow within seconds")]
    Behind {
        /// The instance.
        instance: id::Instance,
        /// Its version.
        version: u64,
        /// The newest version.
        newest: u64,
    },
    /// The platform's store does not answer.
    #[error("{instance} cannot reach the platform's store; traffic goes on, new bundles wait")]
    StoreUnreachable {
        /// The instance.
        instance: id::Instance,
    },
    /// A member is silent.
    #[error("{member} has not been heard for a lease by {}", list(.unheard_by))]
    MemberSilent {
        /// The member.
        member: id::Instance,
        /// The instances that do not hear it.
        unheard_by: BTreeSet<id::Instance>,
    },
    /// The owner of a pool knows no server of it, and no call waits.
    #[error("{service} in {centre} has no known backend server: none is listed, or no call has come yet")]
    NoServerKnown {
        /// The service.
        service: id::Service,
        /// The data centre.
        centre: id::Centre,
    },
    /// Calls wait for a busy pool.
    #[error("{service} in {centre} is busy: {waiting} calls wait")]
    Waiting {
        /// The service.
        service: id::Service,
        /// The data centre.
        centre: id::Centre,
        /// The calls that wait.
        waiting: u64,
    },
}

impl Finding {
    /// Returns the stable code of the finding, which `chivewheel explain` takes.
    pub fn code(&self) -> &'static str {
        match self {
            Finding::Fork { .. } => "fork",
            Finding::TwoOwners { .. } => "two-owners",
            Finding::NoServer { .. } => "no-server",
            Finding::NoOwner { .. } => "no-owner",
            Finding::Silent { .. } => "silent",
            Finding::NoBundle { .. } => "no-bundle",
            Finding::Behind { .. } => "behind",
            Finding::StoreUnreachable { .. } => "store-unreachable",
            Finding::MemberSilent { .. } => "member-silent",
            Finding::NoServerKnown { .. } => "no-server-known",
            Finding::Waiting { .. } => "waiting",
        }
    }

    /// Returns how urgent the finding is; the lowest comes first.
    pub fn urgency(&self) -> u8 {
        match self {
            Finding::Fork { .. } => 0,
            Finding::TwoOwners { .. } => 1,
            Finding::NoServer { .. } => 2,
            Finding::NoOwner { .. } => 3,
            Finding::NoBundle { .. } => 4,
            Finding::Silent { .. } => 5,
            Finding::Behind { .. } => 6,
            Finding::StoreUnreachable { .. } => 7,
            Finding::MemberSilent { .. } => 8,
            Finding::NoServerKnown { .. } => 9,
            Finding::Waiting { .. } => 10,
        }
    }
}

/// Returns what needs attention in what `instances` report.
pub(super) fn of(instances: &[Status]) -> Vec<Finding> {
    let mut findings = Vec::new();
    look_at_bundles(instances, &mut findings);
    look_at_stores(instances, &mut findings);
    look_at_members(instances, &mut findings);
    look_at_pools(instances, &mut findings);
    findings
}

fn look_at_bundles(instances: &[Status], findings: &mut Vec<Finding>) {
    let bundles = instances.iter().filter_map(|status| status.bundle.as_ref());
    let newest = bundles
        .clone()
        .map(|bundle| bundle.version)
        .max()
        .unwrap_or(0);
    let mut digests = BTreeMap::new();
    let mut forks = BTreeSet::new();
    for bundle in bundles {
        let first = digests.entry(bundle.version).or_insert(bundle.digest);
        if *first != bundle.digest {
            forks.insert(bundle.version);
        }
    }
    findings.extend(forks.into_iter().map(|version| Finding::Fork { version }));
    for status in instances {
        let instance = status.instance.clone();
        match &status.bundle {
            None => findings.push(Finding::NoBundle { instance }),
            Some(bundle) if bundle.version < newest => findings.push(Finding::Behind {
                instance,
                version: bundle.version,
                newest,
            }),
            Some(_) => {}
        }
    }
}

fn look_at_stores(instances: &[Status], findings: &mut Vec<Finding>) {
    let cut_off = instances.iter().filter(|status| !status.store_reachable);
    findings.extend(cut_off.map(|status| Finding::StoreUnreachable {
        instance: status.instance.clone(),
    }));
}

fn look_at_members(instances: &[Status], findings: &mut Vec<Finding>) {
    let mut silent: BTreeMap<&id::Instance, BTreeSet<id::Instance>> = BTreeMap::new();
    for status in instances {
        let others = status.members.iter().filter(|m| m.name != status.instance);
        for member in others.filter(|m| m.last_heard.is_none_or(|since| since > LEASE)) {
            let witnesses = silent.entry(&member.name).or_default();
            witnesses.insert(status.instance.clone());
        }
    }
    findings.extend(
        silent
            .into_iter()
            .map(|(member, unheard_by)| Finding::MemberSilent {
                member: member.clone(),
                unheard_by,
            }),
    );
}

fn look_at_pools(instances: &[Status], findings: &mut Vec<Finding>) {
    for view in View::all(instances) {
        let pool = view.pool;
        if view.is_acting() {
            look_at_pool(pool, findings);
        } else if pool.owner.is_none() {
            findings.push(Finding::NoOwner {
                service: pool.service.clone(),
                centre: pool.centre.clone(),
            });
        }
    }
    look_for_two_owners(instances, findings);
}

/// Looks at a pool as the instance that acts for it reports it.
fn look_at_pool(pool: &Pool, findings: &mut Vec<Finding>) {
    let (service, centre) = (pool.service.clone(), pool.centre.clone());
    let waiting = pool.waiting;
    let usable = pool.servers.iter().any(|server| server.allowance > 0);
    if pool.servers.is_empty() && waiting == 0 {
        findings.push(Finding::NoServerKnown { service, centre });
    } else if !usable {
        findings.push(Finding::NoServer {
            service,
            centre,
            waiting,
        });
    } else if waiting > 0 {
        findings.push(Finding::Waiting {
            service,
            centre,
            waiting,
        });
    }
}

fn look_for_two_owners(instances: &[Status], findings: &mut Vec<Finding>) {
    let mut owners = BTreeMap::new();
    for status in instances {
        let own = |pool: &&Pool| pool.owner.as_ref() == Some(&status.instance);
        for pool in status.pools.iter().filter(own) {
            let claim = (&pool.service, &pool.centre, status.epoch);
            let first = *owners.entry(claim).or_insert(&status.instance);
            if *first != status.instance {
                findings.push(two_owners(pool, status, first));
            }
        }
    }
}

fn two_owners(pool: &Pool, status: &Status, first: &id::Instance) -> Finding {
    Finding::TwoOwners {
        service: pool.service.clone(),
        centre: pool.centre.clone(),
        epoch: status.epoch,
        first: first.clone(),
        second: status.instance.clone(),
    }
}

fn list(names: &BTreeSet<id::Instance>) -> String {
    let names: Vec<&str> = names.iter().map(id::Instance::as_str).collect();
    names.join(", ")
}
