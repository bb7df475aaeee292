//! The objects of the platform, kept in memory, with revisions and watches.

use std::collections::{BTreeMap, HashMap};

use parking_lot::Mutex;
use platform::{Object, Outcome, Revision};
use smol::channel::{bounded, Receiver, Sender};

#[derive(Debug, Default)]
struct State {
    last_revision: u64,
    objects: BTreeMap<String, Object>,
    watchers: HashMap<String, Vec<Sender<()>>>,
}

impl State {
    fn revision(&self, path: &str) -> Option<Revision> {
        self.objects.get(path).map(|object| object.revision)
    }

    fn next_revision(&mut self) -> Revision {
        self.last_revision += 1;
        Revision(self.last_revision)
    }

    fn notify(&mut self, path: &str) {
        // Dropping the senders closes the channels of the watches.
        self.watchers.remove(path);
    }
}

/// The objects by path, and the watches on them.
#[derive(Debug, Default)]
pub struct Objects {
    state: Mutex<State>,
}

impl Objects {
    /// Returns the object at `path`.
    pub fn read(&self, path: &str) -> Option<Object> {
        self.state.lock().objects.get(path).cloned()
    }

    /// Writes `value` at `path` if the object there has revision `expected`.
    pub fn write(&self, path: &str, expected: Option<Revision>, value: Vec<u8>) -> Outcome {
        let mut state = self.state.lock();
        if state.revision(path) != expected {
            return Outcome::Conflict;
        }
        let revision = state.next_revision();
        let object = Object { revision, value };
        state.objects.insert(path.to_owned(), object);
        state.notify(path);
        Outcome::Written(revision)
    }

    /// Removes the object at `path` if it has revision `expected`.
    pub fn remove(&self, path: &str, expected: Revision) -> Outcome {
        let mut state = self.state.lock();
        if state.revision(path) != Some(expected) {
            return Outcome::Conflict;
        }
        let revision = state.next_revision();
        state.objects.remove(path);
        state.notify(path);
        Outcome::Written(revision)
    }

    /// Returns the paths that start with `prefix`, sorted.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let objects = state.objects.range(prefix.to_owned()..);
        let paths = objects.map(|(path, _)| path.clone());
        paths.take_while(|path| path.starts_with(prefix)).collect()
    }

    /// Returns a channel that closes at the next change of `path`, or `None` if its revision
    /// already differs from `seen`.
    pub(super) fn watch(&self, path: &str, seen: Option<Revision>) -> Option<Receiver<()>> {
        let mut state = self.state.lock();
        if state.revision(path) != seen {
            return None;
        }
        let (sender, receiver) = bounded(1);
        let watchers = state.watchers.entry(path.to_owned()).or_default();
        watchers.retain(|watcher| !watcher.is_closed());
        watchers.push(sender);
        Some(receiver)
    }
}
