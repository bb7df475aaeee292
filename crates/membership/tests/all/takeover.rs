//! Tests of when a new actor may grant.

use std::time::Duration;

use clock::Instant;
use membership::epoch::Epoch;
use membership::takeover::{Handover, Limits, Takeover};
use membership::vote::Release;

use crate::world::{at, cases, name, roster, LEASE, MARGIN};

/// The limits of a pool whose routes have time limits of up to ten seconds.
const LIMITS: Limits = Limits {
    lease: LEASE,
    margin: MARGIN,
    credit_ttl: Duration::from_secs(2),
    time_limit: Duration::from_secs(10),
};

/// Returns the takeover after the removal of member 0 of three.
fn removal(prior_settled_at: Option<Instant>) -> Takeover {
    let roster = roster(0..3).next(&[], &[name(0)]);
    Takeover::new(&roster, LIMITS, prior_settled_at, at(100_000))
}

/// Returns a handover of member 0 from `epoch` that is valid for two seconds.
fn handover(epoch: u64) -> Handover {
    let release = Release {
        actor: name(0),
        sequence: 1,
    };
    Handover {
        epoch: Epoch(epoch),
        release,
        remaining: Duration::from_secs(2),
    }
}

/// Records that members 1 and 2 have seen the epoch.
fn settle(takeover: &mut Takeover) {
    takeover.record_epoch(&name(1), Epoch(2), at(100_000));
    assert_eq!(takeover.ready_at(at(100_100)), None);
    takeover.record_epoch(&name(2), Epoch(2), at(100_200));
}

cases! {
    without_reports_all_times_have_to_pass {
        let mut takeover = removal(Some(at(0)));
        takeover.record_epoch(&name(0), Epoch(1), at(100_000));
        settle(&mut takeover);
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(100_200 + 3_300 + 12_300)));
        assert_eq!(takeover.ready_at(at(110_000)), Some(at(110_000 + 12_300)));
    }

    with_all_reports_the_credit_lifetime_is_not_awaited {
        let mut takeover = removal(Some(at(0)));
        settle(&mut takeover);
        takeover.record_report(&name(1), at(100_300), at(100_301));
        takeover.record_report(&name(2), at(100_300), at(104_000));
        assert_eq!(takeover.missing_reports(at(100_300)).collect::<Vec<_>>(), [&name(0)]);
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(115_800)));
        takeover.record_report(&name(0), at(100_300), at(100_400));
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(104_000)));
    }

    reports_from_before_an_interruption_are_ignored {
        let mut takeover = removal(Some(at(0)));
        settle(&mut takeover);
        (0..3).for_each(|i| takeover.record_report(&name(i), at(100_300), at(100_301)));
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(103_500)));
        assert_eq!(takeover.ready_at(at(120_000)), Some(at(132_300)));
    }

    reports_count_after_credits_of_former_members_have_ended {
        let mut takeover = removal(Some(at(99_000)));
        settle(&mut takeover);
        (0..3).for_each(|i| takeover.record_report(&name(i), at(100_300), at(100_301)));
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(99_000 + 3_300 + 12_300)));
        let mut unknown = removal(None);
        settle(&mut unknown);
        (0..3).for_each(|i| unknown.record_report(&name(i), at(100_300), at(100_301)));
        assert_eq!(unknown.ready_at(at(100_300)), Some(at(115_800)));
    }

    handover_is_valid_until_the_previous_authority_would_have_expired {
        let mut takeover = removal(Some(at(0)));
        takeover.record_handover(&handover(1), at(100_000));
        settle(&mut takeover);
        assert_eq!(takeover.ready_at(at(101_999)), Some(at(101_999)));
        assert_eq!(takeover.ready_at(at(102_000)), Some(at(115_800)));
    }

    handover_needs_a_majority_before_it_expires {
        let mut takeover = removal(Some(at(0)));
        takeover.record_handover(&handover(1), at(98_200));
        settle(&mut takeover);
        assert_eq!(takeover.ready_at(at(100_100)), Some(at(115_800)));
    }

    handover_from_an_older_epoch_is_ignored {
        let mut takeover = removal(Some(at(0)));
        takeover.record_handover(&handover(0), at(100_000));
        settle(&mut takeover);
        assert_eq!(takeover.ready_at(at(100_300)), Some(at(115_800)));
    }

    ended_member_counts_as_having_seen_the_epoch {
        let mut takeover = removal(Some(at(0)));
        takeover.record_epoch(&name(1), Epoch(2), at(100_000));
        takeover.record_ended(&name(0), at(100_200));
        assert_eq!(takeover.settled_at(), Some(at(100_200)));
    }
}
