//! Checks of each key's executions at the backend stand-ins.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use clock::{Boottime, Clock};
use serde::Serialize;

use crate::outcome::Outcome;
use crate::pool::Pool;

/// How long one request for the executions may take.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// How often a stand-in is asked before it counts as unreachable.
const ATTEMPTS: usize = 20;

/// How long to wait before a stand-in is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What the executions at the stand-ins say of the keyed calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// The keys that were checked.
    pub keys: u64,
    /// The executions of all keys.
    pub executions: u64,
    /// The keys that were executed more than once.
    pub repeated: Vec<String>,
    /// The keys that were executed, although every answer said not-run.
    pub run_despite_not_run: Vec<String>,
    /// The keys that were never executed, although an answer was complete.
    pub complete_but_not_run: Vec<String>,
    /// The stand-ins that could not be asked. While there are any, the lists lack entries, and
    /// `complete_but_not_run` is left empty.
    pub unreachable: Vec<SocketAddr>,
}

impl Audit {
    /// Returns how many promises were broken.
    pub fn violations(&self) -> u64 {
        let lists = [
            &self.repeated,
            &self.run_despite_not_run,
            &self.complete_but_not_run,
        ];
        lists.into_iter().map(|list| list.len() as u64).sum()
    }

    /// Asks the stand-ins and checks each key; without stand-ins none is checked. `key` returns the key of the call of a number.
    pub(crate) async fn take<F>(
        stand_ins: &[SocketAddr],
        keyed: &BTreeMap<u64, Vec<Outcome>>,
        key: F,
    ) -> Self
    where
        F: Fn(u64) -> String,
    {
        let mut audit = Self::default();
        if stand_ins.is_empty() {
            return audit;
        }
        let mut executions = HashMap::new();
        for stand_in in stand_ins {
            match fetch(*stand_in).await {
                Some(counts) => add(&mut executions, counts),
                None => audit.unreachable.push(*stand_in),
            }
        }
        for (number, outcomes) in keyed {
            let key = key(*number);
            let times = executions.get(&key).copied().unwrap_or(0);
            audit.check(key, times, outcomes);
        }
        audit
    }

    fn check(&mut self, key: String, times: u64, outcomes: &[Outcome]) {
        self.keys += 1;
        self.executions += times;
        let all_not_run = outcomes.iter().all(|o| *o == Outcome::NotRun);
        let is_complete = outcomes.contains(&Outcome::Complete);
        if times > 1 {
            self.repeated.push(key);
        } else if times > 0 && all_not_run {
            self.run_despite_not_run.push(key);
        } else if times == 0 && is_complete && self.unreachable.is_empty() {
            self.complete_but_not_run.push(key);
        }
    }
}

async fn fetch(stand_in: SocketAddr) -> Option<HashMap<String, u64>> {
    let pool = Pool::new(stand_in, 1);
    let request = format!("GET /control/executions HTTP/1.1\r\nHost: {stand_in}\r\n\r\n");
    for _ in 0..ATTEMPTS {
        if let Ok(response) = pool.call(request.as_bytes(), TIME_LIMIT).await {
            return serde_json::from_slice(&response.body).ok();
        }
        // A stand-in that has crashed comes back.
        Boottime.sleep(RETRY_INTERVAL).await;
    }
    None
}

fn add(executions: &mut HashMap<String, u64>, counts: HashMap<String, u64>) {
    for (key, times) in counts {
        *executions.entry(key).or_default() += times;
    }
}
