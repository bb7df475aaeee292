//! Decides whether the caller of a request may have it run, and for which tenant.
//!
//! The configuration may change while a request waits, so that each attempt is decided again right
//! before it is sent.

use std::sync::{Arc, OnceLock};

use balance::config::Active;
use balance::route::Route;
use clock::Clock;

use super::refusal::Refusal;
use crate::callers::Request;
use crate::headers::{Codec, Credential, Tenancy};
use crate::node::Node;
use crate::store::Store;

/// What a request was admitted by at its arrival.
#[derive(Debug)]
pub(crate) struct Access<'a> {
    request: &'a Request,
    config: &'a Arc<Active>,
    route: &'a Route,
    tenancy: Tenancy<'a>,
    /// The tenant of the first attempt that was sent. Further ones are sent for the same only.
    sent_for: OnceLock<Option<Box<str>>>,
}

impl<'a> Access<'a> {
    /// Admits a request for `route` of `config`, or returns the reason to refuse it.
    pub(super) fn admit<S, H, C>(
        node: &Node<S, H, C>,
        request: &'a Request,
        config: &'a Arc<Active>,
        route: &'a Route,
    ) -> Result<Self, Refusal>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        Ok(Self {
            request,
            config,
            route,
            tenancy: decide(node, request, config, route)?,
            sent_for: OnceLock::new(),
        })
    }

    /// Returns which tenant the request belonged to at its arrival.
    pub(super) fn tenancy(&self) -> Tenancy<'a> {
        self.tenancy
    }

    /// Returns the priority of that tenant.
    pub(super) fn priority(&self) -> Option<u32> {
        let name = name(self.tenancy)?;
        let tenants = self.config.tenants.as_ref()?;
        tenants.get(name)?.priority
    }

    /// Decides again, by the configuration `current`, before an attempt. An attempt for another tenant
    /// than an earlier one is refused, as the server of that one may have run it.
    pub(super) fn check<'c, S, H, C>(
        &'c self,
        node: &Node<S, H, C>,
        current: &'c Option<Arc<Active>>,
    ) -> Result<Tenancy<'c>, Refusal>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        // A configuration is replaced, but never removed.
        let current = current.as_ref().unwrap_or(self.config);
        let tenancy = if Arc::ptr_eq(current, self.config) {
            check_age(node, self.config, self.route)?;
            self.tenancy
        } else {
            self.decide_again(node, current)?
        };
        let is_for_another = |tenant: &Option<Box<str>>| tenant.as_deref() != name(tenancy);
        if self.sent_for.get().is_some_and(is_for_another) {
            return Err(Refusal::OtherTenant);
        }
        Ok(tenancy)
    }

    /// As [`Self::check`], for an attempt that is sent at once.
    pub(super) fn check_and_send<'c, S, H, C>(
        &'c self,
        node: &Node<S, H, C>,
        current: &'c Option<Arc<Active>>,
    ) -> Result<Tenancy<'c>, Refusal>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let tenancy = self.check(node, current)?;
        self.sent_for.get_or_init(|| name(tenancy).map(Box::from));
        Ok(tenancy)
    }

    fn decide_again<'c, S, H, C>(
        &self,
        node: &Node<S, H, C>,
        current: &'c Active,
    ) -> Result<Tenancy<'c>, Refusal>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        if self.config.tenants.is_none() && current.tenants.is_none() {
            return Ok(Tenancy::Disabled);
        }
        let Some(route) = current.route(&self.request.host, self.request.path()) else {
            return Err(node.refusal_of_unknown(Refusal::NoRoute));
        };
        decide(node, self.request, current, route).map_err(|refusal| {
            let had_key = matches!(self.tenancy, Tenancy::Tenant(_));
            match refusal {
                Refusal::UnknownKey if had_key => Refusal::RemovedKey,
                refusal => refusal,
            }
        })
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns `refusal`, which is for a route or key that the configuration does not have, unless
    /// another instance is known to have a newer one, which may have it.
    pub(super) fn refusal_of_unknown(&self, refusal: Refusal) -> Refusal {
        if self.has_old_config() {
            Refusal::OldConfig
        } else {
            refusal
        }
    }

    /// Returns whether the configuration in force has tenants.
    pub(crate) fn has_tenants(&self) -> bool {
        let config = self.config.load();
        config.as_ref().is_some_and(|c| c.tenants.is_some())
    }

    /// Returns whether the data centre has had no reader that reaches the store for so long that keys
    /// may not be used any more.
    pub(super) fn are_keys_unconfirmed(&self) -> bool {
        let limit = self.settings.load().bounds.max_key_age;
        limit.is_some_and(|limit| self.time_without_reader() > limit)
    }
}

fn name(tenancy: Tenancy<'_>) -> Option<&str> {
    match tenancy {
        Tenancy::Tenant(name) => Some(name),
        Tenancy::Disabled | Tenancy::Anonymous => None,
    }
}

/// Decides which tenant a request for `route` of `config` belongs to, or why it is refused.
fn decide<'c, S, H, C>(
    node: &Node<S, H, C>,
    request: &Request,
    config: &'c Active,
    route: &Route,
) -> Result<Tenancy<'c>, Refusal>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    if config.tenants.is_none() {
        let is_stripped = request.is_stripped();
        return Ok(if is_stripped {
            Tenancy::Anonymous
        } else {
            Tenancy::Disabled
        });
    }
    check_age(node, config, route)?;
    let refusal = match request.credential(&node.codec) {
        Some(Credential::Key(digest)) => match config.tenant_of(&digest) {
            Some(tenant) => return Ok(Tenancy::Tenant(tenant.name)),
            None => Refusal::UnknownKey,
        },
        Some(Credential::Malformed) => Refusal::MalformedKey,
        None => Refusal::NoKey,
    };
    if route.public {
        return Ok(Tenancy::Anonymous);
    }
    Err(node.refusal_of_unknown(refusal))
}

/// Refuses a request that needs a key while the keys may be out of date.
fn check_age<S, H, C>(node: &Node<S, H, C>, config: &Active, route: &Route) -> Result<(), Refusal>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let needs_key = config.tenants.is_some() && !route.public;
    if needs_key && (node.is_unattended() || node.are_keys_unconfirmed()) {
        return Err(Refusal::UnconfirmedKeys);
    }
    Ok(())
}
