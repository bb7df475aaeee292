//! Scripted backend servers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

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
    /// Does not respond.
    Hang,
    /// Sends the first text, then the second one again and again until the connection is closed.
    Endless(&'static str, &'static str),
}

pub(crate) const OK: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
pub(crate) const SHED: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";

/// A backend server that performs one action per request, and repeats the last. It responds to probes
/// immediately and does not count them.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    pub(crate) fn spawn(actions: &[Action]) -> Self {
        Self::sharing(actions, Arc::default())
    }

    /// Starts two servers with a common script and request log.
    pub(crate) fn pair(actions: &[Action]) -> [Self; 2] {
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        [(), ()].map(|()| Self::sharing(actions, requests.clone()))
    }

    fn sharing(actions: &[Action], requests: Arc<Mutex<Vec<String>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let backend = Self {
            address,
            requests: requests.clone(),
        };
        let actions: Arc<[Action]> = actions.into();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (actions, requests) = (actions.clone(), requests.clone());
                thread::spawn(move || serve(stream, &actions, &requests));
            }
        });
        backend
    }

    /// Returns the heads of the requests received so far, without probes.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, actions: &[Action], requests: &Mutex<Vec<String>>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        if head.starts_with("GET /health ") {
            let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(head.clone());
            requests.len() - 1
        };
        let action = actions[number.min(actions.len() - 1)];
        if !matches!(action, Action::RespondEarly(_)) {
            read_body(&mut stream, &mut buffer, &head);
        }
        let id = header_value(&head, "id").unwrap_or_default();
        match action {
            Action::Respond(text) | Action::RespondEarly(text) => {
                if stream
                    .write_all(text.replace("{id}", &id).as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Action::RespondAndClose(text) => {
                // The peer may have disconnected already.
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                return;
            }
            Action::Close => return,
            Action::Hang => {}
            Action::Endless(head, part) => {
                const PARTS_PER_WRITE: usize = 1000;
                let parts = part.repeat(PARTS_PER_WRITE);
                let mut sent = stream.write_all(head.replace("{id}", &id).as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(parts.as_bytes());
                }
                return;
            }
        }
    }
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

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) {
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
