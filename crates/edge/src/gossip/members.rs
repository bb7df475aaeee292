//! The instances that are known, and which of them live.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use balance::record::Kind;
use clock::Instant;

use super::{Beat, CentreState, Identity, MoveReport, Plan};

/// The pause between two beats.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long an instance lives on in the eyes of others without a beat: three may be lost.
const LIVE_FOR: Duration = Duration::from_millis(900);

/// How long a data centre is believed to be as its reader last said.
const CENTRE_FOR: Duration = Duration::from_secs(3);

/// How long servers of another data centre are used without a word that they are lent: some words
/// may be lost.
const LOAN_FOR: Duration = Duration::from_millis(1500);

/// How long an instance that is silent is still spoken to, so that a cut heals by itself.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// The members that a newcomer is told.
const MAX_TOLD: usize = 24;

#[derive(Clone, Debug)]
struct Peer {
    identity: Identity,
    heard: Instant,
    reads: bool,
    begins: bool,
    cut_off: bool,
    revisions: [u64; Kind::ALL.len()],
    moves: Vec<MoveReport>,
    needs: Vec<(String, f64)>,
}

/// The instances that are known, and which of them live.
#[derive(Debug)]
pub(crate) struct Members {
    me: Identity,
    peers: HashMap<u64, Peer>,
    centres: HashMap<String, (CentreState, Instant)>,
    plans: Vec<Plan>,
    plans_at: Instant,
}

impl Members {
    /// Returns the members that `me` knows at its start: none.
    pub(crate) fn new(me: Identity) -> Self {
        Self {
            me,
            peers: HashMap::new(),
            centres: HashMap::new(),
            plans: Vec::new(),
            plans_at: Instant::ZERO,
        }
    }

    /// Notes that `identity` exists. Returns whether it was unknown.
    pub(crate) fn learn(&mut self, identity: &Identity) -> bool {
        if identity.boot == self.me.boot || self.peers.contains_key(&identity.boot) {
            return false;
        }
        // Another start of the instance at this address has ended.
        self.peers
            .retain(|_, p| p.identity.address != identity.address);
        let peer = Peer {
            identity: identity.clone(),
            heard: Instant::ZERO,
            reads: false,
            begins: false,
            cut_off: false,
            revisions: [0; Kind::ALL.len()],
            moves: Vec::new(),
            needs: Vec::new(),
        };
        self.peers.insert(identity.boot, peer);
        true
    }

    /// Takes the beat of an instance of this data centre. Returns whether the instance was unknown.
    pub(crate) fn beat(&mut self, beat: &Beat, now: Instant) -> bool {
        let unknown = self.learn(&beat.from);
        if let Some(peer) = self.peers.get_mut(&beat.from.boot) {
            peer.heard = now;
            peer.reads = beat.reads;
            peer.begins = beat.begins;
            peer.cut_off = beat.cut_off;
            peer.revisions = beat.revisions;
            peer.moves.clone_from(&beat.moves);
            peer.needs.clone_from(&beat.needs);
        }
        for state in &beat.centres {
            self.centre(state, now);
        }
        if beat.reads {
            self.plans.clone_from(&beat.plans);
            self.plans_at = now;
        }
        unknown
    }

    /// Takes what is known of another data centre, unless something newer is.
    pub(crate) fn centre(&mut self, state: &CentreState, now: Instant) {
        if state.centre == self.me.centre {
            return;
        }
        let at = now.before(state.age);
        let known = self.centres.get(&state.centre);
        if known.is_some_and(|(_, known_at)| *known_at > at) {
            return;
        }
        if let Some(reader) = &state.reader {
            self.learn(reader);
        }
        self.centres
            .insert(state.centre.clone(), (state.clone(), at));
    }

    /// Notes that an instance has said that it stops.
    pub(crate) fn leave(&mut self, boot: u64) {
        self.peers.remove(&boot);
    }

    /// Forgets instances that have been silent for long. `now` also counts for those never heard.
    pub(crate) fn expire(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer.heard == Instant::ZERO {
                peer.heard = now.before(LIVE_FOR);
            }
        }
        self.peers
            .retain(|_, p| now.since(p.heard) < REMEMBERED_FOR);
        self.centres
            .retain(|_, (_, at)| now.since(*at) < REMEMBERED_FOR);
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let centre = &self.me.centre;
        self.peers
            .values()
            .filter(move |p| p.identity.centre == *centre && now.since(p.heard) < LIVE_FOR)
    }

    /// Returns the instances of this data centre that live, this one included, in order.
    pub(crate) fn live_boots(&self, now: Instant) -> Vec<u64> {
        let mut boots: Vec<u64> = self.live(now).map(|p| p.identity.boot).collect();
        boots.push(self.me.boot);
        boots.sort_unstable();
        boots
    }

    /// Returns where the instances of this data centre are answered, also those that are silent.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let own = self
            .peers
            .values()
            .filter(|p| p.identity.centre == self.me.centre);
        own.map(|p| p.identity.address).collect()
    }

    /// Returns some members for a newcomer: those of its data centre first.
    pub(crate) fn told(&self, newcomer: &Identity) -> Vec<Identity> {
        let mut all: Vec<&Peer> = self.peers.values().collect();
        all.sort_by_key(|p| {
            (
                p.identity.centre != newcomer.centre,
                std::cmp::Reverse(p.heard),
            )
        });
        let identities = all.into_iter().map(|p| p.identity.clone());
        identities.take(MAX_TOLD).collect()
    }

    /// Returns the instances that live in all data centres.
    pub(crate) fn count(&self, now: Instant) -> usize {
        let elsewhere = self.fresh_centres(now).map(|s| s.members as usize);
        self.live_boots(now).len() + elsewhere.sum::<usize>()
    }

    /// Returns the work that the callers of this data centre ask for: `own` and what the others say.
    pub(crate) fn needs(&self, own: &[(String, f64)], now: Instant) -> BTreeMap<String, f64> {
        let mut needs = BTreeMap::new();
        let others = self.live(now).flat_map(|p| &p.needs);
        for (service, need) in others.chain(own) {
            *needs.entry(service.clone()).or_default() += need;
        }
        needs
    }

    fn fresh_centres(&self, now: Instant) -> impl Iterator<Item = &CentreState> {
        let fresh = self
            .centres
            .values()
            .filter(move |(_, at)| now.since(*at) < CENTRE_FOR);
        fresh.map(|(state, _)| state)
    }

    /// Returns what is known of the other data centres, with its age.
    pub(crate) fn centres(&self, now: Instant) -> Vec<CentreState> {
        let centres = self.centres.values().map(|(state, at)| CentreState {
            age: now.since(*at),
            ..state.clone()
        });
        centres.filter(|s| s.age < CENTRE_FOR).collect()
    }

    /// Returns the data centres whose loans still hold.
    pub(crate) fn lenders(&self, now: Instant) -> Vec<String> {
        let centres = self.centres.iter();
        let fresh = centres.filter(|(_, (_, at))| now.since(*at) < LOAN_FOR);
        fresh.map(|(centre, _)| centre.clone()).collect()
    }

    /// Returns whom to speak to in each other data centre: the reader where one is known, and some
    /// other member.
    pub(crate) fn contacts(&self, now: Instant) -> Vec<(&str, SocketAddr)> {
        let readers = self.fresh_centres(now).filter_map(|s| s.reader.as_ref());
        let mut contacts: Vec<(&str, SocketAddr)> =
            readers.map(|r| (r.centre.as_str(), r.address)).collect();
        let mut others: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let peers = self.peers.values().map(|p| &p.identity);
        for peer in peers.filter(|i| i.centre != self.me.centre) {
            others.entry(&peer.centre).or_default().push(peer.address);
        }
        for (centre, addresses) in others {
            contacts.push((centre, addresses[fastrand::usize(..addresses.len())]));
        }
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Returns the instance that reads for this data centre, if one of the others does.
    pub(crate) fn reader(&self, now: Instant) -> Option<&Identity> {
        let readers = self.live(now).filter(|p| p.reads && !p.cut_off);
        readers.map(|p| &p.identity).min_by_key(|i| i.boot)
    }

    /// Returns whether another instance of this data centre is about to read.
    pub(crate) fn is_begun(&self, now: Instant) -> bool {
        self.live(now).any(|p| p.begins && !p.cut_off)
    }

    /// Returns the place of this instance in the order in which instances begin to read, 0 being
    /// the first. Those that have lately failed to read come last.
    pub(crate) fn reading_rank(&self, cut_off: bool, now: Instant) -> usize {
        let me = (cut_off, self.me.boot);
        self.live(now)
            .filter(|p| (p.cut_off, p.identity.boot) < me)
            .count()
    }

    /// Returns where instances are answered that know more than `revisions`.
    pub(crate) fn ahead(&self, revisions: &[u64], now: Instant) -> Vec<SocketAddr> {
        let is_ahead = |theirs: &[u64]| theirs.iter().zip(revisions).any(|(t, r)| t > r);
        let own = self
            .live(now)
            .filter(|p| is_ahead(&p.revisions))
            .map(|p| p.identity.address);
        let mut found: Vec<SocketAddr> = own.collect();
        if found.is_empty() {
            let centres = self.fresh_centres(now).filter(|s| is_ahead(&s.revisions));
            found.extend(centres.filter_map(|s| s.reader.as_ref()).map(|r| r.address));
        }
        found
    }

    /// Returns the highest revision of `kind` that another data centre has read.
    pub(crate) fn leading_revision(&self, kind: Kind, now: Instant) -> u64 {
        let revisions = self.fresh_centres(now).map(|s| s.revisions[kind.index()]);
        revisions.max().unwrap_or(0)
    }

    /// Returns the reports on moves of the instances of this data centre that live.
    pub(crate) fn moves(&self, now: Instant) -> Vec<MoveReport> {
        self.live(now)
            .flat_map(|p| p.moves.iter().cloned())
            .collect()
    }

    /// Returns the reports on moves of the other data centres.
    pub(crate) fn moves_elsewhere(&self, now: Instant) -> Vec<MoveReport> {
        self.fresh_centres(now)
            .flat_map(|s| s.moves.iter().cloned())
            .collect()
    }

    /// Returns whether this data centre's reader leads moves: the first of those that have one.
    pub(crate) fn leads(&self, now: Instant) -> bool {
        let mut others = self.fresh_centres(now).filter(|s| s.reader.is_some());
        others.all(|s| s.centre > self.me.centre)
    }

    /// Returns what has been decided on moves, as the first data centre that leads says it.
    pub(crate) fn plans(&self, reads: bool, now: Instant) -> Vec<Plan> {
        if !reads {
            let fresh = now.since(self.plans_at) < CENTRE_FOR;
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
