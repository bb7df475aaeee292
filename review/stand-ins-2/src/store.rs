//! Stand-in for the platform's store: lists, watches and conditional writes of a status.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    history: Vec<(u64, String, String)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn text(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
        object.revision, object.created, object.spec, object.status
    )
}

impl Store {
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        store.shared.0.lock().unwrap().revision = 1;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the spec of an object. Its owner gets the confirmation when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, |object| object.spec = spec.to_owned());
    }

    fn change<F: FnOnce(&mut Object)>(&self, kind: &str, name: &str, change: F) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.entry(key).or_insert(Object {
            revision,
            created: revision,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        change(object);
        let event = format!(r#"{{"object":{},"deleted":false}}"#, text(name, object));
        state.history.push((revision, kind.to_owned(), event));
        self.shared.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let event = format!(r#"{{"object":{},"deleted":true}}"#, text(name, &object));
            state.history.push((revision, kind.to_owned(), event));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            let headers = [("Content-Type", "application/json".to_owned())];
            let line = format!("HTTP/1.1 {status} X");
            if http::write(&mut stream, &line, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &http::Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method(), &parts[..]) {
            ("GET", [kind]) => match request.query("watch").and_then(|w| w.parse().ok()) {
                Some(after) => self.watch(kind, after, request),
                None => self.list(kind),
            },
            ("GET", [kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                match state.objects.get(&key) {
                    Some(object) => (200, text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("PUT", [kind, name, "status"]) => self.put_status(kind, name, &request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = items
            .map(|((_, name), object)| text(name, object))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, request: &http::Message) -> (u16, String) {
        let wait = request.query("wait_ms").and_then(|w| w.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<&str> = events.map(|(.., text)| text.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let body = String::from_utf8_lossy(body).into_owned();
        let expected = number_after(&body, r#""revision":"#);
        let status = body
            .find(r#""status":"#)
            .map(|at| object_at(&body[at + 9..]));
        let key = (kind.to_owned(), name.to_owned());
        let found = {
            let state = self.shared.0.lock().unwrap();
            state.objects.get(&key).map(|o| (o.revision, text(name, o)))
        };
        match (found, status) {
            (None, _) => (404, "{}".to_owned()),
            (Some((revision, object)), _) if expected.is_some_and(|e| e != revision) => {
                (409, object)
            }
            (Some(_), Some(status)) => {
                self.change(kind, name, |object| object.status = status.to_owned());
                let state = self.shared.0.lock().unwrap();
                (200, text(name, &state.objects[&key]))
            }
            (Some(_), None) => (400, "{}".to_owned()),
        }
    }
}

fn number_after(text: &str, label: &str) -> Option<u64> {
    let rest = &text[text.find(label)? + label.len()..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the JSON object at the start of `text`, which has no braces in strings.
fn object_at(text: &str) -> &str {
    let mut depth = 0;
    for (at, c) in text.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 && c == '}' {
            return &text[..=at];
        }
    }
    "null"
}
