//! Time to split, verify and join a bundle.

use contract::keyring::Keyring;
use contract::part::Part;
use contract::signature::Key;
use contract::signed::Signed;
use contract::{check, text, Bundle};

use crate::fault::Fault;
use crate::series::Series;
use crate::timer;

const SERVICES: [usize; 3] = [10, 100, MAX_SERVICES];
/// The maximum number of services in a bundle.
const MAX_SERVICES: usize = check::MAX_SERVICES;

const CHANGED: [usize; 3] = [1, 10, 100];
const ROUNDS: usize = 3;

/// A bundle with one service; the other services are copies of it.
const BUNDLE_TEXT: &str = r#"version = 1

[[data-centre]]
name = "east"
in-service = true

[[service]]
name = "gauge"
hosts = ["gauge.example"]
slots = 4
probes-per-second = 2.5
probe-path = "/health"

[[service.route]]
name = "read"
methods = ["GET", "HEAD"]
path = "/levels"
time-limit-ms = 500

[[service.route]]
name = "write"
methods = ["POST"]
path = "/levels"
time-limit-ms = 2000

[[service.version]]
name = "v1"
"#;

fn bundle(services: usize) -> Bundle {
    let Ok(mut bundle) = text::parse(BUNDLE_TEXT) else {
        unreachable!("the text is a bundle");
    };
    let Some(first) = bundle.services.pop() else {
        unreachable!("the text has a service");
    };
    for index in 0..services {
        let mut service = first.clone();
        service.name = format!("service-{index:04}").as_str().into();
        service.hosts = vec![format!("service-{index:04}.example")];
        bundle.services.push(service);
    }
    bundle
}

fn key(seed: u8) -> Key {
    Key::from_seed([seed; 32])
}

/// Prints the times by the number of services.
pub(crate) fn by_services() -> Result<(), Fault> {
    let entries = [("ada", 1), ("ben", 2)].map(|(name, seed)| (name.into(), key(seed).public()));
    let keyring = Keyring::new(entries)?;
    let mut digest = Series::new("Bundle: split into parts and digest, by services");
    let mut verify = Series::new("Bundle: verify both signatures, by services");
    let mut apply = Series::new("Bundle: join all parts, by services");
    for services in SERVICES {
        let bundle = bundle(services);
        let (root, parts) = bundle.split(None);
        let signed = Signed::new(root.clone(), &key(1), &key(2));
        let each = |_| -> Result<(), Fault> {
            bundle.split(None).0.digest();
            Ok(())
        };
        digest.push(
            services,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
        let each = |_| signed.verify(&keyring).map(drop).map_err(Fault::from);
        verify.push(
            services,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
        let each = |_| root.join(parts.clone()).map(drop).map_err(Fault::from);
        apply.push(
            services,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
    }
    digest.print("services");
    verify.print("services");
    apply.print("services");
    Ok(())
}

/// Prints the time to find and read the changed parts in a bundle of `MAX_SERVICES` services, by
/// the number of changed parts.
pub(crate) fn by_changed_parts() -> Result<(), Fault> {
    let old = bundle(MAX_SERVICES);
    let (old_root, _) = old.split(None);
    let mut series = Series::new("Bundle of 1000 services: find and read the changed parts");
    for changed in CHANGED {
        let mut new = old.clone();
        for service in new.services.iter_mut().take(changed) {
            service.slots += 1;
        }
        let (root, parts) = new.split(Some(old_root.digest()));
        let encoded: Result<Vec<_>, _> = parts.iter().take(changed).map(Part::encode).collect();
        let encoded = encoded?;
        let each = |_| -> Result<(), Fault> {
            for ((_, digest), bytes) in root.changed_parts(&old_root).zip(&encoded) {
                Part::decode(bytes, digest)?;
            }
            Ok(())
        };
        series.push(
            changed,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
    }
    series.print("changed parts");
    Ok(())
}
