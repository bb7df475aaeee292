//! The UDP socket of an instance: sends heartbeats and handles messages.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use balance::heartbeat;
use balance::lender::Lender;
use balance::table::Table;
use clock::Clock;
use smol::Async;

use super::heartbeat::{CentreTenancy, Tenancy};
use super::message::MAX_DATAGRAM_BYTES;
use super::{events, CentreHeartbeat, CentreState, Heartbeat, Identity, Message};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::Error;

/// The interval at which an instance that has just started contacts its seeds, and the number of
/// attempts at that interval.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
const JOIN_ATTEMPTS: u32 = 80;

/// The number of heartbeats between two messages to a seed.
const HEARTBEATS_PER_SEED_CONTACT: u32 = 8;

/// The UDP socket of an instance.
#[derive(Debug)]
pub(crate) struct Socket(Async<UdpSocket>);

impl Socket {
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

    /// Sends `message` to each of `addresses` without waiting. A datagram that does not fit into
    /// the socket's send buffer is lost, like any lost datagram.
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

/// How long datagrams are collected before they are handled in a data centre that is divided into
/// groups. Waking up for each of them would cost more than handling it.
const RECEIVE_INTERVAL: Duration = Duration::from_millis(8);

/// The number of datagrams after which other tasks run. Datagrams that arrive without end must not
/// keep the thread.
const DATAGRAMS_PER_TURN: usize = 64;

/// Receives and handles datagrams until the task is dropped.
pub(crate) async fn run_receiver<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const MAX_RECEIVED_BYTES: usize = 64 * 1024;
    const ERROR_PAUSE: Duration = Duration::from_millis(50);
    let mut buffer = vec![0; MAX_RECEIVED_BYTES];
    let mut handled: usize = 0;
    loop {
        match node.socket.0.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                handle_datagram(&node, &buffer[..length], from);
                yield_after(&mut handled).await;
            }
            Err(e) => {
                slog::warn!(node.log, "gossip: receiving failed"; "error" => %e);
                node.clock.sleep(ERROR_PAUSE).await;
            }
        }
        if node.is_divided() {
            // An error is reported by the next call that waits.
            while let Ok((length, from)) = node.socket.0.get_ref().recv_from(&mut buffer) {
                handle_datagram(&node, &buffer[..length], from);
                yield_after(&mut handled).await;
            }
            node.clock.sleep(RECEIVE_INTERVAL).await;
        }
    }
}

/// Counts one more datagram as handled, and lets other tasks run if it is their turn.
async fn yield_after(handled: &mut usize) {
    *handled = handled.wrapping_add(1);
    if handled.is_multiple_of(DATAGRAMS_PER_TURN) {
        smol::future::yield_now().await;
    }
}

fn handle_datagram<S, H, C>(node: &Node<S, H, C>, bytes: &[u8], from: SocketAddr)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    match Message::decode(bytes) {
        Ok(message) => handle_message(node, message, from),
        Err(e) => {
            if let Some(suppressed) = node.limits.datagrams.pass(node.now()) {
                slog::warn!(node.log, "gossip: malformed datagram"; "from" => %from,
                    "error" => %e, "suppressed" => suppressed);
            }
        }
    }
}

fn handle_message<S, H, C>(node: &Node<S, H, C>, message: Message, from: SocketAddr)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    match message {
        Message::Hello(identity) => {
            let (unknown, members) = {
                let mut members = node.members.lock();
                let unknown = members.add(&identity);
                node.set_addresses(&members);
                (unknown, members.sample_for(&identity))
            };
            let reply = Message::Members {
                from: node.identity.clone(),
                members,
            };
            node.send(&reply, &[from]);
            if unknown && identity.centre == node.identity.centre {
                send_heartbeat_to(node, &[from]);
            }
        }
        Message::Members { from, members } => {
            add_members(node, std::iter::once(&from).chain(&members));
        }
        Message::Heartbeat(heartbeat) => handle_heartbeat(node, &heartbeat),
        Message::Centre(heartbeat) => handle_centre_heartbeat(node, &heartbeat),
        Message::Events {
            from,
            events,
            waiting,
        } => {
            events::handle(node, from, &events, waiting);
        }
        Message::Push { kind, delta } => {
            // A reader passes on what the reader of another data centre has read.
            if node.apply_delta(kind, &delta, "push") && node.is_reader() {
                push(node, kind, &delta);
            }
        }
        Message::Suspicions { suspicions, relay } => {
            node.apply_suspicions(&suspicions, relay, from);
        }
        Message::Cleared(request) => node.apply_cleared(request, from),
        Message::Usage { from, message } => node.record_usage(from, &message),
        Message::Duty(notice) => node.duty_notices.push(*notice),
        Message::Confirmed(confirmation) => node.apply_confirmation(&confirmation),
        Message::Leave(boot) => {
            let mut members = node.members.lock();
            members.remove(boot);
            node.set_addresses(&members);
        }
    }
}

/// Adds members, and sends a heartbeat to those of this data centre that were unknown.
fn add_members<'a, S, H, C>(node: &Node<S, H, C>, members: impl Iterator<Item = &'a Identity>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let unknown: Vec<SocketAddr> = {
        let mut known = node.members.lock();
        let new_members: Vec<&Identity> = members.filter(|i| known.add(i)).collect();
        if new_members.is_empty() {
            return;
        }
        node.set_addresses(&known);
        let own = new_members
            .iter()
            .filter(|i| i.centre == node.identity.centre);
        own.map(|i| i.address).collect()
    };
    send_heartbeat_to(node, &unknown);
}

fn handle_heartbeat<S, H, C>(node: &Node<S, H, C>, heartbeat: &Heartbeat)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    if heartbeat.from.centre != node.identity.centre || heartbeat.from.boot == node.identity.boot {
        return;
    }
    let time_of_day = heartbeat.tenancy.as_ref().and_then(|t| t.time_of_day);
    node.record_time(heartbeat.from.boot, time_of_day);
    let (unknown, centres, lenders) = {
        let mut members = node.members.lock();
        let unknown = members.record_heartbeat(heartbeat, now);
        if unknown {
            node.set_addresses(&members);
        }
        (unknown, members.centre_count(now), members.lenders(now))
    };
    let mut table = node.table.lock();
    for state in &heartbeat.centres {
        apply_centre_state(&mut table, state, &node.identity.centre, centres);
    }
    // A reader repeats the states of data centres that have been silent for longer than a loan lasts.
    table.retain_lenders(&lenders);
    if heartbeat.is_reader || heartbeat.starting_reader {
        table.lend(heartbeat.loans.clone());
    }
    for (server, requests) in &heartbeat.in_flight {
        table.set_in_flight(*server, heartbeat.from.boot, *requests, now);
    }
    let servers: Vec<_> = heartbeat
        .in_flight
        .iter()
        .map(|(server, _)| *server)
        .collect();
    table.retain_in_flight(heartbeat.from.boot, &servers);
    drop(table);
    node.apply_suspicions(&heartbeat.suspicions, false, heartbeat.from.address);
    node.apply_shares(heartbeat);
    let revisions = node.view.lock().revisions();
    if is_newer(&heartbeat.revisions, &revisions) {
        node.lagging.send();
    }
    if unknown {
        send_heartbeat_to(node, &[heartbeat.from.address]);
    }
    add_members(node, heartbeat.members.iter());
}

fn handle_centre_heartbeat<S, H, C>(node: &Node<S, H, C>, heartbeat: &CentreHeartbeat)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.record_time(heartbeat.from.boot, heartbeat.time_of_day);
    let centres = {
        let mut members = node.members.lock();
        members.add(&heartbeat.from);
        members.record_centre(&heartbeat.state, now);
        members.centre_count(now)
    };
    apply_centre_state(
        &mut node.table.lock(),
        &heartbeat.state,
        &node.identity.centre,
        centres,
    );
    node.apply_suspicions(&heartbeat.suspicions, true, heartbeat.from.address);
    node.apply_centre_shares(&heartbeat.state);
    let revisions = node.view.lock().revisions();
    if node.is_reader() && is_newer(&heartbeat.state.revisions, &revisions) {
        node.lagging.send();
    }
    let loans_changed = node.is_reader() && node.update_loans();
    if loans_changed {
        send_heartbeat(node);
        send_centre_heartbeats(node, false);
    } else if heartbeat.reply_requested {
        send_centre_heartbeat(node, &heartbeat.from.centre, heartbeat.from.address, false);
    }
}

/// Returns whether `theirs` has a revision that is newer than that in `ours`.
fn is_newer(theirs: &[u64], ours: &[u64]) -> bool {
    theirs.iter().zip(ours).any(|(t, o)| t > o)
}

/// Records the capacity that another data centre offers to `own`: the servers that it lends, and
/// its free capacity, which is divided among `centres` data centres.
fn apply_centre_state(table: &mut Table, state: &CentreState, own: &str, centres: usize) {
    let lent = state.loans.iter().find(|(centre, _)| centre == own);
    let keys = lent.map_or(&[][..], |(_, keys)| keys);
    table.borrow(&state.centre, keys);
    for (service, headroom) in &state.headroom {
        table.set_spillover_headroom(&state.centre, service, headroom / centres.max(1) as f64);
    }
}

/// Joins the data centre through the seeds, then sends heartbeats.
pub(crate) async fn run_heartbeats<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let hello = Message::Hello(node.identity.clone());
    for _ in 0..JOIN_ATTEMPTS {
        if !node.addresses.load().is_empty() {
            break;
        }
        let seeds = node.settings.load().seeds.clone();
        node.send(&hello, &seeds);
        node.clock.sleep(JOIN_INTERVAL).await;
    }
    let mut round: u32 = 0;
    loop {
        let alone = node.addresses.load().is_empty();
        // A reader that does not know this instance sends it nothing. Other members know the reader.
        let misses_reader = !node.is_reader() && node.members.lock().reader(node.now()).is_none();
        if alone || misses_reader || round.is_multiple_of(HEARTBEATS_PER_SEED_CONTACT) {
            // Readers ask the seeds, which may know instances that this data centre lost. The others
            // ask within the data centre, as traffic between data centres is paid for by the byte.
            let contacts = if alone || node.is_reader() {
                node.settings.load().seeds.clone()
            } else {
                node.addresses.load().to_vec()
            };
            let others: Vec<_> = contacts
                .into_iter()
                .filter(|s| *s != node.identity.address)
                .collect();
            let targets = if alone || others.is_empty() {
                others
            } else {
                vec![others[fastrand::usize(..others.len())]]
            };
            node.send(&hello, &targets);
        }
        if node.is_reader() {
            node.update_loans();
        }
        if node.is_reader() {
            send_heartbeat(&node);
            send_centre_heartbeats(&node, true);
        } else {
            send_due_heartbeats(&node);
        }
        round = round.wrapping_add(1);
        node.heartbeat_round.store(round, Ordering::Release);
        node.clock.sleep(heartbeat::INTERVAL).await;
    }
}

/// Sends a heartbeat to the data centre.
pub(crate) fn send_heartbeat<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let heartbeat = heartbeat(node);
    node.broadcast(&Message::Heartbeat(Box::new(heartbeat)));
    send_confirmation(node, &node.addresses.load());
}

/// Sends a heartbeat to the instances of the data centre that are due for one in this round.
pub(crate) fn send_due_heartbeats<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let round = node.heartbeat_round.load(Ordering::Acquire);
    let targets = node.members.lock().heartbeat_targets(round, node.now());
    send_heartbeat_to(node, &targets);
}

/// Sends a heartbeat to some instances of the data centre.
fn send_heartbeat_to<S, H, C>(node: &Node<S, H, C>, addresses: &[SocketAddr])
where
    S: Store,
    H: Codec,
    C: Clock,
{
    if !addresses.is_empty() {
        let heartbeat = heartbeat(node);
        node.send(&Message::Heartbeat(Box::new(heartbeat)), addresses);
        send_confirmation(node, addresses);
    }
}

/// Sends the age of the records to the receivers of a heartbeat, if this instance is the reader.
fn send_confirmation<S, H, C>(node: &Node<S, H, C>, addresses: &[SocketAddr])
where
    S: Store,
    H: Codec,
    C: Clock,
{
    if node.is_reader() {
        node.send(&Message::Confirmed(node.confirmation()), addresses);
    }
}

fn heartbeat<S, H, C>(node: &Node<S, H, C>) -> Heartbeat
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let is_reader = node.is_reader();
    let revisions = node.view.lock().revisions();
    let (centres, known_members, store_failed, in_flight_ttl) = {
        let mut members = node.members.lock();
        members.expire(now);
        node.set_addresses(&members);
        let centres = if is_reader {
            members.centres(now)
        } else {
            Vec::new()
        };
        let round = node.heartbeat_round.load(Ordering::Acquire);
        let known_members = if is_reader {
            members.sample_for_heartbeat(round, now)
        } else {
            Vec::new()
        };
        (
            centres,
            known_members,
            node.store_failed_recently(),
            members.schedule().in_flight_ttl(),
        )
    };
    let (rollouts, plans) = {
        let rollouts = node.rollouts.lock();
        (
            rollouts.reports(now),
            if is_reader {
                rollouts.plans(now)
            } else {
                Vec::new()
            },
        )
    };
    let demand = node.demand.lock().offered_load(now);
    let (in_flight, loans, unusable) = {
        let mut table = node.table.lock();
        table.expire_in_flight(in_flight_ttl, now);
        let loans = if is_reader {
            table.lending.loans().clone()
        } else {
            Vec::new()
        };
        (table.in_flight(), loans, table.unusable_probed(now))
    };
    Heartbeat {
        from: node.identity.clone(),
        // Others rely on a reader only once it has records from the store or another reader.
        is_reader: is_reader && node.is_supplied(),
        starting_reader: is_reader && !node.is_supplied(),
        store_failed,
        revisions,
        in_flight,
        rollouts,
        demand,
        loans,
        centres,
        plans,
        unusable,
        reads_store: is_reader && node.is_reading_store(),
        members: known_members,
        suspicions: node.suspects.lock().for_heartbeat(now),
        tenancy: Tenancy::new(node.announced_time(), node.shares.lock().report(now)),
    }
}

/// Sends a heartbeat to the other data centres.
pub(crate) fn send_centre_heartbeats<S, H, C>(node: &Node<S, H, C>, reply_requested: bool)
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
        send_centre_heartbeat(node, &centre, address, reply_requested);
    }
}

/// Sends a heartbeat to an instance of `centre`.
fn send_centre_heartbeat<S, H, C>(
    node: &Node<S, H, C>,
    centre: &str,
    address: SocketAddr,
    reply_requested: bool,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    let revisions = node.view.lock().revisions();
    let (members, reader, reads_store, reports) = {
        let members = node.members.lock();
        let reads_store = if node.is_reader() {
            node.is_reading_store()
        } else {
            members.reader_reads_store(now)
        };
        let reader = if node.is_reader() {
            Some(node.identity.clone())
        } else {
            members.reader(now).cloned()
        };
        (
            members.live_boots(now).len(),
            reader,
            reads_store,
            members.rollout_reports(now),
        )
    };
    let (rollouts, plans) = {
        let rollouts = node.rollouts.lock();
        (rollouts.sum(reports, now), rollouts.plans(now))
    };
    let usage = node.usage();
    let (headroom, loans) = {
        let table = node.table.lock();
        let loans = table.lending.loans().iter().filter(|(c, _)| c == centre);
        let headroom = Lender::new(&table, now).headroom(&usage);
        (headroom, loans.cloned().collect())
    };
    let state = CentreState {
        centre: node.identity.centre.clone(),
        members: u32::try_from(members).unwrap_or(u32::MAX),
        reader,
        revisions,
        headroom,
        usage,
        loans,
        rollouts,
        plans,
        age: Duration::ZERO,
        reads_store,
        tenancy: CentreTenancy::new(
            node.tenant_usage.collectors(),
            node.shares.lock().centre_total(now),
        ),
    };
    let heartbeat = CentreHeartbeat {
        from: node.identity.clone(),
        state,
        reply_requested,
        suspicions: node.suspects.lock().for_heartbeat(now),
        time_of_day: node.announced_time(),
    };
    node.send(&Message::Centre(Box::new(heartbeat)), &[address]);
    send_confirmation(node, &[address]);
}

/// Sends a change to the data centre, and to the readers of others if this instance has read it
/// from the store. Changes that do not fit into a datagram are pulled instead.
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
        .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES);
    if fits {
        node.broadcast(&message);
    }
    if node.is_reading_store() {
        if fits {
            node.send(&message, &node.other_centres());
        } else {
            send_centre_heartbeats(node, false);
        }
    }
    // Instances that miss the change learn from the revisions in the heartbeat that there is one.
    send_heartbeat(node);
}
