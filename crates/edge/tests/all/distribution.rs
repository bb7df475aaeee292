//! How records travel from one instance to the others: what a change costs, and how many copies an
//! instance sends at a time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use balance::config::Config;
use balance::record::{Kind, Record};
use balance::replica::Delta;

use crate::script::{Action, Backend, OK};
use crate::site::{config, status, Site};

/// The revisions of an instance that has no records.
const NO_RECORDS: [u64; Kind::ALL.len()] = [0; Kind::ALL.len()];

/// Returns a configuration with `count` more routes.
fn config_with_routes(version: u32, count: usize) -> Config {
    let Record::Config(mut config) = config(version) else {
        unreachable!("it is a configuration");
    };
    let template = config.routes[0].clone();
    for i in 0..count {
        let mut route = template.clone();
        route.name = format!("route-{i}");
        route.prefix = format!("/pond-{i}/");
        config.routes.push(route);
    }
    config
}

/// Starts an instance whose configuration has `count` more routes.
fn open_site(backend: &Backend, count: usize) -> Site {
    let site = Site::open(&[backend]);
    put(&site, config_with_routes(5, count));
    let last = format!("/pond-{}/1", count - 1);
    site.wait_until(|site| status(&site.call("GET", &last, "")) == 200);
    site
}

fn put(site: &Site, config: Config) {
    let record = Record::Config(config);
    site.store.put(Kind::Config, "main", Some(record));
}

/// A response whose body has not been read.
struct Response {
    status: u16,
    /// The number of the transfer and the size of the whole response, if the body is a part.
    transfer: Option<(u64, usize)>,
    length: usize,
    reader: BufReader<TcpStream>,
}

impl Response {
    fn body(&mut self) -> Vec<u8> {
        let mut body = vec![0; self.length];
        self.reader.read_exact(&mut body).unwrap();
        body
    }
}

/// Sends `body` to another instance's port at `address`.
fn post(address: SocketAddr, path: &str, body: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    let mut reader = BufReader::new(stream);
    let (mut head, mut length, mut transfer) = (String::new(), 0, None);
    while !head.ends_with("\r\n\r\n") {
        let start = head.len();
        assert!(
            reader.read_line(&mut head).unwrap() > 0,
            "the head ends: {head}"
        );
        let line = head[start..].to_ascii_lowercase();
        let (name, value) = line.split_once(':').unwrap_or_default();
        match name {
            "content-length" => length = value.trim().parse().unwrap(),
            "chivewheel-transfer" => {
                let (number, size) = value.trim().split_once('/').unwrap();
                transfer = Some((number.parse().unwrap(), size.parse().unwrap()));
            }
            _ => {}
        }
    }
    Response {
        status: status(&head),
        transfer,
        length,
        reader,
    }
}

/// Asks the instance at `address` for the changes after `revisions`.
fn request_changes(address: SocketAddr, revisions: [u64; 4]) -> Response {
    post(address, "/changes", &rmp_serde::to_vec(&revisions).unwrap())
}

/// Waits until the instance sends its records again.
fn wait_until_served(site: &Site) {
    site.wait_until(|site| {
        std::thread::sleep(Duration::from_millis(50));
        request_changes(site.peers, NO_RECORDS).status == 200
    });
}

/// Returns the changes after `revisions`, and their encoded size in bytes.
fn changes_after(site: &Site, revisions: [u64; 4]) -> (Vec<Option<Delta>>, usize) {
    let mut first = request_changes(site.peers, revisions);
    assert_eq!(first.status, 200);
    let mut bytes = first.body();
    while let Some((number, _)) = first.transfer.filter(|(_, size)| bytes.len() < *size) {
        let request = rmp_serde::to_vec(&(number, bytes.len())).unwrap();
        let mut part = post(site.peers, "/changes/part", &request);
        assert_eq!(part.status, 200);
        bytes.extend(part.body());
    }
    (rmp_serde::from_slice(&bytes).unwrap(), bytes.len())
}

/// Guards against a change of one route that costs as much as the whole configuration, on the link of
/// each instance.
#[test]
fn changed_route_costs_its_own_size() {
    const MAX_CHANGE_BYTES: usize = 2048;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open_site(&backend, 1400);
    let (records, whole) = changes_after(&site, NO_RECORDS);
    assert!(whole > 50 * 1024, "the configuration has {whole} bytes");
    let revisions = |delta: &Option<Delta>| delta.as_ref().map_or(0, |delta| delta.revision);
    let revisions: Vec<u64> = records.iter().map(revisions).collect();
    let mut changed = config_with_routes(6, 1400);
    changed.routes.retain(|route| route.name != "route-7");
    put(&site, changed);
    site.wait_until(|site| status(&site.call("GET", "/pond-7/1", "")) == 404);
    let (_, change) = changes_after(&site, revisions.try_into().unwrap());
    assert!(change <= MAX_CHANGE_BYTES, "the change has {change} bytes");
}

/// Guards against an instance whose link is full of copies of the same records, so that its heartbeats
/// and its calls of the store are late, and it is taken for lost.
#[test]
fn records_are_sent_to_few_instances_at_a_time() {
    const INSTANCES: usize = 12;
    const MAX_TRANSFERS: usize = 4;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open_site(&backend, 8000);
    // The connections stay open, and nothing reads the records.
    let exchanges: Vec<_> = (0..INSTANCES)
        .map(|_| request_changes(site.peers, NO_RECORDS))
        .collect();
    let sending = exchanges.iter().filter(|exchange| exchange.status == 200);
    let sending = sending.count();
    assert!(
        (1..=MAX_TRANSFERS).contains(&sending),
        "sent to {sending} at a time"
    );
    drop(exchanges);
    wait_until_served(&site);
}

/// Guards against an instance that sends records to nobody any more, because those to whom it sent them
/// have been paused.
#[test]
fn receivers_that_stall_keep_nobody_out() {
    const INSTANCES: usize = 4;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open_site(&backend, 8000);
    let stalled: Vec<_> = (0..INSTANCES)
        .map(|_| request_changes(site.peers, NO_RECORDS))
        .collect();
    wait_until_served(&site);
    drop(stalled);
}

/// Guards against a part that is sent as if it were all of the records.
#[test]
fn part_of_an_unknown_transfer_is_refused() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = open_site(&backend, 1400);
    let (number, size) = request_changes(site.peers, NO_RECORDS).transfer.unwrap();
    for (number, offset) in [
        (number.wrapping_add(1), 0_usize),
        (number, size + 1),
        (number, usize::MAX),
    ] {
        let request = rmp_serde::to_vec(&(number, offset)).unwrap();
        assert_eq!(post(site.peers, "/changes/part", &request).status, 404);
    }
    let request = rmp_serde::to_vec(&(number, size)).unwrap();
    assert_eq!(post(site.peers, "/changes/part", &request).length, 0);
}
