//! Tests of how a large data centre is divided into groups.
//!
//! Patterns: *a fleet that grows* (the messages that an instance handles must not grow with it), *a
//! third of the instances lost at once* (instances that noticed and others that did not derive
//! different groups), *a burst at one group* (its servers are at their knee while those of another
//! group are idle), and *a data centre of slow servers* (others have fast ones).

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use arbtest::arbtest;
use balance::duties::{Duties, Member, Origin};
use balance::heartbeat::{self, Schedule};
use balance::query::Unavailable;
use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;

use crate::cases;
use crate::support::{at, query, report, server, ME, PEER};

/// Services with their share of the servers of a data centre.
const SERVICES: [(&str, f64); 4] = [("a", 0.55), ("b", 0.28), ("c", 0.12), ("d", 0.05)];

/// The time within which a request is to be completed.
const WITHIN: Duration = Duration::from_millis(600);

/// The requests a second that each server gets.
const REQUESTS_PER_SERVER: f64 = 2.0;

/// A data centre of some instances and servers.
struct Centre {
    instances: Vec<u64>,
    servers: Vec<(Key, &'static str)>,
}

impl Centre {
    /// Returns a data centre with `instances` instances and 2.1 times as many servers.
    fn new(instances: usize) -> Self {
        const SERVERS_PER_INSTANCE: f64 = 2.1;
        let total = instances as f64 * SERVERS_PER_INSTANCE;
        let mut servers = Vec::new();
        for (service, share) in SERVICES {
            for _ in 0..(total * share) as u64 {
                servers.push((Key(servers.len() as u64 + 1), service));
            }
        }
        Self {
            instances: (1..=instances as u64).map(|i| i * 7919).collect(),
            servers,
        }
    }

    fn duties(&self, instance: u64, instances: &[u64]) -> Duties {
        let servers = self.servers.iter().map(|(key, service)| Member {
            key: *key,
            pool: (service, "v1"),
            origin: Origin::Own,
        });
        Duties::new(instance, instances, servers)
    }

    /// Returns the messages a second that the busiest instance handles: two a request at a server
    /// of its groups, and heartbeats.
    fn messages(&self) -> f64 {
        const ROUNDS: u32 = 1000;
        let peers = self.instances.len() - 1;
        let schedule = Schedule::new(peers);
        let all = self.instances.iter().map(|instance| {
            let duties = self.duties(*instance, &self.instances);
            let told = |key: &Key| !duties.is_elsewhere(*key);
            let known = self.servers.iter().filter(|(key, _)| told(key)).count();
            let due = (0..ROUNDS).filter(|round| schedule.is_due(*instance, *round));
            let seconds = heartbeat::INTERVAL.as_secs_f64() * f64::from(ROUNDS);
            let heartbeats = (due.count() * peers) as f64 / seconds;
            known as f64 * REQUESTS_PER_SERVER * 2.0 + heartbeats
        });
        all.fold(0.0, f64::max)
    }
}

#[test]
fn messages_of_an_instance_do_not_grow_with_the_data_centre() {
    let undivided = Centre::new(32).messages();
    for instances in [64, 95, 200, 400] {
        let messages = Centre::new(instances).messages();
        assert!(
            messages <= undivided,
            "{messages} messages a second with {instances} instances, {undivided} with 32"
        );
    }
}

#[test]
fn each_server_has_one_prober_and_one_feeder_in_its_group() {
    arbtest(|u| {
        let mut centre = Centre::new(u.int_in_range(1..=130)?);
        let keep = u.int_in_range(1..=centre.servers.len().max(1))?;
        centre.servers.truncate(keep);
        let all: Vec<(u64, Duties)> = centre
            .instances
            .iter()
            .map(|i| (*i, centre.duties(*i, &centre.instances)))
            .collect();
        for (key, _) in &centre.servers {
            let probers = all.iter().filter(|(_, d)| d.is_prober_of(*key)).count();
            let feeders = all.iter().filter(|(_, d)| d.is_warming(*key)).count();
            assert_eq!((probers, feeders), (1, 1));
            for (instance, duties) in &all {
                let told = duties
                    .group(*key)
                    .is_none_or(|group| duties.instances(group).contains(instance));
                assert_eq!(told, !duties.is_elsewhere(*key));
            }
        }
        Ok(())
    })
    .budget_ms(2_000);
}

#[test]
fn cold_server_has_few_feeders_while_views_of_a_lost_third_differ() {
    let centre = Centre::new(96);
    let survivors: Vec<u64> = centre
        .instances
        .iter()
        .enumerate()
        .filter(|(i, _)| i % 3 != 0)
        .map(|(_, instance)| *instance)
        .collect();
    let mut feeders: HashMap<Key, usize> = HashMap::new();
    for (i, instance) in centre.instances.iter().enumerate() {
        // Half of the survivors have noticed. The lost ones may be paused and know nothing.
        let noticed = i % 3 == 1;
        let view = if noticed {
            &survivors
        } else {
            &centre.instances
        };
        let duties = centre.duties(*instance, view);
        for (key, _) in &centre.servers {
            *feeders.entry(*key).or_default() += usize::from(duties.is_warming(*key));
        }
    }
    // Two views name two feeders at most, which together stay within a server's bound.
    assert!(feeders.values().all(|count| *count <= 2));
}

fn groups_of(centre: &Centre, service: &str) -> usize {
    let duties = centre.duties(centre.instances[0], &centre.instances);
    let keys = centre.servers.iter().filter(|(_, s)| *s == service);
    let groups: HashSet<_> = keys.map(|(key, _)| duties.group(*key)).collect();
    groups.len()
}

#[test]
fn group_with_fewer_than_the_least_servers_is_not_made() {
    let centre = Centre::new(95);
    assert_eq!(groups_of(&centre, "a"), 8);
    assert_eq!(groups_of(&centre, "d"), 1);
    assert_eq!(groups_of(&Centre::new(32), "a"), 1);
}

#[test]
fn groups_of_two_services_nest() {
    let centre = Centre::new(95);
    let duties = centre.duties(centre.instances[0], &centre.instances);
    let of = |service: &str| {
        let own = |key: &Key| !duties.is_elsewhere(*key);
        let mut keys = centre.servers.iter().filter(|(_, s)| *s == service);
        let key = keys.find(|(key, _)| own(key)).map(|(key, _)| *key).unwrap();
        let group = duties.group(key).unwrap();
        duties
            .instances(group)
            .iter()
            .copied()
            .collect::<HashSet<_>>()
    };
    assert!(of("a").is_subset(&of("b")));
    let widest = duties.widest_group(["a", "b"].into_iter()).unwrap();
    assert_eq!(
        duties
            .instances(widest)
            .iter()
            .copied()
            .collect::<HashSet<_>>(),
        of("b")
    );
    assert_eq!(duties.widest_group(["a", "d"].into_iter()), None);
}

/// Returns a table of one instance among 64, with the servers of its group and those of others.
fn divided_table() -> (Table, Vec<Key>, Vec<Key>) {
    const INSTANCES: u64 = 64;
    let servers: Vec<Server> = (0..64).map(|i| server(&format!("s{i}"), "east")).collect();
    let mut table = Table::new(1, "east");
    table.update(servers.iter(), false, at(0));
    let instances: Vec<u64> = (1..=INSTANCES).collect();
    table.assign_duties(&instances);
    let keys = servers.iter().map(Server::key);
    let (elsewhere, own) = keys.partition(|key| table.duties().is_elsewhere(*key));
    (table, own, elsewhere)
}

/// Fills the servers of the own group to their knee.
fn fill(table: &mut Table, own: &[Key]) {
    for key in own {
        table.get_mut(*key).unwrap().set_in_flight(PEER, 3, at(0));
    }
}

fn burst_at_one_group_uses_a_probed_server_of_another() {
    let (mut table, own, elsewhere) = divided_table();
    let query = query(&Filter::Base, &[], 7);
    assert!(own.contains(&table.choose(&query, at(1)).unwrap().key));
    fill(&mut table, &own);
    assert_eq!(table.choose(&query, at(1)), Err(Unavailable::NoCapacity));
    let visits = table.visits(&query, WITHIN, 2, at(1));
    assert_eq!(visits.len(), 2);
    assert!(visits.iter().all(|key| elsewhere.contains(key)));
    table.record_report(visits[0], report(0, 100), at(2));
    assert_eq!(table.choose(&query, at(3)).unwrap().key, visits[0]);
}

fn burst_at_one_group_does_not_use_an_old_report() {
    let (mut table, own, elsewhere) = divided_table();
    let query = query(&Filter::Base, &[], 7);
    table.record_report(elsewhere[0], report(0, 100), at(0));
    fill(&mut table, &own);
    assert_eq!(table.choose(&query, at(100)), Err(Unavailable::NoCapacity));
}

fn burst_at_all_groups_waits() {
    let (mut table, own, elsewhere) = divided_table();
    let query = query(&Filter::Base, &[], 7);
    fill(&mut table, &own);
    table.record_report(elsewhere[0], report(4, 100), at(1));
    assert_eq!(table.choose(&query, at(2)), Err(Unavailable::NoCapacity));
}

fn cold_server_of_another_group_is_not_visited() {
    let (mut table, own, elsewhere) = divided_table();
    let query = query(&Filter::Base, &[], 7);
    fill(&mut table, &own);
    for key in &elsewhere {
        let backend = table.get_mut(*key).unwrap();
        backend.record_probe(Duration::from_secs(5), at(1));
        table.record_report(*key, report(0, 100), at(1));
    }
    assert_eq!(table.choose(&query, at(2)), Err(Unavailable::NoCapacity));
    assert!(table.visits(&query, WITHIN, 2, at(2)).is_empty());
}

fn capacity_counts_servers_of_other_groups_unless_reported() {
    let (mut table, _, elsewhere) = divided_table();
    let usable = |table: &Table| {
        let all = table.backends();
        all.filter(|(key, b)| table.is_usable(*key, b, at(1)))
            .count()
    };
    assert_eq!(usable(&table), 64);
    table.set_reported_unusable(elsewhere.iter().copied().take(5).collect());
    assert_eq!(usable(&table), 59);
}

fn slow_own_servers_lead_to_a_probe_of_another_data_centre() {
    let versions = Filter::Base;
    let query = query(&versions, &[], 7);
    let own = [server("s0", "east"), server("s1", "east")];
    let remote = [server("t0", "west"), server("t1", "west")];
    let mut table = Table::new(ME, "east");
    table.update(own.iter().chain(&remote), false, at(0));
    table.assign_duties(&[ME]);
    table.set_spillover_headroom("west", "gauge", 2.0);
    // One of the remote servers was slow a moment ago, and is not probed.
    table.record_report(remote[0].key(), report(1, 400), at(1));
    for server in &own {
        table.record_report(server.key(), report(3, 400), at(60));
    }
    let expected = |server: &Server| {
        let backend = table.get(server.key()).unwrap();
        backend.expected_duration(query.work, &table.slowdown(), at(60))
    };
    let within = expected(&remote[1]);
    assert!(expected(&remote[0]) > within);
    let visits = table.visits(&query, within, 3, at(60));
    assert_eq!(visits, [remote[1].key()]);
    table.record_report(visits[0], report(0, 100), at(62));
    assert_eq!(table.choose(&query, at(63)).unwrap().key, visits[0]);
    assert!(table.visits(&query, within, 3, at(63)).is_empty());
}

fn data_centre_without_headroom_is_not_probed() {
    let versions = Filter::Base;
    let query = query(&versions, &[], 7);
    let remote = server("t0", "west");
    let mut table = Table::new(ME, "east");
    table.update([server("s0", "east"), remote.clone()].iter(), false, at(0));
    table.assign_duties(&[ME]);
    table.set_spillover_headroom("west", "gauge", 0.0);
    assert!(table.visits(&query, WITHIN, 3, at(60)).is_empty());
}

cases! {
    burst_at_one_group => burst_at_one_group_uses_a_probed_server_of_another();
    burst_at_one_group_with_old_reports => burst_at_one_group_does_not_use_an_old_report();
    burst_at_all_groups => burst_at_all_groups_waits();
    burst_while_another_group_is_cold => cold_server_of_another_group_is_not_visited();
    slow_servers_of_the_own_data_centre =>
        slow_own_servers_lead_to_a_probe_of_another_data_centre();
    slow_servers_and_no_headroom_elsewhere => data_centre_without_headroom_is_not_probed();
    reader_counts_the_whole_data_centre => capacity_counts_servers_of_other_groups_unless_reported();
}
