//! Rolling a bundle: from its file into the store.

use std::fs;

use cli::Error;
use contract::Rollout;

use crate::cases;
use crate::workshop::{Workshop, NOW};

/// Checks that the next bundle is refused with `code` after `change`, and nothing is written.
fn refused(code: &str, change: impl Fn(&mut Workshop)) {
    let mut workshop = Workshop::rolled();
    change(&mut workshop);
    let result = workshop.roll();
    assert_eq!(result.map_err(|error| error.code()).unwrap_err(), code);
    assert_eq!(workshop.store.take_writes(), [""; 0]);
}

fn shift(workshop: &mut Workshop, deadline: i64) {
    let service = &mut workshop.bundle.services[0];
    service
        .versions
        .push(contract::Version { name: "v2".into() });
    service.rollout = Some(Rollout {
        from: "v1".into(),
        to: "v2".into(),
        first_share: 0.01,
        deadline: deadline.try_into().unwrap(),
    });
}

cases! {
    replayed_version: refused("rival", |w| w.bundle.version = 1);
    skipped_version: refused("skipped", |w| w.bundle.version = 3);
    declined: refused("declined", |w| w.answer = "no\n");
    no_answer: refused("declined", |w| w.answer = "");
    service_removed: refused("dangerous", |w| drop(w.bundle.services.pop()));
    deadline_passed: refused("dangerous", |w| shift(w, NOW));
    deadline_passed_at_any_risk: refused("dangerous", |w| {
        shift(w, NOW);
        w.accept_risk = true;
    });
}

#[test]
fn the_first_bundle_is_rolled() {
    let workshop = Workshop::open();
    let done = workshop.roll().unwrap();
    assert_eq!((done.version, done.already), (1, false));
    assert_eq!(
        (done.author.as_str(), done.operator.as_str()),
        ("ada", "ben")
    );
    let written = workshop.store.take_writes();
    assert_eq!(written.len(), 3);
    assert_eq!(written[2], "bundle/head", "the head comes after its parts");
}

#[test]
fn only_changed_parts_are_written() {
    let mut workshop = Workshop::rolled();
    workshop.bundle.services[0].slots = 5;
    workshop.roll().unwrap();
    let written = workshop.store.take_writes();
    assert_eq!(written.len(), 2, "{written:?}");
}

#[test]
fn an_accepted_risk_is_taken() {
    let mut workshop = Workshop::rolled();
    workshop.bundle.services.pop();
    workshop.accept_risk = true;
    let done = workshop.roll().unwrap();
    assert_eq!(done.preview.unwrap().dangers.len(), 1);
    assert_eq!(workshop.head_version(), 2);
}

#[test]
fn a_bundle_is_submitted_once() {
    let workshop = Workshop::open();
    workshop.roll().unwrap();
    workshop.store.take_writes();
    assert!(workshop.submit().unwrap().already);
    assert_eq!(workshop.store.take_writes(), [""; 0]);
}

#[test]
fn one_operator_cannot_sign_twice() {
    let workshop = Workshop::open();
    workshop.write_bundle();
    workshop.sign(1).unwrap();
    assert_eq!(workshop.sign(1).unwrap_err().code(), "same-key");
    assert_eq!(workshop.submit().unwrap_err().code(), "half-signed");
    workshop.sign(2).unwrap();
    assert_eq!(workshop.sign(2).unwrap_err().code(), "signed-already");
}

#[test]
fn a_bundle_changed_after_signing_is_refused() {
    let workshop = Workshop::open();
    workshop.sign_twice();
    let changed = crate::workshop::TEXT.replacen("slots = 4", "slots = 8", 1);
    fs::write(workshop.bundle_file(), changed).unwrap();
    assert_eq!(workshop.submit().unwrap_err().code(), "other-bundle");
    let signed = workshop.signed_file();
    let text = fs::read_to_string(&signed).unwrap();
    let author_only = text.replace("\"operator\": {", "\"operator\": null, \"ignored\": {");
    fs::write(&signed, author_only).unwrap();
    assert_eq!(workshop.sign(2).unwrap_err().code(), "signed-file");
}

#[test]
fn an_unknown_author_is_not_countersigned() {
    let workshop = Workshop::open();
    workshop.write_bundle();
    workshop.sign(3).unwrap();
    assert!(matches!(workshop.sign(2), Err(Error::Signature(_))));
}

#[test]
fn signing_off_shows_the_change_and_is_confirmed() {
    let mut workshop = Workshop::rolled();
    workshop.bundle.centres[0].in_service = false;
    workshop.write_bundle();
    fs::remove_file(workshop.signed_file()).unwrap();
    workshop.answer = "";
    assert_eq!(workshop.sign(1).unwrap().role, "author");
    assert_eq!(workshop.sign(2).unwrap_err().code(), "declined");
    assert_eq!(workshop.submit().unwrap_err().code(), "half-signed");
    workshop.answer = "yes\n";
    let done = workshop.sign(2).unwrap();
    assert_eq!(done.preview.unwrap().changes.len(), 1);
}

#[test]
fn a_bundle_that_cannot_follow_is_not_signed() {
    let mut workshop = Workshop::rolled();
    workshop.bundle.version = 3;
    workshop.write_bundle();
    fs::remove_file(workshop.signed_file()).unwrap();
    assert_eq!(workshop.sign(1).unwrap_err().code(), "skipped");
}
