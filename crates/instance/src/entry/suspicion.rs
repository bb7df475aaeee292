//! Requests that are suspected of ending backend servers.

use std::sync::Arc;

use clock::Clock;
use contract::id;
use platform::Store;
use policy::quarantine::{Fingerprint, Suspicion};
use smol::Task;
use wire::Message;

use super::call::Call;
use crate::node::Node;

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Notes that `server` ended while it ran `call`, and tells all instances.
    ///
    /// Completes once they know or cannot be reached: the call is neither tried again nor answered
    /// before, since its caller may send it again at once, through any instance.
    pub(crate) async fn note_crash(self: &Arc<Self>, call: &Call, server: &id::Server) {
        let suspicions = {
            let now = self.now();
            let mut quarantine = self.quarantine.lock();
            quarantine.record_crash(call.fingerprint, server, now);
            let all = quarantine.export(now).into_iter();
            all.filter(|suspicion| suspicion.fingerprint == call.fingerprint)
                .collect::<Vec<_>>()
        };
        if self.is_quarantined(call.fingerprint) {
            slog::warn!(self.log, "entry: a request is in quarantine"; "service" => %call.service,
                "route" => %call.route);
        }
        if let Some(suppressed) = self.alarms.crashes.pass(self.now()) {
            slog::warn!(self.log, "entry: a backend server ended while it ran a request";
                "server" => %server, "service" => %call.service, "route" => %call.route,
                "suppressed" => suppressed);
        }
        let roster = self.view.roster();
        let others = roster
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        let told: Vec<Task<()>> = others
            .map(|member| {
                let message = Message::Suspicions {
                    service: call.service.clone(),
                    suspicions: suspicions.clone(),
                };
                let (node, to) = (self.clone(), member.address);
                smol::spawn(async move {
                    // One that cannot be reached learns it from the owner of the pool.
                    let _lost = node.links.call(to, &message).await;
                })
            })
            .collect();
        for task in told {
            task.await;
        }
    }

    /// Returns whether a request is refused because it ended several backend servers.
    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.lock().is_blocked(fingerprint, self.now())
    }

    /// Takes in which requests of `service` another instance suspects.
    pub(crate) fn suspect(&self, service: &id::Service, suspicions: &[Suspicion]) {
        let now = self.now();
        self.quarantine.lock().merge(suspicions, now);
        let mut desks = self.desks.lock();
        for desk in desks
            .desks_mut()
            .filter(|desk| desk.name.service == *service)
        {
            desk.pool.quarantine_mut().merge(suspicions, now);
        }
    }
}
