//! The cluster of the quick start: a simulated platform, backend servers, and instances.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::Boottime;
use contract::signature::Key;
use contract::signed::Signed;
use contract::{id, report, Bundle, Rollout, Version};
use instance::settings::{self, Settings};
use instance::{log, Daemon};
use platform::client::{Client, Config};
use platform::{Health, Server, Store};
use stand_in::backend::{self, Backend};
use stand_in::platform::Platform;
use thiserror::Error;

/// The data centres.
const CENTRES: [&str; 3] = ["east", "north", "west"];

/// The number of backend servers of each version in each data centre.
const SERVERS_PER_VERSION: usize = 3;

const FIRST_SHARE: f64 = 0.05;

const AUTHOR_SEED: [u8; 32] = [1; 32];
const OPERATOR_SEED: [u8; 32] = [2; 32];

const BUNDLE: &str = include_str!("bundle.toml");

/// Why the cluster could not be set up.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// A simulated server could not start.
    #[error("cannot start a simulated server: {0}")]
    StandIn(#[from] std::io::Error),
    /// The settings are invalid.
    #[error("invalid settings: {0}")]
    Settings(#[from] settings::Faults),
    /// An instance could not start.
    #[error(transparent)]
    Instance(#[from] instance::Error),
    /// A request to the simulated platform failed.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The bundle cannot be encoded.
    #[error(transparent)]
    Codec(#[from] contract::codec::Error),
    /// Another bundle was published first.
    #[error("another bundle was published first")]
    Conflict,
}

/// A backend server and its entry in the platform's list of servers.
struct Target {
    backend: Backend,
    listed: Server,
}

/// The running cluster.
pub(crate) struct Cluster {
    platform: Platform,
    targets: Vec<Target>,
    instances: Vec<Daemon<Client, Boottime>>,
    store: Client,
    head: Option<Signed>,
}

impl Cluster {
    /// Starts the platform, the backend servers and one instance in each data centre.
    pub(crate) async fn open() -> Result<Self, Error> {
        let platform = Platform::bind(loopback())?;
        let store = Client::open(Config::new(platform.address()));
        let mut targets = Vec::new();
        for centre in CENTRES {
            for version in ["v1", "v2"] {
                for number in 0..SERVERS_PER_VERSION {
                    targets.push(target(centre, version, number)?);
                }
            }
        }
        platform.set_servers(targets.iter().map(|target| target.listed.clone()).collect());
        let mut instances = Vec::new();
        for centre in CENTRES {
            instances.push(start_instance(centre, platform.address()).await?);
        }
        Ok(Self {
            platform,
            targets,
            instances,
            store,
            head: None,
        })
    }

    /// Returns the addresses at which the instances serve callers.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Daemon::callers).collect()
    }

    /// Signs `bundle` with the keys of two operators, and publishes it as the next version.
    pub(crate) async fn publish_bundle(&mut self, mut bundle: Bundle) -> Result<(), Error> {
        let root = self.head.as_ref().map(|signed| &signed.root);
        bundle.version = root.map_or(0, |root| root.version) + 1;
        let (root, parts) = bundle.split(root.map(|root| root.digest()));
        let signed = Signed::new(
            root,
            &Key::from_seed(AUTHOR_SEED),
            &Key::from_seed(OPERATOR_SEED),
        );
        for part in &parts {
            let path = format!("bundle/parts/{}", part.digest());
            // Writing an unchanged part conflicts, because the part is already stored.
            self.store.write(&path, None, &part.encode()?).await?;
        }
        let found = self.store.read("bundle/head").await?;
        let expected = found.map(|object| object.revision);
        match self
            .store
            .write("bundle/head", expected, &signed.encode()?)
            .await?
        {
            platform::Outcome::Written(_) => self.head = Some(signed),
            platform::Outcome::Conflict => return Err(Error::Conflict),
        }
        Ok(())
    }

    /// Returns the rollouts that the instances report, the one with the largest share first.
    pub(crate) fn moves(&self) -> Vec<report::Rollout> {
        let reports = self
            .instances
            .iter()
            .flat_map(|i| i.node().rollout_reports());
        let mut moves: Vec<report::Rollout> = reports.collect();
        moves.sort_by(|a, b| b.share.total_cmp(&a.share));
        moves
    }

    /// Returns the number of requests that the backend servers of `centre` received.
    pub(crate) fn requests_in(&self, centre: &str) -> u64 {
        let targets = self
            .targets
            .iter()
            .filter(|t| t.listed.centre.as_str() == centre);
        targets.map(|target| target.backend.counts().requests).sum()
    }

    fn executions(&self, key: &str) -> u64 {
        self.targets
            .iter()
            .map(|target| target.backend.executions(key))
            .sum()
    }

    /// Returns how many of `keys` were executed more than once.
    pub(crate) fn count_repeated(&self, keys: &[String]) -> usize {
        keys.iter().filter(|key| self.executions(key) > 1).count()
    }

    /// Returns how many of `keys` were executed.
    pub(crate) fn count_executed(&self, keys: &[String]) -> u64 {
        let executed = keys.iter().filter(|key| self.executions(key) > 0).count();
        executed as u64
    }

    /// Returns a readable summary of the requests at the backend servers.
    pub(crate) fn summary(&self) -> String {
        let mut requests = BTreeMap::new();
        let mut overloads = 0;
        for target in &self.targets {
            let counts = target.backend.counts();
            *requests.entry(target.listed.version.clone()).or_insert(0) += counts.requests;
            overloads += counts.over_slots + counts.over_cold;
        }
        let versions: Vec<String> = requests
            .iter()
            .map(|(version, count)| format!("{version} got {count} requests"))
            .collect();
        format!(
            "{}; {overloads} requests found a server overloaded",
            versions.join(", ")
        )
    }

    /// Stops the instances, which first finish the calls in progress, and then the platform.
    pub(crate) async fn stop(&mut self) {
        let instances = std::mem::take(&mut self.instances);
        for instance in instances {
            instance.stop().await;
        }
        self.platform.stop();
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn target(centre: &str, version: &str, number: usize) -> Result<Target, Error> {
    let warmup = backend::Warmup {
        requests: 10,
        ..backend::Config::default().warmup
    };
    let config = backend::Config {
        version: version.to_owned(),
        warmup,
        ..backend::Config::default()
    };
    let backend = Backend::bind(config)?;
    let name = format!("{centre}-{version}-{number}");
    let listed = Server {
        name: id::Server::from(name.as_str()),
        address: backend.address(),
        service: id::Service::from("gauge"),
        version: id::Version::from(version),
        centre: id::Centre::from(centre),
        health: Health::Live,
    };
    Ok(Target { backend, listed })
}

async fn start_instance(
    centre: &str,
    platform: SocketAddr,
) -> Result<Daemon<Client, Boottime>, Error> {
    let signer = |name: &str, seed| format!("{name}={}", Key::from_seed(seed).public());
    let (platform_text, any) = (platform.to_string(), "127.0.0.1:0");
    let (ada, ben) = (signer("ada", AUTHOR_SEED), signer("ben", OPERATOR_SEED));
    let arguments = [
        "chivewheeld",
        "--name",
        centre,
        "--centre",
        centre,
        "--callers",
        any,
        "--peers",
        any,
        "--operators",
        any,
        "--platform",
        &platform_text,
        "--signer",
        &ada,
        "--signer",
        &ben,
        "--key",
        "a key for the quick start only",
        "--lease-ms",
        "900",
        "--heartbeat-ms",
        "150",
        "--linger-ms",
        "200",
    ];
    let settings = Settings::read(&settings::command().get_matches_from(arguments))?;
    let store = Client::open(Config::new(platform));
    Ok(Daemon::open(settings, store, Boottime, log::discard()).await?)
}

/// Returns the bundle, with a rollout if `deadline` is given, in seconds since 1970-01-01 UTC.
pub(crate) fn bundle(deadline: Option<u64>, north_in_service: bool) -> Bundle {
    let mut bundle = contract::text::parse(BUNDLE).unwrap_or_default();
    for centre in &mut bundle.centres {
        centre.in_service = north_in_service || centre.name.as_str() != "north";
    }
    if let Some(service) = bundle.services.first_mut() {
        service.rollout = deadline.map(|deadline| Rollout {
            from: id::Version::from("v1"),
            to: id::Version::from("v2"),
            first_share: FIRST_SHARE,
            deadline,
        });
        let versions = ["v1", "v2"];
        service.versions = versions
            .iter()
            .map(|name| Version {
                name: id::Version::from(*name),
            })
            .collect();
    }
    bundle
}

/// Returns the wall-clock time in seconds since 1970-01-01 UTC.
pub(crate) fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs()
}
