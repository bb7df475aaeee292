//! Simulated traffic of a service with two versions.

use std::time::Duration;

use clock::Instant;
use contract::{id, Shift};
use rollout::action::Action;
use rollout::controller::Controller;
use rollout::evidence::Evidence;
use rollout::origin::Origin;
use rollout::plan::Plan;
use rollout::sample::{Outcome, Sample};
use rollout::state::State;

/// A small generator of random numbers: G. Steele, D. Lea and C. Flood, "Fast splittable
/// pseudorandom number generators", OOPSLA 2014.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn below(&mut self, probability: f64) -> bool {
        self.next() < probability
    }

    pub(crate) fn index(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

/// How a server behaves.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Behaviour {
    /// The probability of a failure.
    pub(crate) failure: f64,
    /// The factor applied to the usual latencies.
    pub(crate) slowdown: f64,
}

pub(crate) const USUAL: Behaviour = Behaviour {
    failure: 0.002,
    slowdown: 1.0,
};

/// One call: its server, route and time.
pub(crate) struct Call {
    pub(crate) is_new: bool,
    pub(crate) route: usize,
    pub(crate) server: usize,
    /// Seconds since the rollout began.
    pub(crate) time: u64,
    /// The share of the new version.
    pub(crate) share: f64,
}

/// The simulated traffic of a service and the settings of its rollout.
pub(crate) struct Stream<F> {
    pub(crate) calls_per_second: f64,
    pub(crate) routes: usize,
    pub(crate) servers: usize,
    pub(crate) deadline_s: u64,
    /// The time after which the lead owner is replaced.
    pub(crate) tenure_s: u64,
    pub(crate) behaviour: F,
}

/// The result of a rollout.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) state: State,
    pub(crate) max_share: f64,
    /// The calls of the new version since its fault began.
    pub(crate) bad_calls: u64,
    /// The calls of both versions up to the deadline.
    pub(crate) calls: u64,
    /// When it was rolled back, in seconds.
    pub(crate) rolled_back: Option<u64>,
    /// When it was done, in seconds.
    pub(crate) done: Option<u64>,
}

/// The wall clock at the start, in seconds since 1970-01-01 UTC.
pub(crate) const START_UNIX_S: u64 = 1_800_000_000;

impl<F> Stream<F>
where
    F: Fn(&Call) -> Behaviour,
{
    /// Returns the plan of a lead owner that takes over the rollout at `time`.
    fn plan(&self, time: u64) -> Plan {
        let shift = Shift {
            from: id::Version::from("old"),
            to: id::Version::from("new"),
            first_share: 0.05,
            deadline: START_UNIX_S + self.deadline_s,
        };
        let now = Instant::ZERO + Duration::from_secs(time);
        Plan::new(&shift, self.routes, START_UNIX_S + time, now)
    }

    /// Runs the rollout for `seconds`.
    pub(crate) fn run(&self, seconds: u64, random: &mut Random) -> Report {
        let mut controller = Controller::new(self.plan(0));
        let mut record = controller.progress();
        let mut report = Report {
            state: State::Planned,
            max_share: 0.0,
            bad_calls: 0,
            calls: 0,
            rolled_back: None,
            done: None,
        };
        let origins = [self.origins("old"), self.origins("new")];
        let mut due = 0.0;
        for time in 0..seconds {
            due += self.calls_per_second;
            let mut evidence = Evidence::default();
            while due >= 1.0 {
                due -= 1.0;
                let call = self.call(time, controller.share(), random);
                let is_faulty = (self.behaviour)(&call) != USUAL;
                if call.is_new && (is_faulty || report.bad_calls > 0) {
                    report.bad_calls += 1;
                }
                evidence.observe(&self.respond(&call, &origins, random));
            }
            controller.merge(&evidence);
            for action in controller.step(Instant::ZERO + Duration::from_secs(time + 1)) {
                match action {
                    Action::Finish => report.done = report.done.or(Some(time + 1)),
                    Action::Record(progress) => record = progress,
                    Action::RollBack(_) => report.rolled_back = Some(time + 1),
                    _ => {}
                }
            }
            if controller.state() == State::RolledBack {
                break;
            }
            if (time + 1) % self.tenure_s == 0 {
                let now = Instant::ZERO + Duration::from_secs(time + 1);
                controller = Controller::resume(self.plan(time + 1), &record, now);
            }
            report.max_share = report.max_share.max(controller.share());
        }
        report.state = controller.state();
        report.calls = (self.calls_per_second * self.deadline_s.min(seconds) as f64) as u64;
        report
    }

    fn call(&self, time: u64, share: f64, random: &mut Random) -> Call {
        Call {
            is_new: random.below(share),
            route: random.index(self.routes),
            server: random.index(self.servers),
            time,
            share,
        }
    }

    fn origins(&self, version: &str) -> Vec<Origin> {
        let places = (0..self.routes).flat_map(|r| (0..self.servers).map(move |s| (r, s)));
        let origin = |(route, server): (usize, usize)| Origin {
            version: id::Version::from(version),
            route: id::Route::from(format!("route-{route}").as_str()),
            centre: id::Centre::from("centre"),
            server: id::Server::from(format!("{version}-{server}").as_str()),
        };
        places.map(origin).collect()
    }

    fn respond(&self, call: &Call, origins: &[Vec<Origin>; 2], random: &mut Random) -> Sample {
        let behaviour = (self.behaviour)(call);
        let failed = random.below(behaviour.failure);
        // A fixed part plus an exponential one: most responses take 5 to 20 ms.
        let millis = 4.0 - 6.0 * (1.0 - random.next()).ln();
        let origins = &origins[usize::from(call.is_new)];
        Sample {
            origin: origins[call.route * self.servers + call.server].clone(),
            outcome: if failed {
                Outcome::Failure
            } else {
                Outcome::Success
            },
            latency: Duration::from_secs_f64(millis * behaviour.slowdown / 1000.0),
            warm: true,
            count: 1,
        }
    }
}
