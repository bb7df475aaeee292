//! Which instances of a data centre collect the usage.

use std::time::Duration;

use clock::Instant;

/// The number of collectors.
const COLLECTORS: usize = 2;

/// How long an instance has to be the reader before it collects in place of another one that is alive.
/// While the store fails, the role moves several times a second.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Which instances of a data centre collect the usage. All instances derive the same ones, but for the
/// time that news of a change takes.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    first: Option<u64>,
    /// The reader, if it is another one, and since when it is.
    successor: Option<(u64, Instant)>,
}

impl Ranking {
    /// Returns the collectors, from the live instances that read the store and the `others`, in the
    /// order in which they would take over.
    pub fn update(&mut self, readers: &[u64], others: &[u64], now: Instant) -> Vec<u64> {
        let is_live = |instance: &u64| readers.contains(instance) || others.contains(instance);
        self.first = self.first.filter(is_live);
        let reader = readers.first().copied();
        match (self.first, reader) {
            (None, _) => (self.first, self.successor) = (reader, None),
            (Some(first), Some(reader)) if first != reader => {
                let known = self.successor.filter(|(successor, _)| *successor == reader);
                let (_, since) = *self.successor.insert(known.unwrap_or((reader, now)));
                if now.since(since) >= HANDOVER_TIME {
                    (self.first, self.successor) = (Some(reader), None);
                }
            }
            _ => self.successor = None,
        }
        let first = self.first;
        let next = readers.iter().chain(others).copied();
        let next = next.filter(|instance| Some(*instance) != first);
        first.into_iter().chain(next).take(COLLECTORS).collect()
    }
}
