//! A small HTTP server that records requests, used as a backend server or a trace collector.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A received request.
#[derive(Clone, Debug)]
pub(crate) struct Recorded {
    pub(crate) line: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Recorded {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn contains(&self, bytes: &[u8]) -> bool {
        self.body.windows(bytes.len()).any(|part| part == bytes)
    }
}

/// A small HTTP server that answers every request with an empty body of status 200.
#[derive(Clone)]
pub(crate) struct Recorder {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<Recorded>>>,
}

impl Recorder {
    pub(crate) fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let recorder = Self {
            address: listener.local_addr().expect("address"),
            requests: Arc::default(),
        };
        let acceptor = recorder.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorder = acceptor.clone();
                // The thread ends when the client closes the connection.
                std::thread::spawn(move || recorder.serve(stream));
            }
        });
        recorder
    }

    pub(crate) fn requests(&self) -> Vec<Recorded> {
        self.requests.lock().expect("requests").clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("stream"));
        while let Some(request) = read(&mut reader) {
            self.requests.lock().expect("requests").push(request);
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(response).is_err() {
                return;
            }
        }
    }
}

pub(crate) fn read(reader: &mut BufReader<TcpStream>) -> Option<Recorded> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut request = Recorded {
        line,
        headers,
        body: Vec::new(),
    };
    let length = request.header("content-length").unwrap_or("0").parse();
    request.body = vec![0; length.ok()?];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}
