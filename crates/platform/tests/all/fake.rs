//! A fake store that loses responses and defers writes according to a script, with a concurrent
//! writer.

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
    Respond,
    LoseResponse,
    LoseRequest,
    Defer,
    Refuse,
    /// Another writer replaces the value this many times before the response.
    Overwrite(u8),
    /// The deferred writes are applied before the response.
    ApplyDeferred,
}

impl<'a> Arbitrary<'a> for Action {
    fn arbitrary(u: &mut Unstructured<'a>) -> Result<Self> {
        Ok(match u.int_in_range(0..=9)? {
            0..=1 => Self::Respond,
            2..=3 => Self::LoseResponse,
            4 => Self::LoseRequest,
            5 => Self::Defer,
            6 => Self::Refuse,
            7 => Self::Overwrite(u.int_in_range(1..=2)?),
            8 => Self::Overwrite(u.int_in_range(1..=12)?),
            _ => Self::ApplyDeferred,
        })
    }
}

type Copy = (String, Option<Revision>, Vec<u8>);

/// A store with objects in memory that follows a script.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    pub(crate) objects: Arc<Objects>,
    script: Arc<Mutex<Vec<Action>>>,
    deferred: Arc<Mutex<Vec<Copy>>>,
    /// The number of copies of writes through this store that took effect.
    pub(crate) effect_count: Arc<Mutex<usize>>,
}

fn indeterminate<T>() -> std::result::Result<T, Error> {
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

    /// Applies the deferred writes.
    pub(crate) fn apply_deferred(&self) {
        for (path, expected, value) in std::mem::take(&mut *self.deferred.lock()) {
            self.apply(&path, expected, value);
        }
    }

    fn apply(&self, path: &str, expected: Option<Revision>, value: Vec<u8>) -> Outcome {
        let outcome = self.objects.write(path, expected, value);
        *self.effect_count.lock() += usize::from(outcome != Outcome::Conflict);
        outcome
    }

    fn begin(&self, path: &str) -> Action {
        let action = self.script.lock().pop().unwrap_or(Action::Respond);
        match action {
            Action::ApplyDeferred => self.apply_deferred(),
            Action::Overwrite(times) => self.overwrite(path, times),
            _ => {}
        }
        action
    }

    /// Replaces the value through another writer.
    fn overwrite(&self, path: &str, times: u8) {
        let clean = Fake::new(Arc::clone(&self.objects), Vec::new());
        let other = Writer::open(clean, Boottime, writer::Config::default());
        for _ in 0..times {
            let base = block_on(other.read(path)).unwrap();
            block_on(other.write(path, base.as_ref(), b"rival"));
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
            Action::LoseRequest => indeterminate(),
            Action::Defer => {
                let copy = (path.to_owned(), expected, value.to_vec());
                self.deferred.lock().push(copy);
                indeterminate()
            }
            Action::LoseResponse => {
                self.apply(path, expected, value.to_vec());
                indeterminate()
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
        indeterminate()
    }

    async fn remove(&self, _path: &str, _: Revision) -> std::result::Result<Outcome, Error> {
        indeterminate()
    }

    async fn list(&self, _prefix: &str) -> std::result::Result<Vec<String>, Error> {
        indeterminate()
    }

    async fn servers(&self) -> std::result::Result<Vec<Server>, Error> {
        indeterminate()
    }

    async fn instances(&self) -> std::result::Result<Vec<Instance>, Error> {
        indeterminate()
    }
}
