//! The rules under which one root replaces another.

use contract::root::Root;
use contract::succession::{check, check_newer, Fault};

use crate::cases;
use crate::fixture::bundle;

fn root(version: u64, previous: Option<&Root>) -> Root {
    let mut bundle = bundle();
    bundle.version = version;
    bundle.split(previous.map(Root::digest)).0
}

/// Checks that replacing a root of version 7 by `next` fails with the fault `code`.
fn check_rejected(next: impl Fn(&Root) -> Root, code: &str) {
    let current = root(7, None);
    let found = check(Some(&current), &next(&current));
    assert_eq!(found.map_err(|fault| fault.code()), Err(code));
}

cases! {
    replayed: check_rejected(|current| current.clone(), "replayed");
    rival: check_rejected(|current| root(7, Some(current)), "rival");
    older: check_rejected(|_| root(6, None), "older");
    skipped: check_rejected(|current| root(9, Some(current)), "skipped");
    other_parent: check_rejected(|_| root(8, Some(&root(6, None))), "other-parent");
    no_parent: check_rejected(|_| root(8, None), "other-parent");
    next: assert_eq!(check(Some(&root(7, None)), &root(8, Some(&root(7, None)))), Ok(()));
    first: assert_eq!(check(None, &root(1, None)), Ok(()));
    first_with_parent: assert!(check(None, &root(1, Some(&root(7, None)))).is_err());
    first_has_version_one: assert!(check(None, &root(2, None)).is_err());
}

#[test]
fn newer_versions_may_be_skipped_but_older_ones_are_rejected() {
    let current = root(7, None);
    assert_eq!(
        check_newer(Some(&current), &root(9, Some(&root(8, None)))),
        Ok(())
    );
    let older = check_newer(Some(&current), &root(6, None));
    assert!(matches!(older, Err(Fault::Older { .. })));
    let other_parent = check_newer(Some(&current), &root(8, None));
    assert!(matches!(other_parent, Err(Fault::OtherParent { .. })));
}
