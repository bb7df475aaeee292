//! Digests of bundles, and splitting them into a root and parts.

use std::time::Duration;

use arbtest::arbtest;
use contract::part::{self, Part};
use contract::signed::Signed;
use contract::{check, root, text, Bundle, Centre, Rollout, Route, Version};

use crate::{cases, fixture};

#[test]
fn order_without_meaning_does_not_change_the_digest() {
    arbtest(|u| {
        let bundle = fixture::any_bundle(u)?;
        let mut other = bundle.clone();
        if u.arbitrary()? {
            other.services.reverse();
        }
        if u.arbitrary()? {
            other.centres.reverse();
        }
        for service in &mut other.services {
            if u.arbitrary()? {
                service.routes.reverse();
            }
            if u.arbitrary()? {
                service.hosts.reverse();
            }
            service.routes[0].methods.reverse();
        }
        let printed = text::print(&other).unwrap();
        let read = text::parse(&printed.replace(" = ", "  =  ")).unwrap();
        assert_eq!(read.split(None).0.digest(), bundle.split(None).0.digest());
        Ok(())
    });
}

/// Checks that `change` changes the digest.
fn check_covered(change: impl Fn(&mut Bundle)) {
    let bundle = fixture::bundle();
    let mut other = bundle.clone();
    change(&mut other);
    assert_ne!(other.split(None).0.digest(), bundle.split(None).0.digest());
}

fn route(bundle: &mut Bundle) -> &mut Route {
    &mut bundle.services[0].routes[0]
}

fn rollout(bundle: &mut Bundle) -> &mut Rollout {
    bundle.services[0].rollout.as_mut().unwrap()
}

cases! {
    covers_version: check_covered(|b| b.version += 1);
    covers_centre: check_covered(|b| b.centres[0].name = "north".into());
    covers_in_service: check_covered(|b| b.centres[0].in_service = false);
    covers_service: check_covered(|b| b.services[0].name = "herdwatch".into());
    covers_hosts: check_covered(|b| drop(b.services[0].hosts.pop()));
    covers_slots: check_covered(|b| b.services[0].slots += 1);
    covers_probes: check_covered(|b| b.services[0].probes_per_second += 1e-9);
    covers_probe_path: check_covered(|b| b.services[0].probe_path.push('/'));
    covers_versions: check_covered(|b| b.services[0].versions[1].name = "v3".into());
    covers_order_of_versions: check_covered(|b| b.services[0].versions.reverse());
    covers_rollout: check_covered(|b| b.services[0].rollout = None);
    covers_route: check_covered(|b| route(b).name = "look".into());
    covers_methods: check_covered(|b| drop(route(b).methods.pop()));
    covers_path: check_covered(|b| route(b).path.push('/'));
    covers_idempotent: check_covered(|b| route(b).idempotent = Some(true));
    covers_can_wait: check_covered(|b| route(b).can_wait = true);
    covers_time_limit: check_covered(|b| route(b).time_limit += Duration::from_millis(1));
    covers_from: check_covered(|b| rollout(b).from = "v0".into());
    covers_to: check_covered(|b| rollout(b).to = "v3".into());
    covers_first_share: check_covered(|b| rollout(b).first_share = 0.03);
    covers_deadline: check_covered(|b| rollout(b).deadline += 1);
}

#[test]
fn changing_a_service_changes_one_part() {
    let bundle = fixture::bundle();
    let mut other = bundle.clone();
    other.services[1].slots = 5;
    let (old, _) = bundle.split(None);
    let (new, _) = other.split(Some(old.digest()));
    let changed: Vec<&str> = new
        .changed_parts(&old)
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(changed, ["clayworks"]);
}

#[test]
fn split_bundles_can_be_joined() {
    let bundle = fixture::bundle();
    let (root, parts) = bundle.split(None);
    let decoded = parts
        .iter()
        .map(|part| Part::decode(&part.encode().unwrap(), &part.digest()).unwrap());
    let joined = root.join(decoded).unwrap();
    assert_eq!(joined.split(None), (root, sorted(parts)));
}

fn sorted(mut parts: Vec<Part>) -> Vec<Part> {
    parts.sort_by_key(|part| part.service.name.clone());
    parts
}

#[test]
fn joining_needs_exactly_the_listed_parts() {
    let (root, parts) = fixture::bundle().split(None);
    let missing = root.join(parts[..1].to_vec());
    assert_eq!(missing, Err(root::Error::Missing("clayworks".into())));

    let mut changed = parts.clone();
    changed[0].service.slots = 5;
    assert_eq!(
        root.join(changed),
        Err(root::Error::DigestMismatch("gauge".into()))
    );

    let mut unlisted = parts.clone();
    unlisted[0].service.name = "linerdesk".into();
    assert_eq!(
        root.join(unlisted),
        Err(root::Error::Unlisted("linerdesk".into()))
    );
}

#[test]
fn joining_rejects_faulty_bundles() {
    let mut bundle = fixture::bundle();
    bundle.services[0].slots = 0;
    let (root, parts) = bundle.split(None);
    assert!(matches!(root.join(parts), Err(root::Error::Faulty(_))));
}

#[test]
fn part_with_another_digest_is_rejected() {
    let (_, parts) = fixture::bundle().split(None);
    let other = Part::decode(&parts[0].encode().unwrap(), &parts[1].digest());
    assert!(matches!(other, Err(part::Error::DigestMismatch { .. })));
}

/// Returns `count` distinct names of `length` bytes.
fn names(count: usize, length: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("{index:0length$}"))
        .collect()
}

#[test]
fn largest_part_round_trips() {
    let mut service = fixture::bundle().services[0].clone();
    let route = service.routes[0].clone();
    let name = "n".repeat(check::MAX_NAME_BYTES);
    let method = |index: usize| "A".repeat(check::MAX_METHOD_BYTES - index);
    let with_name = |name: String| Route {
        path: format!(
            "/{}",
            "p".repeat(check::MAX_PATH_BYTES - name.len() - 1) + &name
        ),
        name: name.as_str().into(),
        methods: (0..check::MAX_METHODS).map(method).collect(),
        ..route.clone()
    };
    let route_names = names(check::MAX_ROUTES, check::MAX_NAME_BYTES);
    service.routes = route_names.into_iter().map(with_name).collect();
    service.hosts = names(check::MAX_HOSTS, check::MAX_HOST_BYTES);
    let versions = names(check::MAX_VERSIONS, check::MAX_NAME_BYTES);
    let versions = versions.iter().map(|name| name.as_str().into());
    service.versions = versions.map(|name| Version { name }).collect();
    service.rollout = None;
    service.name = name.as_str().into();
    let mut bundle = fixture::bundle();
    bundle.services = vec![service.clone()];
    assert_eq!(check::check(&bundle), Ok(()));
    let part = Part { service };
    let decoded = Part::decode(&part.encode().unwrap(), &part.digest());
    assert_eq!(decoded.unwrap(), part);
}

#[test]
fn largest_root_round_trips() {
    let (mut root, _) = fixture::bundle().split(None);
    let digest = root.digest();
    let services = names(check::MAX_SERVICES, check::MAX_NAME_BYTES);
    root.parts = services
        .iter()
        .map(|name| (name.as_str().into(), digest))
        .collect();
    let centre = root.centres[0].clone();
    let centres = names(check::MAX_CENTRES, check::MAX_NAME_BYTES);
    let centres = centres.iter().map(|name| name.as_str().into());
    root.centres = centres
        .map(|name| Centre {
            name,
            ..centre.clone()
        })
        .collect();
    let signed = Signed::new(root, &fixture::key(1), &fixture::key(2));
    let bytes = signed.encode().unwrap();
    assert_eq!(Signed::decode(&bytes).unwrap(), signed);
}
