//! The datagram port of an instance.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use balance::lender::Lender;
use balance::table::Table;
use clock::Clock;
use smol::Async;

use super::members::BEAT_INTERVAL;
use super::message::MAX_DATAGRAM;
use super::{events, Beat, CentreBeat, CentreState, Message};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::Error;

/// The pause between two looks for peers of an instance that has just started, and how many times it
/// looks so often.
const SEARCH_INTERVAL: Duration = Duration::from_millis(25);
const SEARCHES: u32 = 80;

/// Beats between two looks for peers at a seed.
const SEED_BEATS: u32 = 8;

/// The datagram port of an instance.
#[derive(Debug)]
pub(crate) struct Port(Async<UdpSocket>);

impl Port {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`].
    pub(crate) fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = Async::<UdpSocket>::bind(address);
        socket
            .map(Self)
            .map_err(|source| Error::Bind { address, source })
    }

    /// Sends `message` to each of `addresses`, without waiting. What does not fit into the queue of
    /// the socket is lost like any datagram.
    ///
    /// Returns how many datagrams were not sent.
    pub(crate) fn send(&self, message: &Message, addresses: &[SocketAddr]) -> usize {
        let Ok(bytes) = message.encode() else {
            return addresses.len();
        };
        let socket = self.0.get_ref();
        addresses
            .iter()
            .filter(|a| socket.send_to(&bytes, a).is_err())
            .count()
    }
}

/// Takes datagrams until the port fails.
pub(crate) async fn run_receiver<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const LARGEST: usize = 64 * 1024;
    const ERROR_PAUSE: Duration = Duration::from_millis(50);
    let mut buffer = vec![0; LARGEST];
    loop {
        match node.port.0.recv_from(&mut buffer).await {
            Ok((length, from)) => match Message::decode(&buffer[..length]) {
                Ok(message) => take(&node, message, from),
                Err(e) => {
                    if let Some(suppressed) = node.limits.datagrams.pass(node.now()) {
                        slog::warn!(node.log, "gossip: a datagram cannot be read"; "from" => %from,
                            "error" => %e, "suppressed" => suppressed);
                    }
                }
            },
            Err(e) => {
                slog::warn!(node.log, "gossip: the port failed"; "error" => %e);
                node.clock.sleep(ERROR_PAUSE).await;
            }
        }
    }
}

fn take<S, H, C>(node: &Node<S, H, C>, message: Message, from: SocketAddr)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    match message {
        Message::Hello(identity) => {
            let (unknown, members) = {
                let mut members = node.members.lock();
                let unknown = members.learn(&identity);
                node.set_addresses(&members);
                (unknown, members.told(&identity))
            };
            let reply = Message::Members {
                from: node.me.clone(),
                members,
            };
            node.send(&reply, &[from]);
            if unknown && identity.centre == node.me.centre {
                greet(node, &[from]);
            }
        }
        Message::Members { from, members } => {
            let fresh: Vec<SocketAddr> = {
                let mut known = node.members.lock();
                let all = std::iter::once(&from).chain(&members);
                let fresh: Vec<_> = all.filter(|i| known.learn(i)).cloned().collect();
                node.set_addresses(&known);
                let own = fresh.iter().filter(|i| i.centre == node.me.centre);
                own.map(|i| i.address).collect()
            };
            greet(node, &fresh);
        }
        Message::Beat(beat) => take_beat(node, &beat),
        Message::Centre(beat) => take_centre(node, &beat),
        Message::Events {
            from,
            events,
            waiting,
        } => {
            events::take(node, from, &events, waiting);
        }
        Message::Push { kind, delta } => {
            node.learn(kind, &delta, "push");
        }
        Message::Leave(boot) => {
            let mut members = node.members.lock();
            members.leave(boot);
            node.set_addresses(&members);
        }
    }
}

fn take_beat<S, H, C>(node: &Node<S, H, C>, beat: &Beat)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    if beat.from.centre != node.me.centre || beat.from.boot == node.me.boot {
        return;
    }
    let (unknown, centres) = {
        let mut members = node.members.lock();
        let unknown = members.beat(beat, now);
        if unknown {
            node.set_addresses(&members);
        }
        (unknown, members.centres(now).len())
    };
    let mut table = node.table.lock();
    for state in &beat.centres {
        take_state(&mut table, state, &node.me.centre, centres);
    }
    if beat.reads || beat.begins {
        table.lend(beat.loans.clone());
    }
    for (server, requests) in &beat.held {
        if let Some(backend) = table.get_mut(*server) {
            backend.set_in_flight(beat.from.boot, *requests, now);
        }
    }
    let held: Vec<_> = beat.held.iter().map(|(server, _)| *server).collect();
    table.retain_in_flight(beat.from.boot, &held);
    drop(table);
    let revisions = node.knowledge.lock().revisions();
    if beat
        .revisions
        .iter()
        .zip(&revisions)
        .any(|(theirs, ours)| theirs > ours)
    {
        node.lag.send();
    }
    if unknown {
        greet(node, &[beat.from.address]);
    }
}

fn take_centre<S, H, C>(node: &Node<S, H, C>, beat: &CentreBeat)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let centres = {
        let mut members = node.members.lock();
        members.learn(&beat.from);
        members.centre(&beat.state, now);
        members.centres(now).len()
    };
    take_state(
        &mut node.table.lock(),
        &beat.state,
        &node.me.centre,
        centres,
    );
    let lends = node.is_reader() && node.renew_loans();
    if lends {
        send_beat(node);
        send_centres(node, false);
    } else if beat.reply {
        send_centre(node, &beat.from.centre, beat.from.address, false);
    }
}

/// Notes what the servers of another data centre can do for `own`: those that it lends, and the room
/// of the others, which `centres` of them share.
fn take_state(table: &mut Table, state: &CentreState, own: &str, centres: usize) {
    let lent = state.loans.iter().find(|(centre, _)| centre == own);
    let keys = lent.map_or(&[][..], |(_, keys)| keys);
    table.borrow(&state.centre, keys);
    for (service, room) in &state.room {
        table.set_spillover_headroom(&state.centre, service, room / centres.max(1) as f64);
    }
}

/// Repeats what this instance says of itself.
pub(crate) async fn run_beats<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let hello = Message::Hello(node.me.clone());
    for _ in 0..SEARCHES {
        if !node.addresses.load().is_empty() {
            break;
        }
        let seeds = node.settings.load().seeds.clone();
        node.send(&hello, &seeds);
        node.clock.sleep(SEARCH_INTERVAL).await;
    }
    let mut round: u32 = 0;
    loop {
        let alone = node.addresses.load().is_empty();
        if alone || round.is_multiple_of(SEED_BEATS) {
            let seeds = node.settings.load().seeds.clone();
            let others: Vec<_> = seeds
                .into_iter()
                .filter(|s| *s != node.me.address)
                .collect();
            let some = if alone || others.is_empty() {
                others
            } else {
                vec![others[fastrand::usize(..others.len())]]
            };
            node.send(&hello, &some);
        }
        if node.is_reader() {
            node.renew_loans();
        }
        send_beat(&node);
        if node.is_reader() {
            send_centres(&node, true);
        }
        round = round.wrapping_add(1);
        node.clock.sleep(BEAT_INTERVAL).await;
    }
}

/// Tells the data centre how this instance is.
pub(crate) fn send_beat<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let beat = beat(node);
    node.tell(&Message::Beat(Box::new(beat)));
}

/// Tells instances that were unknown how this one is, so that all know each other at once.
fn greet<S, H, C>(node: &Node<S, H, C>, addresses: &[SocketAddr])
where
    S: Store,
    H: Codec,
    C: Clock,
{
    if !addresses.is_empty() {
        let beat = beat(node);
        node.send(&Message::Beat(Box::new(beat)), addresses);
    }
}

fn beat<S, H, C>(node: &Node<S, H, C>) -> Beat
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let reads = node.is_reader();
    let revisions = node.knowledge.lock().revisions();
    let (centres, cut_off) = {
        let mut members = node.members.lock();
        members.expire(now);
        node.set_addresses(&members);
        let centres = if reads {
            members.centres(now)
        } else {
            Vec::new()
        };
        (centres, node.is_cut_off())
    };
    let (moves, plans) = {
        let moves = node.moves.lock();
        (
            moves.reports(),
            if reads { moves.plans(now) } else { Vec::new() },
        )
    };
    let needs = node.demand.lock().offered_load(now);
    let (held, loans) = {
        let mut table = node.table.lock();
        table.expire_in_flight(now);
        let loans = if reads {
            table.lending.loans().clone()
        } else {
            Vec::new()
        };
        (table.in_flight(), loans)
    };
    Beat {
        from: node.me.clone(),
        // Others rely on a reader only once the store has answered it.
        reads: reads && node.has_contact(),
        begins: reads && !node.has_contact(),
        cut_off,
        revisions,
        held,
        moves,
        needs,
        loans,
        centres,
        plans,
    }
}

/// Tells the other data centres how this one is.
fn send_centres<S, H, C>(node: &Node<S, H, C>, reply: bool)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let contacts: Vec<(String, SocketAddr)> = {
        let members = node.members.lock();
        let contacts = members.contacts(node.now()).into_iter();
        contacts.map(|(c, a)| (c.to_owned(), a)).collect()
    };
    for (centre, address) in contacts {
        send_centre(node, &centre, address, reply);
    }
}

/// Tells an instance of `centre` how this data centre is.
fn send_centre<S, H, C>(node: &Node<S, H, C>, centre: &str, address: SocketAddr, reply: bool)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let revisions = node.knowledge.lock().revisions();
    let (members, reader, reports) = {
        let members = node.members.lock();
        let reader = if node.is_reader() {
            Some(node.me.clone())
        } else {
            members.reader(now).cloned()
        };
        (members.live_boots(now).len(), reader, members.moves(now))
    };
    let (moves, plans) = {
        let moves = node.moves.lock();
        (moves.sum(reports), moves.plans(now))
    };
    let balances = node.balances();
    let (room, loans) = {
        let table = node.table.lock();
        let loans = table.lending.loans().iter().filter(|(c, _)| c == centre);
        let room = Lender::new(&table, now).headroom(&balances);
        (room, loans.cloned().collect())
    };
    let state = CentreState {
        centre: node.me.centre.clone(),
        members: u32::try_from(members).unwrap_or(u32::MAX),
        reader,
        revisions,
        room,
        balances,
        loans,
        moves,
        plans,
        age: Duration::ZERO,
    };
    let beat = CentreBeat {
        from: node.me.clone(),
        state,
        reply,
    };
    node.send(&Message::Centre(Box::new(beat)), &[address]);
}

/// Tells the data centre of a change that this instance has read, if a datagram can carry it.
pub(crate) fn push<S, H, C>(
    node: &Node<S, H, C>,
    kind: balance::record::Kind,
    delta: &balance::replica::Delta,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let message = Message::Push {
        kind,
        delta: delta.clone(),
    };
    let fits = message
        .encode()
        .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM);
    if fits {
        node.tell(&message);
    }
    // Those that missed the change see by the revisions that there is one.
    send_beat(node);
}
