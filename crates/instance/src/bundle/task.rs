//! Fetches new bundles from the store and from other instances, and puts them in force.
//!
//! Also serves the bundle in force to other instances.

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

/// The path of the object that holds the signed root of the latest bundle.
const HEAD_PATH: &str = "bundle/head";

/// The path prefix of the parts, which are stored by digest.
const PARTS_PATH: &str = "bundle/parts";

/// The timeout of one watch of the head.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where the missing parts of a bundle are fetched from.
#[derive(Clone, Copy)]
enum Source {
    Store,
    Instance(SocketAddr),
}

/// Watches the head in the store, and queries the seeds while there is no bundle or roster.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    smol::future::or(watch_head(&node), query_seeds(&node)).await;
}

async fn watch_head<S, C>(node: &Node<S, C>)
where
    S: Store,
    C: Clock,
{
    let mut seen = None;
    loop {
        let watched = node.store.watch(HEAD_PATH, seen, WATCH_TIMEOUT).await;
        if watched.is_ok() && node.alarms.bundle.clear() {
            slog::info!(node.log, "bundle: the head can be watched again");
        }
        match watched {
            Ok(Some(object)) if seen != Some(object.revision) => {
                if node.adopt_head(&object.value, Source::Store).await {
                    seen = Some(object.revision);
                } else {
                    node.clock.sleep(RETRY_DELAY).await;
                }
            }
            Ok(_) => {}
            Err(e) => {
                if node.alarms.bundle.raise() {
                    slog::warn!(node.log, "bundle: the head cannot be watched"; "reason" => %e);
                }
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Queries the seeds for the bundle and the roster until both are known. Never completes.
async fn query_seeds<S, C>(node: &Node<S, C>)
where
    S: Store,
    C: Clock,
{
    while node.bundles.version() == 0 || node.view.roster().members.is_empty() {
        for seed in &node.settings.seeds {
            node.fetch_bundle(*seed).await;
            node.fetch_roster(*seed).await;
        }
        node.clock.sleep(RETRY_DELAY).await;
    }
    std::future::pending().await
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Fetches the bundle from `member`, which has `version`, if it is newer than the one in force.
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
            self.adopt_head(&value, Source::Instance(from)).await;
        }
    }

    /// Puts a bundle in force, given its encoded signed root.
    ///
    /// Returns false if the attempt should be repeated: a part was unavailable.
    async fn adopt_head(&self, value: &[u8], source: Source) -> bool {
        match self.verify_and_accept(value, source).await {
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

    async fn verify_and_accept(&self, value: &[u8], source: Source) -> Result<u64, Fault> {
        let signed = Signed::decode(value)?;
        let verified = self.bundles.verify(&signed)?;
        let (mut parts, missing) = self.bundles.missing(&verified);
        for (name, digest) in missing {
            parts.push(self.load_part(&name, &digest, source).await?);
        }
        let accepted = self.bundles.accept(signed, &verified, parts)?;
        self.apply_bundle(&accepted.bundle);
        Ok(accepted.bundle.version)
    }

    fn apply_bundle(&self, bundle: &contract::Bundle) {
        self.log_centre_changes(&self.view.bundle(), bundle);
        self.view.set_bundle(bundle.clone());
        let routes = bundle.services.iter().flat_map(|service| &service.routes);
        if let Some(longest) = routes.map(|route| route.time_limit).max() {
            self.leases.lock().set_time_limit(longest);
        }
        self.refresh_pools();
        // Sends a heartbeat at once, which tells the other instances about the bundle.
        self.wake_heartbeat();
    }

    /// Logs the data centres that `bundle` takes out of service or puts back into service.
    fn log_centre_changes(&self, previous: &contract::Bundle, bundle: &contract::Bundle) {
        for centre in &bundle.centres {
            let name = centre.name.as_str();
            match (previous.in_service(name), centre.in_service) {
                (true, false) => slog::warn!(self.log, "bundle: a data centre is out of service";
                    "centre" => name),
                (false, true) => slog::info!(self.log, "bundle: a data centre is in service";
                    "centre" => name),
                _ => {}
            }
        }
    }

    async fn load_part(
        &self,
        name: &id::Service,
        digest: &Digest,
        source: Source,
    ) -> Result<Part, Fault> {
        let bytes = match source {
            Source::Store => self.read_part(digest).await,
            Source::Instance(from) => self.fetch_part(from, digest).await,
        };
        let bytes = bytes.ok_or_else(|| Fault::Unavailable(name.clone()))?;
        Ok(Part::decode(&bytes, digest)?)
    }

    async fn read_part(&self, digest: &Digest) -> Option<Vec<u8>> {
        let read = self.store.read(&format!("{PARTS_PATH}/{digest}")).await;
        read.ok().flatten().map(|object| object.value)
    }

    async fn fetch_part(&self, from: SocketAddr, digest: &Digest) -> Option<Vec<u8>> {
        match self.links.call(from, &Message::GetPart(*digest)).await {
            Ok(Reply::Part(bytes)) => bytes,
            _ => None,
        }
    }

    /// Returns the encoded signed root of the bundle in force.
    pub(crate) fn encoded_head(&self) -> Option<Vec<u8>> {
        self.bundles.accepted()?.signed.encode().ok()
    }

    /// Returns an encoded part of the bundle in force, if the bundle has one with `digest`.
    pub(crate) fn encoded_part(&self, digest: &Digest) -> Option<Vec<u8>> {
        let accepted = self.bundles.accepted()?;
        let part = accepted
            .parts
            .iter()
            .find(|part| part.digest() == *digest)?;
        part.encode().ok()
    }
}
