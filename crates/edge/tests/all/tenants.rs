//! Keys of tenants.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
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
use crate::script::{header_value, Action, Backend, OK};
use crate::site::{config, exchange, status, Options, Site};

/// Keys with a part that occurs nowhere else, for a search in what an instance puts out.
pub(crate) const PIKE: &str = "pike-8m82thhk";
pub(crate) const PERCH: &str = "perch-8m82thhk";
const SECRET: &str = "8m82thhk";

/// Long enough for a request to wait until a configuration is in force.
const OBJECTIVE: Duration = Duration::from_secs(20);

/// Returns a configuration with these tenants, each with a key. Requests to `/open/` need none.
pub(crate) fn config_with(version: u32, tenants: &[(&str, &str)]) -> Config {
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
pub(crate) const TENANTS: [(&str, &str); 2] = [("pike", PIKE), ("perch", PERCH)];

/// Sends a request with these further lines of its head on a connection of its own.
pub(crate) fn send(callers: SocketAddr, path: &str, lines: &str) -> String {
    exchange(
        callers,
        &text(path, &format!("{lines}Connection: close\r\n")),
    )
}

pub(crate) fn text(path: &str, lines: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\nWait: 20000\r\n{lines}\r\n")
}

pub(crate) fn key(key: &str) -> String {
    format!("Key: {key}\r\n")
}

pub(crate) fn put(site: &Site, config: Config) {
    let record = Record::Config(config);
    site.store.put(Kind::Config, "main", Some(record));
}

/// Brings `config` into force, in which `/probe/` has a route.
pub(crate) fn apply(site: &Site, mut config: Config) {
    let mut probe = config.routes[0].clone();
    probe.name = format!("probe-{}", config.version);
    probe.prefix = format!("/probe-{}/", config.version);
    let path = format!("{}1", probe.prefix);
    config.routes.push(probe);
    put(site, config);
    site.wait_until(|site| status(&send(site.callers, &path, "")) != 404);
}

pub(crate) fn open_with(servers: &[SocketAddr], options: Options) -> Site {
    let site = Site::open_with(servers, options);
    apply(&site, config_with(5, &TENANTS));
    site
}

pub(crate) fn open(backend: &Backend) -> Site {
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
pub(crate) fn check_head(head: &str, tenant: Option<&str>) {
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
pub(crate) struct Log(Arc<Mutex<Vec<u8>>>);

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
    pub(crate) fn logger(&self) -> slog::Logger {
        let drain = Mutex::new(slog_json::Json::default(self.clone())).fuse();
        slog::Logger::root(drain, slog::o!())
    }

    pub(crate) fn text(&self) -> String {
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
    let metrics = site.metrics();
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
