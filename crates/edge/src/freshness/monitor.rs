//! Logs records that are not confirmed in time.

use std::time::Duration;

use balance::record::Kind;
use clock::{Clock, Instant};

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// The age from which records count as old: the time within which their changes have to be in force.
fn max_age(kind: Kind) -> Duration {
    if Kind::URGENT.contains(&kind) {
        Duration::from_secs(2)
    } else {
        Duration::from_secs(5)
    }
}

/// Records that are old.
#[derive(Clone, Copy, Debug)]
struct Old {
    max_age: Duration,
    is_logged: bool,
}

/// Logs when records become old and when they are confirmed again.
#[derive(Debug)]
pub(crate) struct Monitor {
    started_at: Instant,
    /// By [`Kind::index`].
    old: [Option<Old>; Kind::ALL.len()],
}

impl Monitor {
    /// Returns a monitor of an instance that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            old: [None; Kind::ALL.len()],
        }
    }

    /// Compares the ages of the records with the limits.
    pub(crate) fn check<S, H, C>(&mut self, node: &Node<S, H, C>)
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let now = node.now();
        for kind in Kind::ALL {
            let confirmed_at = node.freshness.confirmed_at(kind);
            let age = now.since(confirmed_at.unwrap_or(self.started_at));
            let old = &mut self.old[kind.index()];
            if age < max_age(kind) {
                if let Some(old) = old.take().filter(|old| old.is_logged) {
                    slog::info!(node.log, "freshness: records are fresh again";
                        "kind" => kind.name(), "age millis" => age.as_millis(),
                        "oldest millis" => old.max_age.as_millis());
                }
            } else if let Some(old) = old {
                old.max_age = old.max_age.max(age);
            } else {
                let suppressed = node.limits.freshness.pass(now);
                *old = Some(Old {
                    max_age: age,
                    is_logged: suppressed.is_some(),
                });
                if let Some(suppressed) = suppressed {
                    log_old(node, kind, age, confirmed_at.is_some(), suppressed);
                }
            }
        }
    }
}

fn log_old<S, H, C>(
    node: &Node<S, H, C>,
    kind: Kind,
    age: Duration,
    was_confirmed: bool,
    suppressed: u64,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let revision = node.view.lock().replica(kind).revision();
    let (reader, newest) = {
        let members = node.members.lock();
        let reader = members.reader(node.now()).map(|reader| reader.address);
        (reader, members.max_revision(kind, node.now()))
    };
    slog::warn!(node.log, "freshness: records are old"; "kind" => kind.name(),
        "age millis" => age.as_millis(), "was confirmed" => was_confirmed,
        "revision" => revision, "newest announced revision" => newest,
        "is reader" => node.is_reader(), "reads store" => node.is_reader() && node.reads_store(),
        "store responds" => node.has_store_contact(), "other reader" => ?reader,
        "millis without reader" => node.time_without_reader().as_millis(),
        "suppressed" => suppressed);
}
