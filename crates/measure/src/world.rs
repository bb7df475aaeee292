//! The event loop that runs a scenario.

use std::collections::BinaryHeap;
use std::time::Duration;

use clock::Instant;

use crate::backend::Backend;
use crate::balancer::Balancer;
use crate::call::{Attempt, Call};
use crate::event::{Event, Scheduled};
use crate::random::Random;
use crate::scenario::{Change, Scenario};
use crate::site::{Site, SLOTS};
use crate::tally::Tally;

/// How long a run continues after the last call.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// The simulation state while a scenario runs.
#[derive(Debug)]
pub struct World<M> {
    /// The current time.
    pub now: Instant,
    /// The machines and the links between them.
    pub site: Site,
    /// The calls.
    pub calls: Vec<Call>,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The counters of the run.
    pub tally: Tally,
    /// The balancer's random numbers.
    pub random: Random,
    settled: Instant,
    events: BinaryHeap<Scheduled<M>>,
    order: u64,
}

/// Runs `scenario` with `balancer`, and returns its counters.
pub fn run<B>(scenario: &Scenario, calls: &[Call], mut balancer: B, seed: u64) -> Tally
where
    B: Balancer,
{
    let mut world = World::new(scenario, calls, seed);
    balancer.start(&mut world);
    let end = Instant::ZERO + scenario.duration + DRAIN_TIME;
    while let Some(event) = world.next_event(end) {
        world.handle(event, &mut balancer);
    }
    world.tally
}

impl<M> World<M> {
    fn new(scenario: &Scenario, calls: &[Call], seed: u64) -> Self {
        let mut backends = vec![Backend::warm(); scenario.site.servers];
        if scenario.cold {
            backends.iter_mut().for_each(Backend::restart);
        }
        let mut world = Self {
            now: Instant::ZERO,
            site: scenario.site.clone(),
            calls: calls.to_vec(),
            backends,
            tally: Tally::default(),
            random: Random::new(!seed),
            settled: scenario.settled,
            events: BinaryHeap::new(),
            order: 0,
        };
        for (at, change) in &scenario.changes {
            world.schedule_at(*at, Event::Change(*change));
        }
        world.schedule_call(0);
        world
    }

    /// Delivers a message or timer to the balancer after `delay`.
    pub fn after(&mut self, delay: Duration, message: M) {
        self.schedule_at(self.now + delay, Event::Message(message));
    }

    /// Sends a message to the balancer from one data centre to another, and counts it.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        self.tally.messages += u64::from(self.is_settled());
        self.after(self.site.link(from, to) + self.site.handling, message);
    }

    /// Sends a request for `call` to a server.
    pub fn dispatch(&mut self, call: usize, server: usize, tag: u64) {
        let Call { entry, work, .. } = self.calls[call];
        let from = self.site.centre_of_entry(entry);
        self.request(Some(call), from, server, work, tag);
    }

    /// Sends a request to a server from a data centre; `call` is `None` for a probe.
    pub fn request(
        &mut self,
        call: Option<usize>,
        from: usize,
        server: usize,
        work: Duration,
        tag: u64,
    ) {
        let attempt = Attempt {
            call,
            server,
            from,
            work,
            sent: self.now,
            tag,
            start: 0,
            expired: false,
        };
        let delay = self.site.link(from, self.site.centre_of_server(server));
        self.schedule_at(self.now + delay, Event::Request(attempt));
    }

    /// Counts a call that is refused without reaching a server.
    pub fn refuse(&mut self, call: usize) {
        self.tally.refused += u64::from(self.calls[call].at >= self.settled);
    }

    /// Returns whether the settling time is over, so that events are counted.
    pub fn is_settled(&self) -> bool {
        self.now >= self.settled
    }

    fn schedule_at(&mut self, at: Instant, event: Event<M>) {
        self.order += 1;
        self.events.push(Scheduled {
            at,
            order: self.order,
            event,
        });
    }

    fn schedule_call(&mut self, index: usize) {
        if let Some(call) = self.calls.get(index) {
            self.schedule_at(call.at, Event::Arrival(index));
        }
    }

    fn next_event(&mut self, end: Instant) -> Option<Event<M>> {
        let next = self.events.pop()?;
        self.now = next.at;
        (next.at < end).then_some(next.event)
    }

    fn handle<B>(&mut self, event: Event<M>, balancer: &mut B)
    where
        B: Balancer<Message = M>,
    {
        match event {
            Event::Arrival(call) => {
                self.schedule_call(call + 1);
                balancer.arrive(self, call);
            }
            Event::Request(attempt) => self.enqueue(attempt),
            Event::Done(attempt) => self.complete(attempt),
            Event::Answer(attempt) => {
                self.count_answer(&attempt);
                balancer.answer(self, &attempt);
            }
            Event::Change(change) => {
                self.apply(change);
                balancer.change(self, change);
            }
            Event::Message(message) => balancer.receive(self, message),
        }
    }

    fn enqueue(&mut self, attempt: Attempt) {
        let counted = u64::from(self.is_settled());
        let backend = &mut self.backends[attempt.server];
        let pending = backend.pending();
        self.tally.over_slots += counted * u64::from(pending >= SLOTS);
        self.tally.over_cold += counted * u64::from(pending > 0 && backend.is_cold());
        backend.enqueue(attempt);
        self.start_queued(attempt.server);
    }

    fn complete(&mut self, attempt: Attempt) {
        self.backends[attempt.server].complete();
        self.start_queued(attempt.server);
        self.respond(attempt);
    }

    fn respond(&mut self, attempt: Attempt) {
        let centre = self.site.centre_of_server(attempt.server);
        let delay = self.site.link(centre, attempt.from);
        self.schedule_at(self.now + delay, Event::Answer(attempt));
    }

    /// Starts the queued requests that the server has free slots for.
    fn start_queued(&mut self, server: usize) {
        while let Some((attempt, time)) = self.backends[server].start_next(self.now) {
            if attempt.expired {
                self.respond(attempt);
            } else {
                self.schedule_at(self.now + time, Event::Done(attempt));
            }
        }
    }

    fn count_answer(&mut self, attempt: &Attempt) {
        let Some(call) = attempt.call.map(|call| self.calls[call]) else {
            return;
        };
        if call.at < self.settled {
            return;
        }
        if attempt.expired {
            self.tally.expired += 1;
        } else {
            self.tally.latencies.push(self.now - call.at);
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Slow(server, factor) => self.backends[server].slowness = factor,
            Change::Restart(server) | Change::Replace(server) => self.backends[server].restart(),
            Change::Leave(_) => (),
            Change::Return(centre) => {
                let servers = 0..self.site.servers;
                let in_centre = servers.filter(|s| s % crate::site::CENTRES == centre);
                in_centre.for_each(|s| self.backends[s].restart());
            }
        }
    }
}
