//! Reads the log of a shard, takes it over, and appends to it.

use claim::append;
use claim::history::History;
use claim::segment::{self, Segment};
use claim::shard::Shard;
use claim::writer::Writer;
use clock::{Clock, Instant};
use platform::{Error, Outcome, Store};

use super::session::{Session, Step};
use crate::node::Node;

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Runs the steps that are due for `shard`: reads its log, takes it over, or appends to it.
    pub(super) async fn advance_shard(&self, shard: Shard, since: Instant) -> Result<(), Error> {
        loop {
            let next = self.with_session(shard, since, Session::next);
            match next {
                Step::Load => {
                    if !self.load(shard, since).await? {
                        return Ok(());
                    }
                }
                Step::ReadBack(number) => self.read_back(shard, since, number).await?,
                Step::Append(segment) => self.append(since, segment).await?,
                Step::Remove(number) => self.remove(shard, since, number).await?,
                Step::Wait => return Ok(()),
            }
            self.with_session(shard, since, Session::succeed);
        }
    }

    fn with_session<F, T>(&self, shard: Shard, since: Instant, step: F) -> T
    where
        F: FnOnce(&mut Session) -> T,
    {
        let now = self.now();
        step(self.claims.lock().session_mut(shard, since, now))
    }

    /// Reads the whole log and takes it over. Returns false while it is unknown whether the log
    /// holds every claim, or if a segment was removed during the read.
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
                // The segment was removed after it was listed; its records were copied to later
                // segments.
                None => return Ok(false),
            }
        }
        let now = self.now();
        let writer = Writer(*uuid::Uuid::new_v4().as_bytes());
        let owner = self.me.name.clone();
        self.with_session(shard, since, |session| {
            // An earlier read may have been interrupted or have found a segment of another writer.
            session.restart(since, now);
            for segment in &segments {
                if let Err(e) = session.ledger.replay(segment) {
                    return Err(Error::Malformed {
                        reason: e.to_string(),
                    });
                }
            }
            session.ledger.take_over(&owner, writer, history, now);
            session.loaded = true;
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
            // A rejected write is read back like one whose reply was lost.
            Err(_) => append::Outcome::Indeterminate,
        };
        self.with_session(segment.shard, since, |session| {
            let decisions = session.ledger.handle_append(segment.number, outcome);
            session.deliver(decisions);
        });
        written.map(|_| ())
    }

    async fn read_back(&self, shard: Shard, since: Instant, number: u64) -> Result<(), Error> {
        let found = self.read_segment(&segment::path(shard, number)).await?;
        self.with_session(shard, since, |session| {
            let decisions = session.ledger.handle_read_back(found.as_ref());
            session.deliver(decisions);
        });
        Ok(())
    }

    async fn remove(&self, shard: Shard, since: Instant, number: u64) -> Result<(), Error> {
        let path = segment::path(shard, number);
        if let Some(object) = self.store.read(&path).await? {
            self.store.remove(&path, object.revision).await?;
        }
        self.with_session(shard, since, |session| {
            session.ledger.handle_removal(number)
        });
        Ok(())
    }

    /// Returns whether the log of `shard` holds every earlier claim, or `None` until that is known.
    fn history(&self, shard: Shard, since: Instant) -> Option<History> {
        let (duty, _) = self.shard_tenure(shard)?;
        let leases = self.leases.lock();
        let role = leases.role(&duty)?;
        let report_timeout = self.settings.times.lease * 2;
        // Authority may be older than the epoch that assigned the shard to this instance.
        let timed_out = self.now() >= since.max(role.started) + report_timeout;
        match role.others_volatile(leases.roster(), &self.me.name) {
            Some(false) => Some(History::Complete),
            Some(true) => Some(History::Uncertain),
            None => timed_out.then_some(History::Uncertain),
        }
    }
}
