//! Pools as the instances that act for them report them.

use std::collections::BTreeMap;
use std::fmt;

use contract::id;
use contract::report::{Pool, Status};

/// A pool and the instance whose report of it counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct View<'a> {
    /// The pool as reported.
    pub(super) pool: &'a Pool,
    /// The instance that reports it.
    pub(super) reporter: &'a id::Instance,
    /// The epoch of the report.
    epoch: u64,
}

impl<'a> View<'a> {
    /// Returns a view of each pool in the reports of `instances`, in the order of their names.
    pub(super) fn all(instances: &'a [Status]) -> Vec<Self> {
        let mut views: BTreeMap<(&id::Service, &id::Centre), Self> = BTreeMap::new();
        for status in instances {
            for pool in &status.pools {
                let view = Self {
                    pool,
                    reporter: &status.instance,
                    epoch: status.epoch,
                };
                let best = views.entry((&pool.service, &pool.centre)).or_insert(view);
                if view.rank() > best.rank() {
                    *best = view;
                }
            }
        }
        views.into_values().collect()
    }

    /// Returns whether the reporter acts for the pool, as its owner or as a deputy: nobody else
    /// knows its servers.
    pub(super) fn is_acting(&self) -> bool {
        self.is_owner() || (self.pool.owner.is_some() && !self.pool.servers.is_empty())
    }

    /// Returns whether the reporter is the owner.
    pub(super) fn is_owner(&self) -> bool {
        self.pool.owner.as_ref() == Some(self.reporter)
    }

    /// Returns how much the report counts: by whom it is, then how new it is.
    fn rank(&self) -> (bool, u64, bool, bool) {
        let owned = self.pool.owner.is_some();
        (self.is_acting(), self.epoch, self.is_owner(), owned)
    }

    fn write_servers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let servers = &self.pool.servers;
        let live: u32 = servers.iter().map(|server| server.live).sum();
        let allowance: u32 = servers.iter().map(|server| server.allowance).sum();
        let (count, waiting) = (servers.len(), self.pool.waiting);
        write!(f, "servers: {count}, credits in use: {live} of {allowance}")?;
        writeln!(f, ", calls waiting: {waiting}")?;
        for server in servers {
            let (name, version, state) = (&server.name, &server.version, server.state.join(", "));
            let (live, allowance) = (server.live, server.allowance);
            writeln!(f, "    {name} ({version}): {live} of {allowance}, {state}")?;
        }
        Ok(())
    }
}

impl fmt::Display for View<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Pool {
            service,
            centre,
            owner,
            ..
        } = self.pool;
        write!(f, "  {service} in {centre}: ")?;
        match owner {
            Some(owner) if !self.is_acting() => {
                return writeln!(f, "the owner {owner} has not answered");
            }
            None if !self.is_acting() => return writeln!(f, "no owner"),
            Some(owner) if !self.is_owner() => {
                write!(f, "{} acts for the owner {owner}, ", self.reporter)?;
            }
            _ => write!(f, "owner {}, ", self.reporter)?,
        }
        self.write_servers(f)
    }
}
