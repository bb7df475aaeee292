//! A store in memory whose next answers can be planned.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use platform::{Error, Instance, Object, Outcome, Revision, Server, Store};

/// What happens to a call.
#[derive(Clone, Debug)]
pub(crate) enum Plan {
    /// It works.
    Work,
    /// A write takes effect, but its answer is lost.
    LoseAnswer,
    /// The call is lost: it does nothing and has no answer.
    LoseCall,
    /// The platform refuses the call.
    Refuse,
    /// Another writer puts this value there first.
    Precede(Vec<u8>),
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Object>,
    revision: u64,
    plans: VecDeque<Plan>,
    writes: Vec<String>,
}

impl State {
    fn put(&mut self, path: &str, value: &[u8]) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let value = value.to_vec();
        self.objects.insert(path.into(), Object { revision, value });
        revision
    }
}

/// A store in memory. Clones share its objects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory(Arc<Mutex<State>>);

impl Memory {
    /// Plans what happens to the next calls, one each.
    pub(crate) fn plan(&self, plans: impl IntoIterator<Item = Plan>) {
        self.0.lock().plans.extend(plans);
    }

    /// Returns the value at `path`.
    pub(crate) fn value(&self, path: &str) -> Option<Vec<u8>> {
        let state = self.0.lock();
        state.objects.get(path).map(|object| object.value.clone())
    }

    /// Puts `value` at `path`, whatever is there.
    pub(crate) fn put(&self, path: &str, value: &[u8]) {
        self.0.lock().put(path, value);
    }

    /// Returns the paths of the writes that were tried since the last call, in their order.
    pub(crate) fn take_writes(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().writes)
    }
}

fn lost() -> Error {
    Error::Indeterminate {
        reason: "no answer".into(),
    }
}

fn refused() -> Error {
    Error::Unavailable {
        reason: "down".into(),
    }
}

impl Store for Memory {
    async fn read(&self, path: &str) -> Result<Option<Object>, Error> {
        let mut state = self.0.lock();
        match state.plans.pop_front().unwrap_or(Plan::Work) {
            Plan::Refuse => return Err(refused()),
            Plan::LoseAnswer | Plan::LoseCall => return Err(lost()),
            Plan::Precede(value) => drop(state.put(path, &value)),
            Plan::Work => {}
        }
        Ok(state.objects.get(path).cloned())
    }

    async fn watch(
        &self,
        path: &str,
        _: Option<Revision>,
        _: Duration,
    ) -> Result<Option<Object>, Error> {
        self.read(path).await
    }

    async fn write(
        &self,
        path: &str,
        expected: Option<Revision>,
        value: &[u8],
    ) -> Result<Outcome, Error> {
        let mut state = self.0.lock();
        let plan = state.plans.pop_front().unwrap_or(Plan::Work);
        state.writes.push(path.into());
        match &plan {
            Plan::Refuse => return Err(refused()),
            Plan::LoseCall => return Err(lost()),
            Plan::Precede(value) => drop(state.put(path, value)),
            Plan::LoseAnswer | Plan::Work => {}
        }
        let found = state.objects.get(path).map(|object| object.revision);
        let outcome = match found == expected {
            true => Outcome::Written(state.put(path, value)),
            false => Outcome::Conflict,
        };
        match plan {
            Plan::LoseAnswer => Err(lost()),
            _ => Ok(outcome),
        }
    }

    async fn remove(&self, path: &str, _: Revision) -> Result<Outcome, Error> {
        let mut state = self.0.lock();
        state.objects.remove(path);
        Ok(Outcome::Conflict)
    }

    async fn list(&self, _: &str) -> Result<Vec<String>, Error> {
        Ok(self.0.lock().objects.keys().cloned().collect())
    }

    async fn servers(&self) -> Result<Vec<Server>, Error> {
        Ok(Vec::new())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        Ok(Vec::new())
    }
}
