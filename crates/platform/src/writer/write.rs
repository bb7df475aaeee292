//! One write under way.

use clock::Clock;

use super::{Verdict, Writer};
use crate::backoff::{random, Backoff};
use crate::stamp::{self, Id, Stamped, Trace};
use crate::{Error, Outcome, Store};

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

/// One write under way.
pub(super) struct Write<'a, S, C> {
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
    pub(super) fn new(
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
            backoff: Backoff::new(config.base_backoff, config.max_backoff),
            failure: None,
            doubtful: false,
        }
    }

    pub(super) async fn run(mut self) -> Verdict {
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
        Verdict::Indeterminate(self.last_failure())
    }

    fn last_failure(&mut self) -> Error {
        let none = || Error::Indeterminate {
            reason: "no attempt was allowed".to_owned(),
        };
        self.failure.take().unwrap_or_else(none)
    }
}
