//! Reads and appends to the log of a shard.

use claim::append;
use claim::history::History;
use claim::segment::{self, Segment};
use claim::shard::Shard;
use claim::writer::Writer;
use clock::{Clock, Instant};
use platform::{Error, Outcome, Store};

use super::keeper::{Keeper, Next};
use crate::node::Node;

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Does the next step for `shard`: reads its log, takes it over, or appends to it.
    pub(super) async fn advance_shard(&self, shard: Shard, since: Instant) -> Result<(), Error> {
        loop {
            let next = self.with_keeper(shard, since, Keeper::next);
            match next {
                Next::Load => {
                    if !self.load(shard, since).await? {
                        return Ok(());
                    }
                }
                Next::ReadBack(number) => self.read_back(shard, since, number).await?,
                Next::Append(segment) => self.append(since, segment).await?,
                Next::Remove(number) => self.remove(shard, since, number).await?,
                Next::Wait => return Ok(()),
            }
            self.with_keeper(shard, since, Keeper::succeed);
        }
    }

    fn with_keeper<F, T>(&self, shard: Shard, since: Instant, step: F) -> T
    where
        F: FnOnce(&mut Keeper) -> T,
    {
        let now = self.now();
        step(self.claims.lock().keeper(shard, since, now))
    }

    /// Reads the whole log and takes it over. Returns false while it is not known whether the log
    /// holds every claim.
    async fn load(&self, shard: Shard, since: Instant) -> Result<bool, Error> {
        let Some(history) = self.history(shard, since) else {
            return Ok(false);
        };
        let mut paths = self.store.list(&segment::prefix(shard)).await?;
        paths.sort();
        let mut segments = Vec::with_capacity(paths.len());
        for path in &paths {
            match self.read_segment(path).await? {
                Some(segment) => segments.push(segment),
                // It was removed after the list was made: what it held was copied further on.
                None => return Ok(false),
            }
        }
        let now = self.now();
        let writer = Writer(*uuid::Uuid::new_v4().as_bytes());
        let owner = self.me.name.clone();
        self.with_keeper(shard, since, |keeper| {
            // An earlier reading may have ended half-way, or met another's segment.
            keeper.restart(since, now);
            for segment in &segments {
                if let Err(e) = keeper.ledger.replay(segment) {
                    return Err(Error::Malformed {
                        reason: e.to_string(),
                    });
                }
            }
            keeper.ledger.take_over(&owner, writer, history, now);
            keeper.loaded = true;
            Ok(true)
        })
    }

    async fn read_segment(&self, path: &str) -> Result<Option<Segment>, Error> {
        let Some(object) = self.store.read(path).await? else {
            return Ok(None);
        };
        let decoded = Segment::decode(&object.value);
        decoded.map(Some).map_err(|e| Error::Malformed {
            reason: e.to_string(),
        })
    }

    async fn append(&self, since: Instant, segment: Segment) -> Result<(), Error> {
        let encoded = segment.encode();
        let bytes = encoded.map_err(|e| Error::Malformed {
            reason: e.to_string(),
        })?;
        let written = self.store.write(&segment.path(), None, &bytes).await;
        let outcome = match &written {
            Ok(Outcome::Written(_)) => append::Outcome::Durable,
            Ok(Outcome::Conflict) => append::Outcome::Conflict,
            // A write that was refused is read back like one whose answer was lost.
            Err(_) => append::Outcome::Indeterminate,
        };
        self.with_keeper(segment.shard, since, |keeper| {
            let decisions = keeper.ledger.handle_append(segment.number, outcome);
            keeper.deliver(decisions);
        });
        written.map(|_| ())
    }

    async fn read_back(&self, shard: Shard, since: Instant, number: u64) -> Result<(), Error> {
        let found = self.read_segment(&segment::path(shard, number)).await?;
        self.with_keeper(shard, since, |keeper| {
            let decisions = keeper.ledger.handle_read_back(found.as_ref());
            keeper.deliver(decisions);
        });
        Ok(())
    }

    async fn remove(&self, shard: Shard, since: Instant, number: u64) -> Result<(), Error> {
        let path = segment::path(shard, number);
        if let Some(object) = self.store.read(&path).await? {
            self.store.remove(&path, object.revision).await?;
        }
        self.with_keeper(shard, since, |keeper| keeper.ledger.handle_removal(number));
        Ok(())
    }

    /// Returns whether the log of `shard` holds every claim made before, once that is known.
    fn history(&self, shard: Shard, since: Instant) -> Option<History> {
        let (duty, _) = self.shard_standing(shard)?;
        let leases = self.leases.lock();
        let acting = leases.acting(&duty)?;
        let patience = self.settings.times.lease * 2;
        // Authority may be older than the epoch in which the shard fell to this instance.
        let late = self.now() >= since.max(acting.started) + patience;
        match acting.volatile(leases.roster(), &self.me.name) {
            Some(false) => Some(History::Complete),
            Some(true) => Some(History::Uncertain),
            None => late.then_some(History::Uncertain),
        }
    }
}
