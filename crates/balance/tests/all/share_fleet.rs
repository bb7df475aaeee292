//! Instances that share servers, for tests of how tenants share capacity. Waiting requests of all
//! instances are served in the order of their ranks, as turns achieve it, and those that wait for too
//! long are refused. Without gossip, instances do not know who waits elsewhere: any of them is next.

use std::collections::{BTreeMap, BTreeSet};

use balance::share::{Admission, Priority, Shares};
use fastrand::Rng;

use crate::support::at;

const TICK_MS: u64 = 10;
const MAX_WAIT_MS: u64 = 150;
const REFRESH_MS: u64 = 250;

/// The interval of heartbeats from one instance to another.
const HEARTBEAT_MS: u64 = 1000;

/// How long tenants send their usual load, and then the load under test, of which the first seconds
/// are not measured.
const USUAL_MS: u64 = 40_000;
const SETTLE_MS: u64 = 15_000;
const MEASURED_MS: u64 = 20_000;

/// A tenant, or several that are alike.
#[derive(Clone)]
pub(crate) struct Tenants {
    /// The number of tenants that are alike.
    pub(crate) count: usize,
    /// The requests a second of each, at first and under test.
    pub(crate) rates: [f64; 2],
    pub(crate) priority: Option<u32>,
    /// The instance that gets all of the requests, or any.
    pub(crate) instance: Option<usize>,
}

impl Tenants {
    pub(crate) fn new(count: usize, usual: f64, tested: f64) -> Self {
        Self {
            count,
            rates: [usual, tested],
            priority: None,
            instance: None,
        }
    }

    pub(crate) fn with_priority(self, priority: u32) -> Self {
        Self {
            priority: Some(priority),
            ..self
        }
    }

    pub(crate) fn at_instance(self, instance: usize) -> Self {
        Self {
            instance: Some(instance),
            ..self
        }
    }
}

/// The rank, the arrival, and the instance of a request.
type Position = (u32, u64, usize);

#[derive(Clone, Copy)]
struct Waiting {
    tenants: usize,
    instance: usize,
    admission: Admission,
    arrived_at: u64,
}

/// What a fleet has done with the measured requests.
pub(crate) struct Outcome {
    /// The served part of each group's requests, and of all together.
    pub(crate) shares: Vec<f64>,
    pub(crate) all: f64,
    /// The tenants that instances name as limited at the end.
    pub(crate) limited: BTreeSet<String>,
}

/// A fleet under test.
pub(crate) struct Fleet {
    pub(crate) instances: usize,
    /// The requests a second that the servers take.
    pub(crate) capacity: f64,
    pub(crate) gossip: bool,
    pub(crate) seed: u64,
}

impl Fleet {
    /// Lets `tenants` send their requests.
    pub(crate) fn run(&self, tenants: &[Tenants]) -> Outcome {
        let mut rng = Rng::with_seed(self.seed);
        let mut shares: Vec<Shares> = (0..self.instances).map(|_| Shares::default()).collect();
        let mut queue: BTreeMap<Position, Waiting> = BTreeMap::new();
        let mut counts = vec![(0.0, 0.0); tenants.len()];
        let (mut sequence, mut room) = (0, 0.0);
        let total: usize = tenants.iter().map(|t| t.count).sum();
        for now in (0..USUAL_MS + SETTLE_MS + MEASURED_MS).step_by(TICK_MS as usize) {
            let measured = now >= USUAL_MS + SETTLE_MS;
            if now % REFRESH_MS == 0 {
                for own in &mut shares {
                    own.refresh(total, at(now));
                }
            }
            if self.gossip {
                self.exchange(&mut shares, now);
            }
            // Requests of one tick arrive in random order.
            let mut arrived = Vec::new();
            for (index, group) in tenants.iter().enumerate() {
                let rate = group.rates[usize::from(now >= USUAL_MS)] * group.count as f64;
                for _ in 0..arrivals(rate * TICK_MS as f64 / 1000.0, &mut rng) {
                    let instance = group.instance.unwrap_or(rng.usize(..self.instances));
                    let name = format!("{index}-{}", rng.usize(..group.count));
                    arrived.push((index, instance, name));
                }
            }
            rng.shuffle(&mut arrived);
            for (index, instance, name) in arrived {
                let priority = Priority::new(tenants[index].priority, 1);
                let draws = [rng.f64(), rng.f64()];
                let own = &mut shares[instance];
                let admission = own.admit("gauge", priority, Some(&name), draws, at(now));
                sequence += 1;
                let waiting = Waiting {
                    tenants: index,
                    instance,
                    admission,
                    arrived_at: now,
                };
                queue.insert((admission.rank(), sequence, instance), waiting);
            }
            room = (room + self.capacity * TICK_MS as f64 / 1000.0).min(self.capacity);
            let mut end = |request: Waiting, served: bool| {
                let own = &mut shares[request.instance];
                own.record_outcome("gauge", request.admission, served, at(now));
                if measured {
                    counts[request.tenants].0 += 1.0;
                    counts[request.tenants].1 += f64::from(u8::from(served));
                }
            };
            while room >= 1.0 {
                let Some(request) = self.next(&mut queue, &mut rng) else {
                    room = room.min(1.0);
                    break;
                };
                room -= 1.0;
                end(request, true);
            }
            queue.retain(|_, request| {
                let stays = now - request.arrived_at < MAX_WAIT_MS;
                if !stays {
                    end(*request, false);
                }
                stays
            });
        }
        let share = |(asked, served): (f64, f64)| served / asked;
        let all = counts
            .iter()
            .fold((0.0, 0.0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
        let limited = shares.iter().flat_map(Shares::limited);
        Outcome {
            shares: counts.into_iter().map(share).collect(),
            all: share(all),
            limited: limited.map(str::to_owned).collect(),
        }
    }

    /// Removes the request that is served next.
    fn next(&self, queue: &mut BTreeMap<Position, Waiting>, rng: &mut Rng) -> Option<Waiting> {
        if self.gossip {
            return queue.pop_first().map(|(_, request)| request);
        }
        let instances: BTreeSet<usize> = queue.keys().map(|p| p.2).collect();
        let instance = instances.iter().nth(rng.usize(..instances.len().max(1)))?;
        let first = queue.keys().find(|p| p.2 == *instance).copied()?;
        queue.remove(&first)
    }

    /// Sends the heartbeats that are due.
    fn exchange(&self, shares: &mut [Shares], now: u64) {
        for from in 0..shares.len() {
            if !(now / TICK_MS + from as u64).is_multiple_of(HEARTBEAT_MS / TICK_MS) {
                continue;
            }
            let report = shares[from].report(at(now));
            for (to, other) in shares.iter_mut().enumerate() {
                if to != from {
                    other.set_report(from as u64, report.clone(), at(now));
                }
            }
        }
    }
}

/// Returns a Poisson-distributed number of arrivals.
fn arrivals(mean: f64, rng: &mut Rng) -> usize {
    let limit = (-mean).exp();
    let mut product = rng.f64();
    let mut count = 0;
    while product > limit {
        product *= rng.f64();
        count += 1;
    }
    count
}
