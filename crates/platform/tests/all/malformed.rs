//! Tests of malformed responses from the platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use parking_lot::Mutex;
use platform::{Client, Error, Outcome, Revision, Store};
use smol::block_on;

use crate::tools::{loopback, open};

/// A platform that sends the same bytes on every connection.
struct Garbler {
    address: SocketAddr,
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Garbler {
    fn bind() -> Self {
        let listener = TcpListener::bind(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&bytes);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let bytes = shared.lock().clone();
                // The client may have closed the connection.
                let _ = stream.read(&mut [0; 2048]);
                let _ = stream.write_all(&bytes);
            }
        });
        Self { address, bytes }
    }

    /// Returns a client without connections that will receive `bytes`.
    fn client(&self, bytes: &[u8]) -> Client {
        *self.bytes.lock() = bytes.to_vec();
        open(self.address)
    }
}

fn response(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let status: u16 = match u.int_in_range(0..=2)? {
        0 => 200,
        1 => u.int_in_range(100..=599)?,
        _ => u.int_in_range(0..=1999)?,
    };
    let framing = u.int_in_range(0..=4)?;
    let length: u64 = u.arbitrary()?;
    let (index, byte): (u8, Option<u8>) = u.arbitrary()?;
    // Comes last, since an arbitrary list uses up the remaining data.
    let body: Vec<u8> = u.arbitrary()?;
    let framing = match framing {
        0 => "Transfer-Encoding: chunked".to_owned(),
        1 => "X: ".to_owned(),
        2 => format!("Content-Length: {length}"),
        3 => format!("Content-Length: {}", body.len() + 1),
        _ => format!("Content-Length: {}", body.len()),
    };
    let mut bytes = format!("HTTP/1.1 {status} Some\r\n{framing}\r\n\r\n").into_bytes();
    bytes.extend(body);
    if let (Some(byte), Some(garbled)) = (byte, bytes.get_mut(usize::from(index))) {
        *garbled = byte;
    }
    Ok(bytes)
}

async fn call_all(client: impl Fn() -> Client) {
    // Each call ends with a value or a typed error. Only writes are checked further.
    let _ = client().read("path").await;
    let _ = client().watch("path", None, Duration::ZERO).await;
    let _ = client().list("path").await;
    let _ = client().servers().await;
    let written = client().write("path", None, b"value").await;
    check_write(&written);
    let removed = client().remove("path", Revision(1)).await;
    check_write(&removed);
}

fn check_write(result: &std::result::Result<Outcome, Error>) {
    let malformed = matches!(result, Err(Error::Malformed { .. }));
    assert!(!malformed, "a write must be indeterminate: {result:?}");
}

#[test]
fn malformed_responses_are_typed_errors() {
    let garbler = Garbler::bind();
    arbtest(|u| {
        let bytes = response(u)?;
        block_on(call_all(|| garbler.client(&bytes)));
        Ok(())
    })
    .size_min(64)
    .size_max(256)
    .budget_ms(500);
}

fn check_read(bytes: &str) {
    let client = Garbler::bind().client(bytes.as_bytes());
    let read = block_on(client.read("path"));
    assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
}

cases! {
    an_unknown_status_is_malformed => check_read("HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n");
    a_body_of_another_kind_is_malformed => check_read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    a_response_other_than_http_is_malformed => check_read("SSH-2.0-dropbear\r\n\r\n");
}
