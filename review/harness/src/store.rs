//! Stand-in for the platform's store: lists, single objects and watches of objects that the operator
//! and the targets write. The system's own writes (status of rollouts) are not needed by the cases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

struct Change {
    revision: u64,
    kind: String,
    event: String,
}

struct Waiting {
    kind: String,
    peer: SocketAddr,
    /// Set if the connection returns nothing further.
    silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
    waiting: Vec<Waiting>,
    connections: usize,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Store {
    pub fn open(record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Writes the spec of an object, and returns when it was confirmed.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state
            .objects
            .get(&key)
            .map_or(revision, |(created, _)| *created);
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        );
        state.objects.insert(key, (created, object.clone()));
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            event: format!(r#"{{"object":{object},"deleted":false}}"#),
        });
        self.record.line(&format!(
            "store: {kind}/{name} confirmed at revision {revision}"
        ));
        self.changed.notify_all();
        Instant::now()
    }

    /// Makes each connection on which a watch of `kind` waits now silent for good: it stays open and
    /// returns nothing further. Returns how many of the open connections these are.
    pub fn silence_watches(&self, kind: &str) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let mut silenced = 0;
        for waiting in state.waiting.iter().filter(|w| w.kind == kind) {
            waiting.silent.store(true, Ordering::Release);
            self.record.line(&format!(
                "store: the connection from {} is silent from now on",
                waiting.peer
            ));
            silenced += 1;
        }
        (silenced, state.connections)
    }

    /// Returns how many watches of `kind` wait.
    pub fn watches(&self, kind: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.waiting.iter().filter(|w| w.kind == kind).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.state.lock().unwrap().connections += 1;
        let mut buffer = Vec::new();
        let silent = Arc::new(AtomicBool::new(false));
        while let Ok(request) = http::read(&mut stream, &mut buffer) {
            let (path, query) = request
                .second()
                .split_once('?')
                .unwrap_or((request.second(), ""));
            let field = |name: &str| {
                let mut fields = query.split('&').filter_map(|f| f.split_once('='));
                fields
                    .find(|(n, _)| *n == name)
                    .map(|(_, value)| value.to_owned())
            };
            let kind = path
                .strip_prefix("/-/objects/")
                .unwrap_or_default()
                .to_owned();
            let (status, body) = if !request.line.starts_with("GET ") {
                (404, "{}".to_owned())
            } else if kind.contains('/') {
                self.object(&kind)
            } else if let Some(after) = field("watch").and_then(|w| w.parse().ok()) {
                let wait = field("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                let Ok(peer) = stream.peer_addr() else { break };
                self.watch(&kind, after, Duration::from_millis(wait), peer, &silent)
            } else {
                self.list(&kind)
            };
            if silent.load(Ordering::Acquire) {
                // The connection stays open until the other side closes it.
                while http::read(&mut stream, &mut buffer).is_ok() {}
                break;
            }
            let reason = if status == 200 { "OK" } else { "Not Found" };
            let headers = [("Content-Type", "application/json".to_owned())];
            let line = format!("HTTP/1.1 {status} {reason}");
            if !http::write(&mut stream, &line, &headers, body.as_bytes()) {
                break;
            }
        }
        self.state.lock().unwrap().connections -= 1;
    }

    fn object(&self, path: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
        found.map_or((404, "{}".to_owned()), |(_, object)| (200, object.clone()))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let items = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&str> = items.map(|(_, (_, object))| object.as_str()).collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
        peer: SocketAddr,
        silent: &Arc<AtomicBool>,
    ) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        state.waiting.push(Waiting {
            kind: kind.to_owned(),
            peer,
            silent: silent.clone(),
        });
        let body = loop {
            let changes = state
                .history
                .iter()
                .filter(|c| c.kind == kind && c.revision > after);
            let events: Vec<&str> = changes.map(|c| c.event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        state.waiting.retain(|w| w.peer != peer);
        (200, body)
    }
}
