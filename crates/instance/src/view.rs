//! The current bundle, roster and backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use contract::{id, Bundle};
use membership::roster::Roster;
use platform::Server;

/// The current bundle, roster and backend servers. Each is replaced as a whole and read without a
/// lock.
#[derive(Debug, Default)]
pub struct View {
    bundle: ArcSwap<Bundle>,
    roster: ArcSwap<Roster>,
    servers: ArcSwap<Vec<Server>>,
}

impl View {
    /// Returns the bundle in force. Its version is 0 before the first.
    pub fn bundle(&self) -> Arc<Bundle> {
        self.bundle.load_full()
    }

    /// Puts `bundle` in force if its version is later than the current one. Returns whether it did.
    pub fn set_bundle(&self, bundle: Bundle) -> bool {
        let bundle = Arc::new(bundle);
        let before = self
            .bundle
            .rcu(|current| match current.version < bundle.version {
                true => bundle.clone(),
                false => current.clone(),
            });
        before.version < bundle.version
    }

    /// Returns the roster.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Replaces the roster.
    pub fn set_roster(&self, roster: Roster) {
        self.roster.store(Arc::new(roster));
    }

    /// Returns the backend servers of the platform's list.
    pub fn servers(&self) -> Arc<Vec<Server>> {
        self.servers.load_full()
    }

    /// Replaces the backend servers. Returns whether they changed.
    pub fn set_servers(&self, servers: Vec<Server>) -> bool {
        let changed = **self.servers.load() != servers;
        if changed {
            self.servers.store(Arc::new(servers));
        }
        changed
    }

    /// Returns the address at which the backend server `name` accepts requests.
    pub fn address(&self, name: &id::Server) -> Option<SocketAddr> {
        let servers = self.servers.load();
        servers.iter().find(|s| s.name == *name).map(|s| s.address)
    }
}
