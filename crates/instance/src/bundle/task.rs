//! Follows the bundle in the store and among the instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use contract::digest::Digest;
use contract::id;
use contract::part::Part;
use contract::signed::Signed;
use membership::member::Member;
use platform::Store;
use wire::{Message, Reply};

use super::Fault;
use crate::node::Node;

/// The path of the signed root of the latest bundle.
const HEAD_PATH: &str = "bundle/head";

/// The path below which parts are kept by their digest.
const PARTS_PATH: &str = "bundle/parts";

/// How long one watch of the head lasts.
const WATCH_LIMIT: Duration = Duration::from_secs(10);

/// The pause after a failure.
const ERROR_PAUSE: Duration = Duration::from_millis(500);

/// Where the parts of a bundle are read from first.
#[derive(Clone, Copy)]
enum Source {
    Store,
    Instance(SocketAddr),
}

/// Follows the bundle in the store, and asks the seeds while there is none.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    smol::future::or(follow_head(&node), ask_seeds(&node)).await;
}

async fn follow_head<S, C>(node: &Node<S, C>)
where
    S: Store,
    C: Clock,
{
    let mut seen = None;
    loop {
        let watched = node.store.watch(HEAD_PATH, seen, WATCH_LIMIT).await;
        if watched.is_ok() && node.alarms.bundle.clear() {
            slog::info!(node.log, "bundle: the head can be watched again");
        }
        match watched {
            Ok(Some(object)) if seen != Some(object.revision) => {
                if node.take_head(&object.value, Source::Store).await {
                    seen = Some(object.revision);
                } else {
                    node.clock.sleep(ERROR_PAUSE).await;
                }
            }
            Ok(_) => {}
            Err(e) => {
                if node.alarms.bundle.raise() {
                    slog::warn!(node.log, "bundle: the head cannot be watched"; "reason" => %e);
                }
                node.clock.sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Asks the seeds for the bundle and the roster until there are both. Never completes.
async fn ask_seeds<S, C>(node: &Node<S, C>)
where
    S: Store,
    C: Clock,
{
    while node.bundles.version() == 0 || node.view.roster().members.is_empty() {
        for seed in &node.settings.seeds {
            node.fetch_bundle(*seed).await;
            node.fetch_roster(*seed).await;
        }
        node.clock.sleep(ERROR_PAUSE).await;
    }
    std::future::pending().await
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Takes the bundle of `member`, which has `version`, if it is later than the one in force.
    pub(crate) async fn offer_bundle(&self, version: u64, member: &Member) {
        if version > self.bundles.version() {
            self.fetch_bundle(member.address).await;
        }
    }

    async fn fetch_roster(&self, from: SocketAddr) {
        if let Ok(Reply::Roster(roster)) = self.links.call(from, &Message::GetRoster).await {
            self.adopt_roster(&roster);
        }
    }

    async fn fetch_bundle(&self, from: SocketAddr) {
        if let Ok(Reply::Bundle(Some(value))) = self.links.call(from, &Message::GetBundle).await {
            self.take_head(&value, Source::Instance(from)).await;
        }
    }

    /// Puts a signed root in force. Returns false if it may be in force later.
    async fn take_head(&self, value: &[u8], source: Source) -> bool {
        match self.try_head(value, source).await {
            Ok(version) => {
                slog::info!(self.log, "bundle: in force"; "version" => version);
                true
            }
            Err(Fault::Stale { found, current }) if found == current => true,
            Err(fault) => {
                if let Some(suppressed) = self.alarms.bundles.pass(self.now()) {
                    slog::warn!(self.log, "bundle: refused"; "reason" => %fault,
                        "suppressed" => suppressed);
                }
                !matches!(fault, Fault::Unavailable(_))
            }
        }
    }

    async fn try_head(&self, value: &[u8], source: Source) -> Result<u64, Fault> {
        let signed = Signed::decode(value)?;
        let verified = self.bundles.verify(&signed)?;
        let (mut parts, missing) = self.bundles.missing(&verified);
        for (name, digest) in missing {
            parts.push(self.part(&name, &digest, source).await?);
        }
        let accepted = self.bundles.accept(signed, &verified, parts)?;
        self.put_in_force(&accepted.bundle);
        Ok(accepted.bundle.version)
    }

    fn put_in_force(&self, bundle: &contract::Bundle) {
        self.note_centres(&self.view.bundle(), bundle);
        self.view.set_bundle(bundle.clone());
        let routes = bundle.services.iter().flat_map(|service| &service.routes);
        if let Some(longest) = routes.map(|route| route.time_limit).max() {
            self.leases.lock().set_time_limit(longest);
        }
        self.refresh_pools();
        // Others learn of the bundle with the next heartbeat.
        self.wake();
    }

    /// Records the data centres that `bundle` takes out of service or back into it.
    fn note_centres(&self, before: &contract::Bundle, bundle: &contract::Bundle) {
        for centre in &bundle.centres {
            let name = centre.name.as_str();
            match (before.in_service(name), centre.in_service) {
                (true, false) => slog::warn!(self.log, "bundle: a data centre is out of service";
                    "centre" => name),
                (false, true) => slog::info!(self.log, "bundle: a data centre is in service";
                    "centre" => name),
                _ => {}
            }
        }
    }

    async fn part(
        &self,
        name: &id::Service,
        digest: &Digest,
        source: Source,
    ) -> Result<Part, Fault> {
        let bytes = match source {
            Source::Store => self.stored_part(digest).await,
            Source::Instance(from) => self.part_of(from, digest).await,
        };
        let bytes = bytes.ok_or_else(|| Fault::Unavailable(name.clone()))?;
        Ok(Part::decode(&bytes, digest)?)
    }

    async fn stored_part(&self, digest: &Digest) -> Option<Vec<u8>> {
        let read = self.store.read(&format!("{PARTS_PATH}/{digest}")).await;
        read.ok().flatten().map(|object| object.value)
    }

    async fn part_of(&self, from: SocketAddr, digest: &Digest) -> Option<Vec<u8>> {
        match self.links.call(from, &Message::GetPart(*digest)).await {
            Ok(Reply::Part(bytes)) => bytes,
            _ => None,
        }
    }

    /// Returns the signed root in force, encoded.
    pub(crate) fn encoded_head(&self) -> Option<Vec<u8>> {
        self.bundles.accepted()?.signed.encode().ok()
    }

    /// Returns a part of the bundle in force, encoded.
    pub(crate) fn encoded_part(&self, digest: &Digest) -> Option<Vec<u8>> {
        let accepted = self.bundles.accepted()?;
        let part = accepted
            .parts
            .iter()
            .find(|part| part.digest() == *digest)?;
        part.encode().ok()
    }
}
