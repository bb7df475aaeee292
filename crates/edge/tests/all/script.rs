//! Scripted backend servers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a server does with a request. `{id}` in a text is replaced by the id of the request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// Sends this response.
    Respond(&'static str),
    /// Sends this response and closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Sends this response after reading only the head, then continues reading.
    RespondEarly(&'static str),
    /// Sends this response after reading only the head, then resets the connection.
    RespondEarlyAndReset(&'static str),
    /// Sends this response after reading only the head, then closes the connection with the rest of the
    /// request unread, which resets it.
    RespondEarlyAndClose(&'static str),
    /// Sends this response after reading only the head, ends it, and closes the connection with the rest
    /// of the request unread.
    RespondEarlyAndEnd(&'static str),
    /// Does not respond.
    Hang,
    /// Sends the first text, then the second one again and again until the connection is closed.
    Endless(&'static str, &'static str),
}

impl Action {
    /// Returns whether the server responds before it has read the body of the request.
    fn is_early(self) -> bool {
        matches!(
            self,
            Self::RespondEarly(_)
                | Self::RespondEarlyAndReset(_)
                | Self::RespondEarlyAndClose(_)
                | Self::RespondEarlyAndEnd(_)
        )
    }
}

pub(crate) const OK: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
pub(crate) const SHED: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A backend server that performs one action per request, and repeats the last. It responds to probes
/// immediately and counts them apart.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    probes: Arc<AtomicUsize>,
}

/// What a server does with requests, and with probes.
#[derive(Clone, Debug)]
struct Script {
    actions: Arc<[Action]>,
    health: Action,
}

impl Backend {
    pub(crate) fn spawn(actions: &[Action]) -> Self {
        Self::sharing(actions, Action::Respond(HEALTHY), Arc::default())
    }

    /// Starts a server that responds to requests, and performs `health` for each probe.
    pub(crate) fn with_health(health: Action) -> Self {
        Self::sharing(&[Action::Respond(OK)], health, Arc::default())
    }

    /// Starts two servers with a common script and request log.
    pub(crate) fn pair(actions: &[Action]) -> [Self; 2] {
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        [(), ()].map(|()| Self::sharing(actions, Action::Respond(HEALTHY), requests.clone()))
    }

    fn sharing(actions: &[Action], health: Action, requests: Arc<Mutex<Vec<String>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let backend = Self {
            address,
            requests: requests.clone(),
            probes: Arc::default(),
        };
        let script = Script {
            actions: actions.into(),
            health,
        };
        let probes = backend.probes.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, requests) = (script.clone(), requests.clone());
                let probes = probes.clone();
                thread::spawn(move || serve(stream, &script, &requests, &probes));
            }
        });
        backend
    }

    /// Returns the number of probes received so far.
    pub(crate) fn probes(&self) -> usize {
        self.probes.load(Ordering::Acquire)
    }

    /// Returns the heads of the requests received so far, without probes.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Script,
    requests: &Mutex<Vec<String>>,
    probes: &AtomicUsize,
) {
    let actions = &script.actions;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let action = if head.starts_with("GET /health ") {
            probes.fetch_add(1, Ordering::AcqRel);
            script.health
        } else {
            let number = {
                let mut requests = requests.lock().unwrap();
                requests.push(head.clone());
                requests.len() - 1
            };
            actions[number.min(actions.len() - 1)]
        };
        if !action.is_early() {
            read_body(&mut stream, &mut buffer, &head);
        }
        if !perform(action, &mut stream, &head) {
            return;
        }
    }
}

/// Performs `action` for the request with `head`. Returns whether the connection stays open.
fn perform(action: Action, stream: &mut TcpStream, head: &str) -> bool {
    let id = header_value(head, "id").unwrap_or_default();
    match action {
        Action::Respond(text) | Action::RespondEarly(text) => stream
            .write_all(text.replace("{id}", &id).as_bytes())
            .is_ok(),
        Action::RespondAndClose(text)
        | Action::RespondEarlyAndReset(text)
        | Action::RespondEarlyAndClose(text)
        | Action::RespondEarlyAndEnd(text) => {
            // The peer may have disconnected already.
            let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
            if matches!(action, Action::RespondEarlyAndReset(_)) {
                client::socket::reset_on_close(stream, Duration::from_secs(1)).unwrap();
            }
            if matches!(action, Action::RespondEarlyAndEnd(_)) {
                let _ = stream.shutdown(Shutdown::Write);
            }
            false
        }
        Action::Close => false,
        Action::Hang => true,
        Action::Endless(head, part) => {
            let parts = repeat(part);
            let mut sent = stream.write_all(head.replace("{id}", &id).as_bytes());
            while sent.is_ok() {
                sent = stream.write_all(parts.as_bytes());
            }
            false
        }
    }
}

/// Returns `part` so often that few writes fill the buffers of both sides, also on a busy machine.
fn repeat(part: &str) -> String {
    const BYTES_PER_WRITE: usize = 256 * 1024;
    part.repeat(BYTES_PER_WRITE / part.len())
}

/// Writes `part` again and again until the other side closes the connection. Returns whether it did
/// so before it had taken more than the sockets of both sides buffer.
pub(crate) fn is_closed_while_writing(stream: &mut TcpStream, part: &str) -> bool {
    const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;
    let parts = repeat(part);
    let writes = MAX_BUFFERED_BYTES / parts.len();
    (0..writes).any(|_| stream.write_all(parts.as_bytes()).is_err())
}

/// Returns the value of a header in `head`.
pub(crate) fn header_value(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Reads the next head of a request, without its last empty line. `buffer` keeps what follows it.
pub(crate) fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            buffer.drain(..end + 4);
            return Some(text[..end + 2].to_owned());
        }
        fill(stream, buffer)?;
    }
}

/// Reads the body of the request with `head`.
pub(crate) fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) {
    let length = header_value(head, "content-length").map_or(0, |l| l.parse().unwrap());
    while buffer.len() < length {
        if fill(stream, buffer).is_none() {
            return;
        }
    }
    buffer.drain(..length);
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    match stream.read(&mut part) {
        Ok(length) if length > 0 => {
            buffer.extend_from_slice(&part[..length]);
            Some(())
        }
        _ => None,
    }
}

/// The ids of requests that ran.
pub(crate) type Executions = Arc<Mutex<Vec<String>>>;

/// Starts a server that calls `serve` for each connection.
pub(crate) fn spawn<F>(serve: F) -> (SocketAddr, Executions)
where
    F: Fn(TcpStream, &Mutex<Vec<String>>) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ran: Executions = Arc::default();
    let executions = ran.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (serve, executions) = (serve.clone(), executions.clone());
            thread::spawn(move || serve(stream, &executions));
        }
    });
    (address, ran)
}
