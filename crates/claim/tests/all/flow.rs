//! Single flows of one ledger.

use std::time::Duration;

use claim::append;
use claim::claimant::Claimant;
use claim::decision::Decision;
use claim::history::History;
use claim::key::Key;
use claim::ledger::Ledger;
use claim::record::Outcome;
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

/// Returns a ledger that has read `segments` and asked for the takeover.
fn opening(segments: &[Segment], writer: u8, history: History) -> Ledger {
    let mut ledger = Ledger::new(Shard(0), RETENTION);
    for segment in segments {
        ledger.replay(segment).expect("in order");
    }
    let owner = id::Instance::from(format!("owner-{writer}").as_str());
    ledger.take_over(&owner, Writer([writer; 16]), history, NOW);
    ledger
}

/// Returns a ledger that has taken `segments` over, which now hold its takeover too.
fn open(segments: &mut Vec<Segment>, writer: u8, history: History) -> Ledger {
    let mut ledger = opening(segments, writer, history);
    append(&mut ledger, segments);
    assert!(ledger.is_open());
    ledger
}

/// Makes the ledger's next segment durable and returns what that decides.
fn append(ledger: &mut Ledger, segments: &mut Vec<Segment>) -> Vec<Decision> {
    let segment = ledger.pending().expect("a segment");
    let number = segment.number;
    segments.push(segment);
    let decided = ledger.appended(number, append::Outcome::Durable);
    decided.into_iter().map(|(_, decision)| decision).collect()
}

fn complete() -> Outcome {
    Outcome::Complete {
        status: 201,
        answer: Some(b"booked".to_vec()),
    }
}

fn runs_once_durable() {
    let mut store = Vec::new();
    let mut ledger = open(&mut store, 1, History::Complete);
    let asked = ledger.claim(&request("a", None, 1), true, NOW);
    assert!(matches!(asked, Decision::Append(_)), "{asked:?}");
    let second = ledger.claim(&request("a", Some(2), 2), true, NOW);
    assert_eq!(second, Decision::Running);
    assert_eq!(append(&mut ledger, &mut store), [Decision::Run]);
    ledger.finish(key("a"), &claimant(1), complete(), NOW);
    append(&mut ledger, &mut store);
    let mut next = open(&mut store, 2, History::Complete);
    let resend = next.claim(&request("a", Some(2), 3), true, NOW);
    assert_eq!(resend, Decision::Replay(complete()));
}

cases! {
    a_claim_runs_once_it_is_durable => runs_once_durable();
}
