//! Records what servers ask for in their responses: a pause, a limit on their requests, or no further
//! requests at all.

use balance::server::Key;
use client::Response;
use clock::Clock;

use crate::gossip;
use crate::headers::{self, Codec};
use crate::node::Node;
use crate::store::Store;

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Records the pause that the server asks for in a response, if it does.
    pub(crate) fn record_pause(&self, key: Key, response: &Response) {
        const UNAVAILABLE: u16 = 503;
        if response.status != UNAVAILABLE {
            return;
        }
        let Some(pause) = headers::retry_after(&response.headers) else {
            return;
        };
        let now = self.now();
        let mut table = self.table.lock();
        table.pause(key, pause, now);
        if let Some(suppressed) = self.limits.conditions.pass(now) {
            let server = table.get(key).map(|b| b.server.id.as_str());
            slog::info!(self.log, "forward: server wants a pause"; "server" => server,
                "millis" => pause.as_millis(), "suppressed" => suppressed);
        }
    }

    /// Records whether the server has said that it leaves, which it does not take back. Returns what to
    /// tell other instances.
    pub(crate) fn record_leaving(&self, key: Key, is_leaving: bool) -> bool {
        let now = self.now();
        let mut table = self.table.lock();
        if is_leaving && table.set_leaving(key, now) {
            if let Some(suppressed) = self.limits.conditions.pass(now) {
                let server = table.get(key).map(|b| b.server.id.as_str());
                slog::info!(self.log, "forward: server leaves"; "server" => server,
                    "suppressed" => suppressed);
            }
        }
        is_leaving
    }

    /// Records the requests a second that the server takes from all instances together, or that it
    /// names no limit. Returns what to tell other instances.
    pub(crate) fn record_limit(&self, key: Key, limit: Option<f64>) -> Option<gossip::Limit> {
        let now = self.now();
        let mut table = self.table.lock();
        let is_changed = table.set_limit(key, limit, now);
        let news = limit.map(gossip::Limit::Rate);
        if !is_changed {
            return news;
        }
        if let Some(suppressed) = self.limits.conditions.pass(now) {
            let server = table.get(key).map(|b| b.server.id.as_str());
            slog::info!(self.log, "forward: server changed its limit"; "server" => server,
                "requests per second" => limit, "suppressed" => suppressed);
        }
        news.or(Some(gossip::Limit::Ended))
    }
}
