//! The tickets that wait for a credit.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use clock::Instant;

use crate::ticket::{self, Ticket};

/// The place of a ticket in the queue: those that cannot wait first, then the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    can_wait: bool,
    deadline: Instant,
    id: ticket::Id,
}

impl Place {
    fn of(ticket: &Ticket) -> Self {
        Self {
            can_wait: ticket.can_wait,
            deadline: ticket.deadline,
            id: ticket.id,
        }
    }

    /// Returns the place before all tickets that may wait and those that cannot.
    fn head(can_wait: bool) -> Self {
        Self {
            can_wait,
            deadline: Instant::ZERO,
            id: ticket::Id(0),
        }
    }
}

/// The tickets that wait for a credit, in the order in which they are served.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tickets: BTreeMap<Place, Ticket>,
    places: HashMap<ticket::Id, Place>,
}

impl Queue {
    /// Returns the number of tickets.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns whether the ticket `id` waits.
    pub(crate) fn contains(&self, id: ticket::Id) -> bool {
        self.places.contains_key(&id)
    }

    /// Adds a ticket whose number is not in the queue.
    pub(crate) fn push(&mut self, ticket: Ticket) {
        let place = Place::of(&ticket);
        self.places.insert(ticket.id, place);
        self.tickets.insert(place, ticket);
    }

    /// Removes the ticket `id`.
    pub(crate) fn remove(&mut self, id: ticket::Id) -> Option<Ticket> {
        let place = self.places.remove(&id)?;
        self.tickets.remove(&place)
    }

    /// Returns the first ticket after `place`, or the first of all.
    pub(crate) fn after(&self, place: Option<Place>) -> Option<(Place, &Ticket)> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.tickets.range((from, Bound::Unbounded)).next();
        next.map(|(place, ticket)| (*place, ticket))
    }

    /// Removes a ticket whose deadline is at or before `now`.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let heads = [self.head(false), self.head(true)];
        let due = heads.into_iter().flatten().find(|p| p.deadline <= now)?;
        self.remove(due.id)
    }

    /// Removes the ticket that may wait and has the latest deadline.
    pub(crate) fn pop_least_urgent(&mut self) -> Option<Ticket> {
        let (place, _) = self.tickets.last_key_value()?;
        let last = *place;
        if last.can_wait {
            self.remove(last.id)
        } else {
            None
        }
    }

    /// Removes the first ticket.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let (place, ticket) = self.tickets.pop_first()?;
        self.places.remove(&place.id);
        Some(ticket)
    }

    /// Returns the earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        let heads = [self.head(false), self.head(true)];
        heads.into_iter().flatten().map(|p| p.deadline).min()
    }

    /// Returns the place of the first ticket of a class.
    fn head(&self, can_wait: bool) -> Option<Place> {
        let (place, _) = self.tickets.range(Place::head(can_wait)..).next()?;
        (place.can_wait == can_wait).then_some(*place)
    }
}
