//! The connection to the collector of traces.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use client::{Connection, Limits};
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};
use smol::Timer;

use crate::settings::Endpoint;

/// How long one export may take.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// The largest answer of a collector, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// The future that the library takes.
type Exchange<'a> = Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'a>>;

/// Sends exports to one collector of traces, each on a connection of its own.
///
/// The library asks for a client behind `dyn`; it is off the request path.
#[derive(Debug)]
pub(super) struct Collector {
    address: SocketAddr,
}

impl Collector {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            address: endpoint.address,
        }
    }

    async fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (head, body) = request.into_parts();
        let headers = head.headers.iter();
        let headers: Vec<(String, Vec<u8>)> = headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let host = self.address.to_string();
        let outgoing = client::Request {
            method: head.method.as_str(),
            target: head.uri.path(),
            host: &host,
            headers: &headers,
            body: &body,
        };
        let limits = Limits {
            max_body_bytes: MAX_ANSWER,
            ..Limits::default()
        };
        let connection = Connection::open(self.address).await?;
        let (answer, _) = connection.exchange(&outgoing, limits).await?;
        let response = Response::builder().status(answer.status);
        Ok(response.body(Bytes::from(answer.body))?)
    }
}

impl HttpClient for Collector {
    fn send_bytes<'a, 'b>(&'a self, request: Request<Bytes>) -> Exchange<'b>
    where
        'a: 'b,
        Self: 'b,
    {
        let timeout = async {
            Timer::after(TIME_LIMIT).await;
            Err(HttpError::from(std::io::Error::from(
                std::io::ErrorKind::TimedOut,
            )))
        };
        Box::pin(smol::future::or(self.send(request), timeout))
    }
}
