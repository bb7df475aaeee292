//! Single requests of legal size that have many short fields, one after the other.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::edge::{self, Edge, Settings};
use crate::http;
use crate::record::Record;
use crate::site::{Site, HOST};

const REQUESTS: u32 = 20;

/// Fields beside those of an ordinary request, with and without the disruption.
const MANY_FIELDS: usize = 150;
const FEW_FIELDS: usize = 20;

pub fn run(record: &Record, directory: &Path, trouble: bool) -> bool {
    let site = Site::open(&["downs-a"], 6, 4, Duration::from_millis(50), 1000);
    let settings = Settings {
        name: "front-downs-a-1".to_owned(),
        zone: "downs-a".to_owned(),
        memory_mb: 260,
        max_fds: 4100,
        seeds: Vec::new(),
    };
    let mut edge = Edge::start(&settings, edge::host(1), site.store.address, directory);
    assert!(edge.wait_ready(Duration::from_secs(10)), "not ready");
    thread::sleep(Duration::from_secs(4));
    let count = if trouble { MANY_FIELDS } else { FEW_FIELDS };
    let fields: String = (0..count).map(|i| format!("X-F{i}: {i}\r\n")).collect();
    let mut denied = 0;
    for i in 0..REQUESTS {
        let (kind, method) = if i % 2 == 0 {
            ("levels", "GET")
        } else {
            ("repair", "POST")
        };
        let id = format!("f{i}");
        let head = format!(
            "{method} /{kind}/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
             {fields}Content-Length: 0\r\n\r\n"
        );
        let stream = TcpStream::connect(edge.front).expect("connect");
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        (&stream).write_all(head.as_bytes()).expect("send");
        let response = http::read(&mut BufReader::new(&stream))
            .expect("an answer")
            .expect("an answer");
        let (status, runs) = (response.status(), site.runs(&id));
        let text = String::from_utf8_lossy(&response.body[..response.body.len().min(60)])
            .trim_end()
            .to_owned();
        record.add(&format!(
            "{method} /{kind}/{id}, head of {} bytes: {status} {text:?}, run {runs} times",
            head.len()
        ));
        denied += u32::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        thread::sleep(Duration::from_millis(200));
    }
    let allowed = 5 + REQUESTS / 500;
    record.add(&format!(
        "{denied} of {REQUESTS} requests were ended with a 3xx or 4xx, {allowed} are allowed"
    ));
    assert!(edge.is_running(), "the instance has ended");
    denied > allowed
}
