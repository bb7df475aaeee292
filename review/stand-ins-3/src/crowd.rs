//! A crowd of clients sends requests that stop just short of their end, and stays.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::edge::{self, Edge, Settings};
use crate::http;
use crate::record::Record;
use crate::site::{request, Site, HOST};

/// The machines of mereway-gw.
const MEMORY_MB: u64 = 260;
const MAX_FDS: u64 = 4100;

/// Connections of the crowd. The instance accepts 3,100 with these limits.
const CROWD: usize = 3300;
/// Threads that open connections, with pauses that keep the queue of new connections short.
const OPENERS: usize = 20;
const OPEN_INTERVAL: Duration = Duration::from_micros(3500);

const BODY_BYTES: usize = 1000;

/// `contact` of the settings, and how long ordinary clients try.
const CONTACT: Duration = Duration::from_secs(3);
const TRY_FOR: Duration = Duration::from_millis(3500);
const CLIENTS: usize = 8;

pub fn run(record: &Record, directory: &Path, trouble: bool) -> bool {
    let site = Site::open(&["downs-a"], 6, 4, Duration::from_millis(50), 1000);
    let settings = Settings {
        name: "front-downs-a-1".to_owned(),
        zone: "downs-a".to_owned(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        seeds: Vec::new(),
    };
    let mut edge = Edge::start(&settings, edge::host(1), site.store.address, directory);
    assert!(edge.wait_ready(Duration::from_secs(10)), "not ready");
    thread::sleep(CONTACT);
    let started_at = Instant::now();
    let crowd = gather(edge.front, trouble);
    record.add(&format!(
        "crowd of {} connections has sent, {:.1} s after the first",
        crowd.len(),
        started_at.elapsed().as_secs_f64()
    ));
    assert!(!trouble || crowd.len() > 3200, "the crowd is too small");
    let (front, ready) = (edge.front, edge.ready);
    let over = AtomicBool::new(false);
    let (polls, not_ready) = (AtomicU32::new(0), AtomicU32::new(0));
    let results: Vec<(u32, u32)> = thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Acquire) {
                let status = edge::get(ready, "/-/ready");
                polls.fetch_add(1, Ordering::AcqRel);
                not_ready.fetch_add(u32::from(status != Some(200)), Ordering::AcqRel);
                record.add(&format!("platform asks whether it is ready: {status:?}"));
                thread::sleep(Duration::from_millis(500));
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || try_for(record, front, client)))
            .collect();
        let results = clients
            .into_iter()
            .map(|client| client.join().expect("client"))
            .collect();
        over.store(true, Ordering::Release);
        results
    });
    for (client, (tries, answers)) in results.iter().enumerate() {
        record.add(&format!(
            "ordinary client {client}: {tries} new connections, {answers} answers"
        ));
    }
    let answers: u32 = results.iter().map(|(_, answers)| answers).sum();
    let (polls, not_ready) = (
        polls.load(Ordering::Acquire),
        not_ready.load(Ordering::Acquire),
    );
    record.add(&format!(
        "{answers} answers to {CLIENTS} clients in {:.1} s; ready at {} of {polls} questions",
        TRY_FOR.as_secs_f64(),
        polls - not_ready
    ));
    assert!(edge.is_running(), "the instance has ended");
    drop(crowd);
    answers == 0 && not_ready == 0
}

/// Opens the crowd's connections, which send all but the last byte of a request.
fn gather(front: SocketAddr, trouble: bool) -> Vec<TcpStream> {
    let openers: Vec<_> = (0..OPENERS).map(|opener| {
        thread::spawn(move || {
            let mut streams = Vec::new();
            for i in 0..CROWD / OPENERS {
                thread::sleep(OPEN_INTERVAL);
                let Ok(stream) = TcpStream::connect(front) else { continue };
                let head = format!(
                    "POST /repair/{opener}-{i} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: c{opener}-{i}\r\n\
                     X-Deadline-Ms: 3000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                );
                let mut bytes = head.into_bytes();
                bytes.resize(bytes.len() + BODY_BYTES - 1, b'p');
                if !trouble {
                    bytes.push(b'p');
                }
                let _ = (&stream).write_all(&bytes);
                if trouble {
                    streams.push(stream);
                } else {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    let _ = http::read(&mut BufReader::new(&stream));
                }
            }
            streams
        })
    }).collect();
    openers
        .into_iter()
        .flat_map(|opener| opener.join().expect("opener"))
        .collect()
}

/// Sends ordinary requests, each on a new connection. Returns the tries and the answers.
fn try_for(record: &Record, front: SocketAddr, client: usize) -> (u32, u32) {
    let (mut tries, mut answers) = (0, 0);
    let deadline = Instant::now() + TRY_FOR;
    while Instant::now() < deadline {
        tries += 1;
        let left = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        if let Ok(stream) = TcpStream::connect_timeout(&front, left) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let text = request("/levels/1", &format!("o{client}-{tries}"), 1000);
            let sent = (&stream).write_all(text.as_bytes());
            let response = sent.and_then(|()| http::read(&mut BufReader::new(&stream)));
            let status = response
                .as_ref()
                .map(|r| r.as_ref().map(http::Message::status));
            record.note(
                Instant::now(),
                &format!("o{client}-{tries} sent, answered {status:?}"),
            );
            answers += u32::from(matches!(response, Ok(Some(_))));
        } else {
            record.note(Instant::now(), &format!("o{client}-{tries} not connected"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    (tries, answers)
}
