//! Replacing the store's head while answers are lost and others write.

use cli::exit::Code;
use contract::digest::Digest;
use contract::signed::Signed;

use crate::cases;
use crate::store::Plan;
use crate::workshop::{key, Workshop};

/// Submits the next bundle while `plans` happen to the writes of the head and the reads after
/// them. Checks the exit code and the version that the store has then.
fn submit(plans: Vec<Plan>, expected: Code, version: u64) {
    let workshop = Workshop::rolled();
    workshop.sign_twice();
    // The head and two parts are read first. Nothing but the version changes: no part is written.
    workshop.store.plan([Plan::Work, Plan::Work, Plan::Work]);
    workshop.store.plan(plans);
    let result = workshop.submit();
    let code = result
        .as_ref()
        .map_or_else(|error| error.exit(), |_| Code::Done);
    assert_eq!(code, expected, "{result:?}");
    assert_eq!(workshop.head_version(), version);
}

/// Returns the encoding of a rival bundle of `version`.
fn rival_at(version: u64, previous: Option<Digest>) -> Vec<u8> {
    let mut bundle = Workshop::open().bundle.clone();
    bundle.version = version;
    bundle.centres[0].in_service = false;
    let (root, _) = bundle.split(previous);
    Signed::new(root, &key(1), &key(2)).encode().unwrap()
}

fn rival() -> Vec<u8> {
    rival_at(2, None)
}

/// Returns the encoding of a bundle 3 that replaces the one that [`submit`] submits.
fn successor() -> Vec<u8> {
    let mut bundle = Workshop::open().bundle.clone();
    let (first, _) = bundle.split(None);
    bundle.version = 2;
    let (second, _) = bundle.split(Some(first.digest()));
    rival_at(3, Some(second.digest()))
}

cases! {
    no_fault: submit(vec![Plan::Work], Code::Done, 2);
    answer_lost: submit(vec![Plan::LoseAnswer], Code::Done, 2);
    answer_lost_and_read_lost:
        submit(vec![Plan::LoseAnswer, Plan::LoseCall], Code::Done, 2);
    call_lost: submit(vec![Plan::LoseCall], Code::Done, 2);
    every_call_lost: submit(vec![Plan::LoseCall; 60], Code::Unknown, 1);
    answer_lost_and_store_down: {
        let mut plans = vec![Plan::LoseAnswer];
        plans.extend(vec![Plan::Refuse; 60]);
        submit(plans, Code::Unknown, 2);
    };
    store_down: submit(vec![Plan::Refuse], Code::Unreachable, 1);
    rival_first: submit(vec![Plan::Precede(rival())], Code::Conflict, 2);
    call_lost_and_rival_first:
        submit(vec![Plan::LoseCall, Plan::Precede(rival())], Code::Conflict, 2);
    answer_lost_and_replaced_since:
        submit(vec![Plan::LoseAnswer, Plan::Precede(successor())], Code::Done, 3);
    answer_lost_and_replaced_twice:
        submit(vec![Plan::LoseAnswer, Plan::Precede(rival_at(4, None))], Code::Unknown, 4);
    later_rival_first: submit(vec![Plan::Precede(rival_at(3, None))], Code::Conflict, 3);
    call_lost_and_rival_after_reading:
        submit(vec![Plan::LoseCall, Plan::Work, Plan::Precede(rival())], Code::Conflict, 2);
}

#[test]
fn a_conflict_names_the_winner() {
    let workshop = Workshop::rolled();
    workshop.sign_twice();
    let work = [Plan::Work, Plan::Work, Plan::Work];
    workshop
        .store
        .plan(work.into_iter().chain([Plan::Precede(rival())]));
    let error = workshop.submit().unwrap_err().to_string();
    let digest = Signed::decode(&rival()).unwrap().root.digest();
    assert!(
        error.contains(&format!("bundle 2 with digest {digest}")),
        "{error}"
    );
}

#[test]
fn a_damaged_part_keeps_the_head_back() {
    let workshop = Workshop::open();
    workshop.sign_twice();
    let (_, parts) = workshop.bundle.split(None);
    let path = format!("bundle/parts/{}", parts[0].digest());
    workshop.store.put(&path, b"damaged");
    assert_eq!(workshop.submit().unwrap_err().code(), "damaged");
    assert_eq!(workshop.head_version(), 0);
}

#[test]
fn a_lost_write_of_a_part_is_tried_again() {
    let workshop = Workshop::open();
    workshop.sign_twice();
    workshop
        .store
        .plan([Plan::Work, Plan::LoseAnswer, Plan::LoseCall]);
    workshop.submit().unwrap();
    assert_eq!(workshop.head_version(), 1);
}
