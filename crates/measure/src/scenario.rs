//! Scenarios: the traffic of a run, and the changes during it.

use std::time::Duration;

use clock::Instant;

use crate::call::Call;
use crate::site::Site;
use crate::traffic::Traffic;

/// A change of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Multiplies the service time of each request of a server by the factor.
    Slow(usize, f64),
    /// A server restarts without notice to the balancer.
    Restart(usize),
    /// A server is replaced by one of a new version, which starts cold and gets a tenth of the
    /// calls.
    Replace(usize),
    /// A data centre is taken out of service.
    Leave(usize),
    /// A data centre is put back into service, with cold servers.
    Return(usize),
}

/// The traffic of a run, and the changes during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The machines and the links between them.
    pub site: Site,
    /// How calls arrive.
    pub traffic: Traffic,
    /// The share of the slots that the calls keep busy.
    pub load: f64,
    /// How long calls arrive.
    pub duration: Duration,
    /// Calls that arrive earlier are not counted.
    pub settled: Instant,
    /// The changes of the site and their times.
    pub changes: Vec<(Instant, Change)>,
    /// Whether all servers start cold, and the pools know them as cold.
    pub cold: bool,
}

/// The mean number of calls in a run without changes, including the settling time.
const PLAIN_CALLS: f64 = 30_000.0;

/// The time that passes before calls are counted.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// The duration of a run with changes.
const CHANGING_DURATION: Duration = Duration::from_secs(8);

/// The time of the first change.
const CHANGE_AT: Instant = Instant::from_millis(2000);

/// The time at which a temporary change is reverted.
const REVERT_AT: Instant = Instant::from_millis(4000);

/// The factor by which a slow server is slower.
const SLOWDOWN_FACTOR: f64 = 5.0;

/// One server in this many is affected by a change. The affected servers are spread over the data
/// centres.
const AFFECTED_STEP: usize = 7;

impl Scenario {
    /// Returns a run without changes.
    pub fn plain(servers: usize, traffic: Traffic, load: f64) -> Self {
        let site = Site::new(servers);
        let rate = site.slots() as f64 * load / crate::traffic::MEAN_WORK.as_secs_f64();
        Self {
            site,
            traffic,
            load,
            duration: Duration::from_secs_f64(PLAIN_CALLS / rate),
            settled: Instant::ZERO + SETTLING_TIME,
            changes: Vec::new(),
            cold: false,
        }
    }

    /// Returns a run in which a seventh of the servers is temporarily slow.
    pub fn slowdown(servers: usize, load: f64) -> Self {
        let affected = || (0..servers).step_by(AFFECTED_STEP);
        let slow = affected().map(|s| (CHANGE_AT, Change::Slow(s, SLOWDOWN_FACTOR)));
        let fast = affected().map(|s| (REVERT_AT, Change::Slow(s, 1.0)));
        Self::changing(servers, load, slow.chain(fast).collect())
    }

    /// Returns a run in which a seventh of the servers restarts.
    pub fn restart(servers: usize, load: f64) -> Self {
        let affected = (0..servers).step_by(AFFECTED_STEP);
        let changes = affected.map(|s| (CHANGE_AT, Change::Restart(s))).collect();
        Self::changing(servers, load, changes)
    }

    /// Returns a run in which a seventh of the servers is replaced by a new version.
    pub fn new_version(servers: usize, load: f64) -> Self {
        let affected = (0..servers).step_by(AFFECTED_STEP);
        let changes = affected.map(|s| (CHANGE_AT, Change::Replace(s))).collect();
        Self::changing(servers, load, changes)
    }

    /// Returns a run in which a data centre goes out of service and returns with cold servers.
    pub fn absence(servers: usize, load: f64) -> Self {
        let changes = vec![
            (CHANGE_AT, Change::Leave(1)),
            (REVERT_AT, Change::Return(1)),
        ];
        Self::changing(servers, load, changes)
    }

    /// Returns a run that starts with cold servers and pools without any history.
    pub fn site_start(servers: usize, load: f64) -> Self {
        Self {
            cold: true,
            ..Self::changing(servers, load, Vec::new())
        }
    }

    fn changing(servers: usize, load: f64, changes: Vec<(Instant, Change)>) -> Self {
        Self {
            duration: CHANGING_DURATION,
            settled: Instant::ZERO,
            changes,
            ..Self::plain(servers, Traffic::Steady, load)
        }
    }

    /// Returns the calls of the run.
    pub fn calls(&self, seed: u64) -> Vec<Call> {
        self.traffic
            .calls(&self.site, self.load, self.duration, seed)
    }
}
