//! The client of the platform: time limits and counts around a protocol.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use smol::future::FutureExt;

use crate::count::{Counts, Kind};
use crate::http::Http;
use crate::{Error, Instance, Object, Outcome, Revision, Server, Store};

/// How to reach the platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the platform's object API listens.
    pub address: SocketAddr,
    /// The longest time that a call may take. A watch may take this much longer than its limit.
    pub time_limit: Duration,
    /// The longest time that connecting may take. A call that ends here surely wrote nothing.
    pub connect_timeout: Duration,
}

impl Config {
    /// Returns the settings for a platform at `address`, with the usual limits.
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
/// The protocol is the store `S`, which neither counts nor limits its calls.
#[derive(Clone, Debug)]
pub struct Client<S = Http> {
    store: S,
    time_limit: Duration,
    counts: Arc<Counts>,
}

impl Client<Http> {
    /// Opens a client that speaks HTTP. Connections are made as calls need them.
    pub fn open(config: Config) -> Self {
        let http = Http::open(config.address, config.connect_timeout);
        Self::with_store(http, config.time_limit)
    }
}

impl<S> Client<S>
where
    S: Store,
{
    /// Opens a client that speaks the protocol of `store`.
    pub fn with_store(store: S, time_limit: Duration) -> Self {
        Self {
            store,
            time_limit,
            counts: Arc::default(),
        }
    }

    /// Returns the counts of the calls made so far.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// Runs `call`, and fails with `late` where it lasts longer than `limit`.
    async fn limited<F, T>(
        &self,
        kind: Kind,
        limit: Duration,
        late: fn(String) -> Error,
        call: F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        self.counts.add_call(kind);
        let timeout = async {
            Boottime.sleep(limit).await;
            Err(late(format!("no answer within {limit:?}")))
        };
        let result = call.or(timeout).await;
        if result.is_err() {
            self.counts.add_failure(kind);
        }
        result
    }

    async fn reading<F, T>(&self, kind: Kind, call: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        let late = |reason| Error::Unavailable { reason };
        self.limited(kind, self.time_limit, late, call).await
    }

    async fn writing<F, T>(&self, kind: Kind, call: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send,
    {
        let late = |reason| Error::Indeterminate { reason };
        self.limited(kind, self.time_limit, late, call).await
    }
}

impl<S> Store for Client<S>
where
    S: Store,
{
    async fn read(&self, path: &str) -> Result<Option<Object>, Error> {
        self.reading(Kind::Read, self.store.read(path)).await
    }

    async fn watch(
        &self,
        path: &str,
        seen: Option<Revision>,
        limit: Duration,
    ) -> Result<Option<Object>, Error> {
        let call = self.store.watch(path, seen, limit);
        let late = |reason| Error::Unavailable { reason };
        let longest = limit + self.time_limit;
        self.limited(Kind::Watch, longest, late, call).await
    }

    async fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> Result<Outcome, Error> {
        let call = self.store.write(path, expected, value);
        self.writing(Kind::Write, call).await
    }

    async fn remove(&self, path: &str, expected: Revision) -> Result<Outcome, Error> {
        let call = self.store.remove(path, expected);
        self.writing(Kind::Remove, call).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        self.reading(Kind::List, self.store.list(prefix)).await
    }

    async fn servers(&self) -> Result<Vec<Server>, Error> {
        self.reading(Kind::Servers, self.store.servers()).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.reading(Kind::Instances, self.store.instances()).await
    }

    fn counts(&self) -> Option<&Counts> {
        Some(&self.counts)
    }
}
