//! Connects with a time limit of its own and marks failures, so they can be distinguished from
//! failures after a request may have been sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use clock::{Boottime, Clock};
use smol::future::FutureExt;
use thiserror::Error;
use trillium_client::{async_trait, Connector as Connect, Url};
use trillium_smol::async_net::TcpStream;
use trillium_smol::{ClientConfig, SmolTransport};

/// The connection could not be opened, so nothing was sent.
///
/// The HTTP library passes it on inside an [`io::Error`].
#[derive(Debug, Error)]
#[error("cannot connect: {0}")]
pub(crate) struct ConnectError(io::Error);

/// Connects within a time limit and marks failures as [`ConnectError`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connector {
    inner: ClientConfig,
    limit: Duration,
}

impl Connector {
    pub(crate) fn new(limit: Duration) -> Self {
        let inner = ClientConfig::new().with_nodelay(true);
        Self { inner, limit }
    }
}

#[async_trait]
impl Connect for Connector {
    type Transport = SmolTransport<TcpStream>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let timeout = async {
            Boottime.sleep(self.limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = self.inner.connect(url).or(timeout).await;
        connected.map_err(|error| io::Error::new(error.kind(), ConnectError(error)))
    }

    fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.inner.spawn(task);
    }
}
