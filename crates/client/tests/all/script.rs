//! A scripted server, and exchanges with it.

use std::net::SocketAddr;
use std::time::Duration;

use client::{Connection, Error, Limits, Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// What the server does after sending its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection without reading the request.
    Reset,
    /// It keeps the connection open until the client closes it.
    Stay,
}

pub(crate) const LIMITS: Limits = Limits {
    max_head_bytes: 512,
    max_body_bytes: 100,
};

/// Returns a request with `method` and without headers or a body.
pub(crate) fn request(method: &str) -> Request<'_> {
    Request {
        method,
        target: "/levels?pond=3",
        host: "gauge.test",
        headers: &[],
        body: b"",
    }
}

pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads a head up to its end.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.unwrap() > 0 {
        head.push(byte[0]);
    }
    head
}

async fn play(listener: TcpListener, bytes: &[u8], end: End) {
    let (mut stream, _) = listener.accept().await.unwrap();
    match end {
        // Closing a socket with unread bytes resets the connection.
        End::Reset => drop(stream.peek(&mut [0]).await),
        End::Close | End::Stay => drop(read_head(&mut stream).await),
    }
    // The write fails if the client has already closed the connection.
    let _ = stream.write_all(bytes).await;
    if end == End::Stay {
        let _ = stream.read(&mut [0]).await;
    }
}

/// Fails the test if the exchange does not end in time.
pub(crate) async fn time_out<T>() -> T {
    const LIMIT: Duration = Duration::from_secs(5);
    smol::Timer::after(LIMIT).await;
    panic!("the exchange does not end in time");
}

/// Sends a request with `method` to a server that responds with `bytes`. Returns the response, and
/// whether the connection can be reused.
pub(crate) fn exchange(method: &str, bytes: &[u8], end: End) -> Result<(Response, bool), Error> {
    smol::block_on(async {
        let (listener, address) = bind().await;
        let calling = async {
            let connection = Connection::open(address).await?;
            let (response, kept) = connection.exchange(&request(method), LIMITS).await?;
            Ok((response, kept.is_some()))
        };
        let played = async {
            smol::future::zip(calling, play(listener, bytes, end))
                .await
                .0
        };
        smol::future::or(played, time_out()).await
    })
}
