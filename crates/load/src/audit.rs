//! Compares the outcomes of keyed calls with the executions counted by the backend stand-ins.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use clock::{Boottime, Clock};
use serde::Serialize;

use crate::outcome::Outcome;
use crate::pool::Pool;

/// Timeout of one request for the executions.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests to a stand-in before it is reported as unreachable.
const MAX_ATTEMPTS: usize = 20;

/// Delay before a failed request is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Executions of the keyed calls, and the keys whose executions contradict a response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Number of keys checked.
    pub keys: u64,
    /// Total executions of all keys.
    pub executions: u64,
    /// Keys executed more than once.
    pub repeated: Vec<String>,
    /// Keys executed although every response reported not-run.
    pub run_despite_not_run: Vec<String>,
    /// Keys never executed although a response was complete.
    pub complete_but_not_run: Vec<String>,
    /// Stand-ins whose executions could not be fetched. If there are any, the lists are
    /// incomplete and `complete_but_not_run` is empty.
    pub unreachable: Vec<SocketAddr>,
}

impl Audit {
    /// Returns the number of keys that violate a guarantee.
    pub fn violations(&self) -> u64 {
        let lists = [
            &self.repeated,
            &self.run_despite_not_run,
            &self.complete_but_not_run,
        ];
        lists.into_iter().map(|list| list.len() as u64).sum()
    }

    /// Fetches the executions from the stand-ins and checks each key. Without stand-ins no key is
    /// checked. `key` returns the key of a call, given the call's number.
    pub(crate) async fn collect<F>(
        stand_ins: &[SocketAddr],
        keyed_outcomes: &BTreeMap<u64, Vec<Outcome>>,
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
            match fetch_executions(*stand_in).await {
                Some(counts) => add_counts(&mut executions, counts),
                None => audit.unreachable.push(*stand_in),
            }
        }
        for (number, outcomes) in keyed_outcomes {
            let key = key(*number);
            let count = executions.get(&key).copied().unwrap_or(0);
            audit.check(key, count, outcomes);
        }
        audit
    }

    fn check(&mut self, key: String, count: u64, outcomes: &[Outcome]) {
        self.keys += 1;
        self.executions += count;
        let all_not_run = outcomes.iter().all(|o| *o == Outcome::NotRun);
        let is_complete = outcomes.contains(&Outcome::Complete);
        if count > 1 {
            self.repeated.push(key);
        } else if count > 0 && all_not_run {
            self.run_despite_not_run.push(key);
        } else if count == 0 && is_complete && self.unreachable.is_empty() {
            self.complete_but_not_run.push(key);
        }
    }
}

async fn fetch_executions(stand_in: SocketAddr) -> Option<HashMap<String, u64>> {
    let pool = Pool::new(stand_in, 1);
    let request = format!("GET /control/executions HTTP/1.1\r\nHost: {stand_in}\r\n\r\n");
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(response) = pool.call(request.as_bytes(), REQUEST_TIMEOUT).await {
            return serde_json::from_slice(&response.body).ok();
        }
        // A crashed stand-in restarts.
        Boottime.sleep(RETRY_INTERVAL).await;
    }
    None
}

fn add_counts(executions: &mut HashMap<String, u64>, counts: HashMap<String, u64>) {
    for (key, count) in counts {
        *executions.entry(key).or_default() += count;
    }
}
