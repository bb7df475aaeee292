//! Sequences of calls on one ledger and its successors.

use std::time::Duration;

use claim::append;
use claim::claimant::Claimant;
use claim::decision::Decision;
use claim::history::History;
use claim::key::Key;
use claim::ledger::Ledger;
use claim::record::{Outcome, MAX_RESPONSE_BYTES};
use claim::request::{self, Request};
use claim::segment::Segment;
use claim::shard::Shard;
use claim::writer::Writer;
use clock::Instant;
use contract::id;

const RETENTION: Duration = Duration::from_secs(86_400);
const NOW: Instant = Instant::from_millis(1000);

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[test]
        fn $name() {
            $body
        }
    )*};
}

fn key(name: &str) -> Key {
    Key::new(&id::Service::from("book-ledger"), name)
}

fn claimant(call: u64) -> Claimant {
    Claimant {
        instance: id::Instance::from("entry-1"),
        call,
    }
}

fn request(name: &str, attempt: Option<u32>, call: u64) -> Request {
    Request {
        key: key(name),
        digest: request::digest("POST", "/visits", name.as_bytes()),
        attempt,
        claimant: claimant(call),
    }
}

/// Returns a ledger that has replayed `segments` and begun its takeover.
fn begin_takeover(segments: &[Segment], writer: u8, history: History) -> Ledger {
    let mut ledger = Ledger::new(Shard(0), RETENTION);
    for segment in segments {
        ledger.replay(segment).expect("in order");
    }
    let owner = id::Instance::from(format!("owner-{writer}").as_str());
    ledger.take_over(&owner, Writer([writer; 16]), history, NOW);
    ledger
}

/// Returns an open ledger that has taken over `segments`, and appends its takeover to them.
fn open(segments: &mut Vec<Segment>, writer: u8, history: History) -> Ledger {
    let mut ledger = begin_takeover(segments, writer, history);
    append(&mut ledger, segments);
    assert!(ledger.is_open());
    ledger
}

/// Makes the ledger's next segment durable and returns the decisions that follow.
fn append(ledger: &mut Ledger, segments: &mut Vec<Segment>) -> Vec<Decision> {
    let segment = ledger.next_segment().expect("a segment");
    let number = segment.number;
    segments.push(segment);
    let decisions = ledger.handle_append(number, append::Outcome::Durable);
    decisions
        .into_iter()
        .map(|(_, decision)| decision)
        .collect()
}

fn complete_outcome() -> Outcome {
    Outcome::Complete {
        status: 201,
        response: Some(b"booked".to_vec()),
    }
}

fn runs_once_durable() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Complete);
    let claim = ledger.claim(&request("a", None, 1), true, NOW);
    assert!(matches!(claim, Decision::Pending(_)), "{claim:?}");
    let second = ledger.claim(&request("a", Some(2), 2), true, NOW);
    assert_eq!(second, Decision::Running);
    assert_eq!(append(&mut ledger, &mut store), [Decision::Run]);
    ledger.finish(key("a"), &claimant(1), complete_outcome(), NOW);
    append(&mut ledger, &mut store);
    let mut next = open(&mut store, 2, History::Complete);
    let resend = next.claim(&request("a", Some(2), 3), true, NOW);
    assert_eq!(resend, Decision::Replay(complete_outcome()));
}

/// Claims `name` for the call numbered `call` in the open `ledger` and makes the claim durable.
fn claim_durably(ledger: &mut Ledger, store: &mut Vec<Segment>, name: &str, call: u64) {
    ledger.claim(&request(name, Some(1), call), true, NOW);
    assert_eq!(append(ledger, store), [Decision::Run]);
}

fn repeated_write_is_durable() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Complete);
    ledger.claim(&request("a", None, 1), true, NOW);
    let segment = ledger.next_segment().expect("a segment");
    assert!(ledger
        .handle_append(1, append::Outcome::Indeterminate)
        .is_empty());
    assert_eq!(ledger.next_segment(), None);
    assert!(ledger.handle_read_back(None).is_empty());
    // The delayed first write reaches the store before the second, which then conflicts with it.
    assert_eq!(ledger.next_segment().as_ref(), Some(&segment));
    assert!(ledger
        .handle_append(1, append::Outcome::Conflict)
        .is_empty());
    assert_eq!(ledger.unresolved(), Some(1));
    let decisions = ledger.handle_read_back(Some(&segment));
    assert!(
        matches!(decisions[..], [(_, Decision::Run)]),
        "{decisions:?}"
    );
}

fn fenced_ledger_grants_nothing() {
    let mut store = Vec::new();
    let mut old = open(&mut store, 1, History::Complete);
    old.claim(&request("a", Some(1), 1), true, NOW);
    old.claim(&request("b", Some(2), 2), true, NOW);
    open(&mut store.clone(), 2, History::Complete);
    old.next_segment().expect("a segment");
    let decisions = old.handle_append(1, append::Outcome::Conflict);
    let decisions = decisions.into_iter().map(|(_, decision)| decision);
    assert_eq!(
        decisions.collect::<Vec<_>>(),
        [Decision::Refused, Decision::Unknown]
    );
    let later = old.claim(&request("c", Some(1), 3), false, NOW);
    assert_eq!(later, Decision::Refused);
}

fn no_claims_before_takeover() {
    let mut ledger = begin_takeover(&[], 1, History::Complete);
    let first = ledger.claim(&request("a", Some(1), 1), true, NOW);
    assert_eq!(first, Decision::Refused);
    let resend = ledger.claim(&request("a", None, 2), true, NOW);
    assert_eq!(resend, Decision::Unknown);
}

fn without_log_runs_first_attempts_only() {
    let mut memory_only = Ledger::new(Shard(0), RETENTION);
    let first = memory_only.claim(&request("a", Some(1), 1), false, NOW);
    assert_eq!(first, Decision::Run);
    let resend = memory_only.claim(&request("b", Some(2), 2), false, NOW);
    assert_eq!(resend, Decision::Unknown);
    let unnumbered = memory_only.claim(&request("c", None, 3), false, NOW);
    assert_eq!(unnumbered, Decision::Unknown);
    // The store is available again, and the claim is appended to the log.
    let mut store = Vec::new();
    open(&mut store, 1, History::Complete);
    memory_only.replay(&store[0]).expect("in order");
    memory_only.take_over(
        &id::Instance::from("owner-2"),
        Writer([2; 16]),
        History::Complete,
        NOW,
    );
    append(&mut memory_only, &mut store);
    let mut next = open(&mut store, 3, History::Complete);
    let resend = next.claim(&request("a", Some(2), 4), true, NOW);
    assert_eq!(resend, Decision::Running);
}

fn complete_outcome_is_final() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Complete);
    claim_durably(&mut ledger, &mut store, "a", 1);
    ledger.finish(key("a"), &claimant(1), complete_outcome(), NOW);
    ledger.finish(key("a"), &claimant(1), Outcome::Unknown, NOW);
    ledger.release(key("a"), &claimant(1), NOW);
    let resend = ledger.claim(&request("a", None, 2), true, NOW);
    assert_eq!(resend, Decision::Replay(complete_outcome()));
}

fn long_response_is_dropped() {
    let mut ledger = open(&mut Vec::new(), 1, History::Complete);
    let outcome = |len: usize| Outcome::Complete {
        status: 200,
        response: (len > 0).then(|| vec![0; len]),
    };
    ledger.finish(key("a"), &claimant(1), outcome(MAX_RESPONSE_BYTES + 1), NOW);
    let resend = ledger.claim(&request("a", None, 2), true, NOW);
    assert_eq!(resend, Decision::Replay(outcome(0)));
}

fn adopts_unsaved_claims() {
    let mut memory_only = Ledger::new(Shard(0), RETENTION);
    memory_only.claim(&request("a", Some(1), 1), false, NOW);
    memory_only.claim(&request("b", Some(1), 2), false, NOW);
    let mut store = Vec::new();
    let mut owner = open(&mut store, 1, History::Uncertain);
    owner.finish(key("b"), &claimant(2), complete_outcome(), NOW);
    owner.adopt(&memory_only.unsaved().cloned().collect::<Vec<_>>(), NOW);
    append(&mut owner, &mut store);
    let mut next = open(&mut store, 2, History::Complete);
    let a = next.claim(&request("a", Some(1), 3), true, NOW);
    assert_eq!(a, Decision::Running);
    let b = next.claim(&request("b", Some(2), 4), true, NOW);
    assert_eq!(b, Decision::Replay(complete_outcome()));
}

fn retention_counts_time_with_an_owner() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Uncertain);
    ledger.claim(&request("a", Some(1), 1), true, NOW);
    let first_owner_time = Duration::from_secs(5);
    ledger.claim(&request("c", Some(1), 0), true, NOW + first_owner_time);
    append(&mut ledger, &mut store);
    // The clock of the next owner has a different origin. No claim may expire early.
    let mut next = open(&mut store, 2, History::Complete);
    let one_ms = Duration::from_millis(1);
    let uncertain = NOW + (RETENTION - first_owner_time - one_ms);
    let lost = next.claim(&request("b", None, 3), true, uncertain);
    assert_eq!(lost, Decision::Unknown);
    let early = next.claim(&request("a", None, 2), true, NOW + (RETENTION - one_ms));
    assert_eq!(early, Decision::Running);
    for name in ["a", "b"] {
        let decision = next.claim(&request(name, None, 4), true, NOW + RETENTION);
        assert!(matches!(decision, Decision::Pending(_)), "{decision:?}");
    }
}

fn snapshot_bounds_the_log() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Uncertain);
    for call in 0..600 {
        let name = call.to_string();
        claim_durably(&mut ledger, &mut store, &name, call);
        let response = Some(vec![7; MAX_RESPONSE_BYTES]);
        let outcome = Outcome::Complete {
            status: 200,
            response,
        };
        ledger.finish(key(&name), &claimant(call), outcome, NOW);
    }
    while ledger.unsaved().next().is_some() {
        append(&mut ledger, &mut store);
    }
    let largest = store
        .iter()
        .map(|s| s.encode().expect("encoded").len())
        .max();
    assert!(largest.is_some_and(|size| size < 1_000_000), "{largest:?}");
    assert_eq!(ledger.removable(), None);
    ledger.claim(
        &request("x", Some(2), 0),
        true,
        NOW + Duration::from_secs(3600),
    );
    while let Some(number) = ledger.removable() {
        assert_eq!(store.remove(0).number, number);
        ledger.handle_removal(number);
    }
    assert!(store.len() < 200, "{} segments left", store.len());
    let mut next = open(&mut store, 2, History::Complete);
    let outcomes =
        |ledger: &Ledger| -> Vec<_> { ledger.entries().map(|(k, e)| (k, e.clone())).collect() };
    assert_eq!(outcomes(&next), outcomes(&ledger));
    let resend = next.claim(&request("lost", Some(2), 0), true, NOW);
    assert_eq!(resend, Decision::Unknown);
}

fn failed_takeover_has_no_effect() {
    let mut store = Vec::new();
    let mut ledger = begin_takeover(&store, 1, History::Uncertain);
    ledger.next_segment().expect("a segment");
    open(&mut store, 2, History::Complete);
    assert!(ledger
        .handle_append(0, append::Outcome::Conflict)
        .is_empty());
    ledger.replay(&store[0]).expect("in order");
    ledger.take_over(
        &id::Instance::from("owner-1"),
        Writer([1; 16]),
        History::Complete,
        NOW,
    );
    append(&mut ledger, &mut store);
    claim_durably(&mut ledger, &mut store, "a", 1);
    let resend = ledger.claim(&request("b", Some(2), 2), true, NOW);
    assert!(matches!(resend, Decision::Pending(_)), "{resend:?}");
}

fn segments_are_bounded() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Complete);
    for call in 0..1000 {
        let response = Some(vec![7; MAX_RESPONSE_BYTES]);
        let outcome = Outcome::Complete {
            status: 200,
            response,
        };
        ledger.finish(key(&call.to_string()), &claimant(call), outcome, NOW);
    }
    while ledger.unsaved().next().is_some() {
        append(&mut ledger, &mut store);
    }
    let sizes = store.iter().map(|s| s.encode().expect("encoded").len());
    assert!(sizes.max().is_some_and(|size| size < 1_000_000));
}

cases! {
    a_claim_runs_once_it_is_durable => runs_once_durable();
    a_repeated_write_that_conflicts_with_itself_is_durable => repeated_write_is_durable();
    a_fenced_ledger_grants_nothing => fenced_ledger_grants_nothing();
    no_claim_is_granted_before_the_takeover => no_claims_before_takeover();
    a_ledger_without_its_log_runs_first_attempts_only => without_log_runs_first_attempts_only();
    a_complete_outcome_is_not_replaced => complete_outcome_is_final();
    a_long_response_is_not_kept => long_response_is_dropped();
    claims_of_a_former_owner_are_adopted => adopts_unsaved_claims();
    a_failed_takeover_has_no_effect => failed_takeover_has_no_effect();
    an_entry_is_kept_for_the_retention_time => retention_counts_time_with_an_owner();
    a_snapshot_bounds_the_log => snapshot_bounds_the_log();
    a_segment_stays_below_the_size_limit_of_the_store => segments_are_bounded();
}
