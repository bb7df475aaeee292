//! Counts answers, leads moves, and carries what is decided.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::{Clock, Instant};
use contract::{id, report, Service, Shift};
use platform::{Error, Outcome, Store};
use rollout::evidence::Evidence;
use rollout::progress::Progress;
use rollout::state::State;
use wire::{Message, Reply};

use super::lead::{self, Lead};
use super::Knowledge;
use crate::node::Node;

/// The time between two reports of an owner to the lead.
const INTERVAL: Duration = Duration::from_millis(500);

/// Counts, leads and carries until the instance has stopped.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        node.clock.sleep(INTERVAL).await;
        let bundle = node.view.bundle();
        node.moves.lock().retain(&bundle);
        for service in &bundle.services {
            if let Some(shift) = &service.shift {
                node.lead(service, shift).await;
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
    /// Decides about the move of `service`, if this instance is its lead.
    async fn lead(&self, service: &Service, shift: &Shift) {
        let Some(since) = self.lead_since(&service.name) else {
            self.moves.lock().leads.remove(&service.name);
            return;
        };
        let leads = |leads: &Lead| leads.is_of(shift, since);
        let known = self
            .moves
            .lock()
            .leads
            .get(&service.name)
            .is_some_and(leads);
        if !known {
            self.take_up(service, shift, since).await;
        }
        let progress = {
            let mut moves = self.moves.lock();
            let Some(lead) = moves.leads.get_mut(&service.name) else {
                return;
            };
            let progress = lead.step(self.now());
            let before = moves
                .progress(&service.name, shift)
                .map(|known| known.state);
            if before != Some(progress.state) {
                slog::info!(self.log, "moves: a move has a new state"; "service" => %service.name,
                    "state" => %progress.state, "share" => progress.share);
            }
            moves.obey(Knowledge {
                service: service.name.clone(),
                progress: progress.clone(),
            });
            progress
        };
        slog::debug!(self.log, "moves: decided"; "service" => %service.name,
            "state" => %progress.state, "share" => progress.share);
        self.write_record(&service.name).await;
    }

    /// Returns since when this instance has the duty to lead the move of `service`, if it has.
    fn lead_since(&self, service: &id::Service) -> Option<Instant> {
        let leases = self.leases.lock();
        let now = self.now();
        let (duty, since) = leases.standing(&lead_key(service), None, now)?;
        let acting = leases.acting(&duty)?;
        acting.is_alone(since, now).then_some(since)
    }

    /// Takes up the move of `service` where an earlier lead left it.
    async fn take_up(&self, service: &Service, shift: &Shift, since: Instant) {
        self.ask_members().await;
        let stored = self.stored(service, shift).await;
        let mut moves = self.moves.lock();
        let (revision, stored) = stored.unwrap_or_default();
        if let Some(progress) = stored {
            moves.learn(Knowledge {
                service: service.name.clone(),
                progress,
            });
        }
        let known = moves.progress(&service.name, shift);
        let (wall, now) = (wall_clock(), self.now());
        let lead = Lead::open(service, shift, known, revision, wall, since, now);
        moves.leads.insert(service.name.clone(), lead);
    }

    /// Learns what the other members know of moves.
    async fn ask_members(&self) {
        let roster = self.view.roster();
        let others = roster
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        for member in others {
            if let Ok(Reply::Rollouts(known)) =
                self.links.call(member.address, &Message::GetRollouts).await
            {
                self.learn_moves(&known);
            }
        }
    }

    fn learn_moves(&self, encoded: &[u8]) {
        match rmp_serde::from_slice::<Vec<Knowledge>>(encoded) {
            Ok(known) => {
                let mut moves = self.moves.lock();
                known
                    .into_iter()
                    .for_each(|knowledge| moves.learn(knowledge));
            }
            Err(e) => slog::warn!(self.log, "moves: a reply is malformed"; "reason" => %e),
        }
    }

    /// Returns what the store has of the move.
    async fn stored(
        &self,
        service: &Service,
        shift: &Shift,
    ) -> Result<(Option<platform::Revision>, Option<Progress>), Error> {
        let object = self.store.read(&lead::path(service, shift)).await?;
        let revision = object.as_ref().map(|object| object.revision);
        let progress = object.and_then(|object| rmp_serde::from_slice(&object.value).ok());
        Ok((revision, progress))
    }

    /// Writes what is decided. In an outage it is written later, as it was decided.
    async fn write_record(&self, service: &id::Service) {
        let record = self.moves.lock().leads.get(service).and_then(Lead::record);
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
            // Another write came first, perhaps one of this lead whose answer was lost.
            Ok(Outcome::Conflict) | Err(Error::Indeterminate { .. }) => {
                self.store.read(&record.path).await.map(|found| {
                    self.note_found(service, found.as_ref().map(|object| object.revision));
                    None
                })
            }
            Err(e) => Err(e),
        };
        match outcome {
            Ok(Some(revision)) => {
                self.alarms.moves.clear();
                if let Some(lead) = self.moves.lock().leads.get_mut(service) {
                    lead.written(&record.progress, revision);
                }
            }
            Ok(None) => {}
            Err(e) if self.alarms.moves.raise() => {
                slog::warn!(self.log, "moves: cannot be written yet"; "reason" => %e);
            }
            Err(_) => {}
        }
    }

    fn note_found(&self, service: &id::Service, revision: Option<platform::Revision>) {
        if let Some(lead) = self.moves.lock().leads.get_mut(service) {
            lead.found(revision);
        }
    }

    /// Sends what the pools of `service` have counted to the lead, and does what it replies.
    async fn report_evidence(&self, service: &Service, shift: &Shift) {
        let evidence = self.take_evidence(&service.name);
        let Some(evidence) = evidence else {
            return;
        };
        let progress = match self.send_evidence(&service.name, &evidence).await {
            Some(knowledge) if knowledge.is_of(shift) => {
                let progress = knowledge.progress.clone();
                self.moves.lock().obey(knowledge);
                Some(progress)
            }
            _ => {
                self.put_back_evidence(&service.name, &evidence);
                None
            }
        };
        if progress.is_some() {
            self.refresh_pools();
        }
    }

    /// Takes what the pools of `service` have counted, or `None` if there are no such pools here.
    fn take_evidence(&self, service: &id::Service) -> Option<Evidence> {
        let mut desks = self.desks.lock();
        let ours = desks
            .desks_mut()
            .filter(|desk| desk.name.service == *service);
        let counted = ours.map(|desk| std::mem::take(&mut desk.evidence));
        counted.reduce(|mut all, evidence| {
            all.merge(&evidence);
            all
        })
    }

    fn put_back_evidence(&self, service: &id::Service, evidence: &Evidence) {
        let mut desks = self.desks.lock();
        let mut ours = desks
            .desks_mut()
            .filter(|desk| desk.name.service == *service);
        if let Some(desk) = ours.next() {
            desk.evidence.merge(evidence);
        }
    }

    async fn send_evidence(&self, service: &id::Service, evidence: &Evidence) -> Option<Knowledge> {
        for member in self.lead_candidates(service) {
            if member.name == self.me.name {
                if let Some(knowledge) = self.take_in_evidence(service, evidence) {
                    return Some(knowledge);
                }
                continue;
            }
            let message = Message::Evidence {
                service: service.clone(),
                evidence: evidence.clone(),
            };
            if let Ok(Reply::Rollouts(known)) = self.links.call(member.address, &message).await {
                let known: Option<Knowledge> = rmp_serde::from_slice(&known).ok().flatten();
                if known.is_some() {
                    return known;
                }
            }
        }
        None
    }

    fn lead_candidates(&self, service: &id::Service) -> Vec<membership::member::Member> {
        const MAX_CANDIDATES: usize = 3;
        let roster = self.view.roster();
        let mut candidates = crate::owner::actors(&roster, &lead_key(service), None);
        let leases = self.leases.lock();
        let now = self.now();
        candidates.retain(|member| !leases.is_silent(&member.name, now));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Counts what the owner of a pool reports. Returns what is decided, if this is the lead.
    pub(crate) fn take_in_evidence(
        &self,
        service: &id::Service,
        evidence: &Evidence,
    ) -> Option<Knowledge> {
        self.lead_since(service)?;
        let mut moves = self.moves.lock();
        moves.leads.get_mut(service)?.merge(evidence);
        moves
            .all()
            .into_iter()
            .find(|knowledge| knowledge.service == *service)
    }

    /// Returns what this instance knows of all moves, encoded.
    pub(crate) fn encoded_moves(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.moves.lock().all()).unwrap_or_default()
    }

    /// Returns what operators read of moves.
    pub fn move_reports(&self) -> Vec<report::Move> {
        self.moves.lock().all().into_iter().map(report).collect()
    }
}

fn report(knowledge: Knowledge) -> report::Move {
    let progress = knowledge.progress;
    let state = match progress.state {
        State::Planned => report::State::Planned,
        State::Canary => report::State::Trying,
        State::Ramping => report::State::Moving,
        State::Done => report::State::Done,
        State::RolledBack => report::State::TakenBack,
    };
    report::Move {
        service: knowledge.service,
        from: progress.from,
        to: progress.to,
        state,
        share: progress.share,
        deadline: progress.deadline,
        reason: progress.reason,
        evidence: progress.routes.iter().map(line).collect(),
    }
}

/// Returns the evidence of one route as a line.
fn line(route: &rollout::progress::Route) -> String {
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

fn lead_key(service: &id::Service) -> String {
    format!("moves/{service}")
}

/// Returns the wall clock, in seconds since 1970-01-01 UTC.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
