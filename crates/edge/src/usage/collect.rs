//! Sums of all data centres, for the holder of the duty to report usage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::usage::Sums;
use client::{Limits, Request};
use clock::Clock;
use smol::future::or;

use super::error::Error;
use super::serve::own_sums;
use super::SUMS_PATH;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long a collector has to return its sums. There are two, asked one after the other.
const ASK_TIMEOUT: Duration = Duration::from_millis(350);

/// How long the store has to return what a data centre wrote.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest idle time of a connection to another instance.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(5);

/// The largest response of another instance, in bytes. It has the sums of up to 100,000 tenants.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The usage of all data centres in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Collected {
    /// The requests that servers began to run, by tenant.
    pub counts: BTreeMap<String, u64>,
    /// The data centres whose counts are unknown or not all known.
    pub missing: Vec<String>,
}

/// Collects the usage of all data centres in `window`, which has ended. Takes about a second at most.
pub(crate) async fn collect<S, H, C>(node: &Arc<Node<S, H, C>>, window: u64) -> Collected
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut centres = node.members.lock().remote_collectors(node.now());
    let own = node.tenant_usage.collectors();
    centres.insert(node.identity.centre.clone(), own);
    let asking = centres.into_iter().map(|(centre, collectors)| {
        let node = node.clone();
        smol::spawn(async move {
            let (sums, is_missing) = collect_centre(&node, &centre, &collectors, window).await;
            (centre, sums, is_missing)
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut collected = Collected::default();
    for centre in asking {
        let (centre, sums, is_missing) = centre.await;
        for (tenant, count) in sums.counts {
            *collected.counts.entry(tenant).or_default() += count;
        }
        if is_missing {
            collected.missing.push(centre);
        }
    }
    if !collected.missing.is_empty() {
        node.metrics.missing_usage(collected.missing.len());
        slog::warn!(node.log, "usage: not all counts are known"; "window" => window,
            "centres" => ?collected.missing);
    }
    collected
}

/// Returns the sums of one data centre, and whether they may not have all counts.
async fn collect_centre<S, H, C>(
    node: &Node<S, H, C>,
    centre: &str,
    collectors: &[SocketAddr],
    window: u64,
) -> (Sums, bool)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut best: Option<Sums> = None;
    for address in collectors {
        let sums = match ask(node, *address, window).await {
            Ok(sums) => sums,
            Err(error) => {
                node.idle.forget(*address);
                slog::info!(node.log, "usage: a collector returned no sums"; "window" => window,
                    "centre" => centre, "address" => %address, "error" => %error);
                continue;
            }
        };
        let rank = |sums: &Sums| (sums.complete, sums.covered);
        if best.as_ref().is_none_or(|best| rank(best) < rank(&sums)) {
            best = Some(sums);
        }
        if best.as_ref().is_some_and(is_whole) {
            break;
        }
    }
    match best {
        Some(sums) if sums.covered => {
            let is_missing = !is_whole(&sums);
            (sums, is_missing)
        }
        best => {
            let is_known = best.as_ref().is_some_and(|sums| sums.incomplete == 0);
            let mut sums = best.unwrap_or_default();
            let is_written = add_written(node, centre, window, &mut sums).await;
            (sums, !is_written && !is_known)
        }
    }
}

/// Returns whether the sums have the counts of all instances.
fn is_whole(sums: &Sums) -> bool {
    sums.covered && sums.incomplete == 0
}

/// Adds what the data centre wrote last to `sums`. Returns whether it wrote them after the window's end.
async fn add_written<S, H, C>(
    node: &Node<S, H, C>,
    centre: &str,
    window: u64,
    sums: &mut Sums,
) -> bool
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let timeout = async {
        node.clock.sleep(READ_TIMEOUT).await;
        None
    };
    let reading = async {
        let call = node
            .metrics
            .store_call("read usage", node.store.read_usage(centre));
        let reports = call.await;
        let log = |error| {
            slog::warn!(node.log, "usage: reading the sums failed"; "centre" => centre,
                "error" => %error);
        };
        reports.map_err(log).ok().flatten()
    };
    let reports = or(reading, timeout).await.unwrap_or_default();
    if let Some(report) = reports.iter().find(|report| report.window == window) {
        sums.merge(&report.counts);
    }
    // The last one was written before its window ended.
    let last = reports.iter().map(|report| report.window).max();
    let is_written = reports.iter().any(|report| report.window == window);
    is_written && last.is_some_and(|last| window < last)
}

/// Asks the collector at `address`, which may be this instance, for its sums.
async fn ask<S, H, C>(node: &Node<S, H, C>, address: SocketAddr, window: u64) -> Result<Sums, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const OK: u16 = 200;
    if address == node.identity.address {
        const NOT_FOUND: u16 = 404;
        return own_sums(node, window).ok_or(Error::Refused(NOT_FOUND));
    }
    let timeout = async {
        node.clock.sleep(ASK_TIMEOUT).await;
        Err(Error::TimedOut)
    };
    let exchange = async {
        let body = rmp_serde::to_vec(&window)?;
        let host = address.to_string();
        let request = Request {
            method: "POST",
            target: SUMS_PATH,
            host: &host,
            headers: &[],
            body: &body,
        };
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        let connection = node.idle.take(address, MAX_CONNECTION_IDLE).await?;
        let (response, connection) = connection.exchange(&request, limits).await?;
        if let Some(connection) = connection {
            node.idle.put(address, connection);
        }
        if response.status != OK {
            return Err(Error::Refused(response.status));
        }
        Ok(rmp_serde::from_slice(&response.body)?)
    };
    or(exchange, timeout).await
}
