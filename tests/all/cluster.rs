//! A small cluster for tests: a simulated platform, backend servers in three data centres, and
//! instances as processes.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use client::{Connection, Limits, Request, Response};
use contract::part::Part;
use contract::root::Root;
use contract::signature::Key;
use contract::signed::Signed;
use contract::{id, Bundle};
use parking_lot::{Condvar, Mutex};
use platform::client::{Client, Config};
use platform::{Health, Server, Store};
use stand_in::backend::{self, Backend};
use stand_in::platform::Platform;

/// The data centres.
pub(crate) const CENTRES: [&str; 3] = ["east", "north", "west"];

/// The longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the signing key of the operator who writes bundles.
pub(crate) fn author() -> Key {
    Key::from_seed([1; 32])
}

/// Returns the signing key of the operator who approves bundles.
pub(crate) fn operator() -> Key {
    Key::from_seed([2; 32])
}

/// The flags of instances in tests: short leases, so that failures are detected soon.
const DEFAULT_FLAGS: [(&str, &str); 3] = [
    ("lease-ms", "900"),
    ("heartbeat-ms", "150"),
    ("linger-ms", "300"),
];

/// A backend server and its entry in the platform's list of servers.
pub(crate) struct Target {
    pub(crate) backend: Backend,
    pub(crate) listed: Server,
}

/// An instance that runs as a process. The process is killed on drop.
pub(crate) struct Instance {
    child: Child,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
}

impl Instance {
    /// Returns the version of the bundle in effect, or 0 before the first.
    pub(crate) fn bundle_version(&self) -> u64 {
        self.status().bundle.map_or(0, |bundle| bundle.version)
    }

    /// Returns the status that the instance reports to operators.
    pub(crate) fn status(&self) -> contract::report::Status {
        let response = self.get_operator_page("/status");
        serde_json::from_slice(&response.body).expect("status")
    }

    /// Returns the rollouts that the instance reports.
    pub(crate) fn moves(&self) -> Vec<contract::report::Rollout> {
        let response = self.get_operator_page("/moves");
        serde_json::from_slice(&response.body).expect("moves")
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let pid = i32::try_from(self.id()).expect("process id");
        let pid = rustix::process::Pid::from_raw(pid).expect("process id");
        rustix::process::kill_process(pid, signal).expect("signal");
    }

    /// Waits for the process to exit and returns its exit code.
    pub(crate) fn wait(mut self) -> Option<i32> {
        let deadline = Instant::now() + TIMEOUT * 2;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the instance did not exit");
    }

    /// Sends a GET request for `target` to the operators' port.
    pub(crate) fn get_operator_page(&self, target: &str) -> Response {
        smol::block_on(Call::get(target).send(self.operator_address)).expect("operators' port")
    }

    /// Sends a call to the service `gauge` and returns the response.
    pub(crate) fn call(&self, call: &Call<'_>) -> Result<Response, client::Error> {
        smol::block_on(call.send(self.caller_address))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A call to the service `gauge`.
#[derive(Clone, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: &'a [u8],
}

impl<'a> Call<'a> {
    pub(crate) fn get(target: &'a str) -> Self {
        Self {
            method: "GET",
            target,
            headers: Vec::new(),
            body: &[],
        }
    }

    pub(crate) fn post(target: &'a str, key: &str, body: &'a [u8]) -> Self {
        let call = Self {
            method: "POST",
            target,
            headers: Vec::new(),
            body,
        };
        call.with("Idempotency-Key", key)
    }

    pub(crate) fn with(mut self, name: &str, value: &str) -> Self {
        self.headers
            .push((name.to_owned(), value.as_bytes().to_vec()));
        self
    }

    pub(crate) async fn send(&self, to: SocketAddr) -> Result<Response, client::Error> {
        let connection = Connection::open(to).await?;
        let request = Request {
            method: self.method,
            target: self.target,
            host: "gauge.example",
            headers: &self.headers,
            body: self.body,
        };
        connection
            .exchange(&request, Limits::default())
            .await
            .map(|(response, _)| response)
    }
}

/// The number of clusters that run at once. Each has several busy processes. With more of them than
/// the machine can run, the tests would measure its scheduler instead of the system.
const MAX_CLUSTERS: usize = 3;

/// The number of running clusters, and a condition that is notified when one stops.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Permission to run a cluster, limited to [`MAX_CLUSTERS`] at once.
struct Permit;

impl Permit {
    fn acquire() -> Self {
        let (running, stopped) = &RUNNING;
        let mut running = running.lock();
        while *running >= MAX_CLUSTERS {
            stopped.wait(&mut running);
        }
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (running, stopped) = &RUNNING;
        *running.lock() -= 1;
        stopped.notify_one();
    }
}

/// A simulated platform and backend servers, to which instances can be started.
pub(crate) struct Cluster {
    _permit: Permit,
    pub(crate) platform: Platform,
    pub(crate) targets: Vec<Target>,
    pub(crate) store: Client,
    bundle: Option<Signed>,
}

impl Cluster {
    /// Starts a platform and `count` backend servers of service `gauge` in each data centre. Waits
    /// while too many other clusters run.
    pub(crate) fn open(count: usize, config: &backend::Config) -> Self {
        let permit = Permit::acquire();
        let platform = Platform::bind(loopback()).expect("platform");
        let store = Client::open(Config::new(platform.address()));
        let mut cluster = Self {
            _permit: permit,
            platform,
            targets: Vec::new(),
            store,
            bundle: None,
        };
        for centre in CENTRES {
            for number in 0..count {
                cluster.add_target(centre, &format!("{centre}-{number}"), config);
            }
        }
        cluster.publish_servers();
        cluster
    }

    fn add_target(&mut self, centre: &str, name: &str, config: &backend::Config) {
        let backend = Backend::bind(config.clone()).expect("backend");
        let listed = Server {
            name: id::Server::from(name),
            address: backend.address(),
            service: id::Service::from("gauge"),
            version: id::Version::from(config.version.as_str()),
            centre: id::Centre::from(centre),
            health: Health::Live,
        };
        self.targets.push(Target { backend, listed });
    }

    /// Adds `count` backend servers of another version in each data centre.
    pub(crate) fn add_version(&mut self, count: usize, config: &backend::Config) {
        for centre in CENTRES {
            for number in 0..count {
                self.add_target(
                    centre,
                    &format!("{centre}-{}-{number}", config.version),
                    config,
                );
            }
        }
        self.publish_servers();
    }

    /// Returns the backend servers of `version`.
    pub(crate) fn targets_of(&self, version: &str) -> Vec<&Target> {
        let targets = self.targets.iter();
        targets
            .filter(|target| target.listed.version.as_str() == version)
            .collect()
    }

    /// Publishes the list of backend servers on the platform.
    pub(crate) fn publish_servers(&self) {
        self.platform
            .set_servers(self.targets.iter().map(|t| t.listed.clone()).collect());
    }

    /// Signs and publishes a bundle as the next version.
    pub(crate) fn publish_bundle(&mut self, bundle: Bundle) {
        let (root, parts) = self.next_root(bundle);
        let signed = Signed::new(root, &author(), &operator());
        self.write_bundle(&signed, &parts);
        self.bundle = Some(signed);
    }

    /// Numbers `bundle` as the next version and splits it into its root and parts.
    pub(crate) fn next_root(&self, mut bundle: Bundle) -> (Root, Vec<Part>) {
        let previous = self.bundle.as_ref().map(|signed| signed.root.digest());
        bundle.version = self.bundle.as_ref().map_or(0, |signed| signed.root.version) + 1;
        bundle.split(previous)
    }

    /// Returns the bundle published last.
    pub(crate) fn last_bundle(&self) -> Signed {
        self.bundle.clone().expect("a bundle")
    }

    /// Writes a signed bundle to the store. The bundle need not be valid.
    pub(crate) fn write_bundle(&self, signed: &Signed, parts: &[Part]) {
        smol::block_on(async {
            for part in parts {
                let path = format!("bundle/parts/{}", part.digest());
                let bytes = part.encode().expect("part");
                self.store.write(&path, None, &bytes).await.expect("part");
            }
            let head = self.store.read("bundle/head").await.expect("head");
            let bytes = signed.encode().expect("head");
            let expected = head.map(|object| object.revision);
            let written = self.store.write("bundle/head", expected, &bytes).await;
            written.expect("head");
        });
    }

    /// Starts an instance in `centre`.
    pub(crate) fn start(&self, centre: &str) -> Instance {
        self.start_with(centre, &[])
    }

    /// Starts an instance in `centre` with further flags, which override the defaults.
    pub(crate) fn start_with(&self, centre: &str, settings: &[(&str, String)]) -> Instance {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chivewheeld"));
        command
            .env("CHIVEWHEEL_KEY", "a key for tests only, not secret")
            .args(["--name", centre, "--centre", centre])
            .args(["--callers", "127.0.0.1:0", "--peers", "127.0.0.1:0"])
            .args(["--operators", "127.0.0.1:0"])
            .args(["--platform", &self.platform.address().to_string()])
            .args(["--signer", &format!("ada={}", author().public())])
            .args(["--signer", &format!("ben={}", operator().public())]);
        let defaults = DEFAULT_FLAGS
            .iter()
            .map(|(flag, value)| (*flag, (*value).to_owned()));
        let given = |flag: &str| settings.iter().any(|(name, _)| *name == flag);
        let defaults: Vec<_> = defaults.filter(|(flag, _)| !given(flag)).collect();
        for (flag, value) in settings.iter().chain(&defaults) {
            command.arg(format!("--{flag}")).arg(value);
        }
        if std::env::var_os("CHIVEWHEEL_TEST_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.stdout(Stdio::piped()).spawn().expect("chivewheeld");
        let stdout = child.stdout.take().expect("stdout");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("first line");
        let mut words = line.split_whitespace().skip(1).step_by(2);
        let mut address = || words.next().expect("address").parse().expect("address");
        Instance {
            child,
            caller_address: address(),
            peer_address: address(),
            operator_address: address(),
        }
    }

    /// Waits until `instance` returns a complete response from a backend server.
    pub(crate) fn wait_until_serving(&self, instance: &Instance) {
        eventually("a complete response", || {
            let response = instance.call(&Call::get("/levels/1"));
            response.is_ok_and(|response| response.header("Chivewheel-Outcome") == Some("complete"))
        });
    }

    /// Returns how often `key` was executed on all backend servers together.
    pub(crate) fn executions(&self, key: &str) -> u64 {
        self.targets
            .iter()
            .map(|target| target.backend.executions(key))
            .sum()
    }
}

/// Waits until `holds` returns true, and panics after [`TIMEOUT`].
pub(crate) fn eventually<F>(what: &str, holds: F)
where
    F: FnMut() -> bool,
{
    eventually_within(TIMEOUT, what, holds);
}

/// Waits until `holds` returns true, and panics after `limit`.
pub(crate) fn eventually_within<F>(limit: Duration, what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a bundle with the service `gauge`: reads are idempotent, orders are not.
pub(crate) fn bundle() -> Bundle {
    contract::text::parse(BUNDLE).expect("bundle")
}

const BUNDLE: &str = r#"
version = 1

[[data-centre]]
name = "east"
in-service = true

[[data-centre]]
name = "north"
in-service = true

[[data-centre]]
name = "west"
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
