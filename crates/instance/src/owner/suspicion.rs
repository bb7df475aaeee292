//! Spreads which requests are suspected of ending backend servers.

use std::sync::Arc;

use clock::Clock;
use contract::id;
use platform::Store;
use policy::evidence::Outcome;
use policy::quarantine::Suspicion;
use wire::ask::Returns;
use wire::Message;

use crate::node::Node;

/// Returns whether a crash is among what came back.
pub(super) fn has_crash(returns: &Returns) -> bool {
    let evidence = returns
        .returns
        .iter()
        .filter_map(|entry| entry.evidence.as_ref());
    evidence
        .into_iter()
        .any(|evidence| evidence.outcome == Outcome::Crashed)
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Tells all instances which requests of `service` are suspected here.
    ///
    /// A caller whose request ended a server sends it again at once, perhaps through an instance that
    /// asks the pool of another data centre.
    pub(crate) fn spread_suspicions(self: &Arc<Self>, service: &id::Service) {
        let suspicions = self.suspicions(service);
        if suspicions.is_empty() {
            return;
        }
        self.suspect(service, &suspicions);
        let roster = self.view.roster();
        let others = roster
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        for member in others {
            let (node, to) = (self.clone(), member.address);
            let (service, suspicions) = (service.clone(), suspicions.clone());
            smol::spawn(async move {
                let message = Message::Suspicions {
                    service,
                    suspicions,
                };
                // The next crash tells it again.
                let _lost = node.links.call(to, &message).await;
            })
            .detach();
        }
    }

    fn suspicions(&self, service: &id::Service) -> Vec<Suspicion> {
        let now = self.now();
        let mut desks = self.desks.lock();
        let ours = desks
            .desks_mut()
            .filter(|desk| desk.name.service == *service);
        ours.flat_map(|desk| desk.pool.quarantine().export(now))
            .collect()
    }

    /// Takes in which requests of `service` are suspected elsewhere.
    pub(crate) fn suspect(&self, service: &id::Service, suspicions: &[Suspicion]) {
        let now = self.now();
        let mut desks = self.desks.lock();
        for desk in desks
            .desks_mut()
            .filter(|desk| desk.name.service == *service)
        {
            desk.pool.quarantine_mut().merge(suspicions, now);
        }
    }
}
