//! The tickets that wait for a credit, in priority order.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use clock::Instant;

use crate::ticket::{self, Ticket};

/// The position of a ticket in the queue: tickets that cannot wait come first, then the earliest
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    can_wait: bool,
    deadline: Instant,
    id: ticket::Id,
}

impl Position {
    fn of(ticket: &Ticket) -> Self {
        Self {
            can_wait: ticket.can_wait,
            deadline: ticket.deadline,
            id: ticket.id,
        }
    }

    /// Returns the position before all tickets with this `can_wait`.
    fn head(can_wait: bool) -> Self {
        Self {
            can_wait,
            deadline: Instant::ZERO,
            id: ticket::Id(0),
        }
    }
}

/// The tickets that wait for a credit, in the order in which they are granted.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tickets: BTreeMap<Position, Ticket>,
    positions: HashMap<ticket::Id, Position>,
}

impl Queue {
    /// Returns the number of tickets.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns whether the ticket `id` is queued.
    pub(crate) fn contains(&self, id: ticket::Id) -> bool {
        self.positions.contains_key(&id)
    }

    /// Adds a ticket whose id is not in the queue.
    pub(crate) fn push(&mut self, ticket: Ticket) {
        let position = Position::of(&ticket);
        self.positions.insert(ticket.id, position);
        self.tickets.insert(position, ticket);
    }

    /// Removes the ticket `id`.
    pub(crate) fn remove(&mut self, id: ticket::Id) -> Option<Ticket> {
        let position = self.positions.remove(&id)?;
        self.tickets.remove(&position)
    }

    /// Returns the first ticket after `position`, or the first in the queue if it is `None`.
    pub(crate) fn after(&self, position: Option<Position>) -> Option<(Position, &Ticket)> {
        let from = position.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.tickets.range((from, Bound::Unbounded)).next();
        next.map(|(position, ticket)| (*position, ticket))
    }

    /// Removes a ticket whose deadline is at or before `now`.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let heads = [self.head(false), self.head(true)];
        let due = heads.into_iter().flatten().find(|p| p.deadline <= now)?;
        self.remove(due.id)
    }

    /// Removes the ticket with the latest deadline among those that can wait.
    pub(crate) fn pop_least_urgent(&mut self) -> Option<Ticket> {
        let (position, _) = self.tickets.last_key_value()?;
        let last = *position;
        if last.can_wait {
            self.remove(last.id)
        } else {
            None
        }
    }

    /// Removes the first ticket.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let (position, ticket) = self.tickets.pop_first()?;
        self.positions.remove(&position.id);
        Some(ticket)
    }

    /// Returns the earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        let heads = [self.head(false), self.head(true)];
        heads.into_iter().flatten().map(|p| p.deadline).min()
    }

    /// Returns the position of the first ticket with this `can_wait`.
    fn head(&self, can_wait: bool) -> Option<Position> {
        let (position, _) = self.tickets.range(Position::head(can_wait)..).next()?;
        (position.can_wait == can_wait).then_some(*position)
    }
}
