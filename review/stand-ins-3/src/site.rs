//! A small site: a store with a configuration, and servers of one service.

use std::time::Duration;

use crate::store::Store;
use crate::target::{Target, Work};

pub const HOST: &str = "pond.example";
const LOOPBACK: &str = "127.0.0.1:0";

pub struct Site {
    pub store: Store,
    pub targets: Vec<Target>,
}

impl Site {
    /// Starts the store and `count` servers in `zone`, which take `time` for a request.
    pub fn open(
        zones: &[&str],
        count: usize,
        slots: u32,
        time: Duration,
        response_bytes: usize,
    ) -> Self {
        let store = Store::open(LOOPBACK.parse().unwrap());
        store.put("config", "main", &config());
        let targets = (0..count).map(|i| {
            let work = Work {
                slots,
                time,
                response_bytes,
            };
            let target = Target::open(
                &format!("i-{i:08x}"),
                "gauge",
                LOOPBACK.parse().unwrap(),
                work,
            );
            store.put(
                "servers",
                &target.id,
                &target.entry(zones[i % zones.len()], "v1", "ready"),
            );
            target
        });
        Self {
            targets: targets.collect(),
            store,
        }
    }

    /// Returns how often the request was run.
    pub fn runs(&self, id: &str) -> u32 {
        let runs = |t: &Target| t.runs.lock().unwrap().get(id).copied().unwrap_or(0);
        self.targets.iter().map(runs).sum()
    }
}

/// One safe and one unsafe route, with the limits that `fleetbench wire` shows.
pub fn config() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}","timeout":"10000ms","aim":"2000ms","priority":1,"service":"gauge","max_attempts":2}}"#
        )
    };
    let routes = [route("levels", "safe"), route("repair", "unsafe")].join(",");
    format!(
        r#"{{"version":"00000005","routes":[{routes}],"services":[{{"name":"gauge","health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":5.4}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    )
}

/// Returns an ordinary request without a body.
pub fn request(path: &str, id: &str, time_limit_ms: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {time_limit_ms}\r\n\r\n"
    )
}
