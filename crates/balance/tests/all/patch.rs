//! Tests of patches of the configuration, against the configurations themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::config::{Config, Limits};
use balance::patch::{Error, Patch};
use balance::record::Record;
use balance::replica::{Change, Delta, Replica};
use balance::route::{Route, Share};
use balance::service::Service;
use balance::tenant::{Digest, Tenant};

use crate::cases;

fn route(u: &mut Unstructured<'_>) -> Result<Route> {
    let names = ["pond.example", "Pond.example", "moor.example"];
    Ok(Route {
        name: u.int_in_range(0..=99_u8)?.to_string(),
        host: names[u.choose_index(names.len())?].to_owned(),
        prefix: format!("/{}/", u.int_in_range(0..=9_u8)?),
        idempotent: u.arbitrary()?,
        timeout: Duration::from_millis(u.int_in_range(1..=9)?),
        objective: Duration::from_millis(600),
        max_attempts: 2,
        priority: 0,
        shares: vec![Share {
            service: "gauge".to_owned(),
            // Also values that equal none, not even themselves.
            weight: u.arbitrary()?,
        }],
        public: u.arbitrary()?,
    })
}

fn config(u: &mut Unstructured<'_>, version: u32) -> Result<Config> {
    let mut config = Config {
        version,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: Limits::default(),
        tenants: None,
        faults: Vec::new(),
    };
    for _ in 0..u.int_in_range(0..=20_u8)? {
        config.routes.push(route(u)?);
    }
    Ok(config)
}

/// Changes some parts of a configuration, and raises its version.
fn change(u: &mut Unstructured<'_>, config: &Config) -> Result<Config> {
    let mut changed = config.clone();
    changed.version += u.int_in_range(1..=9_u32)?;
    for _ in 0..u.int_in_range(0..=3_u8)? {
        if u.arbitrary()? || changed.routes.is_empty() {
            let at = u.int_in_range(0..=changed.routes.len())?;
            changed.routes.insert(at, route(u)?);
        } else {
            let at = u.choose_index(changed.routes.len())?;
            changed.routes.remove(at);
        }
    }
    let name = u.int_in_range(0..=3_u8)?.to_string();
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: u.int_in_range(1..=3)?,
        warmup: Duration::from_secs(1),
        warmup_rate: 5.0,
    };
    if u.arbitrary()? {
        changed.services.insert(name, service);
    } else {
        changed.services.remove(&name);
    }
    changed.limits.max_head_bytes += u.int_in_range(0..=1_usize)?;
    if u.ratio(1_u8, 8_u8)? {
        changed.tenants = None;
    }
    for _ in 0..u.int_in_range(0..=3_u8)? {
        let tenant = Tenant {
            keys: vec![Digest::of(&[u.int_in_range(0..=9_u8)?])],
            priority: u.arbitrary()?,
        };
        let name = u.int_in_range(0..=9_u8)?.to_string();
        let tenants = changed.tenants.get_or_insert_default();
        if u.arbitrary()? {
            tenants.insert(name, tenant);
        } else {
            tenants.remove(&name);
        }
    }
    Ok(changed)
}

fn encode(config: &Config) -> Vec<u8> {
    rmp_serde::to_vec(config).unwrap()
}

fn main_config(replica: &Replica) -> &Config {
    match replica.records().get("main") {
        Some(Record::Config(config)) => config,
        other => panic!("not a configuration: {other:?}"),
    }
}

fn read(after: Option<u64>, revision: u64, config: &Config) -> Delta {
    let record = Record::Config(config.clone());
    let changes: Vec<Change> = vec![("main".to_owned(), Some(record))];
    Delta {
        after,
        revision,
        changes,
        after_outage: false,
    }
}

/// A normalized configuration selects the same route for each request.
#[test]
fn normalized_configuration_routes_alike() {
    arbtest(|u| {
        let config = config(u, 1)?;
        let mut normalized = config.clone();
        normalized.normalize();
        for host in ["pond.example", "moor.example"] {
            for path in 0..10 {
                let path = format!("/{path}/x");
                let name = |c: &Config| c.route(host, &path).map(|r| r.name.clone());
                assert_eq!(name(&config), name(&normalized));
            }
        }
        Ok(())
    });
}

/// A patch leads to its target, or to an error where it is applied to anything else.
#[test]
fn patch_leads_to_its_target_or_to_an_error() {
    arbtest(|u| {
        let mut base = config(u, 3)?;
        base.normalize();
        let mut target = change(u, &base)?;
        target.normalize();
        let Some(patch) = Patch::between(&base, &target) else {
            return Ok(());
        };
        let bytes = rmp_serde::to_vec(&patch).unwrap();
        let patch: Patch = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(encode(&patch.apply(&base).unwrap()), encode(&target));
        let mut other = base.clone();
        other.routes.push(route(u)?);
        other.normalize();
        if let Ok(result) = patch.apply(&other) {
            assert_eq!(encode(&result), encode(&target));
        }
        Ok(())
    });
}

/// Takes the changes that `source` has, or all records where they are for another configuration.
fn take_changes(replica: &mut Replica, source: &Replica) {
    let Some(delta) = source.delta_since(replica.revision()) else {
        return;
    };
    if replica.apply(&delta).is_err() {
        let all = source.delta_since(0).unwrap();
        assert!(replica.apply(&all).unwrap());
    }
}

/// Checks that a replica has the version that the store had at its revision.
fn check(replica: &Replica, versions: &[Config]) {
    if let Some(at) = replica.revision().checked_sub(1) {
        let expected = &versions[usize::try_from(at).unwrap()];
        assert_eq!(encode(main_config(replica)), encode(expected));
    }
}

/// Two instances read versions from the store, miss some, and take changes from each other. Each
/// always has the version that the store had at its revision, and both end with the newest.
#[test]
fn instances_end_with_the_newest_configuration() {
    arbtest(|u| {
        let mut versions = vec![config(u, 1)?];
        for _ in 0..u.int_in_range(1..=12_u8)? {
            let next = change(u, &versions[versions.len() - 1])?;
            versions.push(next);
        }
        for version in &mut versions {
            version.normalize();
        }
        let [mut first, mut second] = [Replica::default(), Replica::default()];
        let steps = u.int_in_range(1..=40_u8)?;
        for step in 0..=steps {
            let before = first.revision();
            let at = if step == steps {
                versions.len() - 1
            } else {
                u.choose_index(versions.len())?
            };
            let after = (before > 0 && u.arbitrary()?).then_some(before);
            let mut delta = read(after, at as u64 + 1, &versions[at]);
            // A long-polling call may return several versions at once.
            for earlier in versions[..at].iter().rev().take(u.int_in_range(0..=2)?) {
                delta.changes.splice(..0, read(None, 1, earlier).changes);
            }
            let delta = first.condense(delta);
            first.apply(&delta).unwrap();
            assert!(first.revision() >= before);
            check(&first, &versions);
            if u.arbitrary()? || step == steps {
                take_changes(&mut second, &first);
                check(&second, &versions);
            }
            if step < steps {
                std::mem::swap(&mut first, &mut second);
            }
        }
        let last = versions.len() as u64;
        assert_eq!((first.revision(), second.revision()), (last, last));
        Ok(())
    });
}

/// Returns a patch of one of ten routes, with the versions that it leads from and to.
fn sample() -> (Config, Config, Patch) {
    let bytes = [7; 4096];
    let mut u = Unstructured::new(&bytes);
    let mut base = config(&mut u, 3).unwrap();
    let template = route(&mut u).unwrap();
    base.routes = (0..10)
        .map(|i| Route {
            prefix: format!("/{i}/"),
            shares: Vec::new(),
            ..template.clone()
        })
        .collect();
    base.normalize();
    let mut target = base.clone();
    target.version = 8;
    target.routes.remove(4);
    let patch = Patch::between(&base, &target).unwrap();
    (base, target, patch)
}

fn patch_for_another_version() {
    let (mut base, _, patch) = sample();
    base.version = 4;
    let error = Error::OtherBase {
        expected: 3,
        found: 4,
    };
    assert_eq!(patch.apply(&base), Err(error));
}

fn patch_for_another_content() {
    let (mut base, _, patch) = sample();
    base.routes.pop();
    assert_eq!(patch.apply(&base), Err(Error::OtherResult(8)));
}

fn patch_without_a_base() {
    let (base, target, patch) = sample();
    let mut delta = read(None, 5, &target);
    delta.changes[0].1 = Some(Record::ConfigPatch(Box::new(patch)));
    let mut replica = Replica::default();
    assert_eq!(replica.apply(&delta), Err(Error::NoBase));
    assert_eq!(replica.revision(), 0);
    assert!(replica.apply(&read(None, 4, &base)).unwrap());
    delta.after = Some(4);
    assert!(replica.apply(&delta).unwrap());
    assert_eq!(main_config(&replica), &target);
}

/// A rejected delta changes nothing, also if other changes come with the patch.
fn rejected_delta_changes_nothing() {
    let (mut base, target, patch) = sample();
    base.version = 5;
    let mut replica = Replica::default();
    assert!(replica.apply(&read(None, 4, &base)).unwrap());
    let mut delta = read(Some(4), 9, &target);
    delta.changes[0].1 = Some(Record::ConfigPatch(Box::new(patch)));
    delta
        .changes
        .insert(0, ("other".to_owned(), Some(Record::Evacuation)));
    assert!(replica.apply(&delta).is_err());
    assert_eq!((replica.revision(), replica.records().len()), (4, 1));
}

/// Bytes of a patch that were changed on the way are no patch, or are rejected.
fn damaged_patch() {
    let (base, target, patch) = sample();
    let bytes = rmp_serde::to_vec(&patch).unwrap();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0xff;
        for bytes in [&damaged[..], &bytes[..at]] {
            if let Ok(patch) = rmp_serde::from_slice::<Patch>(bytes) {
                if let Ok(result) = patch.apply(&base) {
                    assert_eq!(result, target);
                }
            }
        }
    }
}

/// Records that are read anew after the store has lost its history are passed on as what differs.
fn read_anew() {
    let (base, target, _) = sample();
    let mut replica = Replica::default();
    assert!(replica.apply(&read(None, 4, &base)).unwrap());
    let same = replica.condense(read(None, 6, &base));
    assert_eq!((same.after, same.changes.len()), (Some(4), 0));
    assert!(replica.apply(&same).unwrap());
    let changed = replica.condense(read(None, 9, &target));
    assert!(matches!(
        &changed.changes[..],
        [(_, Some(Record::ConfigPatch(_)))]
    ));
    assert!(replica.apply(&changed).unwrap());
    assert_eq!(replica.delta_since(6), Some(changed));
    assert_eq!(main_config(&replica), &target);
}

cases! {
    patch_of_another_version_is_rejected => patch_for_another_version();
    patch_of_another_content_is_rejected => patch_for_another_content();
    patch_without_a_configuration_is_rejected => patch_without_a_base();
    rejected_patch_leaves_all_records => rejected_delta_changes_nothing();
    damaged_patch_is_rejected => damaged_patch();
    configuration_read_anew_becomes_a_patch => read_anew();
}
