//! The platform's object API over HTTP.
//!
//! | call | request | response |
//! |---|---|---|
//! | read | `GET /object?path=P` | `200` and an [`Object`], or `404` |
//! | watch | `GET /watch?path=P&seen=R&limit-ms=N` | same as for a read |
//! | write | `PUT /object?path=P&expected=R` with the value | `200` and a [`Revision`], `409`, `413` |
//! | remove | `DELETE /object?path=P&expected=R` | `200` and a [`Revision`], or `409` |
//! | list | `GET /list?path=P` | `200` and paths |
//! | servers | `GET /servers` | `200` and [`Server`]s |
//! | instances | `GET /instances` | `200` and [`Instance`]s |
//!
//! `R` is a revision, or `none` for an absent object. Responses are MessagePack. `503` means that
//! the platform did not process the call; after any other status the effect of a write is
//! indeterminate.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use trillium_client::{Conn, Method, Status};

use crate::connector::Connector;
use crate::exchange::{exchange, Response};
use crate::query;
use crate::{Error, Instance, Object, Outcome, Revision, Server, Store};

/// The largest value that the platform accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The platform's object API over HTTP, without time limits. Clones share connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: trillium_client::Client,
    address: SocketAddr,
}

impl Http {
    /// Creates a client of the platform at `address`. Connecting may take up to `connect_timeout`.
    pub fn open(address: SocketAddr, connect_timeout: Duration) -> Self {
        let connector = Connector::new(connect_timeout);
        let client = trillium_client::Client::new(connector).with_default_pool();
        Self { client, address }
    }

    fn conn(&self, method: Method, target: &str) -> Conn {
        let url = format!("http://{}{target}", self.address);
        self.client.build_conn(method, url)
    }

    async fn get(&self, target: &str) -> Result<Response, Error> {
        let conn = self.conn(Method::Get, target);
        // A read changes nothing, so its outcome is never indeterminate.
        exchange(conn).await.map_err(|error| match error {
            Error::Indeterminate { reason } => Error::Unavailable { reason },
            other => other,
        })
    }

    async fn list_of<T>(&self, target: &str) -> Result<Vec<T>, Error>
    where
        T: DeserializeOwned,
    {
        let response = self.get(target).await?;
        match response.status {
            Status::Ok => decode(&response.body),
            status => Err(unexpected(status)),
        }
    }

    async fn object(&self, target: &str) -> Result<Option<Object>, Error> {
        let response = self.get(target).await?;
        match response.status {
            Status::Ok => decode(&response.body).map(Some),
            Status::NotFound => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn change(&self, conn: Conn, size: usize) -> Result<Outcome, Error> {
        let response = exchange(conn).await.map_err(indeterminate)?;
        match response.status {
            Status::Ok => decode(&response.body)
                .map(Outcome::Written)
                .map_err(indeterminate),
            Status::Conflict => Ok(Outcome::Conflict),
            Status::PayloadTooLarge => Err(too_large(size)),
            status => Err(indeterminate(unexpected(status))),
        }
    }
}

impl Store for Http {
    async fn read(&self, path: &str) -> Result<Option<Object>, Error> {
        let target = format!("/object?path={}", query::escape(path));
        self.object(&target).await
    }

    async fn watch(
        &self,
        path: &str,
        seen: Option<Revision>,
        limit: Duration,
    ) -> Result<Option<Object>, Error> {
        let path = query::escape(path);
        let seen = query::revision(seen);
        let millis = limit.as_millis();
        let target = format!("/watch?path={path}&seen={seen}&limit-ms={millis}");
        self.object(&target).await
    }

    async fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> Result<Outcome, Error> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(too_large(value.len()));
        }
        let path = query::escape(path);
        let expected = query::revision(expected);
        let target = format!("/object?path={path}&expected={expected}");
        let conn = self.conn(Method::Put, &target).with_body(value.to_vec());
        self.change(conn, value.len()).await
    }

    async fn remove(&self, path: &str, expected: Revision) -> Result<Outcome, Error> {
        let path = query::escape(path);
        let target = format!("/object?path={path}&expected={}", expected.0);
        self.change(self.conn(Method::Delete, &target), 0).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let target = format!("/list?path={}", query::escape(prefix));
        self.list_of(&target).await
    }

    async fn servers(&self) -> Result<Vec<Server>, Error> {
        self.list_of("/servers").await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.list_of("/instances").await
    }
}

/// Maps a malformed response to a write to [`Error::Indeterminate`].
fn indeterminate(error: Error) -> Error {
    match error {
        Error::Malformed { reason } => Error::Indeterminate { reason },
        other => other,
    }
}

fn too_large(size: usize) -> Error {
    Error::TooLarge {
        size,
        limit: MAX_VALUE_BYTES,
    }
}

fn unexpected(status: Status) -> Error {
    Error::Malformed {
        reason: format!("unexpected status {status}"),
    }
}

fn decode<T>(body: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}
