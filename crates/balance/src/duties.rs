//! What one instance does for its data centre: the servers whose load it knows, those that it
//! probes and those that it warms up.

use std::collections::{HashMap, HashSet};

use crate::group::{Division, Group};
use crate::rendezvous;
use crate::server::Key;

/// Which data centre a server belongs to, and which one uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It belongs to this data centre, which uses it.
    Own,
    /// It belongs to this data centre and is lent to another one.
    Lent,
    /// It is borrowed from another data centre.
    Borrowed,
    /// It belongs to another data centre.
    Remote,
}

impl Origin {
    /// Returns whether the server belongs to this data centre.
    fn is_own(self) -> bool {
        matches!(self, Self::Own | Self::Lent)
    }

    /// Returns whether only this data centre sends requests to the server.
    pub fn is_exclusive(self) -> bool {
        matches!(self, Self::Own | Self::Borrowed)
    }
}

/// A server as far as it determines the duties of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// The server.
    pub key: Key,
    /// Its service and version, which form a pool together.
    pub pool: (&'a str, &'a str),
    /// Who owns and uses it.
    pub origin: Origin,
}

/// The duties of one instance, as derived from the live instances and the servers.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    division: Division,
    groups: HashMap<Key, Group>,
    /// The servers of groups that the instance is not in.
    elsewhere: HashSet<Key>,
    /// The largest group of each service that the instance is in.
    own_groups: HashMap<String, Group>,
    warming: HashSet<Key>,
    probed: HashSet<Key>,
    /// The servers that only this data centre uses, by service.
    exclusive_servers: HashMap<String, usize>,
}

impl Duties {
    /// Derives the duties of `instance` among the live `instances` of its data centre.
    pub fn new<'a>(
        instance: u64,
        instances: &[u64],
        servers: impl Iterator<Item = Member<'a>>,
    ) -> Self {
        let mut pools: HashMap<(&str, &str), Vec<Member<'_>>> = HashMap::new();
        for server in servers {
            pools.entry(server.pool).or_default().push(server);
        }
        let mut duties = Self {
            division: Division::new(instances),
            ..Self::default()
        };
        for ((service, _), mut pool) in pools {
            let remote = |server: &Member<'_>| server.origin == Origin::Remote;
            for server in pool.iter().filter(|server| remote(server)) {
                duties.add_remote(instance, server.key);
            }
            pool.retain(|server| !remote(server));
            pool.sort_by_cached_key(|server| (rendezvous::weight(&server.key, &()), server.key));
            let total = pool.iter().filter(|s| s.origin.is_own()).count();
            let borrowed = pool.iter().filter(|s| s.origin == Origin::Borrowed);
            let count = duties.division.count(total.max(borrowed.count()));
            let mut rank = 0;
            for server in pool {
                let group = if server.origin.is_own() {
                    rank += 1;
                    Group::of_rank(rank - 1, total, count)
                } else {
                    // Loans change often, so the group does not depend on other borrowed servers.
                    Group::of_hash(rendezvous::weight(&server.key, &()), count)
                };
                duties.add(instance, service, &server, group);
            }
        }
        duties
    }

    /// Adds a server of another data centre. All instances may use what that can take.
    fn add_remote(&mut self, instance: u64, key: Key) {
        // There are many, and few are probed, so that the choice need not be stable.
        if self.division.member_for(key) == Some(instance) {
            self.probed.insert(key);
        }
    }

    fn add(&mut self, instance: u64, service: &str, server: &Member<'_>, group: Group) {
        let (key, origin) = (server.key, server.origin);
        self.groups.insert(key, group);
        if origin.is_exclusive() {
            match self.exclusive_servers.get_mut(service) {
                Some(count) => *count += 1,
                None => drop(self.exclusive_servers.insert(service.to_owned(), 1)),
            }
        }
        if !self.division.contains(group, instance) {
            self.elsewhere.insert(key);
            return;
        }
        match self.own_groups.get_mut(service) {
            Some(own_group) => *own_group = group.wider(*own_group),
            None => drop(self.own_groups.insert(service.to_owned(), group)),
        }
        let members = self.division.instances(group);
        if rendezvous::pick(members, &key) == Some(&instance) {
            self.probed.insert(key);
            // Only the server's own data centre warms it up, so that exactly one instance does.
            if origin.is_own() {
                self.warming.insert(key);
            }
        }
    }

    /// Returns whether the data centre is divided into groups.
    pub fn is_divided(&self) -> bool {
        self.division.is_divided()
    }

    /// Returns the group whose instances are told of requests at the server, or `None` if that is
    /// the whole data centre.
    pub fn group(&self, key: Key) -> Option<Group> {
        let group = self.groups.get(&key).copied();
        group.filter(|group| group.is_partial())
    }

    /// Returns the group whose instances use the same servers as this one for any of `services`,
    /// or `None` if that is the whole data centre.
    pub fn widest_group<'a>(&self, services: impl Iterator<Item = &'a str>) -> Option<Group> {
        let groups = services.map(|service| self.own_groups.get(service).copied());
        let widest = groups.reduce(|a, b| Some(a?.wider(b?)));
        widest.flatten().filter(|group| group.is_partial())
    }

    /// Returns the instances of `group`.
    pub fn instances(&self, group: Group) -> &[u64] {
        self.division.instances(group)
    }

    /// Returns whether `instance` uses some of the servers that this one uses for `service`.
    pub fn shares_servers(&self, service: &str, instance: u64) -> bool {
        let group = self.own_groups.get(service);
        group.is_none_or(|group| self.division.contains(*group, instance))
    }

    /// Returns whether the instance is not told of requests at the server.
    pub fn is_elsewhere(&self, key: Key) -> bool {
        self.elsewhere.contains(&key)
    }

    /// Returns whether the instance warms the server up while it is cold.
    pub fn is_warming(&self, key: Key) -> bool {
        self.warming.contains(&key)
    }

    /// Returns whether the instance probes the server for its group.
    pub fn is_prober_of(&self, key: Key) -> bool {
        self.probed.contains(&key)
    }

    /// Returns the servers that the instance probes for its group.
    pub fn probed(&self) -> impl Iterator<Item = Key> + '_ {
        self.probed.iter().copied()
    }

    /// Returns the number of servers of `service` that only this data centre uses.
    pub fn exclusive_servers(&self, service: &str) -> usize {
        self.exclusive_servers.get(service).copied().unwrap_or(0)
    }
}
