//! Helpers shared by tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use platform::{client, Client, Health, Server};
use stand_in::platform::Platform;

/// The time limit of a client in tests.
pub(crate) const TIME_LIMIT: Duration = Duration::from_millis(500);

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn open(address: SocketAddr) -> Client {
    Client::open(client::Config {
        time_limit: TIME_LIMIT,
        ..client::Config::new(address)
    })
}

pub(crate) fn bind() -> (Platform, Client) {
    let platform = Platform::bind(loopback()).unwrap();
    let client = open(platform.address());
    (platform, client)
}

pub(crate) fn server(name: &str) -> Server {
    Server {
        name: name.into(),
        address: loopback(),
        service: "gauge".into(),
        version: "v1".into(),
        centre: "north".into(),
        health: Health::Live,
    }
}

/// A clock that jumps to each deadline instead of waiting for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Jumping(Arc<AtomicU64>);

impl Clock for Jumping {
    fn now(&self) -> Instant {
        Instant::from_micros(self.0.load(Ordering::SeqCst))
    }

    fn time_of_day(&self) -> Duration {
        self.now().since(Instant::ZERO)
    }

    async fn sleep_until(&self, deadline: Instant) {
        self.0.fetch_max(deadline.as_micros(), Ordering::SeqCst);
    }
}
