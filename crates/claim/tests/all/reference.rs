//! A reference implementation of the decisions, which scans all records on each call.

use claim::decision::Decision;
use claim::entry::Entry;
use claim::key::Key;
use claim::record::{Outcome, Record};
use claim::request::Request;
use claim::token::Token;

/// Returns the entry of `key` after `records`, without its time.
pub(crate) fn find<'a>(records: impl Iterator<Item = &'a Record>, key: Key) -> Option<Entry> {
    let mut found: Option<Entry> = None;
    for record in records.filter(|record| record.key() == Some(key)) {
        match (record, &mut found) {
            (Record::Claim { digest, .. }, _) => found = Some(entry(record, Some(*digest), None)),
            (Record::Finish { outcome, .. }, None) => {
                found = Some(entry(record, None, Some(outcome.clone())));
            }
            (Record::Finish { outcome, .. }, Some(existing)) => {
                let complete = matches!(existing.outcome, Some(Outcome::Complete { .. }));
                if !complete {
                    existing.outcome = Some(outcome.clone());
                }
            }
            (Record::Release { claimant, .. }, Some(existing))
                if existing.claimant == *claimant && existing.outcome.is_none() =>
            {
                found = None;
            }
            (Record::Copy { entry, .. }, _) => found = Some(entry.clone()),
            _ => {}
        }
    }
    found.map(without_time)
}

/// Returns `entry` without its time.
pub(crate) fn without_time(mut entry: Entry) -> Entry {
    entry.time = std::time::Duration::ZERO;
    entry
}

fn entry(record: &Record, digest: Option<[u8; 16]>, outcome: Option<Outcome>) -> Entry {
    let (Record::Claim { claimant, .. } | Record::Finish { claimant, .. }) = record else {
        panic!("no claimant in {record:?}");
    };
    Entry {
        digest,
        claimant: claimant.clone(),
        outcome,
        time: std::time::Duration::ZERO,
    }
}

/// Returns the decision of an open ledger on `request`. If `uncertain`, claims may be missing from
/// its log.
pub(crate) fn decide(
    entry: Option<Entry>,
    request: &Request,
    uncertain: bool,
    store_available: bool,
) -> Decision {
    match entry {
        None if uncertain && request.attempt != Some(1) => Decision::Unknown,
        None if store_available => Decision::Pending(Token(0)),
        None => Decision::Run,
        Some(e) if e.digest.is_some_and(|d| d != request.digest) => Decision::Mismatch,
        Some(e) => match e.outcome {
            None => Decision::Running,
            Some(Outcome::Unknown) => Decision::Unknown,
            Some(complete) => Decision::Replay(complete),
        },
    }
}
