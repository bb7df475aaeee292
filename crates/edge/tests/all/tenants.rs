//! Keys of tenants.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::config::Config;
use balance::record::{Kind, Record};
use balance::tenant::{Digest, Tenant};
use slog::Drain;

use crate::cases;
use crate::script::{header_value, read_head, spawn, Action, Backend, OK};
use crate::site::{config, exchange, status, Options, Site};

/// Keys with a part that occurs nowhere else, for a search in what an instance puts out.
const PIKE: &str = "pike-8m82thhk";
const PERCH: &str = "perch-8m82thhk";
const SECRET: &str = "8m82thhk";

/// Long enough for a request to wait until a configuration is in force.
const OBJECTIVE: Duration = Duration::from_secs(20);

/// How long a server that sheds asks for no requests, which wait meanwhile.
const SHED: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";

/// Returns a configuration with these tenants, each with a key. Requests to `/open/` need none.
fn config_with(version: u32, tenants: &[(&str, &str)]) -> Config {
    let Record::Config(mut config) = config(version) else {
        unreachable!("it is a configuration");
    };
    for route in &mut config.routes {
        route.objective = OBJECTIVE;
        route.timeout = OBJECTIVE;
    }
    let mut open = config.routes[0].clone();
    open.name = "open".to_owned();
    open.prefix = "/open/".to_owned();
    open.public = true;
    config.routes.push(open);
    let tenant = |key: &str| Tenant {
        keys: vec![Digest::of(key.as_bytes())],
        priority: None,
    };
    let tenants = tenants
        .iter()
        .map(|(n, key)| ((*n).to_owned(), tenant(key)));
    config.tenants = Some(tenants.collect::<BTreeMap<_, _>>());
    config
}

/// The tenants that the tests begin with.
const TENANTS: [(&str, &str); 2] = [("pike", PIKE), ("perch", PERCH)];

/// Sends a request with these further lines of its head on a connection of its own.
fn send(callers: SocketAddr, path: &str, lines: &str) -> String {
    exchange(
        callers,
        &text(path, &format!("{lines}Connection: close\r\n")),
    )
}

fn text(path: &str, lines: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\nWait: 20000\r\n{lines}\r\n")
}

fn key(key: &str) -> String {
    format!("Key: {key}\r\n")
}

fn put(site: &Site, config: Config) {
    let record = Record::Config(config);
    site.store.put(Kind::Config, "main", Some(record));
}

/// Brings `config` into force, in which `/probe/` has a route.
fn apply(site: &Site, mut config: Config) {
    let mut probe = config.routes[0].clone();
    probe.name = format!("probe-{}", config.version);
    probe.prefix = format!("/probe-{}/", config.version);
    let path = format!("{}1", probe.prefix);
    config.routes.push(probe);
    put(site, config);
    site.wait_until(|site| status(&send(site.callers, &path, "")) != 404);
}

fn open_with(servers: &[SocketAddr], options: Options) -> Site {
    let site = Site::open_with(servers, options);
    apply(&site, config_with(5, &TENANTS));
    site
}

fn open(backend: &Backend) -> Site {
    open_with(&[backend.address], Options::default())
}

/// Checks the status of one request, and the tenant that the server is told.
fn check(path: &str, lines: &str, expected: u16, tenant: Option<&str>) {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open(&backend);
    let response = send(site.callers, path, lines);
    assert_eq!(status(&response), expected, "{response}");
    let is_challenged = header_value(&response, "challenge").is_some();
    assert_eq!(is_challenged, expected == 401, "{response}");
    let requests = backend.requests();
    assert_eq!(requests.len(), usize::from(expected == 200), "{requests:?}");
    for head in requests {
        check_head(&head, tenant);
    }
}

/// Checks what a server receives.
fn check_head(head: &str, tenant: Option<&str>) {
    let names: Vec<String> = head
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, _)| name.to_ascii_lowercase())
        .collect();
    let count = |name: &str| names.iter().filter(|n| *n == name).count();
    assert!(!head.contains(SECRET) && count("key") == 0, "{head}");
    assert_eq!(count("tenant"), usize::from(tenant.is_some()), "{head}");
    assert_eq!(header_value(head, "tenant").as_deref(), tenant, "{head}");
}

cases! {
    key_identifies_its_tenant => check("/safe/1", &key(PERCH), 200, Some("perch"));
    request_without_a_key => check("/safe/1", "", 401, None);
    request_with_an_unknown_key => check("/safe/1", &key("8m82thhk"), 401, None);
    request_with_an_empty_key => check("/safe/1", &key(""), 401, None);
    request_with_a_key_twice => check("/safe/1", &key(PIKE).repeat(2), 401, None);
    request_with_two_keys => check("/safe/1", &[key(PIKE), key(PERCH)].concat(), 401, None);
    key_that_is_named_as_hop_by_hop =>
        check("/safe/1", &(key(PIKE) + "Connection: key\r\n"), 401, None);
    public_route_without_a_key => check("/open/1", "Tenant: pike\r\n", 200, None);
    public_route_with_a_key => check("/open/1", &key(PIKE), 200, Some("pike"));
    public_route_with_an_unknown_key => check("/open/1", &key("8m82thhk"), 200, None);
    public_route_with_two_keys => check("/open/1", &key(PIKE).repeat(2), 200, None);
    tenant_named_by_the_caller_is_replaced =>
        check("/safe/1", &(key(PIKE) + "TENANT: perch\r\nTenant: perch\r\n"), 200, Some("pike"));
    tenant_header_that_is_named_as_hop_by_hop => check(
        "/safe/1", &(key(PIKE) + "Connection: tenant\r\nTenant: perch\r\n"), 200, Some("pike"));
    unknown_route_with_a_key => check("/none/1", &key(PIKE), 404, None);
}

/// Guards against a deployment without tenants whose headers are changed.
#[test]
fn without_tenants_the_headers_are_forwarded() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let response = send(
        site.callers,
        "/safe/1",
        "Key: a\r\nKey: b\r\nTenant: perch\r\n",
    );
    assert_eq!(status(&response), 200, "{response}");
    let head = &backend.requests()[0];
    assert!(
        head.contains("Key: a\r\nKey: b\r\nTenant: perch\r\n"),
        "{head}"
    );
}

/// A connection that is kept open, on which requests follow each other.
struct Kept(TcpStream);

impl Kept {
    fn open(site: &Site) -> Self {
        Self(TcpStream::connect(site.callers).unwrap())
    }

    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads one response, and returns its status.
    fn read(&mut self) -> u16 {
        let mut bytes = Vec::new();
        let head = loop {
            let mut byte = [0];
            self.0.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
            if bytes.ends_with(b"\r\n\r\n") {
                break String::from_utf8(bytes).unwrap();
            }
        };
        let length = header_value(&head, "content-length").unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.0.read_exact(&mut body).unwrap();
        status(&head)
    }
}

/// Guards against a removed key that goes on to work on a connection where it was valid.
#[test]
fn key_is_removed_on_a_kept_connection() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open(&backend);
    let mut kept = Kept::open(&site);
    let request = text("/safe/1", &key(PIKE));
    kept.write(&request);
    assert_eq!(kept.read(), 200);
    apply(&site, config_with(6, &TENANTS[1..]));
    kept.write(&request);
    assert_eq!(kept.read(), 401);
    kept.write(&text("/safe/1", &key(PERCH)));
    assert_eq!(kept.read(), 200);
}

/// The path of the request that [`Gated`] servers hold back.
const HELD: &str = "/safe/1";

/// Two servers that hold back the first request to [`HELD`] until they are told to answer. They respond
/// to all others at once.
struct Gated {
    servers: [SocketAddr; 2],
    /// The heads of the requests to [`HELD`].
    heads: Arc<Mutex<Vec<String>>>,
    gate: Arc<AtomicBool>,
}

impl Gated {
    /// Starts the servers. They answer the first request with `first`, or close its connection.
    fn spawn(first: Option<&'static str>) -> Self {
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let gate: Arc<AtomicBool> = Arc::default();
        let servers = [(), ()].map(|()| {
            let (heads, gate) = (heads.clone(), gate.clone());
            spawn(move |stream, _| serve_gated(stream, first, &heads, &gate)).0
        });
        Self {
            servers,
            heads,
            gate,
        }
    }

    /// Waits until the first request has arrived.
    fn wait(&self, site: &Site) {
        site.wait_until(|_| !self.heads.lock().unwrap().is_empty());
    }

    fn release(&self) {
        self.gate.store(true, Ordering::Release);
    }

    fn arrivals(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

fn serve_gated(
    mut stream: TcpStream,
    first: Option<&str>,
    heads: &Mutex<Vec<String>>,
    gate: &AtomicBool,
) {
    const PAUSE: Duration = Duration::from_millis(5);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let mut response = Some(OK);
        if head.starts_with(&format!("GET {HELD} ")) {
            let number = {
                let mut heads = heads.lock().unwrap();
                heads.push(head);
                heads.len()
            };
            if number == 1 {
                while !gate.load(Ordering::Acquire) {
                    thread::sleep(PAUSE);
                }
                response = first;
            }
        }
        let Some(response) = response else { return };
        let sent = stream.write_all(response.replace("{id}", "r1").as_bytes());
        if sent.is_err() {
            return;
        }
    }
}

/// Guards against a pipelined request that is checked when it arrives, long before it is handled.
#[test]
fn key_is_removed_before_a_pipelined_request_is_handled() {
    let gated = Gated::spawn(Some(OK));
    let site = open_with(&gated.servers, Options::default());
    let mut kept = Kept::open(&site);
    kept.write(&text(HELD, &key(PIKE)).repeat(2));
    gated.wait(&site);
    apply(&site, config_with(6, &TENANTS[1..]));
    gated.release();
    assert_eq!((kept.read(), kept.read()), (200, 401));
    assert_eq!(gated.arrivals(), 1);
}

/// Brings `changed` into force while a request that was never sent waits for its server. Returns its
/// status and what the server received of it.
fn change_while_waiting(changed: Config) -> (u16, Vec<String>) {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = open(&backend);
    let callers = site.callers;
    assert_eq!(status(&send(callers, "/safe/1", &key(PIKE))), 503);
    let waiting = thread::spawn(move || send(callers, "/once/2", &key(PIKE)));
    apply(&site, changed);
    let response = waiting.join().unwrap();
    let requests = backend.requests().into_iter();
    let heads = requests.filter(|head| head.starts_with("GET /once/2 "));
    (status(&response), heads.collect())
}

/// Brings `changed` into force while the server that a request was sent to takes its time, and then
/// answers with `first`, or closes the connection. Returns the status of the request, and how often it
/// was sent.
fn change_while_sent(
    first: Option<&'static str>,
    original: Config,
    changed: Config,
) -> (u16, usize) {
    let gated = Gated::spawn(first);
    let site = Site::open_with(&gated.servers, Options::default());
    apply(&site, original);
    let callers = site.callers;
    let caller = thread::spawn(move || send(callers, HELD, &key(PIKE)));
    gated.wait(&site);
    apply(&site, changed);
    gated.release();
    (status(&caller.join().unwrap()), gated.arrivals())
}

/// Returns [`config_with`] these tenants, in version 5.
fn before() -> Config {
    config_with(5, &TENANTS)
}

fn without_key() -> Config {
    config_with(6, &TENANTS[1..])
}

fn with_moved_key() -> Config {
    config_with(6, &[("perch", PIKE)])
}

fn without_route() -> Config {
    let mut changed = config_with(6, &TENANTS);
    changed
        .routes
        .retain(|r| !["safe", "once"].contains(&r.name.as_str()));
    changed
}

fn without_tenants(version: u32) -> Config {
    let mut changed = config_with(version, &TENANTS);
    changed.tenants = None;
    changed
}

/// Checks a request that was never sent: its status and, if it is sent, the tenant.
fn check_waiting(changed: Config, expected: u16, tenant: Option<&str>) {
    let (status, heads) = change_while_waiting(changed);
    assert_eq!(
        (status, heads.len()),
        (expected, usize::from(expected == 200))
    );
    for head in heads {
        check_head(&head, tenant);
    }
}

cases! {
    key_is_removed_while_a_request_waits => check_waiting(without_key(), 401, None);
    key_is_moved_while_a_request_waits => check_waiting(with_moved_key(), 200, Some("perch"));
    route_is_removed_while_a_request_waits => check_waiting(without_route(), 404, None);
    // The credentials were taken from the headers when the request arrived.
    tenants_are_removed_while_a_request_waits => check_waiting(without_tenants(6), 200, None);
    key_is_removed_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), without_key()), (401, 1));
    // It would otherwise be sent for two tenants.
    key_is_moved_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), with_moved_key()), (503, 1));
    route_is_removed_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), before(), without_route()), (404, 1));
    tenants_are_added_before_a_second_attempt => assert_eq!(
        change_while_sent(Some(SHED), without_tenants(5), config_with(6, &TENANTS)), (503, 1));
    tenants_without_the_key_are_added_before_a_second_attempt =>
        assert_eq!(change_while_sent(Some(SHED), without_tenants(5), without_key()), (401, 1));
    nothing_changes_before_a_second_attempt => assert_eq!(
        change_while_sent(Some(SHED), before(), config_with(6, &TENANTS)), (200, 2));
    // The caller must not take the request for one that has not run.
    key_is_removed_after_the_request_may_have_run =>
        assert_eq!(change_while_sent(None, before(), without_key()), (502, 1));
    key_is_moved_after_the_request_may_have_run =>
        assert_eq!(change_while_sent(None, before(), with_moved_key()), (502, 1));
}

/// Guards against a request without a key that is sent although its route needs one by now.
#[test]
fn route_becomes_private_while_a_request_waits() {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = open(&backend);
    let callers = site.callers;
    assert_eq!(status(&send(callers, "/open/1", "")), 503);
    let waiting = thread::spawn(move || send(callers, "/open/2", ""));
    let mut changed = config_with(6, &TENANTS);
    changed
        .routes
        .iter_mut()
        .for_each(|route| route.public = false);
    apply(&site, changed);
    assert_eq!(status(&waiting.join().unwrap()), 401);
    assert_eq!(backend.requests().len(), 1);
}

/// Guards against a request that arrived before there were tenants, and is sent with its key.
#[test]
fn tenants_are_added_while_a_request_waits() {
    let backend = Backend::spawn(&[Action::Respond(SHED), Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    put(&site, without_tenants(5));
    site.wait_until(|site| status(&send(site.callers, "/open/1", "")) == 503);
    let callers = site.callers;
    let waiting = thread::spawn(move || send(callers, "/once/2", &key(PIKE)));
    apply(&site, config_with(6, &TENANTS));
    assert_eq!(status(&waiting.join().unwrap()), 200);
    check_head(backend.requests().last().unwrap(), Some("pike"));
}

/// Guards against an instance that keeps to removed keys because its own link to the store is silent.
#[test]
fn removed_key_is_learned_of_from_other_instances() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let sites = Site::open_fleet(&[backend.address], &["east", "east"]);
    apply(&sites[0], config_with(5, &TENANTS));
    for cut in &sites {
        cut.store.set_silent(true);
        let version = 6 + u32::from(cut.peers == sites[1].peers);
        let tenants = if version == 6 {
            &TENANTS[1..]
        } else {
            &TENANTS[..1]
        };
        put(cut, config_with(version, tenants));
        let removed = key(if version == 6 { PIKE } else { PERCH });
        cut.wait_until(|site| status(&send(site.callers, "/safe/1", &removed)) == 401);
        cut.store.set_silent(false);
    }
}

/// Guards against an instance that goes on with keys that may have been removed, if it must not, and
/// against one that stops although it may go on.
fn check_isolated(max_key_age: Option<Duration>, expected: u16) {
    const TIME_ALONE: Duration = Duration::from_secs(3);
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let options = Options {
        max_key_age,
        ..Options::default()
    };
    let site = open_with(&[backend.address], options);
    site.store.set_silent(true);
    thread::sleep(TIME_ALONE);
    let call = |path, lines: &str| status(&send(site.callers, path, lines));
    assert_eq!(call("/safe/1", &key(PIKE)), expected);
    let unknown = if expected == 200 { 401 } else { expected };
    assert_eq!(call("/safe/1", &key("8m82thhk")), unknown);
    assert_eq!(call("/open/1", ""), 200);
    site.store.set_silent(false);
    site.wait_until(|site| status(&send(site.callers, "/safe/1", &key(PIKE))) == 200);
}

cases! {
    isolated_instance_serves => check_isolated(None, 200);
    isolated_strict_instance_refuses => check_isolated(Some(Duration::from_secs(1)), 503);
}

/// A log that is kept in memory.
#[derive(Clone, Debug, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn logger(&self) -> slog::Logger {
        let drain = Mutex::new(slog_json::Json::default(self.clone())).fuse();
        slog::Logger::root(drain, slog::o!())
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).into_owned()
    }
}

/// Guards against keys in logs, metrics, responses and what other instances are sent, and against
/// rejected requests that cannot be told apart there.
#[test]
fn keys_are_put_out_nowhere_and_rejections_are_counted() {
    let log = Log::default();
    let options = Options {
        log: log.logger(),
        ..Options::default()
    };
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open_with(&[backend.address], options);
    let unknown = key("8m82thhk-unknown");
    let malformed = text("/safe/1", "Key 8m82thhk\r\nKey: 8m82thhk\r\n");
    let too_large = text("/safe/1", &key(SECRET).repeat(300));
    let responses = [
        send(site.callers, "/safe/1", &key(PIKE)),
        send(site.callers, "/safe/1", ""),
        send(site.callers, "/safe/1", &unknown),
        send(site.callers, "/safe/1", &unknown.repeat(2)),
        exchange(site.callers, &malformed),
        exchange(site.callers, &too_large),
    ];
    let statuses = responses.each_ref().map(|response| status(response));
    assert_eq!(statuses, [200, 401, 401, 401, 400, 431]);
    let metrics = exchange(
        site.metrics,
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    );
    let records = exchange(
        site.peers,
        "POST /changes HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\n\r\n\
         \u{94}\0\0\0\0",
    );
    let log = log.text();
    for text in responses.iter().chain([&metrics, &records, &log]) {
        assert!(!text.contains(SECRET), "{text}");
    }
    for reason in ["no key", "unknown key", "malformed key"] {
        let label = format!("chivewheel_refusals_total{{reason=\"{reason}\"}}");
        assert!(metrics.contains(&label), "{reason}: {metrics}");
        let is_logged = |line: &str| {
            let fields = [reason, "\"request\":\"r1\"", "\"route\":\"safe\""];
            fields.iter().all(|field| line.contains(field))
        };
        assert!(log.lines().any(is_logged), "{reason}: {log}");
    }
}

/// Draws the line of a header: often one that has to do with tenants.
fn draw_line(u: &mut Unstructured<'_>) -> Result<String> {
    const NAMES: [&str; 6] = ["Key", "kEY", "Tenant", "tENANT", "Connection", "X-Other"];
    const VALUES: [&str; 8] = [
        PIKE,
        PERCH,
        "8m82thhk",
        "pike",
        "key, tenant",
        "close",
        "",
        "\t 8m82thhk \t",
    ];
    Ok(format!("{}: {}\r\n", u.choose(&NAMES)?, u.choose(&VALUES)?))
}

/// Whatever headers a caller sends, a server receives no key, and no other tenant than the key's.
#[test]
fn servers_see_no_key_and_no_tenant_but_ours() {
    const BUDGET_MS: u64 = 2000;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open(&backend);
    let mut seen = 0;
    arbtest(|u| {
        let lines = (0..u.int_in_range(0..=6_u8)?).map(|_| draw_line(u));
        let lines = lines.collect::<Result<Vec<_>>>()?;
        let keys: Vec<&String> = lines
            .iter()
            .filter(|l| l[..4].eq_ignore_ascii_case("key:"))
            .collect();
        let is_hop_by_hop = lines.iter().any(|l| l == "Connection: key, tenant\r\n");
        let tenant = match keys[..] {
            [line] if !is_hop_by_hop && line.contains(PIKE) => Some("pike"),
            [line] if !is_hop_by_hop && line.contains(PERCH) => Some("perch"),
            _ => None,
        };
        let path = *u.choose(&["/safe/1", "/open/1"])?;
        let response = send(site.callers, path, &lines.concat());
        let is_admitted = path == "/open/1" || tenant.is_some();
        assert_eq!(
            status(&response),
            if is_admitted { 200 } else { 401 },
            "{lines:?}"
        );
        let requests = backend.requests();
        for head in &requests[seen..] {
            // A value of another header is the caller's.
            let head = head.lines().filter(|line| !line.starts_with("X-Other: "));
            check_head(&head.collect::<Vec<_>>().join("\r\n"), tenant);
        }
        seen = requests.len();
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}
