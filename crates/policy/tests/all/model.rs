//! A reference model of the pool: a direct implementation of its rules on plain vectors that are
//! scanned in each step.

use std::collections::BTreeSet;
use std::time::Duration;

use clock::Instant;
use contract::id;
use policy::credit::{self, Credit, Grant};
use policy::feedback::{Feedback, Outcome, StartId};
use policy::pool::Config;
use policy::quarantine::Fingerprint;
use policy::server::{Listing, State};
use policy::ticket::{self, Dropped, Refusal, Ticket};

const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone)]
struct Server {
    name: id::Server,
    version: id::Version,
    listed: bool,
    leaving: bool,
    sequence: u64,
    generation: u64,
    idle_since: Instant,
    start_id: Option<StartId>,
    previous_start_id: Option<StartId>,
    allowance_before_crash: Option<u32>,
    confirmed: bool,
    starting: bool,
    // The allowance.
    allowance: u32,
    cold: bool,
    progress: u32,
    cold_since: Instant,
    cold_responses: u32,
    backoff_until: Instant,
    backoff: Duration,
    // Response speed.
    recent: f64,
    long_term: f64,
    slow_responses: u32,
    updated: Instant,
    // Failures and ejection.
    failures: u32,
    paused_until: Option<Instant>,
    draining: bool,
    next_ejection: Duration,
    half_open: bool,
}

impl Server {
    fn cold(name: id::Server, version: id::Version, sequence: u64, now: Instant) -> Self {
        Self {
            name,
            version,
            listed: false,
            leaving: false,
            sequence,
            generation: 0,
            idle_since: now,
            start_id: None,
            previous_start_id: None,
            allowance_before_crash: None,
            confirmed: false,
            starting: false,
            allowance: 1,
            cold: true,
            progress: 0,
            cold_since: now,
            cold_responses: 0,
            backoff_until: Instant::ZERO,
            backoff: Duration::ZERO,
            recent: 1.0,
            long_term: 1.0,
            slow_responses: 0,
            updated: now,
            failures: 0,
            paused_until: None,
            draining: false,
            next_ejection: Duration::ZERO,
            half_open: false,
        }
    }

    fn usable(&self) -> bool {
        self.listed && !self.leaving && self.paused_until.is_none()
    }

    fn slowness(&self) -> u64 {
        ((self.recent * 4.0).round() as u64).max(1)
    }

    fn next_decay(&self) -> Option<Instant> {
        (self.listed && self.slowness() != 4).then(|| self.updated + SECOND)
    }

    fn record_ratio(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(0.0, 64.0);
        let weight = if ratio > self.recent { 0.5 } else { 0.125 };
        self.recent += (ratio - self.recent) * weight;
        self.updated = now;
    }

    fn reset_to_cold(&mut self, now: Instant) {
        self.allowance = 1;
        self.progress = 0;
        self.cold = true;
        self.cold_since = now;
        self.cold_responses = 0;
        self.generation += 1;
        self.idle_since = now;
        self.allowance_before_crash = None;
        self.confirmed = false;
        self.starting = false;
    }

    fn restart(&mut self, now: Instant) {
        self.reset_to_cold(now);
        self.starting = true;
    }

    fn pause(&mut self, length: Duration, draining: bool, now: Instant) {
        let until = now + length;
        self.paused_until = Some(self.paused_until.map_or(until, |p| p.max(until)));
        self.draining = draining;
        self.failures = 0;
        self.half_open = false;
    }

    fn record_failure(&mut self, may_eject: bool, config: &Config, now: Instant) {
        self.failures += 1;
        if !self.half_open && self.failures < config.failure_limit {
            return;
        }
        if may_eject {
            let length = self.next_ejection.max(config.base_ejection);
            self.next_ejection = (length * 2).min(config.max_ejection);
            self.pause(length, false, now);
            self.record_ratio(32.0, now);
        }
        self.reset_to_cold(now);
    }

    fn record_shed(&mut self, load: u32, config: &Config, now: Instant) {
        self.allowance = self.allowance.min(load.saturating_sub(1).max(1));
        self.progress = 0;
        if now >= self.backoff_until + self.backoff {
            self.backoff = config.shed_backoff;
        } else if now >= self.backoff_until {
            self.backoff = (self.backoff * 2).min(config.shed_backoff * 16);
        }
        self.backoff_until = now + self.backoff;
    }

    fn record_response(
        &mut self,
        has_start: bool,
        probe: bool,
        ratio_to_baseline: Option<f64>,
        config: &Config,
        now: Instant,
    ) {
        let ratio = ratio_to_baseline.unwrap_or(1.0);
        self.confirmed = true;
        if self.half_open {
            self.recent = 1.0;
        }
        let allowance_before_crash = self.allowance_before_crash.take();
        if let Some(allowance) = allowance_before_crash.filter(|_| has_start) {
            self.allowance = allowance;
            self.cold = false;
        }
        if probe {
            return;
        }
        let is_slow = ratio >= 4.0 * self.long_term.max(1.0);
        self.slow_responses = if is_slow { self.slow_responses + 1 } else { 0 };
        let settled = now >= self.cold_since + SECOND * 5 && self.cold_responses >= 32;
        if !self.cold || settled {
            self.starting = false;
            self.long_term += (ratio.min(64.0) - self.long_term) / 32.0;
        }
        self.record_ratio(ratio, now);
        self.failures = 0;
        self.half_open = false;
        let jumped = self.slow_responses == 3;
        if jumped {
            self.slow_responses = 0;
        }
        if jumped && !self.cold {
            self.reset_to_cold(now);
            return;
        }
        // In thirds of a good response.
        let gained = match ratio_to_baseline {
            Some(ratio) if self.cold && ratio > 1.5 * self.long_term.max(1.0) => {
                self.progress = 0;
                0
            }
            None if self.cold => 1,
            _ if ratio <= 3.0 * self.long_term.max(1.0) => 3,
            _ => 0,
        };
        self.cold_responses += u32::from(self.cold);
        if gained > 0 && now >= self.backoff_until {
            self.progress += gained;
            if self.progress >= 3 * config.growth_responses {
                self.progress = 0;
                if self.cold && !settled {
                    self.recent = 1.0;
                }
                self.cold = false;
                self.allowance = (self.allowance + 1).min(config.slots);
            }
        }
        if !self.cold {
            self.next_ejection = Duration::ZERO;
        }
    }
}

#[derive(Clone)]
struct LiveCredit {
    id: credit::Id,
    server: id::Server,
    generation: u64,
    load: u32,
    instance: Option<id::Instance>,
    probe: bool,
    ends_at: Instant,
    fingerprint: Option<Fingerprint>,
}

struct Share {
    version: id::Version,
    share: f64,
    takes_overflow: bool,
    deficit: f64,
}

struct Route {
    name: id::Route,
    micros: Option<f64>,
    responses: u32,
    failures: f64,
}

pub(crate) struct Model {
    config: Config,
    servers: Vec<Server>,
    shares: Vec<Share>,
    tickets: Vec<Ticket>,
    live: Vec<LiveCredit>,
    routes: Vec<Route>,
    crashes: Vec<(Fingerprint, id::Server, Instant)>,
    /// The outcomes of contacts: the instance, the server, whether it responded, and when.
    contacts: Vec<(id::Instance, id::Server, bool, Instant)>,
    pub(crate) dropped: Vec<Dropped>,
    sequence: u64,
    next: u64,
    in_service: bool,
    held_until: Instant,
    now: Instant,
}

impl Model {
    pub(crate) fn new(config: Config) -> Self {
        Self {
            next: config.first_credit.0,
            config,
            servers: Vec::new(),
            shares: Vec::new(),
            tickets: Vec::new(),
            live: Vec::new(),
            routes: Vec::new(),
            crashes: Vec::new(),
            contacts: Vec::new(),
            dropped: Vec::new(),
            sequence: 0,
            in_service: true,
            held_until: Instant::ZERO,
            now: Instant::ZERO,
        }
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        self.now = now;
        self.live.retain(|l| l.ends_at > now);
        self.remove_idle();
        self.drop_where(Refusal::Expired, |t| t.deadline <= now);
        for server in self.servers.iter_mut().filter(|s| s.listed) {
            if server.next_decay().is_some_and(|due| due <= now) {
                server.recent = (server.recent + 1.0) / 2.0;
                server.updated = now;
            }
            if server.paused_until.is_some_and(|until| until <= now) {
                server.paused_until = None;
                server.half_open = true;
                server.record_ratio(32.0, now);
                server.idle_since = now;
            }
        }
    }

    pub(crate) fn set_servers(&mut self, listed: &[Listing], now: Instant) {
        self.advance(now);
        for server in &mut self.servers {
            server.listed &= listed.iter().any(|l| l.name == server.name);
        }
        self.remove_idle();
        for l in listed {
            let index = self.index_of(&l.name, now);
            let server = &mut self.servers[index];
            let unusable = !server.listed || server.leaving || server.version != l.version;
            if unusable && !l.leaving {
                let mut cold =
                    Server::cold(l.name.clone(), l.version.clone(), server.sequence, now);
                cold.generation = server.generation + 1;
                cold.starting = true;
                cold.start_id = server.start_id;
                cold.previous_start_id = server.previous_start_id;
                *server = cold;
            }
            server.version = l.version.clone();
            server.listed = true;
            server.leaving = l.leaving;
        }
    }

    pub(crate) fn set_shares(&mut self, shares: &[(id::Version, f64)]) {
        let positive: Vec<_> = shares.iter().filter(|(_, share)| *share > 0.0).collect();
        let sum: f64 = positive.iter().map(|(_, share)| share).sum();
        let largest = positive.iter().map(|(_, share)| *share).fold(0.0, f64::max);
        let new = positive
            .iter()
            .enumerate()
            .map(|(n, (version, share))| Share {
                version: version.clone(),
                share: share / sum,
                takes_overflow: n == 0 || *share >= largest,
                deficit: self.share_of(version).map_or(0.0, |s| s.deficit),
            });
        self.shares = new.collect();
    }

    pub(crate) fn set_in_service(&mut self, in_service: bool) {
        if in_service && !self.in_service {
            let now = self.now;
            self.servers.iter_mut().for_each(|s| s.restart(now));
        }
        self.in_service = in_service;
        if !in_service {
            self.drop_where(Refusal::OutOfService, |_| true);
        }
    }

    pub(crate) fn enqueue(&mut self, ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        if self.tickets.iter().any(|t| t.id == ticket.id) {
            return Ok(());
        }
        if !self.in_service {
            return Err(Refusal::OutOfService);
        }
        if ticket.fingerprint.is_some_and(|f| self.crashes(f) >= 2) {
            return Err(Refusal::Quarantined);
        }
        if ticket.deadline <= now {
            return Err(Refusal::Expired);
        }
        if !self.has_usable() {
            return Err(Refusal::NoServers);
        }
        if self.tickets.len() + self.dropped.len() >= self.config.queue_limit {
            let waiting = self.tickets.iter().filter(|t| t.can_wait);
            let last = waiting.max_by_key(|t| (t.deadline, t.id)).map(|t| t.id);
            let full = ticket.can_wait || self.dropped.len() >= self.config.queue_limit;
            let evicted = last.filter(|_| !full).ok_or(Refusal::QueueFull)?;
            self.drop_where(Refusal::QueueFull, |t| t.id == evicted);
        }
        self.tickets.push(ticket);
        self.tickets.sort_by_key(|t| (t.can_wait, t.deadline, t.id));
        Ok(())
    }

    pub(crate) fn withdraw(&mut self, id: ticket::Id) -> bool {
        let before = self.tickets.len();
        self.tickets.retain(|t| t.id != id);
        self.tickets.len() < before
    }

    pub(crate) fn grant(&mut self, now: Instant) -> Vec<Grant> {
        self.advance(now);
        if !self.has_usable() {
            self.drop_where(Refusal::NoServers, |_| true);
        }
        let mut grants = Vec::new();
        for ticket in self.tickets.clone() {
            if !self.in_service || now < self.held_until || self.ready_versions().is_empty() {
                break;
            }
            let crashes = ticket.fingerprint.map_or(0, |f| self.crashes(f));
            let runs = self
                .live
                .iter()
                .any(|l| l.fingerprint == ticket.fingerprint);
            if crashes >= 2 {
                self.drop_where(Refusal::Quarantined, |t| t.id == ticket.id);
            } else if crashes == 0 || !runs {
                grants.extend(self.grant_ticket(&ticket, now));
            }
        }
        grants
    }

    fn grant_ticket(&mut self, ticket: &Ticket, now: Instant) -> Option<Grant> {
        let avoids = |s: &Server| ticket.avoid.contains(&s.name);
        let takes_overflow =
            |s: &Server| self.share_of(&s.version).is_some_and(|s| s.takes_overflow);
        let mut usable = self
            .servers
            .iter()
            .filter(|s| s.usable() && takes_overflow(s));
        let strict = usable.any(|s| !avoids(s));
        let fits = |s: &&Server| self.room(s) > 0 && !(strict && avoids(s));
        let index = self.ready_versions().iter().find_map(|version| {
            let servers = self.servers.iter().filter(|s| s.version == *version);
            let best = servers
                .filter(fits)
                .min_by_key(|s| (self.cost(s), s.sequence))?;
            self.servers.iter().position(|s| s.name == best.name)
        })?;
        self.tickets.retain(|t| t.id != ticket.id);
        let chosen = self.servers[index].version.clone();
        for share in &mut self.shares {
            let taken = if share.version == chosen { 1.0 } else { 0.0 };
            share.deficit = (share.deficit + share.share - taken).clamp(-1.0, 1.0);
        }
        self.sequence += 1;
        self.servers[index].sequence = self.sequence;
        let expires = now + self.config.credit_ttl;
        let ends_at = expires + ticket.time_limit;
        let credit = self.issue(index, ends_at, ticket.fingerprint, false);
        let last = self.live.last_mut().expect("just issued");
        last.instance = Some(ticket.instance.clone());
        Some(Grant {
            ticket: ticket.id,
            instance: ticket.instance.clone(),
            credit,
            expires,
        })
    }

    /// Returns the versions that the next grant may go to, the most urgent first.
    fn ready_versions(&self) -> Vec<id::Version> {
        let due = |s: &Share| s.deficit + s.share > 1e-9;
        let has_room = |s: &Share| {
            let mut servers = self.servers.iter();
            servers.any(|server| server.version == s.version && self.room(server) > 0)
        };
        let mut ready: Vec<&Share> = self.shares.iter().collect();
        ready.retain(|s| has_room(s) && (due(s) || s.takes_overflow));
        ready.sort_by(|a, b| {
            let slack = |s: &Share| (1.0 - s.deficit) / s.share;
            let order = due(b).cmp(&due(a));
            let order = order.then(slack(a).total_cmp(&slack(b)));
            order.then(a.version.cmp(&b.version))
        });
        ready.iter().map(|s| s.version.clone()).collect()
    }

    pub(crate) fn release(
        &mut self,
        id: credit::Id,
        feedback: Option<&Feedback>,
        now: Instant,
    ) -> bool {
        self.advance(now);
        let Some(credit) = self.live.iter().find(|l| l.id == id).cloned() else {
            return false;
        };
        if let Some(feedback) = feedback {
            self.apply_feedback(&credit, feedback, now);
        }
        self.live.retain(|l| l.id != id);
        self.remove_idle();
        true
    }

    fn apply_feedback(&mut self, credit: &LiveCredit, feedback: &Feedback, now: Instant) {
        if !self.is_about_server(credit, feedback.outcome, now) {
            return;
        }
        let index = self.index_of(&credit.server, now);
        let request_blamed = self.update_quarantine(credit, feedback, now);
        let cold = self.servers[index].cold;
        let (ratio_to_baseline, route_failing) = self.update_route(feedback, cold, credit.probe);
        let ratio = ratio_to_baseline.unwrap_or(1.0);
        let members = self
            .servers
            .iter()
            .filter(|s| s.version == self.servers[index].version && s.listed && !s.leaving);
        let members: Vec<&Server> = members.collect();
        let out = members.iter().filter(|s| !s.usable()).count();
        let may_eject = (out + 1) * 2 <= members.len();
        let config = &self.config;
        let server = &mut self.servers[index];
        if feedback.start_id.is_some() && feedback.start_id == server.previous_start_id {
            return;
        }
        let mut current = credit.generation == server.generation;
        server.idle_since = now;
        if feedback.start_id.is_some() && feedback.start_id != server.start_id {
            server.previous_start_id = server.start_id;
            server.start_id = feedback.start_id;
            if server.previous_start_id.is_some() {
                server.restart(now);
                current = false;
            }
        }
        if feedback.draining {
            server.pause(config.drain_pause, true, now);
            server.reset_to_cold(now);
        }
        if !current || feedback.draining {
            return;
        }
        match feedback.outcome {
            Outcome::Answered => {
                let has_start = feedback.start_id.is_some();
                server.record_response(has_start, credit.probe, ratio_to_baseline, config, now)
            }
            Outcome::Failed | Outcome::TimedOut => {
                let least = if feedback.outcome == Outcome::Failed {
                    4.0
                } else {
                    8.0
                };
                server.record_ratio(ratio.max(least), now);
                if !route_failing {
                    server.record_failure(may_eject, config, now);
                }
            }
            Outcome::Shed => {
                let at_minimum = server.allowance == 1;
                server.record_ratio(ratio.max(4.0), now);
                server.record_shed(credit.load, config, now);
                if at_minimum {
                    server.record_failure(may_eject, config, now);
                }
            }
            Outcome::Crashed | Outcome::Unreachable => {
                let warm = (!server.cold).then_some(server.allowance);
                let allowance = server.allowance_before_crash.or(warm);
                server.record_ratio(4.0, now);
                server.reset_to_cold(now);
                server.allowance_before_crash = allowance.filter(|_| server.start_id.is_some());
                if !request_blamed {
                    server.record_failure(true, config, now);
                }
            }
            Outcome::Abandoned if ratio > server.recent => server.record_ratio(ratio, now),
            Outcome::Abandoned => (),
        }
    }

    fn is_about_server(&mut self, credit: &LiveCredit, outcome: Outcome, now: Instant) -> bool {
        use Outcome::{Answered, Failed, Shed, Unreachable};
        let Some(instance) = credit.instance.clone() else {
            return true;
        };
        let responded = matches!(outcome, Answered | Failed | Shed);
        if responded || outcome == Unreachable {
            let contact = (instance.clone(), credit.server.clone(), responded, now);
            self.contacts.push(contact);
        }
        let own = self.contacts.iter().rev().filter(|s| s.0 == instance);
        let unreached: BTreeSet<_> = own.take_while(|s| !s.2).map(|s| &s.1).collect();
        let recent = |s: &&(_, _, bool, Instant)| s.2 && now < s.3 + SECOND;
        let others = self.contacts.iter().filter(recent).any(|s| s.0 != instance);
        outcome != Unreachable || unreached.len() < 2 || !others
    }

    fn update_quarantine(
        &mut self,
        credit: &LiveCredit,
        feedback: &Feedback,
        now: Instant,
    ) -> bool {
        let Some(f) = feedback.fingerprint.or(credit.fingerprint) else {
            return false;
        };
        if feedback.outcome == Outcome::Answered {
            self.crashes.retain(|(g, _, _)| *g != f);
        }
        if feedback.outcome != Outcome::Crashed {
            return false;
        }
        if self.crashes(f) == 0 {
            self.crashes.retain(|(g, _, _)| *g != f);
        }
        let same = |(g, server, at): &(Fingerprint, id::Server, Instant)| {
            *g == f && *server == credit.server && now < *at + SECOND * 5
        };
        if self.crashes(f) < 2 && !self.crashes.iter().any(same) {
            self.crashes.push((f, credit.server.clone(), now));
        }
        self.crashes(f) >= 2
    }

    fn update_route(
        &mut self,
        feedback: &Feedback,
        cold: bool,
        probe: bool,
    ) -> (Option<f64>, bool) {
        let index = self.routes.iter().position(|r| r.name == feedback.route);
        let index = index.unwrap_or(self.routes.len());
        if index == self.routes.len() {
            self.routes.push(Route {
                name: feedback.route.clone(),
                micros: None,
                responses: 0,
                failures: 0.0,
            });
        }
        let route = &mut self.routes[index];
        let latency = (feedback.latency.as_secs_f64() * 1e6).max(50.0);
        let baseline = route.micros.unwrap_or(latency);
        let ratio = route.micros.map(|baseline| latency / baseline);
        match feedback.outcome {
            _ if probe => (),
            Outcome::Answered => {
                route.failures -= route.failures / 32.0;
                if !cold || route.micros.is_some() {
                    let step = baseline / if route.responses < 16 { 8.0 } else { 32.0 };
                    route.responses += 1;
                    route.micros = Some(match latency < baseline {
                        true => latency.max(baseline - step),
                        false if cold => baseline,
                        false => latency.min(baseline + step),
                    });
                }
            }
            Outcome::Failed | Outcome::TimedOut => route.failures += (1.0 - route.failures) / 32.0,
            _ => (),
        }
        (ratio, route.failures > 0.5)
    }

    pub(crate) fn adopt(&mut self, held: &[(credit::Id, id::Server, Instant)], now: Instant) {
        self.advance(now);
        for (id, name, ends_at) in held {
            if *ends_at > now && !self.live.iter().any(|l| l.id == *id) {
                let index = self.index_of(name, now);
                self.insert_live(*id, index, *ends_at, None, false);
            }
        }
    }

    pub(crate) fn hold_until(&mut self, instant: Instant) {
        self.held_until = self.held_until.max(instant);
    }

    /// Returns the servers that may be probed next.
    pub(crate) fn probe_candidates(&mut self, now: Instant) -> Vec<id::Server> {
        self.advance(now);
        let due = |s: &Server| match s.half_open {
            true => s.idle_since,
            false => s.idle_since + SECOND / 2,
        };
        let wants = |s: &&Server| {
            let uncertain = (s.cold || s.half_open) && !s.confirmed;
            let shared = self.share_of(&s.version).is_some();
            s.usable() && uncertain && shared && self.live_of(&s.name) == 0 && due(s) <= now
        };
        if !self.in_service || now < self.held_until {
            return Vec::new();
        }
        let wanting: Vec<&Server> = self.servers.iter().filter(wants).collect();
        let first = wanting.iter().map(|s| due(s)).min();
        let wanting = wanting.iter().filter(|s| Some(due(s)) == first);
        wanting.map(|s| s.name.clone()).collect()
    }

    pub(crate) fn probe(&mut self, name: &id::Server, now: Instant) -> Credit {
        let index = self.index_of(name, now);
        self.servers[index].idle_since = now;
        let ends_at = now + self.config.credit_ttl + self.config.probe_time_limit;
        self.issue(index, ends_at, None, true)
    }

    pub(crate) fn snapshot(&self) -> Vec<State> {
        let state = |s: &Server| State {
            name: s.name.clone(),
            version: s.version.clone(),
            allowance: s.allowance,
            live: self.live_of(&s.name),
            cold: s.cold,
            ejected: s.paused_until.is_some() && !s.draining,
            leaving: !s.listed || s.leaving || s.paused_until.is_some() && s.draining,
            latency: Duration::ZERO,
            start_id: s.start_id,
        };
        let mut states: Vec<State> = self.servers.iter().map(state).collect();
        states.sort_by(|a, b| a.name.cmp(&b.name));
        states
    }

    /// Returns when the next change without further input is due, ignoring probes.
    pub(crate) fn next_event(&self) -> Option<Instant> {
        let deadlines = self.tickets.iter().map(|t| t.deadline);
        let ends = self.live.iter().map(|l| l.ends_at);
        let listed = self.servers.iter().filter(|s| s.listed);
        let changes = listed.flat_map(|s| s.paused_until.into_iter().chain(s.next_decay()));
        deadlines.chain(ends).chain(changes).min()
    }

    pub(crate) fn live(&self) -> Vec<credit::Id> {
        self.live.iter().map(|l| l.id).collect()
    }

    fn issue(
        &mut self,
        index: usize,
        ends_at: Instant,
        f: Option<Fingerprint>,
        probe: bool,
    ) -> Credit {
        while self.live.iter().any(|l| l.id.0 == self.next) {
            self.next += 1;
        }
        let id = credit::Id(self.next);
        self.next += 1;
        self.insert_live(id, index, ends_at, f, probe);
        Credit {
            id,
            server: self.servers[index].name.clone(),
            version: self.servers[index].version.clone(),
        }
    }

    fn insert_live(
        &mut self,
        id: credit::Id,
        index: usize,
        ends_at: Instant,
        f: Option<Fingerprint>,
        probe: bool,
    ) {
        self.live.push(LiveCredit {
            id,
            server: self.servers[index].name.clone(),
            generation: self.servers[index].generation,
            load: self.live_of(&self.servers[index].name) + 1,
            instance: None,
            probe,
            ends_at,
            fingerprint: f,
        });
    }

    fn index_of(&mut self, name: &id::Server, now: Instant) -> usize {
        if let Some(index) = self.servers.iter().position(|s| s.name == *name) {
            return index;
        }
        self.sequence += 1;
        let server = Server::cold(name.clone(), "".into(), self.sequence, now);
        self.servers.push(server);
        self.servers.len() - 1
    }

    fn remove_idle(&mut self) {
        let live = &self.live;
        let held = |s: &Server| live.iter().any(|l| l.server == s.name);
        self.servers.retain(|s| s.listed || held(s));
    }

    fn drop_where(&mut self, refusal: Refusal, which: impl Fn(&Ticket) -> bool) {
        for ticket in self.tickets.extract_if(.., |t| which(t)) {
            self.dropped.push(Dropped {
                id: ticket.id,
                instance: ticket.instance,
                refusal,
            });
        }
    }

    fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let own: Vec<_> = self
            .crashes
            .iter()
            .filter(|(f, _, _)| *f == fingerprint)
            .collect();
        match own.last() {
            Some((_, _, last)) if self.now < *last + SECOND * 60 => own.len(),
            _ => 0,
        }
    }

    fn share_of(&self, version: &id::Version) -> Option<&Share> {
        self.shares.iter().find(|s| s.version == *version)
    }

    fn has_usable(&self) -> bool {
        let takes_overflow =
            |s: &Server| self.share_of(&s.version).is_some_and(|s| s.takes_overflow);
        self.servers.iter().any(|s| s.usable() && takes_overflow(s))
    }

    fn live_of(&self, name: &id::Server) -> u32 {
        self.live.iter().filter(|l| l.server == *name).count() as u32
    }

    fn room(&self, server: &Server) -> u32 {
        if server.usable() {
            server.allowance.saturating_sub(self.live_of(&server.name))
        } else {
            0
        }
    }

    fn cost(&self, server: &Server) -> u64 {
        let live = self.live_of(&server.name);
        let limit = if live == 0 {
            self.config.slots
        } else {
            server.allowance
        };
        let slowness = match server.starting && server.cold {
            true => 4,
            false => server.slowness(),
        };
        65_536 * u64::from(live + 1) * slowness / u64::from(limit)
    }
}
