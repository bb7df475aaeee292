//! Responses without end.

use client::{Connection, ConnectionPool, Error, Limits, Memory};
use clock::Boottime;
use smol::io::AsyncWriteExt;
use std::time::Duration;

use crate::script::{bind, read_head, request, time_out};

/// The memory for bodies, in bytes.
const MEMORY_BYTES: usize = 512 * 1024;

/// Larger than the memory, so that only that limits a body.
const LIMITS: Limits = Limits {
    max_head_bytes: 64 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk of 64 bytes.
const CHUNK: &str = "40\r\npondpondpondpondpondpondpondpondpondpondpondpondpondpondpondpond\r\n";
const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n";
const TO_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Pond: ";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Sends a request to a server that sends `head`, then `part` without end. Returns why the response
/// was rejected.
async fn exchange(memory: &Memory, head: &str, part: &str) -> Error {
    let (listener, address) = bind().await;
    let calling = async {
        let connection = Connection::open(address).await.unwrap();
        let connection = connection.with_memory(memory.clone());
        connection
            .exchange(&request("GET"), LIMITS)
            .await
            .unwrap_err()
    };
    let serving = async {
        const PARTS_PER_WRITE: usize = 1000;
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let parts = part.repeat(PARTS_PER_WRITE);
        let mut sent = stream.write_all(head.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(parts.as_bytes()).await;
        }
        std::future::pending().await
    };
    smol::future::or(calling, smol::future::or(serving, time_out())).await
}

fn exhausts_memory(head: &str, part: &str) {
    let memory = Memory::new(MEMORY_BYTES);
    // The memory of the first body is available again for the second one.
    for _ in 0..2 {
        let error = smol::block_on(exchange(&memory, head, part));
        assert!(matches!(error, Error::OutOfMemory), "{error:?}");
    }
}

fn is_rejected(head: &str, part: &str) {
    let memory = Memory::new(MEMORY_BYTES);
    let error = smol::block_on(exchange(&memory, head, part));
    assert!(
        matches!(error, Error::Malformed | Error::TooLarge { .. }),
        "{error:?}"
    );
}

cases! {
    chunks_without_end: exhausts_memory(CHUNKED, CHUNK);
    long_body: exhausts_memory(SIZED, "pond");
    body_to_close_without_end: exhausts_memory(TO_CLOSE, "pond");
    head_without_end: is_rejected(HEAD, "pond");
    interim_responses_without_end: is_rejected(INTERIM, INTERIM);
}

#[test]
fn connections_of_a_pool_share_its_memory() {
    smol::block_on(async {
        let (listener, address) = bind().await;
        let memory = Memory::new(MEMORY_BYTES);
        let pool = ConnectionPool::new(Boottime, 1).with_memory(memory);
        let calling = async {
            let connection = pool.take(address, Duration::ZERO).await.unwrap();
            connection
                .exchange(&request("GET"), LIMITS)
                .await
                .unwrap_err()
        };
        let serving = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(SIZED.as_bytes()).await.unwrap();
            let body = vec![b'x'; 2 * MEMORY_BYTES];
            // The client closes the connection before all of it is sent.
            let _ = stream.write_all(&body).await;
            std::future::pending().await
        };
        let error = smol::future::or(calling, smol::future::or(serving, time_out())).await;
        assert!(matches!(error, Error::OutOfMemory), "{error:?}");
    });
}
