//! Which root may follow which.

use contract::root::Root;
use contract::succession::{check, check_newer, Fault};

use crate::cases;
use crate::fixture::bundle;

fn root(version: u64, previous: Option<&Root>) -> Root {
    let mut bundle = bundle();
    bundle.version = version;
    bundle.split(previous.map(Root::digest)).0
}

/// Checks what the succession from version 7 to `next` gives.
fn refused(next: impl Fn(&Root) -> Root, code: &str) {
    let current = root(7, None);
    let found = check(Some(&current), &next(&current));
    assert_eq!(found.map_err(|fault| fault.code()), Err(code));
}

cases! {
    replayed: refused(|current| current.clone(), "replayed");
    rival: refused(|current| root(7, Some(current)), "rival");
    older: refused(|_| root(6, None), "older");
    skipped: refused(|current| root(9, Some(current)), "skipped");
    other_parent: refused(|_| root(8, Some(&root(6, None))), "other-parent");
    no_parent: refused(|_| root(8, None), "other-parent");
    next: assert_eq!(check(Some(&root(7, None)), &root(8, Some(&root(7, None)))), Ok(()));
    first: assert_eq!(check(None, &root(1, None)), Ok(()));
    first_with_parent: assert!(check(None, &root(1, Some(&root(7, None)))).is_err());
    first_is_one: assert!(check(None, &root(2, None)).is_err());
}

#[test]
fn an_instance_jumps_ahead_and_never_back() {
    let current = root(7, None);
    assert_eq!(
        check_newer(Some(&current), &root(9, Some(&root(8, None)))),
        Ok(())
    );
    let back = check_newer(Some(&current), &root(6, None));
    assert!(matches!(back, Err(Fault::Older { .. })));
    let stranger = check_newer(Some(&current), &root(8, None));
    assert!(matches!(stranger, Err(Fault::OtherParent { .. })));
}
