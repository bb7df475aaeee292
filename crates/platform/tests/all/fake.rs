//! A store that loses answers and defers writes as a script says, with a rival at work.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::{Arbitrary, Result, Unstructured};
use clock::Boottime;
use parking_lot::Mutex;
use platform::writer::{self, Writer};
use platform::{Error, Instance, Object, Outcome, Revision, Server, Store};
use smol::block_on;
use stand_in::platform::Objects;

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    Answer,
    LoseAnswer,
    LoseRequest,
    Defer,
    Refuse,
    /// A rival replaces the value this many times; then the call is answered.
    Rival(u8),
    /// The deferred writes arrive; then the call is answered.
    Arrive,
}

impl<'a> Arbitrary<'a> for Action {
    fn arbitrary(u: &mut Unstructured<'a>) -> Result<Self> {
        Ok(match u.int_in_range(0..=9)? {
            0..=1 => Self::Answer,
            2..=3 => Self::LoseAnswer,
            4 => Self::LoseRequest,
            5 => Self::Defer,
            6 => Self::Refuse,
            7 => Self::Rival(u.int_in_range(1..=2)?),
            8 => Self::Rival(u.int_in_range(1..=12)?),
            _ => Self::Arrive,
        })
    }
}

type Copy = (String, Option<Revision>, Vec<u8>);

/// A store over objects in memory that follows a script.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    pub(crate) objects: Arc<Objects>,
    script: Arc<Mutex<Vec<Action>>>,
    deferred: Arc<Mutex<Vec<Copy>>>,
    /// How many copies of the writes through this store took effect.
    pub(crate) effects: Arc<Mutex<usize>>,
}

fn unknown<T>() -> std::result::Result<T, Error> {
    let reason = "lost".to_owned();
    Err(Error::Indeterminate { reason })
}

impl Fake {
    pub(crate) fn new(objects: Arc<Objects>, script: Vec<Action>) -> Self {
        Self {
            objects,
            script: Arc::new(Mutex::new(script)),
            ..Self::default()
        }
    }

    /// Lets the deferred writes arrive.
    pub(crate) fn arrive(&self) {
        for (path, expected, value) in std::mem::take(&mut *self.deferred.lock()) {
            self.apply(&path, expected, value);
        }
    }

    fn apply(&self, path: &str, expected: Option<Revision>, value: Vec<u8>) -> Outcome {
        let outcome = self.objects.write(path, expected, value);
        *self.effects.lock() += usize::from(outcome != Outcome::Conflict);
        outcome
    }

    fn begin(&self, path: &str) -> Action {
        let action = self.script.lock().pop().unwrap_or(Action::Answer);
        match action {
            Action::Arrive => self.arrive(),
            Action::Rival(times) => self.overwrite(path, times),
            _ => {}
        }
        action
    }

    /// Lets a rival replace the value.
    fn overwrite(&self, path: &str, times: u8) {
        let clean = Fake::new(Arc::clone(&self.objects), Vec::new());
        let rival = Writer::open(clean, Boottime, writer::Config::default());
        for _ in 0..times {
            let base = block_on(rival.read(path)).unwrap();
            block_on(rival.write(path, base.as_ref(), b"rival"));
        }
    }
}

impl Store for Fake {
    async fn read(&self, path: &str) -> std::result::Result<Option<Object>, Error> {
        match self.begin(path) {
            Action::Refuse | Action::LoseRequest => Err(Error::Unavailable {
                reason: "refused".to_owned(),
            }),
            _ => Ok(self.objects.read(path)),
        }
    }

    async fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> std::result::Result<Outcome, Error> {
        match self.begin(path) {
            Action::Refuse => Err(Error::Unavailable {
                reason: "refused".to_owned(),
            }),
            Action::LoseRequest => unknown(),
            Action::Defer => {
                let copy = (path.to_owned(), expected, value.to_vec());
                self.deferred.lock().push(copy);
                unknown()
            }
            Action::LoseAnswer => {
                self.apply(path, expected, value.to_vec());
                unknown()
            }
            _ => Ok(self.apply(path, expected, value.to_vec())),
        }
    }

    async fn watch(
        &self,
        _path: &str,
        _seen: Option<Revision>,
        _limit: Duration,
    ) -> std::result::Result<Option<Object>, Error> {
        unknown()
    }

    async fn remove(&self, _path: &str, _: Revision) -> std::result::Result<Outcome, Error> {
        unknown()
    }

    async fn list(&self, _prefix: &str) -> std::result::Result<Vec<String>, Error> {
        unknown()
    }

    async fn servers(&self) -> std::result::Result<Vec<Server>, Error> {
        unknown()
    }

    async fn instances(&self) -> std::result::Result<Vec<Instance>, Error> {
        unknown()
    }
}
