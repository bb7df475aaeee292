//! An entry that passes calls on and says what it is told of their outcome.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use stand_in::backend::Backend;

/// Binds an entry that answers each call with `head`, and passes it on if there is a `backend`.
pub(crate) fn bind(head: &'static str, backend: Option<&Backend>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let backend = backend.map(Backend::address);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || answer(stream, head, backend));
        }
    });
    address
}

fn answer(mut stream: TcpStream, head: &str, backend: Option<SocketAddr>) {
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).unwrap();
    if let Some(backend) = backend {
        let mut onward = TcpStream::connect(backend).unwrap();
        onward.write_all(&bytes[..length]).unwrap();
        assert!(onward.read(&mut [0; 4096]).unwrap() > 0);
    }
    let answer = format!("{head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(answer.as_bytes()).unwrap();
}

/// Binds an entry that answers each call with `bytes` and closes.
pub(crate) fn bind_bytes(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream.write_all(&bytes).unwrap();
        }
    });
    address
}
