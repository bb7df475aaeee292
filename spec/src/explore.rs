//! Exhaustive breadth-first exploration of a model.

use std::cell::Cell;
use std::fmt;

use pathfinding::directed::bfs::bfs;

use crate::Model;

/// One event of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Step<M>
where
    M: Model,
{
    /// The event.
    pub event: M::Event,
    /// The state after it.
    pub state: M::State,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<M>
where
    M: Model,
{
    /// The number of distinct states that were expanded.
    pub states: usize,
    /// Whether states were left out because the limit was reached.
    pub truncated: bool,
    /// The first violation found.
    pub violation: Option<M::Violation>,
    /// A shortest trace to the violation; empty if there is none.
    pub trace: Vec<Step<M>>,
}

/// Explores `model` breadth first until an invariant is violated, all states have been visited, or
/// `max_states` states have been expanded.
pub fn explore<M>(model: &M, max_states: usize) -> Exploration<M>
where
    M: Model,
{
    let states = Cell::new(0);
    let truncated = Cell::new(false);
    let successors = |state: &M::State| {
        if states.get() >= max_states {
            truncated.set(true);
            return Vec::new();
        }
        states.set(states.get() + 1);
        model
            .transitions(state)
            .into_iter()
            .map(|(_, next)| next)
            .collect()
    };
    let path = bfs(&model.initial_state(), successors, |state| {
        model.violation(state).is_some()
    });
    let path = path.unwrap_or_default();
    Exploration {
        states: states.get(),
        truncated: truncated.get(),
        violation: path.last().and_then(|state| model.violation(state)),
        trace: path
            .windows(2)
            .filter_map(|pair| step(model, &pair[0], &pair[1]))
            .collect(),
    }
}

/// Returns the first event that leads from `from` to `to`, with the state after it.
fn step<M>(model: &M, from: &M::State, to: &M::State) -> Option<Step<M>>
where
    M: Model,
{
    let mut steps = model.transitions(from).into_iter();
    steps
        .find(|(_, next)| next == to)
        .map(|(event, state)| Step { event, state })
}

impl<M> fmt::Display for Exploration<M>
where
    M: Model,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let note = if self.truncated {
            ", cut at the limit"
        } else {
            ""
        };
        write!(f, "{} states{note}", self.states)?;
        let Some(violation) = &self.violation else {
            return Ok(());
        };
        write!(f, "; {violation:?} after {} events:", self.trace.len())?;
        for step in &self.trace {
            write!(f, "\n    {:?}", step.event)?;
        }
        Ok(())
    }
}
