//! Where traces are exported to.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use thiserror::Error;

/// The path of a URL that has none, by the OTLP specification.
const DEFAULT_PATH: &str = "/v1/traces";

const SCHEME: &str = "http://";

/// Where traces are exported to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address of the collector.
    pub address: SocketAddr,
    /// The path that exports are sent to.
    pub path: String,
}

/// Why a URL cannot be exported to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadEndpoint {
    /// The URL has another scheme.
    #[error("a collector's URL starts with http://")]
    Scheme,
    /// The URL names no IP address and port.
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
