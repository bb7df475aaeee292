//! Responses that are sent before the request has been read.
//!
//! A response without a length ends with its connection. Whether it is complete depends on how the
//! connection ended, which a write of the request may be the first to see.

use std::net::SocketAddr;
use std::time::Duration;

use client::{Connection, Error, Exchange, Limits, Request};
use stand_in::fixed::{End, Response, Server};

use crate::script::{request, time_out};

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

/// Returns a request with `body`.
fn post(body: &[u8]) -> Request<'_> {
    Request {
        body,
        ..request("POST")
    }
}

/// Sends a request with a body of `upload` bytes.
fn send(address: SocketAddr, upload: usize) -> Result<Exchange, Error> {
    let body = vec![b'x'; upload];
    let request = post(&body);
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
    for pause in PAUSES {
        let response = Response::new(response, end).with_pause(pause);
        let server = Server::bind(response).unwrap();
        for upload in UPLOADS {
            for run in 0..RUNS {
                let result = send(server.address(), upload);
                let case = format!("upload {upload}, pause {pause:?}, run {run}");
                assert!(is_expected(&result), "{case}: {result:?}");
            }
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

/// Checks that an exchange which needs a length takes no response without one.
fn unframed(end: End) {
    let response = [HEAD.as_bytes(), b"pond"].concat();
    let server = Server::bind(Response::new(response, end)).unwrap();
    for upload in UPLOADS {
        let body = vec![b'x'; upload];
        let request = post(&body);
        let result = smol::block_on(async {
            let connection = Connection::open(server.address()).await.unwrap();
            smol::future::or(connection.exchange(&request, LIMITS), time_out()).await
        });
        assert!(
            matches!(result, Err(Error::Broken(_) | Error::Unframed)),
            "upload {upload}: {result:?}"
        );
    }
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
    reset_without_a_length: unframed(End::Reset);
    close_without_a_length: unframed(End::ReadAndClose);
    end_without_a_length: unframed(End::FinishAndRead);
}
