//! Time and memory of a pool.

use std::time::Duration;

use clock::Instant;
use policy::credit;
use policy::feedback::{Feedback, Outcome, StartId};
use policy::pool::{Config, Pool};
use policy::server::Listing;
use policy::ticket::{self, Ticket};

use crate::fault::Fault;
use crate::memory;
use crate::series::Series;
use crate::timer;

const SLOTS: u32 = 4;
const SERVERS: [usize; 4] = [20, 100, 500, 2000];
const QUEUED: [usize; 3] = [100, 1000, 10_000];
const STEPS: usize = 20_000;

/// The number of pools whose memory is measured together.
const COPIES: usize = 20;

/// A pool with its clock and its granted credits.
struct Run {
    pool: Pool,
    now: Instant,
    tickets: u64,
    live: Vec<credit::Id>,
}

impl Run {
    /// Returns a pool of warm servers.
    fn new(servers: usize) -> Self {
        let mut pool = Pool::new(Config::new(SLOTS).queue_limit(1 << 20), Instant::ZERO);
        let listed = (0..servers).map(|n| Listing {
            name: format!("server-{n}").as_str().into(),
            version: "v1".into(),
            leaving: false,
        });
        pool.set_servers(&listed.collect::<Vec<_>>(), Instant::ZERO);
        pool.set_shares(&[("v1".into(), 1.0)]);
        let mut states = pool.snapshot();
        for state in &mut states {
            state.cold = false;
            state.allowance = SLOTS;
        }
        pool.restore(&states, Instant::ZERO);
        Self {
            pool,
            now: Instant::ZERO,
            tickets: 0,
            live: Vec::new(),
        }
    }

    /// Queues a ticket.
    fn enqueue(&mut self) -> Result<(), Fault> {
        self.tickets += 1;
        let ticket = Ticket {
            id: ticket::Id(self.tickets),
            instance: "instance".into(),
            can_wait: false,
            deadline: self.now + Duration::from_secs(60),
            time_limit: Duration::from_secs(60),
            avoid: Vec::new(),
            fingerprint: None,
        };
        Ok(self.pool.enqueue(ticket, self.now)?)
    }

    /// Uses all slots, and queues `queued` tickets.
    fn fill(&mut self, servers: usize, queued: usize) -> Result<(), Fault> {
        for _ in 0..servers * SLOTS as usize + queued {
            self.enqueue()?;
        }
        let grants = self.pool.grant(self.now);
        self.live.extend(grants.iter().map(|g| g.credit.id));
        Ok(())
    }

    /// Releases the oldest credit, queues a ticket and grants it a credit. All slots are in use.
    /// `index` counts the steps from 0 and selects the oldest credit.
    fn step(&mut self, index: usize) -> Result<(), Fault> {
        self.now += Duration::from_micros(1);
        let slot = index % self.live.len();
        let feedback = Feedback {
            outcome: Outcome::Answered,
            latency: Duration::from_millis(10),
            start_id: Some(StartId(1)),
            route: "read".into(),
            fingerprint: None,
            draining: false,
        };
        self.pool.release(self.live[slot], Some(feedback), self.now);
        self.enqueue()?;
        let grant = self.pool.grant(self.now).pop().ok_or(Fault::NoGrant)?;
        self.live[slot] = grant.credit.id;
        Ok(())
    }
}

/// Returns the time of one request, grant and release.
fn cycle(servers: usize, queued: usize) -> Result<f64, Fault> {
    let mut run = Run::new(servers);
    run.fill(servers, queued)?;
    timer::time(STEPS, || (0..STEPS).try_for_each(|n| run.step(n)))
}

/// Prints the time by servers.
pub(crate) fn by_servers() -> Result<(), Fault> {
    let mut series = Series::new("Pool: one demand, grant and return, by servers");
    for servers in SERVERS {
        series.push(servers, cycle(servers, 0)?);
    }
    series.print("servers");
    Ok(())
}

/// Prints the time by queued tickets.
pub(crate) fn by_queue() -> Result<(), Fault> {
    let mut series = Series::new("Pool of 100 servers: the same, by queued tickets");
    for queued in QUEUED {
        series.push(queued, cycle(100, queued)?);
    }
    series.print("queued");
    Ok(())
}

/// Prints the memory by servers and by queued tickets.
pub(crate) fn memory() -> Result<(), Fault> {
    let mut kept = Vec::new();
    let mut by_servers = Series::new("Pool: memory by servers, all slots in use");
    for servers in SERVERS {
        by_servers.push(servers, pool_bytes(servers, 0, &mut kept)?);
    }
    by_servers.print_bytes("servers");
    let mut by_queue = Series::new("Pool of 100 servers: memory by queued tickets");
    for queued in QUEUED {
        by_queue.push(queued, pool_bytes(100, queued, &mut kept)?);
    }
    by_queue.print_bytes("queued");
    Ok(())
}

fn pool_bytes(servers: usize, queued: usize, kept: &mut Vec<Run>) -> Result<f64, Fault> {
    let before = memory::resident()?;
    for _ in 0..COPIES {
        let mut run = Run::new(servers);
        run.fill(servers, queued)?;
        kept.push(run);
    }
    let after = memory::resident()?;
    Ok((after - before) / COPIES as f64)
}
