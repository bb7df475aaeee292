//! A stand-in for an instance that returns a fixed response and may forward calls to a backend
//! server.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use stand_in::backend::Backend;

/// Binds a server that responds to each call with `head`, after forwarding the call to `backend` if
/// there is one.
pub(crate) fn bind(head: &'static str, backend: Option<&Backend>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let backend = backend.map(Backend::address);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || respond(stream, head, backend));
        }
    });
    address
}

fn respond(mut stream: TcpStream, head: &str, backend: Option<SocketAddr>) {
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).unwrap();
    if let Some(backend) = backend {
        let mut forward = TcpStream::connect(backend).unwrap();
        forward.write_all(&bytes[..length]).unwrap();
        assert!(forward.read(&mut [0; 4096]).unwrap() > 0);
    }
    let response = format!("{head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(response.as_bytes()).unwrap();
}
