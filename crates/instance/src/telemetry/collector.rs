//! HTTP client that the OTLP exporter uses to send spans to the trace collector.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use client::{Connection, Limits};
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};
use smol::Timer;

use crate::settings::Endpoint;

/// Time limit for one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response body accepted from a collector.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The future returned by [`HttpClient::send_bytes`].
type ResponseFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'a>>;

/// Sends exports to one trace collector and opens a new connection for each.
///
/// The exporter requires a `dyn` client, which is acceptable off the request path.
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
        let export = client::Request {
            method: head.method.as_str(),
            target: head.uri.path(),
            host: &host,
            headers: &headers,
            body: &body,
        };
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        let connection = Connection::open(self.address).await?;
        let (answer, _) = connection.exchange(&export, limits).await?;
        let response = Response::builder().status(answer.status);
        Ok(response.body(Bytes::from(answer.body))?)
    }
}

impl HttpClient for Collector {
    fn send_bytes<'a, 'b>(&'a self, request: Request<Bytes>) -> ResponseFuture<'b>
    where
        'a: 'b,
        Self: 'b,
    {
        let timeout = async {
            Timer::after(EXPORT_TIMEOUT).await;
            Err(HttpError::from(std::io::Error::from(
                std::io::ErrorKind::TimedOut,
            )))
        };
        Box::pin(smol::future::or(self.send(request), timeout))
    }
}
