//! Connects the tool to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use platform::{Error, Object, Outcome, Revision, Server, Store};

/// Returns the store at `address`.
pub(crate) fn open(address: SocketAddr) -> impl Store {
    Unconnected(address)
}

/// A store that takes no call.
#[derive(Clone, Debug)]
struct Unconnected(SocketAddr);

impl Unconnected {
    fn error(&self) -> Error {
        let reason = format!("this build has no client for the platform at {}", self.0);
        Error::Unavailable { reason }
    }
}

impl Store for Unconnected {
    async fn read(&self, _: &str) -> Result<Option<Object>, Error> {
        Err(self.error())
    }

    async fn watch(
        &self,
        _: &str,
        _: Option<Revision>,
        _: Duration,
    ) -> Result<Option<Object>, Error> {
        Err(self.error())
    }

    async fn write(&self, _: &str, _: Option<Revision>, _: &[u8]) -> Result<Outcome, Error> {
        Err(self.error())
    }

    async fn remove(&self, _: &str, _: Revision) -> Result<Outcome, Error> {
        Err(self.error())
    }

    async fn list(&self, _: &str) -> Result<Vec<String>, Error> {
        Err(self.error())
    }

    async fn servers(&self) -> Result<Vec<Server>, Error> {
        Err(self.error())
    }
}
