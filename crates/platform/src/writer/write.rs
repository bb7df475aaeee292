//! A single write, with its retries and reads back.

use clock::Clock;

use super::{Verdict, Writer};
use crate::backoff::{random, Backoff};
use crate::stamp::{self, Id, Stamped, Status};
use crate::{Error, Outcome, Store};

/// The next step of a write.
#[derive(Debug)]
enum Step {
    /// Send the write.
    Send,
    /// Read the object back to determine the outcome.
    ReadBack,
    /// The outcome is known.
    Done(Verdict),
}

/// A write in progress.
pub(super) struct Write<'a, S, C> {
    writer: &'a Writer<S, C>,
    path: &'a str,
    id: Id,
    base: Option<&'a Stamped>,
    stamped: Vec<u8>,
    backoff: Backoff,
    /// The error of the last failed call.
    last_error: Option<Error>,
    /// Whether a copy of the write may have reached the platform.
    may_be_written: bool,
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
            last_error: None,
            may_be_written: false,
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
            // After a lost response the conflict may be with an earlier copy of the same write.
            Ok(Outcome::Conflict) if self.may_be_written => Step::ReadBack,
            Ok(Outcome::Conflict) => Step::Done(Verdict::Conflict),
            Err(Error::Unavailable { reason }) => {
                self.back_off(Error::Unavailable { reason }).await;
                Step::Send
            }
            Err(error @ Error::TooLarge { .. }) => Step::Done(Verdict::NotWritten(error)),
            Err(error) => {
                self.may_be_written = true;
                self.back_off(error).await;
                Step::ReadBack
            }
        }
    }

    async fn read_back(&mut self) -> Step {
        let found = match self.writer.read(self.path).await {
            Ok(found) => found,
            Err(error) => {
                self.back_off(error).await;
                return Step::ReadBack;
            }
        };
        let revision = found.as_ref().map(|found| found.revision);
        match (stamp::status(self.id, self.base, found.as_ref()), revision) {
            (Status::Present, Some(revision)) => Step::Done(Verdict::Written(revision)),
            (Status::Superseded, _) => Step::Done(Verdict::Superseded),
            (Status::Displaced, _) => Step::Done(Verdict::Conflict),
            (Status::Unchanged, _) => Step::Send,
            (Status::Unknown | Status::Present, _) => Step::Done(self.indeterminate()),
        }
    }

    async fn back_off(&mut self, error: Error) {
        self.last_error = Some(error);
        let delay = self.backoff.next(random());
        self.writer.clock.sleep(delay).await;
    }

    fn give_up(&mut self) -> Verdict {
        if self.may_be_written {
            return self.indeterminate();
        }
        Verdict::NotWritten(self.take_last_error())
    }

    fn indeterminate(&mut self) -> Verdict {
        Verdict::Indeterminate(self.take_last_error())
    }

    fn take_last_error(&mut self) -> Error {
        let none = || Error::Indeterminate {
            reason: "no attempt was allowed".to_owned(),
        };
        self.last_error.take().unwrap_or_else(none)
    }
}
