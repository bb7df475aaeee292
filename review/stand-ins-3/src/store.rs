//! A stand-in for the platform's store: objects by kind and name, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Clone)]
struct Object {
    spec: String,
    status: String,
    revision: u64,
    created: u64,
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Self {
            spec,
            status,
            revision,
            created,
        } = self;
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
        )
    }
}

/// A change: kind, revision, and the event as JSON.
type Change = (String, u64, String);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("bind the store");
        let address = listener.local_addr().expect("address");
        let state = State {
            revision: 500,
            ..State::default()
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = serving.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    /// Writes the `spec` of an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let object = Object {
            spec: spec.to_owned(),
            status: known
                .as_ref()
                .map_or("null".to_owned(), |o| o.status.clone()),
            revision,
            created: known.map_or(revision, |o| o.created),
        };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object.json(name));
        state.objects.insert(key, object);
        state.changes.push((kind.to_owned(), revision, event));
        self.shared.1.notify_all();
    }

    /// Returns the status of an object as JSON.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.status.clone())
    }

    /// Removes an object.
    #[allow(dead_code)]
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        let change = (kind.to_owned(), state.revision, event);
        state.changes.push(change);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let json = "Content-Type: application/json\r\n";
            if http::respond(&mut writer, status, json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let [method, target, _] = &request.line;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["-", "objects", kind]) => match parameter("watch") {
                Some(after) => {
                    let wait = parameter("wait_ms")
                        .and_then(|t| t.parse().ok())
                        .unwrap_or(0);
                    self.watch(
                        kind,
                        after.parse().unwrap_or(0),
                        Duration::from_millis(wait),
                    )
                }
                None => self.list(kind),
            },
            ("GET", ["-", "objects", kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => ("200 OK", object.json(name)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("PUT", ["-", "objects", kind, name, "status"]) => {
                self.put_status(kind, name, &request.body)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = items.map(|((_, name), object)| object.json(name)).collect();
        let revision = state.revision;
        let items = items.join(",");
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state
                .changes
                .iter()
                .filter(|(k, revision, _)| k == kind && *revision > after);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Replaces a status, on condition of the revision in the call.
    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let revision = text.split("\"revision\":").nth(1);
        let revision: Option<u64> = revision.and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse()
                .ok()
        });
        let status = text
            .split("\"status\":")
            .nth(1)
            .and_then(|rest| rest.split_once('}'));
        let Some((status, _)) = status else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.shared.0.lock().unwrap();
        let next = state.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get_mut(&key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if revision.is_some_and(|revision| revision != object.revision) {
            return ("409 Conflict", object.json(name));
        }
        object.status = format!("{status}}}");
        object.revision = next;
        let json = object.json(name);
        state.revision = next;
        state.changes.push((
            kind.to_owned(),
            next,
            format!("{{\"deleted\":false,\"object\":{json}}}"),
        ));
        self.shared.1.notify_all();
        ("200 OK", json)
    }
}
