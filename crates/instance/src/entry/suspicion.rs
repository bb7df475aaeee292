//! Shares suspicions about requests that crash backend servers.

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
    /// Records that `server` crashed while it ran `call`, and reports it to all other instances.
    ///
    /// Completes once each instance has confirmed or was unreachable. Until then the call is
    /// neither retried nor answered, since its caller may resend it at once through any instance.
    pub(crate) async fn report_crash(self: &Arc<Self>, call: &Call, server: &id::Server) {
        let suspicions = {
            let now = self.now();
            let mut quarantine = self.quarantine.lock();
            quarantine.record_crash(call.fingerprint, server, now);
            let all = quarantine.export(now).into_iter();
            all.filter(|suspicion| suspicion.fingerprint == call.fingerprint)
                .collect::<Vec<_>>()
        };
        if self.is_quarantined(call.fingerprint) {
            slog::warn!(self.log, "entry: quarantined a request"; "service" => %call.service,
                "route" => %call.route);
        }
        if let Some(suppressed) = self.alarms.crashes.pass(self.now()) {
            slog::warn!(self.log, "entry: a backend server crashed during a request";
                "server" => %server, "service" => %call.service, "route" => %call.route,
                "suppressed" => suppressed);
        }
        let roster = self.view.roster();
        let others = roster
            .members
            .iter()
            .filter(|member| member.name != self.me.name);
        let reports: Vec<Task<()>> = others
            .map(|member| {
                let message = Message::Suspicions {
                    service: call.service.clone(),
                    suspicions: suspicions.clone(),
                };
                let (node, to) = (self.clone(), member.address);
                smol::spawn(async move {
                    // An unreachable instance gets the suspicion from the owner of the pool.
                    let _lost = node.links.call(to, &message).await;
                })
            })
            .collect();
        for task in reports {
            task.await;
        }
    }

    /// Returns whether a request is refused because it crashed several backend servers.
    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.lock().is_blocked(fingerprint, self.now())
    }

    /// Merges suspicions about requests of `service` that another instance reported.
    pub(crate) fn merge_suspicions(&self, service: &id::Service, suspicions: &[Suspicion]) {
        let now = self.now();
        self.quarantine.lock().merge(suspicions, now);
        let mut pools = self.pools.lock();
        for allocator in pools
            .iter_mut()
            .filter(|allocator| allocator.name.service == *service)
        {
            allocator.pool.quarantine_mut().merge(suspicions, now);
        }
    }
}
