//! The endpoint of the trace collector.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use thiserror::Error;

/// The path used for a URL without one, as the OTLP specification defines it.
const DEFAULT_PATH: &str = "/v1/traces";

const SCHEME: &str = "http://";

/// The endpoint of the collector that receives exported traces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address of the collector.
    pub address: SocketAddr,
    /// The path that exports are sent to.
    pub path: String,
}

/// Reasons for rejecting the URL of a collector.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadEndpoint {
    /// The scheme of the URL is not `http`.
    #[error("a collector's URL starts with http://")]
    Scheme,
    /// The URL does not contain an IP address and a port.
    #[error("a collector's URL names an IP address and a port")]
    Address,
}

impl FromStr for Endpoint {
    type Err = BadEndpoint;

    fn from_str(url: &str) -> Result<Self, BadEndpoint> {
        let rest = url.strip_prefix(SCHEME).ok_or(BadEndpoint::Scheme)?;
        let (address, path) = match rest.find('/') {
            Some(start) => rest.split_at(start),
            None => (rest, ""),
        };
        let address = address.parse().map_err(|_| BadEndpoint::Address)?;
        let path = match path {
            "" | "/" => DEFAULT_PATH,
            path => path,
        };
        Ok(Self {
            address,
            path: path.to_owned(),
        })
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SCHEME}{}{}", self.address, self.path)
    }
}
