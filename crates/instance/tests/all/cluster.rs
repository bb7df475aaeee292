//! Starts instances in this process, with a platform stand-in and given backend servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use client::{Connection, Limits, Request, Response};
use clock::Boottime;
use contract::signature::Key;
use contract::signed::Signed;
use contract::{id, Bundle};
use instance::settings::{self, Settings};
use instance::{log, Daemon};
use platform::client::{Client, Config};
use platform::{Health, Server, Store};
use slog::Logger;
use stand_in::platform::Platform;

/// Time limit for a condition that should soon hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const AUTHOR_SEED: [u8; 32] = [1; 32];
const OPERATOR_SEED: [u8; 32] = [2; 32];

const BUNDLE: &str = r#"
version = 1

[[data-centre]]
name = "east"
in-service = true

[[data-centre]]
name = "north"
in-service = true

[[service]]
name = "gauge"
hosts = ["gauge.example"]
slots = 4
probes-per-second = 3.0
probe-path = "/health"

[[service.route]]
name = "levels"
methods = ["GET"]
path = "/levels"
idempotent = true
time-limit-ms = 1000

[[service.route]]
name = "orders"
methods = ["POST"]
path = "/orders"
idempotent = false
can-wait = true
time-limit-ms = 1000

[[service.version]]
name = "v1"
"#;

pub(crate) type Instance = Daemon<Client, Boottime>;

/// A platform stand-in, with its lists and its store, for the instances of a test.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    store: Client,
}

impl Cluster {
    /// Opens a cluster with one listed backend server per pair of data centre and address.
    pub(crate) fn open(servers: &[(&str, SocketAddr)]) -> Self {
        let platform = Platform::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let platform = platform.expect("platform");
        let listed = servers.iter().map(|(centre, address)| Server {
            name: id::Server::from(format!("{centre}-{}", address.port()).as_str()),
            address: *address,
            service: id::Service::from("gauge"),
            version: id::Version::from("v1"),
            centre: id::Centre::from(*centre),
            health: Health::Live,
        });
        platform.set_servers(listed.collect());
        let store = Client::open(Config::new(platform.address()));
        Self { platform, store }
    }

    /// Signs and publishes the bundle.
    pub(crate) fn publish_bundle(&self) {
        let bundle: Bundle = contract::text::parse(BUNDLE).expect("bundle");
        let (root, parts) = bundle.split(None);
        let (author, operator) = (Key::from_seed(AUTHOR_SEED), Key::from_seed(OPERATOR_SEED));
        let signed = Signed::new(root, &author, &operator);
        smol::block_on(async {
            for part in &parts {
                let path = format!("bundle/parts/{}", part.digest());
                let bytes = part.encode().expect("part");
                self.store.write(&path, None, &bytes).await.expect("part");
            }
            let bytes = signed.encode().expect("head");
            let written = self.store.write("bundle/head", None, &bytes).await;
            written.expect("head");
        });
    }

    /// Returns the command line of an instance in `centre`, without the program name.
    pub(crate) fn arguments(&self, centre: &str, extra: &[&str]) -> Vec<String> {
        let platform = self.platform.address().to_string();
        let signer = |name: &str, seed| format!("{name}={}", Key::from_seed(seed).public());
        let (ada, ben) = (signer("ada", AUTHOR_SEED), signer("ben", OPERATOR_SEED));
        let any = "127.0.0.1:0";
        let mut arguments = vec!["--name", centre, "--centre", centre];
        arguments.extend(["--callers", any, "--peers", any, "--operators", any]);
        arguments.extend(["--platform", &platform, "--signer", &ada, "--signer", &ben]);
        arguments.extend(["--key", "a key for tests only, not secret"]);
        arguments.extend(["--lease-ms", "900", "--heartbeat-ms", "150"]);
        arguments.extend(["--linger-ms", "0"]);
        arguments.extend(extra);
        arguments.into_iter().map(str::to_owned).collect()
    }

    /// Starts an instance in `centre` with the additional arguments `extra`.
    pub(crate) fn start(&self, centre: &str, extra: &[&str]) -> Instance {
        self.start_logging(centre, extra, log::discard())
    }

    /// Starts an instance that writes its log records to `log`.
    pub(crate) fn start_logging(&self, centre: &str, extra: &[&str], log: Logger) -> Instance {
        let program = std::iter::once("chivewheeld".to_owned());
        let arguments = program.chain(self.arguments(centre, extra));
        let matches = settings::command().get_matches_from(arguments);
        let settings = Settings::read(&matches).expect("settings");
        let store = Client::open(Config::new(self.platform.address()));
        let opened = Daemon::open(settings, store, Boottime, log);
        smol::block_on(opened).expect("instance")
    }
}

/// A request of a caller.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
}

impl Call<'_> {
    pub(crate) fn send(&self, to: SocketAddr) -> Response {
        let headers = self.headers.iter();
        let headers: Vec<(String, Vec<u8>)> = headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let request = Request {
            method: self.method,
            target: self.target,
            host: "gauge.example",
            headers: &headers,
            body: &[],
        };
        let answer = smol::block_on(async {
            let connection = Connection::open(to).await?;
            connection.exchange(&request, Limits::default()).await
        });
        answer.expect("answer").0
    }
}

/// Sends a GET request without additional headers.
pub(crate) fn get(to: SocketAddr, target: &str) -> Response {
    let call = Call {
        method: "GET",
        target,
        headers: &[],
    };
    call.send(to)
}

/// Waits until `instance` forwards a complete response of a backend server.
pub(crate) fn wait_until_serving(instance: &Instance) {
    wait_until_serving_at(instance.callers());
}

/// Waits until the instance whose callers' port is `callers` forwards a complete response of a
/// backend server.
pub(crate) fn wait_until_serving_at(callers: SocketAddr) {
    eventually("a complete response", || {
        let answer = get(callers, "/levels/0");
        answer.header("Chivewheel-Outcome") == Some("complete")
    });
}

/// Waits until `holds` returns true, and panics with `what` at the time limit.
pub(crate) fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
