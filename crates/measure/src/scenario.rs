//! What happens in a run.

use std::time::Duration;

use clock::Instant;

use crate::call::Call;
use crate::site::Site;
use crate::traffic::Traffic;

/// A change of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Each request of a server takes longer by the factor.
    Slow(usize, f64),
    /// A server starts again, which nobody is told.
    Restart(usize),
    /// A server makes way for one of a new version, which starts cold and gets a tenth of the calls.
    Replace(usize),
    /// A data centre goes out of service.
    Leave(usize),
    /// A data centre comes back into service, with cold servers.
    Return(usize),
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The machines.
    pub site: Site,
    /// How calls come.
    pub traffic: Traffic,
    /// The part of the slots that the calls keep busy.
    pub load: f64,
    /// How long calls come.
    pub duration: Duration,
    /// Calls that arrive earlier are not counted.
    pub settled: Instant,
    /// The changes of the site.
    pub changes: Vec<(Instant, Change)>,
    /// Whether all servers, and what the pools know, are cold at first.
    pub cold: bool,
}

/// The calls of a run without changes, settling included.
const CALLS: f64 = 30_000.0;

/// The time that passes before calls are counted.
const SETTLING: Duration = Duration::from_millis(500);

/// The length of a run with changes.
const CHANGING: Duration = Duration::from_secs(8);

/// When the first change comes.
const FIRST: Instant = Instant::from_millis(2000);

/// When what changed is as before.
const SECOND: Instant = Instant::from_millis(4000);

/// How much slower a slow server is.
const SLOWNESS: f64 = 5.0;

/// The part of the servers that slow down or start again: one in so many, so that they are spread
/// over the data centres.
const STRUCK: usize = 7;

impl Scenario {
    /// Returns a run without changes.
    pub fn plain(servers: usize, traffic: Traffic, load: f64) -> Self {
        let site = Site::new(servers);
        let rate = site.slots() as f64 * load / crate::traffic::MEAN_WORK.as_secs_f64();
        Self {
            site,
            traffic,
            load,
            duration: Duration::from_secs_f64(CALLS / rate),
            settled: Instant::ZERO + SETTLING,
            changes: Vec::new(),
            cold: false,
        }
    }

    /// Returns a run in which a seventh of the servers is slow for a while.
    pub fn slowdown(servers: usize, load: f64) -> Self {
        let struck = || (0..servers).step_by(STRUCK);
        let slow = struck().map(|s| (FIRST, Change::Slow(s, SLOWNESS)));
        let fast = struck().map(|s| (SECOND, Change::Slow(s, 1.0)));
        Self::changing(servers, load, slow.chain(fast).collect())
    }

    /// Returns a run in which a seventh of the servers starts again.
    pub fn restart(servers: usize, load: f64) -> Self {
        let struck = (0..servers).step_by(STRUCK);
        let changes = struck.map(|s| (FIRST, Change::Restart(s))).collect();
        Self::changing(servers, load, changes)
    }

    /// Returns a run in which a seventh of the servers makes way for a new version.
    pub fn new_version(servers: usize, load: f64) -> Self {
        let struck = (0..servers).step_by(STRUCK);
        let changes = struck.map(|s| (FIRST, Change::Replace(s))).collect();
        Self::changing(servers, load, changes)
    }

    /// Returns a run in which a data centre leaves and returns with cold servers.
    pub fn absence(servers: usize, load: f64) -> Self {
        let changes = vec![(FIRST, Change::Leave(1)), (SECOND, Change::Return(1))];
        Self::changing(servers, load, changes)
    }

    /// Returns a run that starts with cold servers of which nothing is known.
    pub fn site_start(servers: usize, load: f64) -> Self {
        Self {
            cold: true,
            ..Self::changing(servers, load, Vec::new())
        }
    }

    fn changing(servers: usize, load: f64, changes: Vec<(Instant, Change)>) -> Self {
        Self {
            duration: CHANGING,
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
