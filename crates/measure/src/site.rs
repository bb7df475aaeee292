//! The machines and the links between them.

use std::time::Duration;

/// The data centres.
pub const CENTRES: usize = 3;

/// The entry instances.
pub const ENTRIES: usize = 19;

/// The requests that a warm backend server takes at once.
pub const SLOTS: u32 = 4;

/// The time of a message from one data centre to another.
const CROSSING: Duration = Duration::from_micros(500);

/// The machines of one service and the links between them.
#[derive(Clone, Debug)]
pub struct Site {
    /// The backend servers.
    pub servers: usize,
    /// The time of a message within a data centre.
    pub local: Duration,
    /// What handling adds to the time of each message between entries and owners.
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

    /// Returns the time of a message from one data centre to another.
    pub fn link(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.local
        } else {
            CROSSING
        }
    }

    /// Returns the requests that all servers take at once.
    pub fn slots(&self) -> usize {
        self.servers * SLOTS as usize
    }
}
