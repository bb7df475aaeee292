//! The machines and the links between them.

use std::time::Duration;

/// The number of data centres.
pub const CENTRES: usize = 3;

/// The number of entry instances.
pub const ENTRIES: usize = 19;

/// The requests that a backend server runs concurrently.
pub const SLOTS: u32 = 4;

/// The latency of a message between two data centres.
const CROSS_CENTRE_DELAY: Duration = Duration::from_micros(500);

/// The machines of one service and the links between them.
#[derive(Clone, Debug)]
pub struct Site {
    /// The number of backend servers.
    pub servers: usize,
    /// The latency of a message within a data centre.
    pub local: Duration,
    /// The handling time added to each message between entry instances and owners.
    pub handling: Duration,
}

impl Site {
    /// Returns a site with `servers` backend servers.
    pub fn new(servers: usize) -> Self {
        Self {
            servers,
            local: Duration::from_micros(50),
            handling: Duration::ZERO,
        }
    }

    /// Returns the data centre of an entry instance.
    pub fn centre_of_entry(&self, entry: usize) -> usize {
        entry % CENTRES
    }

    /// Returns the data centre of a backend server.
    pub fn centre_of_server(&self, server: usize) -> usize {
        server % CENTRES
    }

    /// Returns the latency of a message between two data centres, which may be the same.
    pub fn link(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.local
        } else {
            CROSS_CENTRE_DELAY
        }
    }

    /// Returns the requests that all servers together run concurrently.
    pub fn slots(&self) -> usize {
        self.servers * SLOTS as usize
    }
}
