//! Reports counted responses to the leaders of rollouts, and decides on the rollouts that this
//! instance leads.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::{Clock, Instant};
use contract::{id, report, Rollout, Service};
use platform::{Error, Outcome, Store};
use rollout::evidence::Evidence;
use rollout::progress::Progress;
use rollout::state::State;
use wire::{Message, Reply};

use super::leader::{self, Leader};
use super::Status;
use crate::node::Node;

/// The interval at which an owner reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Leads and reports until the instance has stopped.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        node.clock.sleep(REPORT_INTERVAL).await;
        let bundle = node.view.bundle();
        node.moves.lock().retain(&bundle);
        for service in &bundle.services {
            if let Some(shift) = &service.rollout {
                node.lead_rollout(service, shift).await;
                node.report_evidence(service, shift).await;
            }
        }
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Decides on the rollout of `service`, if this instance is its leader.
    async fn lead_rollout(&self, service: &Service, shift: &Rollout) {
        let Some(since) = self.leader_since(&service.name) else {
            self.moves.lock().leaders.remove(&service.name);
            return;
        };
        let is_current = |leader: &Leader| leader.matches(shift, since);
        let known = self
            .moves
            .lock()
            .leaders
            .get(&service.name)
            .is_some_and(is_current);
        if !known {
            self.become_leader(service, shift, since).await;
        }
        let progress = {
            let mut moves = self.moves.lock();
            let Some(leader) = moves.leaders.get_mut(&service.name) else {
                return;
            };
            let progress = leader.step(self.now());
            let before = moves
                .progress(&service.name, shift)
                .map(|known| known.state);
            if before != Some(progress.state) {
                slog::info!(self.log, "moves: the state of a rollout changed"; "service" => %service.name,
                    "state" => %progress.state, "share" => progress.share);
            }
            moves.replace(Status {
                service: service.name.clone(),
                progress: progress.clone(),
            });
            progress
        };
        slog::debug!(self.log, "moves: decided on a rollout"; "service" => %service.name,
            "state" => %progress.state, "share" => progress.share);
        self.write_record(&service.name).await;
    }

    /// Returns since when this instance has led the rollout of `service`, or `None` if it does not.
    fn leader_since(&self, service: &id::Service) -> Option<Instant> {
        let leases = self.leases.lock();
        let now = self.now();
        let (duty, since) = leases.tenure(&leader_key(service), None, now)?;
        let role = leases.role(&duty)?;
        role.is_exclusive(since, now).then_some(since)
    }

    /// Resumes the rollout of `service` where an earlier leader left it.
    async fn become_leader(&self, service: &Service, shift: &Rollout, since: Instant) {
        self.merge_member_statuses().await;
        let stored = self.read_stored(service, shift).await;
        let mut moves = self.moves.lock();
        let (revision, stored) = stored.unwrap_or_default();
        if let Some(progress) = stored {
            moves.merge(Status {
                service: service.name.clone(),
                progress,
            });
        }
        let known = moves.progress(&service.name, shift);
        let (unix_secs, now) = (unix_time_secs(), self.now());
        let leader = Leader::resume(service, shift, known, revision, unix_secs, since, now);
        moves.leaders.insert(service.name.clone(), leader);
    }

    /// Merges the rollout statuses known to the other members.
    async fn merge_member_statuses(&self) {
        let roster = self.view.roster();
        let others = roster
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        for member in others {
            if let Ok(Reply::Rollouts(known)) =
                self.links.call(member.address, &Message::GetRollouts).await
            {
                self.merge_statuses(&known);
            }
        }
    }

    fn merge_statuses(&self, encoded: &[u8]) {
        match rmp_serde::from_slice::<Vec<Status>>(encoded) {
            Ok(known) => {
                let mut moves = self.moves.lock();
                known.into_iter().for_each(|status| moves.merge(status));
            }
            Err(e) => slog::warn!(self.log, "moves: a reply is malformed"; "reason" => %e),
        }
    }

    /// Reads the revision and the state of the rollout from the store.
    async fn read_stored(
        &self,
        service: &Service,
        shift: &Rollout,
    ) -> Result<(Option<platform::Revision>, Option<Progress>), Error> {
        let object = self.store.read(&leader::path(service, shift)).await?;
        let revision = object.as_ref().map(|object| object.revision);
        let progress = object.and_then(|object| rmp_serde::from_slice(&object.value).ok());
        Ok((revision, progress))
    }

    /// Writes the decided state to the store. After an outage the pending state is written
    /// unchanged.
    async fn write_record(&self, service: &id::Service) {
        let record = self
            .moves
            .lock()
            .leaders
            .get(service)
            .and_then(Leader::record);
        let Some(record) = record else {
            return;
        };
        let Ok(value) = rmp_serde::to_vec_named(&record.progress) else {
            return;
        };
        let written = self
            .store
            .write(&record.path, record.revision, &value)
            .await;
        let outcome = match written {
            Ok(Outcome::Written(revision)) => Ok(Some(revision)),
            // Another write came first, perhaps one of this leader whose reply was lost.
            Ok(Outcome::Conflict) | Err(Error::Indeterminate { .. }) => {
                self.store.read(&record.path).await.map(|found| {
                    self.record_found(service, found.as_ref().map(|object| object.revision));
                    None
                })
            }
            Err(e) => Err(e),
        };
        match outcome {
            Ok(Some(revision)) => {
                self.alarms.moves.clear();
                if let Some(leader) = self.moves.lock().leaders.get_mut(service) {
                    leader.record_written(&record.progress, revision);
                }
            }
            Ok(None) => {}
            Err(e) if self.alarms.moves.raise() => {
                slog::warn!(self.log, "moves: failed to write a rollout"; "reason" => %e);
            }
            Err(_) => {}
        }
    }

    fn record_found(&self, service: &id::Service, revision: Option<platform::Revision>) {
        if let Some(leader) = self.moves.lock().leaders.get_mut(service) {
            leader.set_revision(revision);
        }
    }

    /// Sends the responses counted in the pools of `service` to the leader, and applies its reply.
    async fn report_evidence(&self, service: &Service, shift: &Rollout) {
        let evidence = self.take_evidence(&service.name);
        let Some(evidence) = evidence else {
            return;
        };
        let progress = match self.send_evidence(&service.name, &evidence).await {
            Some(status) if status.matches(shift) => {
                let progress = status.progress.clone();
                self.moves.lock().replace(status);
                Some(progress)
            }
            _ => {
                self.restore_evidence(&service.name, &evidence);
                None
            }
        };
        if progress.is_some() {
            self.refresh_pools();
        }
    }

    /// Takes the responses counted in the pools of `service`, or `None` if this instance has no
    /// such pools.
    fn take_evidence(&self, service: &id::Service) -> Option<Evidence> {
        let mut pools = self.pools.lock();
        let allocators = pools
            .iter_mut()
            .filter(|allocator| allocator.name.service == *service);
        let counted = allocators.map(|allocator| std::mem::take(&mut allocator.evidence));
        counted.reduce(|mut all, evidence| {
            all.merge(&evidence);
            all
        })
    }

    fn restore_evidence(&self, service: &id::Service, evidence: &Evidence) {
        let mut pools = self.pools.lock();
        let mut allocators = pools
            .iter_mut()
            .filter(|allocator| allocator.name.service == *service);
        if let Some(allocator) = allocators.next() {
            allocator.evidence.merge(evidence);
        }
    }

    async fn send_evidence(&self, service: &id::Service, evidence: &Evidence) -> Option<Status> {
        for member in self.leader_candidates(service) {
            if member.name == self.me.name {
                if let Some(status) = self.record_evidence(service, evidence) {
                    return Some(status);
                }
                continue;
            }
            let message = Message::Evidence {
                service: service.clone(),
                evidence: evidence.clone(),
            };
            if let Ok(Reply::Rollouts(known)) = self.links.call(member.address, &message).await {
                let known: Option<Status> = rmp_serde::from_slice(&known).ok().flatten();
                if known.is_some() {
                    return known;
                }
            }
        }
        None
    }

    fn leader_candidates(&self, service: &id::Service) -> Vec<membership::member::Member> {
        const MAX_CANDIDATES: usize = 3;
        let roster = self.view.roster();
        let mut candidates = crate::owner::actors(&roster, &leader_key(service), None);
        let leases = self.leases.lock();
        let now = self.now();
        candidates.retain(|member| !leases.is_silent(&member.name, now));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Adds the responses that the owner of a pool reports. Returns the status of the rollout if
    /// this instance is its leader.
    pub(crate) fn record_evidence(
        &self,
        service: &id::Service,
        evidence: &Evidence,
    ) -> Option<Status> {
        self.leader_since(service)?;
        let mut moves = self.moves.lock();
        moves.leaders.get_mut(service)?.merge(evidence);
        moves
            .statuses()
            .into_iter()
            .find(|status| status.service == *service)
    }

    /// Returns the encoded status of all rollouts.
    pub(crate) fn encoded_statuses(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.moves.lock().statuses()).unwrap_or_default()
    }

    /// Returns the reports on rollouts for operators.
    pub fn rollout_reports(&self) -> Vec<report::Rollout> {
        self.moves
            .lock()
            .statuses()
            .into_iter()
            .map(report)
            .collect()
    }
}

fn report(status: Status) -> report::Rollout {
    let progress = status.progress;
    let state = match progress.state {
        State::Planned => report::State::Planned,
        State::Canary => report::State::Canary,
        State::Ramping => report::State::Ramping,
        State::Done => report::State::Done,
        State::RolledBack => report::State::RolledBack,
    };
    report::Rollout {
        service: status.service,
        from: progress.from,
        to: progress.to,
        state,
        share: progress.share,
        deadline: progress.deadline,
        reason: progress.reason,
        evidence: progress.routes.iter().map(evidence_line).collect(),
    }
}

/// Returns the evidence of one route as a line of text.
fn evidence_line(route: &rollout::progress::Route) -> String {
    format!(
        "route {}: {} of {} answers of the new version failed and {} of {} were slow; of the old \
         version {} of {} failed and {} of {} were slow",
        route.name,
        route.new.failed,
        route.new.calls,
        route.new.slow,
        route.new.timed,
        route.old.failed,
        route.old.calls,
        route.old.slow,
        route.old.timed,
    )
}

fn leader_key(service: &id::Service) -> String {
    format!("moves/{service}")
}

/// Returns the current time in seconds since 1970-01-01 UTC.
fn unix_time_secs() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
