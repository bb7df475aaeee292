//! Sends and answers heartbeats, reads and writes the roster, and hands over duties.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use membership::duty::Duty;
use membership::member::Member;
use membership::roster::Roster;
use membership::takeover::Handover;
use platform::{Outcome, Revision, Store};
use wire::{Heartbeat, HeartbeatReply, Message, Reply};

use crate::node::Node;

/// The path of the roster in the platform's store.
const ROSTER_PATH: &str = "roster";

/// The longest duration of one long-polling watch of the roster.
const WATCH_LIMIT: Duration = Duration::from_secs(10);

/// Sends heartbeats until the instance has stopped.
pub(crate) async fn run_heartbeats<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        send_heartbeats(&node);
        let interval = node.settings.times.heartbeat;
        let interval_elapsed = node.clock.sleep(interval);
        smol::future::or(interval_elapsed, node.heartbeat_woken()).await;
    }
}

fn send_heartbeats<S, C>(node: &Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let (heartbeat, others) = {
        let mut leases = node.leases.lock();
        let now = node.now();
        leases.update_deputy_roles(now);
        node.log_duty_changes(&leases.held_duties(now));
        let volatile = node.volatile.lock().is_local();
        let heartbeat = leases.heartbeat(node.view.bundle().version, volatile, now);
        let members = leases.roster().members.iter();
        let others = members.filter(|member| member.name != node.me.name);
        (heartbeat, others.cloned().collect::<Vec<Member>>())
    };
    let heartbeat = Arc::new(heartbeat);
    for member in others {
        smol::spawn(send_heartbeat(node.clone(), heartbeat.clone(), member)).detach();
    }
}

async fn send_heartbeat<S, C>(node: Arc<Node<S, C>>, heartbeat: Arc<Heartbeat>, to: Member)
where
    S: Store,
    C: Clock,
{
    let message = Message::Heartbeat((*heartbeat).clone());
    // The failure detector handles members that do not answer.
    let Ok(Reply::Heartbeat(beat)) = node.links.call(to.address, &message).await else {
        return;
    };
    if beat.from != to.name {
        return;
    }
    let deputies = node
        .leases
        .lock()
        .record_answer(&heartbeat, &beat, node.now());
    node.volatile
        .lock()
        .record_acknowledgement(&beat.from, heartbeat.volatile);
    if beat.epoch < heartbeat.epoch {
        node.push_roster(&to).await;
    }
    node.offer_bundle(beat.bundle, &to).await;
    for deputy in deputies {
        node.reclaim(&deputy).await;
    }
}

/// Watches the roster in the store and adopts its changes.
pub(crate) async fn run_roster_watch<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    const ERROR_PAUSE: Duration = Duration::from_millis(500);
    let mut seen = None;
    loop {
        let known = node.roster_loaded.load(Ordering::Acquire);
        let found = match known {
            true => node.store.watch(ROSTER_PATH, seen, WATCH_LIMIT).await,
            false => node.store.read(ROSTER_PATH).await,
        };
        match found {
            Ok(object) => {
                seen = object.as_ref().map(|o| o.revision);
                node.roster_revision
                    .store(seen.map_or(0, |r| r.0), Ordering::Release);
                node.store_reachable.store(true, Ordering::Release);
                if node.alarms.roster.clear() {
                    slog::info!(node.log, "lease: the store is reachable again");
                }
                node.roster_loaded.store(true, Ordering::Release);
                object.iter().for_each(|o| node.read_roster(&o.value));
            }
            Err(e) => {
                node.store_reachable.store(false, Ordering::Release);
                if node.alarms.roster.raise() {
                    slog::warn!(node.log, "lease: the store is unreachable"; "reason" => %e);
                }
                node.clock.sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Writes the next roster whenever a change is due.
pub(crate) async fn run_planner<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let interval = node.settings.times.heartbeat;
    let mut planned_since = None;
    loop {
        node.clock.sleep(interval / 4).await;
        let plan = node.leases.lock().plan(node.now());
        let Ok(roster) = plan else {
            planned_since = None;
            continue;
        };
        let since = *planned_since.get_or_insert(node.now());
        // Members wait in order of rank, so they do not all write at once.
        if node.now() >= since + interval * node.rank() {
            write_roster(&node, &roster).await;
            planned_since = None;
        }
    }
}

async fn write_roster<S, C>(node: &Node<S, C>, roster: &Roster)
where
    S: Store,
    C: Clock,
{
    if !node.roster_loaded.load(Ordering::Acquire) {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(roster) else {
        return;
    };
    let revision = node.roster_revision.load(Ordering::Acquire);
    let expected = (revision > 0).then_some(Revision(revision));
    // Whatever the result, the roster takes effect only once the watch has read it.
    match node.store.write(ROSTER_PATH, expected, &value).await {
        Ok(Outcome::Written(_)) => {
            node.alarms.roster_write.clear();
            slog::info!(node.log, "lease: wrote a roster"; "epoch" => roster.epoch.0,
                "members" => roster.members.len());
        }
        Ok(Outcome::Conflict) => {}
        Err(e) if node.alarms.roster_write.raise() => {
            slog::warn!(node.log, "lease: failed to write a roster"; "reason" => %e);
        }
        Err(_) => {}
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Answers a heartbeat.
    pub(crate) fn answer_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) -> HeartbeatReply {
        let bundle = self.view.bundle().version;
        self.volatile
            .lock()
            .record_heartbeat(&heartbeat.from.name, heartbeat.volatile);
        let beat = self.leases.lock().answer(heartbeat, bundle, self.now());
        let node = self.clone();
        let (from, their_bundle) = (heartbeat.from.clone(), heartbeat.bundle);
        let sender_is_behind = heartbeat.epoch < beat.epoch;
        if sender_is_behind || their_bundle > bundle {
            smol::spawn(async move {
                if sender_is_behind {
                    node.push_roster(&from).await;
                }
                node.offer_bundle(their_bundle, &from).await;
            })
            .detach();
        }
        beat
    }

    /// Logs the duties that were taken on or lost since the last heartbeat.
    fn log_duty_changes(&self, held: &[Duty]) {
        let mut before = self.last_held_duties.lock();
        for duty in held.iter().filter(|duty| !before.contains(duty)) {
            slog::info!(self.log, "lease: took on a duty"; "duty" => %duty.0);
        }
        for duty in before.iter().filter(|duty| !held.contains(duty)) {
            slog::warn!(self.log, "lease: lost a duty"; "duty" => %duty.0);
        }
        *before = held.to_vec();
    }

    fn read_roster(&self, value: &[u8]) {
        match rmp_serde::from_slice(value) {
            Ok(roster) => self.adopt_roster(&roster),
            Err(e) => slog::error!(self.log, "lease: the roster is malformed"; "reason" => %e),
        }
    }

    /// Adopts `roster` if it is newer than the current one.
    pub(crate) fn adopt_roster(&self, roster: &Roster) {
        let mut leases = self.leases.lock();
        if !leases.adopt(roster, self.now()) {
            return;
        }
        self.view.set_roster(roster.clone());
        drop(leases);
        slog::info!(self.log, "lease: adopted a roster"; "epoch" => roster.epoch.0,
            "members" => roster.members.len());
        self.wake_heartbeat();
    }

    async fn push_roster(&self, to: &Member) {
        let roster = self.leases.lock().roster().clone();
        // The next heartbeat tries again.
        let _lost = self.links.call(to.address, &Message::Roster(roster)).await;
    }

    /// Returns this instance's index among the live members, in roster order.
    fn rank(&self) -> u32 {
        let leases = self.leases.lock();
        let now = self.now();
        let members = leases.roster().members.iter();
        let before = members.take_while(|member| member.name != self.me.name);
        let live = before.filter(|member| !leases.is_silent(&member.name, now));
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Requests that `holder` hand over the pools and shards that this instance owns.
    pub(crate) async fn reclaim(&self, holder: &contract::id::Instance) {
        let (address, message, requested_at) = {
            let leases = self.leases.lock();
            let Some(member) = leases.roster().member(holder) else {
                return;
            };
            let from = self.me.name.clone();
            let message = Message::Reclaim {
                from,
                epoch: leases.roster().epoch,
            };
            (member.address, message, self.now())
        };
        let reply = self.links.call(address, &message).await;
        if let Ok(Reply::Reclaimed {
            release: relief,
            pools,
            claims,
        }) = reply
        {
            self.leases
                .lock()
                .record_handover(pools, relief, requested_at);
            self.claims.lock().adopt(claims, self.now());
            self.wake_heartbeat();
        }
    }

    /// Hands over the pools, claims and duty that `owner` owns in `epoch` and this instance acts
    /// on.
    pub(crate) fn hand_over(
        &self,
        owner: &contract::id::Instance,
        epoch: membership::epoch::Epoch,
    ) -> Reply {
        let mut leases = self.leases.lock();
        let now = self.now();
        let mut pools = Vec::new();
        let mut relief = None;
        let mut claims = Vec::new();
        if leases.roster().epoch == epoch {
            for duty in leases.held_duties(now) {
                pools.extend(self.hand_over_moved(&leases, &duty, owner, now));
            }
            claims = self.hand_over_shards(&leases, owner);
            let duty = Duty(owner.clone());
            if leases.role(&duty).is_some() && *owner != self.me.name {
                let handover = self.hand_over_duty(&mut leases, &duty, now, &mut pools);
                relief = handover.map(|handover| handover.release);
                leases.step_down(&duty);
                slog::info!(self.log, "lease: returned a duty to its owner";
                    "duty" => %duty.0);
            }
        }
        Reply::Reclaimed {
            release: relief,
            pools,
            claims,
        }
    }

    fn hand_over_moved(
        &self,
        leases: &super::Table,
        duty: &Duty,
        owner: &contract::id::Instance,
        now: Instant,
    ) -> Vec<wire::holding::Transfer> {
        let Some(role) = leases.role(duty) else {
            return Vec::new();
        };
        let handover = role.hand_over(leases.roster().epoch, now);
        let (Some(handover), Some(since)) = (handover, role.since(now)) else {
            return Vec::new();
        };
        self.pools
            .lock()
            .hand_over(duty, since, &handover, now, |pool| {
                let present = leases.owner(&pool.to_string(), Some(&pool.centre));
                present.is_some_and(|present| present.0 == *owner && present != *duty)
            })
    }

    /// Gives up `duty` and appends its pools to `handed`. Returns `None` if authority on it has
    /// ended.
    fn hand_over_duty(
        &self,
        leases: &mut super::Table,
        duty: &Duty,
        now: Instant,
        handed_over: &mut Vec<wire::holding::Transfer>,
    ) -> Option<Handover> {
        let role = leases.role_mut(duty)?;
        let since = role.since(now)?;
        let handover = role.resign(now)?;
        let mut pools = self.pools.lock();
        handed_over.extend(pools.hand_over(duty, since, &handover, now, |_| true));
        Some(handover)
    }
}
