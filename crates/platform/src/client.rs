//! The platform client, which adds time limits and counts of calls to a protocol.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use smol::future::FutureExt;

use crate::count::{Counts, Kind};
use crate::http::Http;
use crate::{Error, Instance, Object, Outcome, Revision, Server, Store};

/// The address of the platform and the time limits of calls.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The longest time that a call may take. For a watch this is added to the limit of the watch.
    pub time_limit: Duration,
    /// The longest time that connecting may take. A call that fails to connect has had no effect.
    pub connect_timeout: Duration,
}

impl Config {
    /// Returns a configuration for the platform at `address` with default limits.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            time_limit: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// A client of the platform. Clones share connections and counts.
///
/// The store `S` implements the protocol, without time limits or counts.
#[derive(Clone, Debug)]
pub struct Client<S = Http> {
    store: S,
    time_limit: Duration,
    counts: Arc<Counts>,
}

impl Client<Http> {
    /// Creates a client that uses HTTP. Connections are opened when calls need them.
    pub fn open(config: Config) -> Self {
        let http = Http::open(config.address, config.connect_timeout);
        Self::with_store(http, config.time_limit)
    }
}

impl<S> Client<S>
where
    S: Store,
{
    /// Creates a client that uses the protocol of `store`.
    pub fn with_store(store: S, time_limit: Duration) -> Self {
        Self {
            store,
            time_limit,
            counts: Arc::default(),
        }
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// Runs `call`. Fails with the error from `on_timeout` if it takes longer than `limit`.
    async fn with_limit<F, T>(
        &self,
        kind: Kind,
        limit: Duration,
        on_timeout: fn(String) -> Error,
        call: F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        self.counts.add_call(kind);
        let timeout = async {
            Boottime.sleep(limit).await;
            Err(on_timeout(format!("no answer within {limit:?}")))
        };
        let result = call.or(timeout).await;
        if result.is_err() {
            self.counts.add_failure(kind);
        }
        result
    }

    async fn run_read<F, T>(&self, kind: Kind, call: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        let on_timeout = |reason| Error::Unavailable { reason };
        self.with_limit(kind, self.time_limit, on_timeout, call)
            .await
    }

    async fn run_write<F, T>(&self, kind: Kind, call: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        let on_timeout = |reason| Error::Indeterminate { reason };
        self.with_limit(kind, self.time_limit, on_timeout, call)
            .await
    }
}

impl<S> Store for Client<S>
where
    S: Store,
{
    async fn read(&self, path: &str) -> Result<Option<Object>, Error> {
        self.run_read(Kind::Read, self.store.read(path)).await
    }

    async fn watch(
        &self,
        path: &str,
        seen: Option<Revision>,
        limit: Duration,
    ) -> Result<Option<Object>, Error> {
        let call = self.store.watch(path, seen, limit);
        let on_timeout = |reason| Error::Unavailable { reason };
        let longest = limit + self.time_limit;
        self.with_limit(Kind::Watch, longest, on_timeout, call)
            .await
    }

    async fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> Result<Outcome, Error> {
        let call = self.store.write(path, expected, value);
        self.run_write(Kind::Write, call).await
    }

    async fn remove(&self, path: &str, expected: Revision) -> Result<Outcome, Error> {
        let call = self.store.remove(path, expected);
        self.run_write(Kind::Remove, call).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        self.run_read(Kind::List, self.store.list(prefix)).await
    }

    async fn servers(&self) -> Result<Vec<Server>, Error> {
        self.run_read(Kind::Servers, self.store.servers()).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.run_read(Kind::Instances, self.store.instances()).await
    }

    fn counts(&self) -> Option<&Counts> {
        Some(&self.counts)
    }
}
