//! Membership: the known instances, and which of them are alive.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use balance::heartbeat::{Schedule, LIVENESS_TIMEOUT};
use balance::lead::{self, Remote};
use balance::record::Kind;
use balance::server::Key;
use clock::Instant;

use super::{CentreState, Heartbeat, Identity, RolloutPlan, RolloutReport};

/// The most members in a heartbeat of the reader, and how many of them are new ones.
const MAX_MEMBERS_PER_HEARTBEAT: usize = 16;
const MAX_NEW_MEMBERS_PER_HEARTBEAT: usize = 8;

/// How long the reader announces a new member in each heartbeat.
const NEW_MEMBER_TIME: Duration = Duration::from_secs(1);

/// The number of rounds between two heartbeats to the reader, which needs the demand of all
/// instances sooner than the others.
const READER_ROUNDS: u32 = 2;

/// The age up to which the reader of another data centre is relied upon without a second contact.
const READER_CONTACT_TTL: Duration = Duration::from_secs(1);

/// How long the last state received from another data centre is valid.
const CENTRE_STATE_TTL: Duration = Duration::from_secs(3);

/// How long servers of another data centre are used after the last message that lends them;
/// tolerates the loss of some messages.
const LOAN_TTL: Duration = Duration::from_millis(1500);

/// How long messages are still sent to a silent instance, so that membership recovers by itself
/// after a network partition.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How long the usage of a silent data centre is collected from the store. It may be cut off, but go on
/// to serve its callers and reach the store, for longer than [`FORGET_AFTER`].
const USAGE_TTL: Duration = Duration::from_secs(60 * 60);

/// The most members in the reply to a joining instance.
const MAX_MEMBERS_PER_REPLY: usize = 24;

#[derive(Clone, Debug)]
struct Peer {
    identity: Identity,
    /// When the instance was heard first.
    first_heard: Option<Instant>,
    last_heard: Instant,
    is_reader: bool,
    starting_reader: bool,
    reads_store: bool,
    store_failed: bool,
    revisions: [u64; Kind::ALL.len()],
    rollouts: Vec<RolloutReport>,
    demand: Vec<(String, f64)>,
    unusable: Vec<Key>,
}

/// The known instances, and which of them are alive.
#[derive(Debug)]
pub(crate) struct Members {
    identity: Identity,
    peers: HashMap<u64, Peer>,
    centres: HashMap<String, (CentreState, Instant)>,
    /// When the last state of each other data centre was sent.
    last_states: BTreeMap<String, Instant>,
    plans: Vec<RolloutPlan>,
    plans_received_at: Instant,
}

impl Members {
    /// Returns the members as `identity` starts: it knows no others.
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            peers: HashMap::new(),
            centres: HashMap::new(),
            last_states: BTreeMap::new(),
            plans: Vec::new(),
            plans_received_at: Instant::ZERO,
        }
    }

    /// Adds `identity`. Returns whether it was unknown.
    pub(crate) fn add(&mut self, identity: &Identity) -> bool {
        if identity.boot == self.identity.boot || self.peers.contains_key(&identity.boot) {
            return false;
        }
        // An earlier run of the instance at this address has ended.
        self.peers
            .retain(|_, p| p.identity.address != identity.address);
        let peer = Peer {
            identity: identity.clone(),
            first_heard: None,
            last_heard: Instant::ZERO,
            is_reader: false,
            starting_reader: false,
            reads_store: false,
            store_failed: false,
            revisions: [0; Kind::ALL.len()],
            rollouts: Vec::new(),
            demand: Vec::new(),
            unusable: Vec::new(),
        };
        self.peers.insert(identity.boot, peer);
        true
    }

    /// Records the heartbeat of an instance of this data centre. Returns whether it was unknown.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let unknown = self.add(&heartbeat.from);
        if let Some(peer) = self.peers.get_mut(&heartbeat.from.boot) {
            peer.first_heard.get_or_insert(now);
            peer.last_heard = now;
            peer.is_reader = heartbeat.is_reader;
            peer.starting_reader = heartbeat.starting_reader;
            peer.reads_store = heartbeat.reads_store;
            peer.store_failed = heartbeat.store_failed;
            peer.revisions = heartbeat.revisions;
            peer.rollouts.clone_from(&heartbeat.rollouts);
            peer.demand.clone_from(&heartbeat.demand);
            peer.unusable.clone_from(&heartbeat.unusable);
        }
        for state in &heartbeat.centres {
            self.record_centre(state, now);
        }
        if heartbeat.is_reader {
            self.plans.clone_from(&heartbeat.plans);
            self.plans_received_at = now;
        }
        unknown
    }

    /// Records the state of another data centre unless a newer one is known.
    pub(crate) fn record_centre(&mut self, state: &CentreState, now: Instant) {
        if state.centre == self.identity.centre {
            return;
        }
        let at = now.before(state.age);
        let known = self.centres.get(&state.centre);
        if known.is_some_and(|(_, known_at)| *known_at > at) {
            return;
        }
        if let Some(reader) = &state.reader {
            self.add(reader);
        }
        self.last_states.insert(state.centre.clone(), at);
        self.centres
            .insert(state.centre.clone(), (state.clone(), at));
    }

    /// Removes an instance that has announced that it stops.
    pub(crate) fn remove(&mut self, boot: u64) {
        self.peers.remove(&boot);
    }

    /// Forgets instances that have been silent for long. An instance that was never heard
    /// counts as silent for just too long.
    pub(crate) fn expire(&mut self, now: Instant) {
        let timeout = self.schedule().liveness_timeout();
        for peer in self.peers.values_mut() {
            if peer.last_heard == Instant::ZERO {
                peer.last_heard = now.before(timeout);
            }
        }
        self.peers
            .retain(|_, p| now.since(p.last_heard) < FORGET_AFTER);
        self.centres
            .retain(|_, (_, at)| now.since(*at) < FORGET_AFTER);
        self.last_states.retain(|_, at| now.since(*at) < USAGE_TTL);
    }

    /// Records that an instance has just sent a message.
    pub(crate) fn record_message(&mut self, boot: u64, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&boot) {
            peer.last_heard = now;
        }
    }

    fn own(&self) -> impl Iterator<Item = &Peer> {
        let centre = &self.identity.centre;
        let peers = self.peers.values();
        peers.filter(move |p| p.identity.centre == *centre)
    }

    /// Returns the schedule of heartbeats within the data centre.
    pub(crate) fn schedule(&self) -> Schedule {
        Schedule::new(self.own().count())
    }

    /// Returns the instances to which the heartbeat of `round` goes.
    pub(crate) fn heartbeat_targets(&self, round: u32, now: Instant) -> Vec<SocketAddr> {
        let schedule = self.schedule();
        let reader = self.reader(now).map(|identity| identity.boot);
        let is_due = |boot: u64| {
            schedule.is_due(boot, round)
                || (Some(boot) == reader && round.is_multiple_of(READER_ROUNDS))
        };
        let targets = self.own().map(|p| &p.identity).filter(|i| is_due(i.boot));
        targets.map(|i| i.address).collect()
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let timeout = self.schedule().liveness_timeout();
        self.own().filter(move |peer| {
            // A reader sends each heartbeat to all.
            let reads = peer.is_reader || peer.starting_reader;
            let timeout = if reads { LIVENESS_TIMEOUT } else { timeout };
            now.since(peer.last_heard) < timeout
        })
    }

    /// Returns the live instances of this data centre, including this one, in ascending order.
    pub(crate) fn live_boots(&self, now: Instant) -> Vec<u64> {
        let mut boots: Vec<u64> = self.live(now).map(|p| p.identity.boot).collect();
        boots.push(self.identity.boot);
        boots.sort_unstable();
        boots
    }

    /// Returns the addresses of the other instances of this data centre, including silent ones.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.own().map(|p| p.identity.address).collect()
    }

    /// Returns the other instances of this data centre by their [`Identity::boot`].
    pub(crate) fn addresses_by_boot(&self) -> HashMap<u64, SocketAddr> {
        let identities = self.own().map(|p| &p.identity);
        identities.map(|i| (i.boot, i.address)).collect()
    }

    /// Returns some members for a joining instance, those of its data centre first, and of these
    /// the reader. Different replies have different members, so that an instance comes to know a
    /// large data centre.
    pub(crate) fn sample_for(&self, joining: &Identity) -> Vec<Identity> {
        let mut all: Vec<&Peer> = self.peers.values().collect();
        fastrand::shuffle(&mut all);
        all.sort_by_key(|p| (p.identity.centre != joining.centre, !p.is_reader));
        let identities = all.into_iter().map(|p| p.identity.clone());
        identities.take(MAX_MEMBERS_PER_REPLY).collect()
    }

    /// Returns the members that the heartbeat of the reader in `round` names: new ones, and a part
    /// of the others in turn. None where each heartbeat goes to all instances.
    pub(crate) fn sample_for_heartbeat(&self, round: u32, now: Instant) -> Vec<Identity> {
        if !self.schedule().is_partial() {
            return Vec::new();
        }
        let mut all: Vec<&Peer> = self.live(now).collect();
        all.sort_unstable_by_key(|p| p.identity.boot);
        let is_new = |p: &&&Peer| {
            p.first_heard
                .is_some_and(|at| now.since(at) < NEW_MEMBER_TIME)
        };
        let new = all
            .iter()
            .filter(is_new)
            .take(MAX_NEW_MEMBERS_PER_HEARTBEAT);
        let start = round as usize * MAX_MEMBERS_PER_HEARTBEAT % all.len().max(1);
        let others = all.iter().cycle().skip(start).take(all.len());
        let sample = new.chain(others).take(MAX_MEMBERS_PER_HEARTBEAT);
        sample.map(|p| p.identity.clone()).collect()
    }

    /// Returns whether no other known instance of this data centre precedes this one in the order
    /// in which they take over as the reader.
    pub(crate) fn is_first(&self) -> bool {
        self.own().all(|p| p.identity.boot > self.identity.boot)
    }

    /// Returns the number of live instances in all data centres.
    pub(crate) fn instance_count(&self, now: Instant) -> usize {
        let elsewhere = self.fresh_centres(now).map(|s| s.members as usize);
        self.live_boots(now).len() + elsewhere.sum::<usize>()
    }

    /// Returns the demand of all callers of this data centre: `own` plus that of the other
    /// instances.
    pub(crate) fn demand(&self, own: &[(String, f64)], now: Instant) -> BTreeMap<String, f64> {
        let mut demand = BTreeMap::new();
        let others = self.live(now).flat_map(|p| &p.demand);
        for (service, amount) in others.chain(own) {
            *demand.entry(service.clone()).or_default() += amount;
        }
        demand
    }

    fn fresh_centres(&self, now: Instant) -> impl Iterator<Item = &CentreState> {
        let fresh = self
            .centres
            .values()
            .filter(move |(_, at)| now.since(*at) < CENTRE_STATE_TTL);
        fresh.map(|(state, _)| state)
    }

    /// Returns the number of other data centres with a valid state.
    pub(crate) fn centre_count(&self, now: Instant) -> usize {
        self.fresh_centres(now).count()
    }

    /// Returns the servers of this data centre that cannot take requests, as reported by the
    /// instances that probe them.
    pub(crate) fn unusable_servers(&self, now: Instant) -> HashSet<Key> {
        let reported = self.live(now).flat_map(|p| &p.unusable);
        reported.copied().collect()
    }

    /// Returns the valid states of the other data centres, with their ages.
    pub(crate) fn centres(&self, now: Instant) -> Vec<CentreState> {
        let centres = self.centres.values().map(|(state, at)| CentreState {
            age: now.since(*at),
            ..state.clone()
        });
        centres.filter(|s| s.age < CENTRE_STATE_TTL).collect()
    }

    /// Returns the data centres whose loans are still valid.
    pub(crate) fn lenders(&self, now: Instant) -> Vec<String> {
        let centres = self.centres.iter();
        let fresh = centres.filter(|(_, (_, at))| now.since(*at) < LOAN_TTL);
        fresh.map(|(centre, _)| centre.clone()).collect()
    }

    /// Returns the contacts in each other data centre: its reader, if known, and a random member
    /// unless the reader was heard of recently.
    pub(crate) fn contacts(&self, now: Instant) -> Vec<(&str, SocketAddr)> {
        let readers = self.fresh_centres(now).filter_map(|s| s.reader.as_ref());
        let mut contacts: Vec<(&str, SocketAddr)> =
            readers.map(|r| (r.centre.as_str(), r.address)).collect();
        let mut others: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let peers = self.peers.values().map(|p| &p.identity);
        let has_reader = |centre: &str| {
            self.centres.get(centre).is_some_and(|(state, at)| {
                state.reader.is_some() && now.since(*at) < READER_CONTACT_TTL
            })
        };
        for peer in peers.filter(|i| i.centre != self.identity.centre) {
            if !has_reader(&peer.centre) {
                others.entry(&peer.centre).or_default().push(peer.address);
            }
        }
        for (centre, addresses) in others {
            contacts.push((centre, addresses[fastrand::usize(..addresses.len())]));
        }
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Returns the reader of this data centre if it is another instance.
    pub(crate) fn reader(&self, now: Instant) -> Option<&Identity> {
        let readers = self.live(now).filter(|p| p.is_reader && !p.store_failed);
        readers.map(|p| &p.identity).min_by_key(|i| i.boot)
    }

    /// Returns the time since the last heartbeat of the instance that was last known to be the
    /// reader of this data centre, and whether it said that its calls of the store fail.
    pub(crate) fn last_reader(&self, now: Instant) -> Option<(Duration, bool)> {
        let readers = self.own().filter(|p| p.is_reader);
        let last = readers.max_by_key(|p| p.last_heard);
        last.map(|p| (now.since(p.last_heard), p.store_failed))
    }

    /// Returns whether the reader of this data centre, another instance, reads the store itself.
    pub(crate) fn reader_reads_store(&self, now: Instant) -> bool {
        self.live(now).any(|p| p.is_reader && p.reads_store)
    }

    /// Returns what the readers of other data centres announced recently, compared to `revisions`.
    pub(crate) fn remote_readers<'a>(
        &'a self,
        revisions: &'a [u64],
        now: Instant,
    ) -> impl Iterator<Item = Remote<'a>> {
        let recent = self
            .centres
            .values()
            .filter(move |(_, at)| now.since(*at) < lead::STATE_TTL);
        recent.map(move |(state, _)| Remote {
            centre: &state.centre,
            reads: state.reads_store,
            is_ahead: state.revisions.iter().zip(revisions).any(|(t, r)| t > r),
        })
    }

    /// Returns whether another instance of this data centre is starting as the reader.
    pub(crate) fn has_starting_reader(&self, now: Instant) -> bool {
        self.live(now).any(|p| p.starting_reader && !p.store_failed)
    }

    /// Returns this instance's rank in the order in which instances take over as the reader, from
    /// 0. Instances whose calls of the store failed recently come last.
    pub(crate) fn reader_rank(&self, store_failed: bool, now: Instant) -> usize {
        let identity = (store_failed, self.identity.boot);
        self.live(now)
            .filter(|p| (p.store_failed, p.identity.boot) < identity)
            .count()
    }

    /// Returns the live instances of this data centre that read the store, of which this one is one if
    /// `is_reader`, and the others, both in the order in which they take over. Failed calls of the store
    /// do not count.
    pub(crate) fn collector_candidates(
        &self,
        is_reader: bool,
        now: Instant,
    ) -> (Vec<u64>, Vec<u64>) {
        let others = self.live(now);
        let others = others.map(|p| (p.identity.boot, p.is_reader || p.starting_reader));
        let mut all: Vec<(u64, bool)> = others.collect();
        all.push((self.identity.boot, is_reader));
        all.sort_unstable();
        let (readers, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|(_, reads)| *reads);
        let boots = |all: Vec<(u64, bool)>| all.into_iter().map(|(boot, _)| boot).collect();
        (boots(readers), boots(others))
    }

    /// Returns the addresses at which the other data centres may return their usage, also of silent
    /// ones. None are known of those that have been silent for long.
    pub(crate) fn remote_collectors(&self, now: Instant) -> BTreeMap<String, Vec<SocketAddr>> {
        let mut collectors: BTreeMap<String, Vec<SocketAddr>> = self
            .last_states
            .keys()
            .map(|centre| (centre.clone(), Vec::new()))
            .collect();
        for (centre, address) in self.contacts(now) {
            let addresses = collectors.entry(centre.to_owned()).or_default();
            addresses.push(address);
        }
        for (centre, (state, _)) in &self.centres {
            let addresses = collectors.entry(centre.clone()).or_default();
            if let Some(tenancy) = state.tenancy.as_ref().filter(|t| !t.collectors.is_empty()) {
                addresses.clone_from(&tenancy.collectors);
            }
        }
        collectors
    }

    /// Returns the addresses of instances that have newer records than `revisions`: of this data
    /// centre or, with `include_remote`, else of others.
    pub(crate) fn newer_peers(
        &self,
        revisions: &[u64],
        include_remote: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let has_newer = |theirs: &[u64]| theirs.iter().zip(revisions).any(|(t, r)| t > r);
        let own = self
            .live(now)
            .filter(|p| has_newer(&p.revisions))
            .map(|p| p.identity.address);
        let mut addresses: Vec<SocketAddr> = own.collect();
        if addresses.is_empty() && include_remote {
            let centres = self.fresh_centres(now).filter(|s| has_newer(&s.revisions));
            addresses.extend(centres.filter_map(|s| s.reader.as_ref()).map(|r| r.address));
        }
        addresses
    }

    /// Returns the highest revision of `kind` that another instance has announced.
    pub(crate) fn max_revision(&self, kind: Kind, now: Instant) -> u64 {
        let own = self.live(now).map(|p| p.revisions[kind.index()]);
        own.max()
            .unwrap_or(0)
            .max(self.max_remote_revision(kind, now))
    }

    /// Returns the highest revision of `kind` that another data centre has read.
    pub(crate) fn max_remote_revision(&self, kind: Kind, now: Instant) -> u64 {
        let revisions = self.fresh_centres(now).map(|s| s.revisions[kind.index()]);
        revisions.max().unwrap_or(0)
    }

    /// Returns the rollout reports of the other live instances of this data centre.
    pub(crate) fn rollout_reports(&self, now: Instant) -> Vec<RolloutReport> {
        self.live(now)
            .flat_map(|p| p.rollouts.iter().cloned())
            .collect()
    }

    /// Returns the rollout reports of the other data centres.
    pub(crate) fn remote_rollout_reports(&self, now: Instant) -> Vec<RolloutReport> {
        self.fresh_centres(now)
            .flat_map(|s| s.rollouts.iter().cloned())
            .collect()
    }

    /// Returns whether the reader of this data centre leads rollouts: its data centre is the first
    /// by name of those that have a reader.
    pub(crate) fn is_rollout_leader(&self, now: Instant) -> bool {
        let mut others = self.fresh_centres(now).filter(|s| s.reader.is_some());
        others.all(|s| s.centre > self.identity.centre)
    }

    /// Returns the rollout plans: a reader takes them from the data centre that leads, any other
    /// instance from its reader.
    pub(crate) fn rollout_plans(&self, is_reader: bool, now: Instant) -> Vec<RolloutPlan> {
        if !is_reader {
            let fresh = now.since(self.plans_received_at) < CENTRE_STATE_TTL;
            return if fresh {
                self.plans.clone()
            } else {
                Vec::new()
            };
        }
        let leading = self.fresh_centres(now).filter(|s| s.reader.is_some());
        let first = leading.min_by_key(|s| &s.centre);
        first.map(|s| s.plans.clone()).unwrap_or_default()
    }
}
