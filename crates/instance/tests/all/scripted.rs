//! A backend server whose responses, and those too many, are given by a script.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::recorder::{read, Recorded};

/// The header that identifies an attempt.
const ATTEMPT_ID_HEADER: &str = "Chivewheel-Attempt-Id";

/// The time between two responses to one request.
const RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// A request received by the server.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// The number of its connection.
    pub(crate) connection: usize,
    /// The requests received before on its connection.
    pub(crate) earlier: Vec<Recorded>,
    pub(crate) request: Recorded,
    /// Whether the request ran, that is, gets a response of status 200.
    pub(crate) ran: bool,
}

impl Received {
    /// Returns a response to this request, with `id` as the attempt that it names, if any.
    pub(crate) fn response_naming(&self, status: u16, id: Option<&str>) -> String {
        respond(&self.request.line, status, id)
    }

    /// Returns a response to this request that names its attempt.
    pub(crate) fn named(&self, status: u16) -> String {
        self.response_naming(status, self.request.header(ATTEMPT_ID_HEADER))
    }

    /// Returns a response to this request that names no attempt.
    pub(crate) fn unnamed(&self, status: u16) -> String {
        self.response_naming(status, None)
    }

    /// Returns a copy of the response to the previous request on the connection, which names no
    /// attempt.
    pub(crate) fn unnamed_copy(&self, status: u16) -> String {
        let request = self.earlier.last().unwrap_or(&self.request);
        respond(&request.line, status, None)
    }

    /// Returns whether this is the first order on its connection.
    pub(crate) fn is_first_order(&self) -> bool {
        let mut earlier = self.earlier.iter();
        !earlier.any(|request| request.line.starts_with("POST "))
    }

    pub(crate) fn is_order(&self) -> bool {
        self.request.line.starts_with("POST ")
    }
}

/// A backend server that sends the responses of a script, some time apart from each other. It resets
/// the connection behind a response without a length.
#[derive(Clone)]
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Scripted {
    /// Starts a server that sends the responses `script` returns for each request.
    pub(crate) fn bind<F>(script: F) -> Self
    where
        F: Fn(&Received) -> Vec<String> + Clone + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let server = Self {
            address: listener.local_addr().expect("address"),
            received: Arc::default(),
        };
        let acceptor = server.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (server, script) = (acceptor.clone(), script.clone());
                // The thread ends when the client closes the connection.
                thread::spawn(move || server.serve(connection, stream, script));
            }
        });
        server
    }

    /// Returns the orders received, in the order of their arrival.
    pub(crate) fn orders(&self) -> Vec<Received> {
        let received = self.received.lock().expect("received");
        received.iter().filter(|r| r.is_order()).cloned().collect()
    }

    /// Returns the number of connections that carried a request whose target begins with `prefix`.
    pub(crate) fn connections(&self, prefix: &str) -> usize {
        let received = self.received.lock().expect("received");
        let matching = received.iter().filter(|r| r.request.line.contains(prefix));
        let mut connections: Vec<usize> = matching.map(|r| r.connection).collect();
        connections.sort_unstable();
        connections.dedup();
        connections.len()
    }

    fn serve<F>(&self, connection: usize, mut stream: TcpStream, script: F)
    where
        F: Fn(&Received) -> Vec<String>,
    {
        let mut reader = BufReader::new(stream.try_clone().expect("stream"));
        let mut earlier = Vec::new();
        while let Some(request) = read(&mut reader) {
            let mut received = Received {
                connection,
                earlier: earlier.clone(),
                request: request.clone(),
                ran: false,
            };
            earlier.push(request);
            let responses = script(&received);
            received.ran = responses.iter().any(|r| r.starts_with("HTTP/1.1 200 "));
            self.received.lock().expect("received").push(received);
            for (number, response) in responses.iter().enumerate() {
                if number > 0 {
                    thread::sleep(RESPONSE_DELAY);
                }
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                if !response.contains("\r\nContent-Length: ") {
                    // Such a response ends with its connection, which is reset when it is dropped.
                    let reset = client::socket::reset_on_close(&stream, RESPONSE_DELAY);
                    reset.expect("socket option");
                    return;
                }
            }
        }
    }
}

/// Returns a response with `status` and `body`.
fn respond(body: &str, status: u16, id: Option<&str>) -> String {
    let name = id.map(|id| format!("{ATTEMPT_ID_HEADER}: {id}\r\n"));
    let name = name.unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{name}\r\n{body}")
}
