//! Backend servers that answer as told.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a server does with a request. `{id}` in a text stands for the request's id.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Act {
    /// Answers with this text.
    Say(&'static str),
    /// Answers with this text and closes the connection.
    SayAndClose(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Reads the head only, answers with this text, and goes on reading.
    SayEarly(&'static str),
    /// Does not answer.
    Hang,
}

pub(crate) const OK: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\npond";
pub(crate) const SHED: &str = "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n";

/// A backend server that answers its requests with one act after the other, the last for ever.
/// Probes are answered at once and are not counted.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    pub(crate) fn spawn(acts: &[Act]) -> Self {
        Self::sharing(acts, Arc::default())
    }

    /// Starts two servers that count their requests together.
    pub(crate) fn pair(acts: &[Act]) -> [Self; 2] {
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        [(), ()].map(|()| Self::sharing(acts, requests.clone()))
    }

    fn sharing(acts: &[Act], requests: Arc<Mutex<Vec<String>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let backend = Self {
            address,
            requests: requests.clone(),
        };
        let acts: Arc<[Act]> = acts.into();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (acts, requests) = (acts.clone(), requests.clone());
                thread::spawn(move || serve(stream, &acts, &requests));
            }
        });
        backend
    }

    /// Returns the requests that have arrived, without probes.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, acts: &[Act], requests: &Mutex<Vec<String>>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        if head.starts_with("GET /health ") {
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(head.clone());
            requests.len() - 1
        };
        let act = acts[number.min(acts.len() - 1)];
        if !matches!(act, Act::SayEarly(_)) {
            read_body(&mut stream, &mut buffer, &head);
        }
        let id = value(&head, "id").unwrap_or_default();
        match act {
            Act::Say(text) | Act::SayEarly(text) => {
                if stream
                    .write_all(text.replace("{id}", &id).as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Act::SayAndClose(text) => {
                // The other side may have gone; there is nobody to tell.
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                return;
            }
            Act::Close => return,
            Act::Hang => {}
        }
    }
}

/// Returns the value of a header of `head`.
pub(crate) fn value(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
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
    let length = value(head, "content-length").map_or(0, |l| l.parse().unwrap());
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
