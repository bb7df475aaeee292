//! Writes that learn what became of them, although answers are lost.
//!
//! Each value carries the unique ids of its own write and of a few before it. A write whose answer
//! was lost is read back, and tried again only where the object is still the one that it was to
//! replace. Two copies of one write cannot both take effect, since both are conditional on that
//! revision; the later copy conflicts, and reading back tells that apart from another's write.
//!
//! Limit: a created object must not be removed while its writer still waits for an answer, or the
//! object is created again.

use std::time::Duration;

use clock::Clock;

use crate::backoff::{random, Backoff};
use crate::stamp::{self, Id, Stamped, Trace};
use crate::{Error, Outcome, Revision, Store};

/// How long and how often a writer tries.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The most calls of the platform for one write, reads included.
    pub attempts: u32,
    /// The bound of the first pause.
    pub first_pause: Duration,
    /// The largest bound of a pause.
    pub longest_pause: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts: 8,
            first_pause: Duration::from_millis(20),
            longest_pause: Duration::from_secs(1),
        }
    }
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect, and the object has this revision.
    Written(Revision),
    /// It took effect, and others replaced its value since.
    Superseded,
    /// It took no effect: another write came first.
    Conflict,
    /// It took no effect: the platform took none of its copies.
    NotWritten(Error),
    /// It may have taken effect, or may yet.
    Unknown(Error),
}

/// What has been learnt of a write so far.
#[derive(Debug)]
enum Step {
    /// Send the write.
    Send,
    /// Read back what became of it.
    ReadBack,
    /// It is known.
    Done(Verdict),
}

/// Writes stamped values.
#[derive(Clone, Debug)]
pub struct Writer<S, C> {
    store: S,
    clock: C,
    config: Config,
}

impl<S, C> Writer<S, C>
where
    S: Store,
    C: Clock,
{
    /// Opens a writer to `store`.
    pub fn open(store: S, clock: C, config: Config) -> Self {
        Self {
            store,
            clock,
            config,
        }
    }

    /// Reads the stamped value at `path`.
    ///
    /// # Errors
    ///
    /// Fails as a read does, and where the value bears no stamp.
    pub async fn read(&self, path: &str) -> Result<Option<Stamped>, Error> {
        let object = self.store.read(path).await?;
        object.as_ref().map(Stamped::parse).transpose()
    }

    /// Writes `value` at `path` in place of `base`, which was read there; `None` creates it.
    pub async fn write(&self, path: &str, base: Option<&Stamped>, value: &[u8]) -> Verdict {
        let id = Id::unique();
        match stamp::encode(id, base, value) {
            Ok(stamped) => Write::new(self, path, id, base, stamped).run().await,
            Err(error) => Verdict::NotWritten(error),
        }
    }
}

/// One write under way.
struct Write<'a, S, C> {
    writer: &'a Writer<S, C>,
    path: &'a str,
    id: Id,
    base: Option<&'a Stamped>,
    stamped: Vec<u8>,
    backoff: Backoff,
    /// The last failure.
    failure: Option<Error>,
    /// Whether a copy of the write may have reached the platform.
    doubtful: bool,
}

impl<'a, S, C> Write<'a, S, C>
where
    S: Store,
    C: Clock,
{
    fn new(
        writer: &'a Writer<S, C>,
        path: &'a str,
        id: Id,
        base: Option<&'a Stamped>,
        stamped: Vec<u8>,
    ) -> Self {
        let config = writer.config;
        Self {
            writer,
            path,
            id,
            base,
            stamped,
            backoff: Backoff::new(config.first_pause, config.longest_pause),
            failure: None,
            doubtful: false,
        }
    }

    async fn run(mut self) -> Verdict {
        let mut step = Step::Send;
        for _ in 0..self.writer.config.attempts {
            step = match step {
                Step::Send => self.send().await,
                Step::ReadBack => self.read_back().await,
                Step::Done(verdict) => return verdict,
            };
        }
        match step {
            Step::Done(verdict) => verdict,
            Step::Send | Step::ReadBack => self.give_up(),
        }
    }

    async fn send(&mut self) -> Step {
        let expected = self.base.map(|base| base.revision);
        let store = &self.writer.store;
        match store.write(self.path, expected, &self.stamped).await {
            Ok(Outcome::Written(revision)) => Step::Done(Verdict::Written(revision)),
            // After a lost answer the conflict may be with the write's own first copy.
            Ok(Outcome::Conflict) if self.doubtful => Step::ReadBack,
            Ok(Outcome::Conflict) => Step::Done(Verdict::Conflict),
            Err(Error::Unavailable { reason }) => {
                self.pause(Error::Unavailable { reason }).await;
                Step::Send
            }
            Err(error @ Error::TooLarge { .. }) => Step::Done(Verdict::NotWritten(error)),
            Err(error) => {
                self.doubtful = true;
                self.pause(error).await;
                Step::ReadBack
            }
        }
    }

    async fn read_back(&mut self) -> Step {
        let found = match self.writer.read(self.path).await {
            Ok(found) => found,
            Err(error) => {
                self.pause(error).await;
                return Step::ReadBack;
            }
        };
        let revision = found.as_ref().map(|found| found.revision);
        match (stamp::trace(self.id, self.base, found.as_ref()), revision) {
            (Trace::Present, Some(revision)) => Step::Done(Verdict::Written(revision)),
            (Trace::Superseded, _) => Step::Done(Verdict::Superseded),
            (Trace::Displaced, _) => Step::Done(Verdict::Conflict),
            (Trace::Untouched, _) => Step::Send,
            (Trace::Lost | Trace::Present, _) => Step::Done(self.unknown()),
        }
    }

    async fn pause(&mut self, failure: Error) {
        self.failure = Some(failure);
        let pause = self.backoff.next(random());
        self.writer.clock.sleep(pause).await;
    }

    fn give_up(&mut self) -> Verdict {
        if self.doubtful {
            return self.unknown();
        }
        Verdict::NotWritten(self.last_failure())
    }

    fn unknown(&mut self) -> Verdict {
        Verdict::Unknown(self.last_failure())
    }

    fn last_failure(&mut self) -> Error {
        let none = || Error::Unknown {
            reason: "no attempt was allowed".to_owned(),
        };
        self.failure.take().unwrap_or_else(none)
    }
}
