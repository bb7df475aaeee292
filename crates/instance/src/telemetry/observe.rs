//! The metrics of the instance's state, read at each scrape.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

use clock::Clock;
use opentelemetry::metrics::{AsyncInstrument, Meter};
use opentelemetry::KeyValue;
use platform::count::Kind;
use platform::Store;
use policy::server::State;
use wire::Pool;

use super::metrics::pool_labels;
use super::Metrics;
use crate::node::Node;

/// A value with its labels.
type Sample = (u64, Vec<KeyValue>);

/// Registers the metrics of `node`'s state.
pub(crate) fn observe<S, C>(node: &Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    let meter = node.telemetry.metrics.meter();
    let registration = Registration {
        meter: &meter,
        node: Arc::downgrade(node),
    };
    registration.pools();
    registration.membership();
    registration.claims_and_calls();
    registration.moves();
    registration.credits();
    registration.platform();
}

/// Registers the number of open connections of each port, given as its label and a function that
/// counts them.
pub(crate) fn observe_connections<F>(metrics: &Metrics, ports: [(&'static str, F); 2])
where
    F: Fn() -> usize + Send + Sync + 'static,
{
    metrics
        .meter()
        .u64_observable_gauge("chivewheel.connections")
        .with_description("Open connections by port")
        .with_callback(move |gauge| {
            for (port, count) in &ports {
                gauge.observe(count() as u64, &[KeyValue::new("port", *port)]);
            }
        })
        .build();
}

/// Registers metrics that read the state of one instance.
struct Registration<'a, S, C>
where
    S: Store,
    C: Clock,
{
    meter: &'a Meter,
    /// Weak because the instance owns the meter, whose callbacks hold this reference.
    node: Weak<Node<S, C>>,
}

impl<S, C> Registration<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn gauge<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn(&Node<S, C>) -> Vec<Sample> + Send + Sync + 'static,
    {
        let callback = self.callback(read);
        let builder = self
            .meter
            .u64_observable_gauge(name)
            .with_description(description);
        builder.with_callback(callback).build();
    }

    fn counter<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn(&Node<S, C>) -> Vec<Sample> + Send + Sync + 'static,
    {
        let callback = self.callback(read);
        let builder = self
            .meter
            .u64_observable_counter(name)
            .with_description(description);
        builder.with_callback(callback).build();
    }

    fn callback<F>(&self, read: F) -> impl Fn(&dyn AsyncInstrument<u64>) + Send + Sync + 'static
    where
        F: Fn(&Node<S, C>) -> Vec<Sample> + Send + Sync + 'static,
    {
        let node = self.node.clone();
        move |instrument| {
            let Some(node) = node.upgrade() else {
                return;
            };
            for (value, labels) in read(&node) {
                instrument.observe(value, &labels);
            }
        }
    }

    fn pools(&self) {
        self.gauge(
            "chivewheel.queue.length",
            "Calls that wait for a credit at this owner",
            |node| {
                let queued = |pool: &policy::pool::Pool| pool.queued() as u64;
                node.pool_values(queued)
            },
        );
        self.gauge(
            "chivewheel.pool.allowance",
            "Requests that a pool's servers may have",
            |node| node.server_sums(|server| server.allowance),
        );
        self.gauge("chivewheel.pool.live", "Live credits of a pool", |node| {
            node.pool_values(|pool| pool.live_credit_count() as u64)
        });
        self.gauge(
            "chivewheel.pool.cold",
            "Servers of a pool in a cold start",
            |node| node.server_sums(|server| u32::from(server.cold)),
        );
        self.gauge(
            "chivewheel.pool.ejected",
            "Servers of a pool that get no credits",
            |node| node.server_sums(|server| u32::from(server.ejected)),
        );
    }

    fn membership(&self) {
        self.gauge("chivewheel.roster.epoch", "Epoch of the roster", |node| {
            single(node.view.roster().epoch.0)
        });
        self.gauge(
            "chivewheel.roster.members",
            "Members of the roster",
            |node| single(node.view.roster().members.len() as u64),
        );
        self.gauge(
            "chivewheel.members.silent",
            "Members not heard from for a lease",
            |node| {
                let leases = node.leases.lock();
                let now = node.now();
                let members = leases.roster().members.iter();
                let silent = members.filter(|member| leases.is_silent(&member.name, now));
                single(silent.count() as u64)
            },
        );
        self.gauge(
            "chivewheel.duties.held",
            "Duties that this instance acts on",
            |node| single(node.leases.lock().held_duties(node.now()).len() as u64),
        );
        self.gauge(
            "chivewheel.bundle.version",
            "Version of the bundle in force",
            |node| single(node.bundles.version()),
        );
    }

    fn claims_and_calls(&self) {
        self.gauge(
            "chivewheel.claims.unsaved",
            "Claims held in memory alone",
            |node| single(node.claims.lock().unsaved_count() as u64),
        );
        self.gauge("chivewheel.calls.active", "Calls under way", |node| {
            single(node.calls.count() as u64)
        });
    }

    fn moves(&self) {
        let node = self.node.clone();
        self.meter
            .f64_observable_gauge("chivewheel.move.share")
            .with_description("Share of the new version in a service's move")
            .with_callback(move |gauge| {
                let Some(node) = node.upgrade() else {
                    return;
                };
                let moves = node.moves.lock();
                for service in &node.view.bundle().services {
                    if let Some(shift) = &service.rollout {
                        let label = KeyValue::new("service", service.name.to_string());
                        gauge.observe(moves.share(&service.name, shift), &[label]);
                    }
                }
            })
            .build();
    }

    fn credits(&self) {
        self.counter(
            "chivewheel.credits",
            "Credits by what became of them at this owner",
            |node| {
                let table = node.pools.lock();
                let pools = table.credits();
                let values = pools.flat_map(|(pool, credits)| {
                    credits.counts().map(|(event, count)| {
                        let [service, centre] = pool_labels(pool);
                        (count, vec![service, centre, KeyValue::new("event", event)])
                    })
                });
                values.collect()
            },
        );
    }

    fn platform(&self) {
        self.counter(
            "chivewheel.platform.calls",
            "Calls of the platform by kind",
            |node| node.platform_values(|counts, kind| counts.calls(kind)),
        );
        self.counter(
            "chivewheel.platform.failures",
            "Failed calls of the platform by kind",
            |node| node.platform_values(|counts, kind| counts.failures(kind)),
        );
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns a value for each pool of the bundle: 0 if this instance does not act on the pool.
    fn pool_values<F>(&self, read: F) -> Vec<Sample>
    where
        F: Fn(&policy::pool::Pool) -> u64,
    {
        let pools = self.all_pools();
        let table = self.pools.lock();
        let values: BTreeMap<&Pool, u64> = table
            .iter()
            .map(|allocator| (&allocator.name, read(&allocator.pool)))
            .collect();
        let value = |pool: &Pool| values.get(pool).copied().unwrap_or(0);
        let labelled = pools
            .iter()
            .map(|pool| (value(pool), pool_labels(pool).to_vec()));
        labelled.collect()
    }

    fn server_sums<F>(&self, read: F) -> Vec<Sample>
    where
        F: Fn(&State) -> u32,
    {
        self.pool_values(|pool| pool.snapshot().iter().map(|s| u64::from(read(s))).sum())
    }

    fn platform_values<F>(&self, read: F) -> Vec<Sample>
    where
        F: Fn(&platform::count::Counts, Kind) -> u64,
    {
        let counts = self.store.counts();
        let values = Kind::ALL.iter().filter_map(|kind| {
            let value = read(counts?, *kind);
            Some((value, vec![KeyValue::new("kind", kind.as_str())]))
        });
        values.collect()
    }
}

fn single(value: u64) -> Vec<Sample> {
    vec![(value, Vec::new())]
}
