//! A request with its complete body.

use trillium_http::Conn;

use super::transport::Transport;
use super::Response;
use crate::outcome::Outcome;

const BAD_REQUEST: u16 = 400;
const CONTENT_TOO_LARGE: u16 = 413;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The path and the query string.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the complete request, or returns the error response to send.
    pub(super) async fn read(conn: &mut Conn<Transport>) -> Result<Self, Response> {
        let body = match conn.request_body().await.read_bytes().await {
            Ok(body) => body,
            Err(trillium_http::Error::ReceivedBodyTooLong(limit)) => {
                let text = format!("the body is larger than {limit} bytes");
                return Err(Response::refusal(CONTENT_TOO_LARGE, Outcome::NotRun, &text));
            }
            Err(e) => {
                let text = format!("the request cannot be read: {e}");
                return Err(Response::refusal(BAD_REQUEST, Outcome::NotRun, &text));
            }
        };
        let values = conn.request_headers().iter();
        let pairs = values.flat_map(|(name, values)| {
            values
                .iter()
                .map(move |value| (name.to_string(), value.as_ref().to_vec()))
        });
        let headers = pairs.collect();
        Ok(Self {
            method: conn.method().as_str(),
            target: target(conn),
            headers,
            body,
        })
    }

    /// Returns the value of the first header called `name`, or `None` if it is absent or not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns the path without the query string.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }
}

fn target(conn: &Conn<Transport>) -> String {
    let query = conn.querystring();
    if query.is_empty() {
        return conn.path().to_owned();
    }
    format!("{}?{query}", conn.path())
}
