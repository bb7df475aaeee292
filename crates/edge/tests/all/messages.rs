//! Mirrors the datagrams between instances, with their fields in order.

use std::net::SocketAddr;
use std::time::Duration;

use balance::record::Kind;
use balance::replica::Delta;
use balance::server::Key;
use serde::Serialize;

/// The instance that a datagram names as its sender: id, address and data centre.
pub(crate) type Identity = (u64, SocketAddr, &'static str);

/// Servers, by the data centre that they are lent to.
pub(crate) type Loans = Vec<(&'static str, Vec<Key>)>;

/// A result of a rollout: service, order and tallies by route.
pub(crate) type Report = (
    &'static str,
    (u64, &'static str),
    Vec<(&'static str, [[u64; 5]; 2])>,
);

/// A decision on a rollout: service, order, time since it began and stage.
pub(crate) type Plan = (&'static str, (u64, &'static str), Duration, Stage);

/// An event: server, requests in flight, load report, outcome and remaining warm-up.
pub(crate) type Event = (Key, u32, Option<[u32; 4]>, Option<()>, Option<Duration>);

#[derive(Clone, Serialize)]
pub(crate) enum Stage {
    Only(&'static str),
}

/// The state of a data centre.
#[derive(Clone, Serialize)]
pub(crate) struct CentreState {
    pub(crate) centre: &'static str,
    pub(crate) members: u32,
    pub(crate) reader: Option<Identity>,
    pub(crate) revisions: [u64; 4],
    pub(crate) room: Vec<(&'static str, f64)>,
    pub(crate) balances: Vec<()>,
    pub(crate) loans: Loans,
    pub(crate) moves: Vec<Report>,
    pub(crate) plans: Vec<Plan>,
    pub(crate) age: Duration,
    pub(crate) reads_store: bool,
}

impl CentreState {
    /// Returns the state of a data centre with one instance and no free capacity.
    pub(crate) fn new(centre: &'static str) -> Self {
        Self {
            centre,
            members: 1,
            reader: None,
            revisions: [0; 4],
            room: vec![("gauge", 0.0)],
            balances: Vec::new(),
            loans: Vec::new(),
            moves: Vec::new(),
            plans: Vec::new(),
            age: Duration::ZERO,
            reads_store: false,
        }
    }
}

/// A heartbeat within a data centre.
#[derive(Clone, Serialize)]
pub(crate) struct Heartbeat {
    pub(crate) from: Identity,
    pub(crate) reads: bool,
    pub(crate) begins: bool,
    pub(crate) cut_off: bool,
    pub(crate) revisions: [u64; 4],
    pub(crate) held: Vec<(Key, u32)>,
    pub(crate) moves: Vec<Report>,
    pub(crate) needs: Vec<(&'static str, f64)>,
    pub(crate) loans: Loans,
    pub(crate) centres: Vec<CentreState>,
    pub(crate) plans: Vec<Plan>,
    pub(crate) unusable: Vec<Key>,
    pub(crate) reads_store: bool,
}

impl Heartbeat {
    /// Returns the heartbeat of an instance that is not the reader and has nothing to tell.
    pub(crate) fn new(from: Identity) -> Self {
        Self {
            from,
            reads: false,
            begins: false,
            cut_off: false,
            revisions: [0; 4],
            held: Vec::new(),
            moves: Vec::new(),
            needs: Vec::new(),
            loans: Vec::new(),
            centres: Vec::new(),
            plans: Vec::new(),
            unusable: Vec::new(),
            reads_store: false,
        }
    }
}

/// The age of a reader's records.
#[derive(Clone, Serialize)]
pub(crate) struct Confirmation {
    pub(crate) from: u64,
    pub(crate) revisions: [u64; 4],
    pub(crate) ages: [Option<Duration>; 4],
}

/// The messages that tests send.
#[derive(Clone, Serialize)]
pub(crate) enum Message {
    Hello(Identity),
    Beat(Box<Heartbeat>),
    /// Sender, state, whether to reply, and suspicions.
    Centre(Identity, Box<CentreState>, bool, Vec<()>),
    Events {
        from: u64,
        events: Vec<Event>,
        waiting: Vec<(&'static str, u32, u32)>,
    },
    Push {
        kind: Kind,
        delta: Delta,
    },
    Leave(u64),
    Confirmed(Confirmation),
}
