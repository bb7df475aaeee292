//! A bundle and keys shared by the tests.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use contract::check::{MAX_DEADLINE_SECS, MAX_FIRST_SHARE, MAX_VERSION, MIN_FIRST_SHARE};
use contract::signature::Key;
use contract::{keyring::Keyring, text, Bundle, Centre, Rollout, Route, Service, Version};

/// The text of a bundle with two services, one of which has a rollout.
pub(crate) const TEXT: &str = include_str!("bundle.toml");

/// Returns the bundle of [`TEXT`].
pub(crate) fn bundle() -> Bundle {
    text::parse(TEXT).unwrap()
}

/// Returns the key of the operator with the number `seed`.
pub(crate) fn key(seed: u8) -> Key {
    Key::from_seed([seed; 32])
}

/// Returns a keyring with the keys of operators 1 and 2.
pub(crate) fn keyring() -> Keyring {
    let entries = [("ada", 1), ("ben", 2)];
    Keyring::new(entries.map(|(name, seed)| (name.into(), key(seed).public()))).unwrap()
}

/// Returns an arbitrary bundle that passes the check.
pub(crate) fn any_bundle(u: &mut Unstructured<'_>) -> Result<Bundle> {
    let centre = |index: usize, in_service| Centre {
        name: format!("centre-{index}").as_str().into(),
        in_service,
    };
    let mut centres = vec![centre(0, true)];
    for index in 1..u.int_in_range(1..=4)? {
        centres.push(centre(index, u.arbitrary()?));
    }
    let count = u.int_in_range(1..=3)?;
    Ok(Bundle {
        version: u.int_in_range(1..=MAX_VERSION)?,
        centres,
        services: (0..count)
            .map(|index| any_service(u, index))
            .collect::<Result<_>>()?,
    })
}

fn any_service(u: &mut Unstructured<'_>, index: usize) -> Result<Service> {
    let version = |name: &str| Version { name: name.into() };
    let routes = u.int_in_range(1..=3)?;
    let rollout = Rollout {
        from: "v1".into(),
        to: "v.2".into(),
        first_share: MIN_FIRST_SHARE + (MAX_FIRST_SHARE - MIN_FIRST_SHARE) * fraction(u)?,
        deadline: u.int_in_range(1..=MAX_DEADLINE_SECS)?,
    };
    Ok(Service {
        name: format!("service.{index}").as_str().into(),
        hosts: vec![format!("{index}.example"), format!("{index}.test")],
        slots: u.int_in_range(1..=1000)?,
        probes_per_second: 1000.0 * fraction(u)?,
        probe_path: any_path(u)?,
        routes: (0..routes)
            .map(|index| any_route(u, index))
            .collect::<Result<_>>()?,
        versions: vec![version("v1"), version("v.2")],
        rollout: Some(rollout).filter(|_| u.arbitrary().unwrap_or(false)),
    })
}

fn any_route(u: &mut Unstructured<'_>, index: usize) -> Result<Route> {
    Ok(Route {
        name: format!("route_{index}").as_str().into(),
        methods: u
            .choose(&[vec![], vec!["GET".into()], vec!["PUT".into(), "GET".into()]])?
            .clone(),
        path: format!("/{index}{}", any_path(u)?),
        idempotent: u.arbitrary()?,
        can_wait: u.arbitrary()?,
        time_limit: Duration::from_millis(u.int_in_range(1..=600_000)?),
    })
}

/// Returns an arbitrary path, with characters that need escaping in TOML and non-ASCII characters.
fn any_path(u: &mut Unstructured<'_>) -> Result<String> {
    let pieces = ["a", "/", "\"", "\\", "'", "\u{e9}", "%20", "\u{1f986}"];
    let length = u.int_in_range(0..=8)?;
    let pieces = (0..length).map(|_| u.choose(&pieces).copied());
    Ok(format!("/{}", pieces.collect::<Result<String>>()?))
}

/// Returns a number from 0 to 1.
fn fraction(u: &mut Unstructured<'_>) -> Result<f64> {
    Ok(f64::from(u.arbitrary::<u32>()?) / f64::from(u32::MAX))
}
