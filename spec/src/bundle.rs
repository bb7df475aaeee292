//! Distribution of the versions of the bundle to the instances.
//!
//! The head in the store names the newest version. Instances read it and forward their bundle to
//! each other, so a delayed message can carry an older one. Two operators compete to write the next
//! version. The outcome of a write may be indeterminate to its author, who then has to read the
//! head.

crate::guards! {
    /// A write of the head succeeds only if the head names the parent of the new version.
    conditional_write,
    /// An instance adopts a bundle only if its version is higher than the current one.
    adopt_newer,
    /// An author forwards its bundle only when it is known to be the head.
    forward_stored,
}

use crate::Model;

/// The number of instances.
const INSTANCES: usize = 3;

/// The highest version explored.
const MAX_VERSION: u8 = 3;

/// A bundle: its version and its author.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bundle {
    /// The version.
    pub version: u8,
    /// The operator that wrote it.
    pub author: u8,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An author drafts the next version on top of the head.
    Draft(u8),
    /// An author submits its draft. The last field is whether the outcome is acknowledged to it.
    Submit(u8, bool),
    /// An instance reads the head.
    Read(usize),
    /// An instance sends its bundle to the others.
    Send(usize),
    /// The bundle in flight reaches an instance.
    Receive(usize),
}

/// The global state of the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    /// The head in the store.
    pub head: Bundle,
    /// The drafts of both authors.
    pub drafts: [Option<Bundle>; 2],
    /// The bundle that each instance has adopted.
    pub instances: [Bundle; INSTANCES],
    /// The bundle in flight, which may be delivered any number of times and is replaced by the next
    /// one sent.
    pub in_flight: Option<Bundle>,
    /// Whether the version of any instance has decreased.
    pub version_decreased: bool,
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The version of an instance has decreased.
    VersionDecreased,
    /// Two instances have adopted different bundles of one version.
    Conflict,
}

/// The distribution protocol with a selection of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Distribution {
    /// The enabled guards.
    pub guards: Guards,
}

impl Model for Distribution {
    type State = State;
    type Event = Event;
    type Violation = Violation;

    fn initial_state(&self) -> State {
        State::default()
    }

    fn transitions(&self, state: &State) -> Vec<(Event, State)> {
        let authors = (0..2).flat_map(|author| {
            [
                Event::Draft(author),
                Event::Submit(author, true),
                Event::Submit(author, false),
            ]
        });
        let instances = (0..INSTANCES).flat_map(|index| {
            [
                Event::Read(index),
                Event::Send(index),
                Event::Receive(index),
            ]
        });
        let steps = authors.chain(instances).filter_map(|event| {
            let next = self.apply(state, event)?;
            (next != *state).then_some((event, next))
        });
        steps.collect()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        if state.version_decreased {
            return Some(Violation::VersionDecreased);
        }
        let conflict = |a: &Bundle, b: &Bundle| a.version == b.version && a.author != b.author;
        let pairs = state
            .instances
            .iter()
            .flat_map(|a| state.instances.iter().map(move |b| (a, b)));
        pairs
            .into_iter()
            .any(|(a, b)| conflict(a, b))
            .then_some(Violation::Conflict)
    }
}

impl Distribution {
    /// Returns the state after `event`, or `None` if it is not enabled.
    fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        match event {
            Event::Draft(author) => draft(&mut next, author)?,
            Event::Submit(author, acknowledged) => self.submit(&mut next, author, acknowledged)?,
            Event::Read(index) => self.adopt(&mut next, index, state.head),
            Event::Send(index) => next.in_flight = Some(state.instances[index]),
            Event::Receive(index) => self.adopt(&mut next, index, state.in_flight?),
        }
        Some(next)
    }

    fn submit(&self, state: &mut State, author: u8, acknowledged: bool) -> Option<()> {
        let bundle = state.drafts[usize::from(author)].take()?;
        let next = bundle.version == state.head.version + 1;
        if next || !self.guards.conditional_write {
            state.head = bundle;
        }
        if !acknowledged && !self.guards.forward_stored {
            state.in_flight = Some(bundle);
        }
        Some(())
    }

    fn adopt(&self, state: &mut State, index: usize, bundle: Bundle) {
        let present = &mut state.instances[index];
        if bundle.version > present.version || !self.guards.adopt_newer {
            state.version_decreased |= bundle.version < present.version;
            *present = bundle;
        }
    }
}

/// Drafts the next version on top of the head.
fn draft(state: &mut State, author: u8) -> Option<()> {
    let version = state.head.version + 1;
    (version <= MAX_VERSION).then_some(())?;
    state.drafts[usize::from(author)] = Some(Bundle { version, author });
    Some(())
}
