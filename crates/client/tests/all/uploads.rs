//! Responses that are sent before the request has been read.
//!
//! A response without a length ends with its connection. Whether it is complete depends on how the
//! connection ended, which a write of the request may be the first to see.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use client::{socket, Connection, Error, Exchange, Limits, Request};

use crate::script::{request, time_out};

/// What the server does after it has sent its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the connection without reading the request's body.
    Reset,
    /// It closes the connection without reading the body, which resets it.
    CloseUnread,
    /// It reads the body and resets the connection.
    ReadAndReset,
    /// It reads the body and closes the connection.
    ReadAndClose,
    /// It ends the response, then reads the body.
    FinishAndRead,
    /// It ends the response, then closes the connection without reading the body.
    FinishAndCloseUnread,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

const LIMITS: Limits = Limits {
    max_head_bytes: 512,
    max_body_bytes: 1024 * 1024,
};

/// Sizes of uploads that the sockets buffer, and that they do not.
const UPLOADS: [usize; 2] = [60_000, 8 * 1024 * 1024];

/// The time from the response to the end of the connection.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(5)];

/// Which side sees the end first differs from run to run.
const RUNS: usize = 10;

fn discard_request(stream: &mut TcpStream) {
    let mut buffer = vec![0; 64 * 1024];
    // The client closes the connection after the response.
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
}

/// Reads `length` bytes.
fn read_upload(stream: &mut TcpStream, length: usize) {
    let mut buffer = vec![0; length];
    stream.read_exact(&mut buffer).unwrap();
}

fn reset(stream: TcpStream) {
    socket::reset_on_close(&stream, Duration::from_secs(1)).unwrap();
    drop(stream);
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

/// Answers one request as soon as its head has arrived.
fn serve(listener: &TcpListener, response: &[u8], pause: Duration, end: End, upload: usize) {
    let (mut stream, _) = listener.accept().unwrap();
    read_head(&mut stream);
    stream.write_all(response).unwrap();
    match end {
        End::Reset | End::CloseUnread => thread::sleep(pause),
        End::ReadAndReset | End::ReadAndClose => {
            read_upload(&mut stream, upload);
            thread::sleep(pause);
        }
        End::FinishAndRead | End::FinishAndCloseUnread => {
            stream.shutdown(Shutdown::Write).unwrap();
            thread::sleep(pause);
        }
    }
    match end {
        End::Reset | End::ReadAndReset => reset(stream),
        End::FinishAndRead => discard_request(&mut stream),
        End::CloseUnread | End::ReadAndClose | End::FinishAndCloseUnread => drop(stream),
    }
}

/// Sends a request with a body of `upload` bytes.
fn send(address: SocketAddr, upload: usize) -> Result<Exchange, Error> {
    let body = vec![b'x'; upload];
    let request = Request {
        body: &body,
        ..request("POST")
    };
    smol::block_on(async {
        let calling = async {
            let connection = Connection::open(address).await?;
            connection
                .exchange_matching(&request, LIMITS, |_| true)
                .await
        };
        smol::future::or(calling, time_out()).await
    })
}

/// Sends requests to a server that sends `response`, and checks each result.
fn check<F>(response: &[u8], end: End, is_expected: F)
where
    F: Fn(&Result<Exchange, Error>) -> bool,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    for (upload, pause) in UPLOADS.map(|u| PAUSES.map(|p| (u, p))).concat() {
        for run in 0..RUNS {
            let result = thread::scope(|scope| {
                scope.spawn(|| serve(&listener, response, pause, end, upload));
                send(address, upload)
            });
            let case = format!("upload {upload}, pause {pause:?}, run {run}");
            assert!(is_expected(&result), "{case}: {result:?}");
        }
    }
}

/// Checks that a response whose connection was reset is not taken for a complete one.
fn broken(body: &[u8], end: End) {
    let response = [HEAD.as_bytes(), body].concat();
    check(&response, end, |result| {
        matches!(result, Err(Error::Broken(_)))
    });
}

/// Checks that a response whose end arrived is complete.
fn whole(end: End) {
    let response = [HEAD.as_bytes(), b"pond"].concat();
    check(&response, end, |result| {
        let exchange = result.as_ref();
        exchange.is_ok_and(|e| e.close_delimited && e.response.body == b"pond")
    });
}

/// Checks that a response with a length is complete however its connection ends.
fn framed(end: End) {
    check(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npond",
        end,
        |result| {
            let exchange = result.as_ref();
            exchange.is_ok_and(|e| !e.close_delimited && e.response.body == b"pond")
        },
    );
}

cases! {
    reset_before_the_body: broken(b"", End::Reset);
    reset_within_the_body: broken(b"pond", End::Reset);
    reset_within_a_long_body: broken(&[b'x'; 300_000], End::Reset);
    close_with_the_upload_unread: broken(b"pond", End::CloseUnread);
    reset_after_the_upload: broken(b"pond", End::ReadAndReset);
    close_after_the_upload: whole(End::ReadAndClose);
    end_before_the_upload_is_read: whole(End::FinishAndRead);
    end_before_a_close_with_the_upload_unread: whole(End::FinishAndCloseUnread);
    reset_after_a_length: framed(End::Reset);
    close_after_a_length: framed(End::CloseUnread);
}
