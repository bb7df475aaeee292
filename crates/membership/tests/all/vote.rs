//! Tests of votes and authority.

use membership::authority::Authority;
use membership::duty::Duty;
use membership::epoch::Epoch;
use membership::vote::{Answer, Refusal, Release, Request, Voter};

use crate::world::{at, cases, name, roster, LEASE, MARGIN};

/// Returns a request of the actor numbered `actor` on the duty of member 0.
fn request(actor: usize, sequence: u64) -> Request {
    let duty = Duty(name(0));
    Request {
        epoch: Epoch(1),
        duty,
        actor: name(actor),
        sequence,
        release: None,
    }
}

/// Returns the voter of member 2 in an epoch of three.
fn voter() -> Voter {
    let mut voter = Voter::new(name(2), LEASE, MARGIN);
    voter.adopt(&roster(0..3));
    voter
}

/// Returns the authority of member 0 on its own duty in an epoch of three.
fn authority() -> Authority {
    Authority::new(&name(0), Duty(name(0)), &roster(0..3), LEASE)
}

/// Returns an answer that grants support.
fn support() -> Answer {
    Answer {
        epoch: Epoch(1),
        supported: true,
        refusal: None,
    }
}

cases! {
    support_outlasts_the_lease_by_the_margin {
        let mut voter = voter();
        assert!(voter.consider(&request(0, 1), at(0)).supported);
        let answer = voter.consider(&request(1, 1), at(3299));
        assert_eq!(answer.refusal, Some(Refusal::Taken(name(0))));
        assert!(voter.consider(&request(1, 2), at(3300)).supported);
        assert_eq!(voter.consider(&request(0, 2), at(3301)).refusal, Some(Refusal::Taken(name(1))));
    }

    support_counts_from_the_answer_of_a_paused_voter {
        let mut voter = voter();
        assert!(voter.consider(&request(0, 1), at(60_000)).supported);
        assert!(!voter.consider(&request(1, 1), at(63_000)).supported);
    }

    other_epochs_are_refused_with_the_voters_epoch {
        let mut voter = voter();
        assert!(voter.adopt(&roster(0..3).next(&[], &[name(1)])));
        assert!(!voter.adopt(&roster(0..3)));
        let answer = voter.consider(&request(0, 1), at(0));
        assert_eq!((answer.epoch, answer.refusal), (Epoch(2), Some(Refusal::Stale)));
        let ahead = Request { epoch: Epoch(3), ..request(0, 1) };
        assert_eq!(voter.consider(&ahead, at(0)).refusal, Some(Refusal::Ahead));
    }

    non_members_and_unknown_duties_are_refused {
        let mut voter = voter();
        assert_eq!(voter.consider(&request(9, 1), at(0)).refusal, Some(Refusal::NotMember));
        let unknown = Request { duty: Duty(name(9)), ..request(0, 1) };
        assert_eq!(voter.consider(&unknown, at(0)).refusal, Some(Refusal::UnknownDuty));
    }

    release_covers_only_heartbeats_sent_before_it {
        let mut voter = voter();
        let release = Some(Release { actor: name(0), sequence: 4 });
        voter.consider(&request(0, 5), at(0));
        let successor = Request { release: release.clone(), ..request(1, 1) };
        assert!(!voter.consider(&successor, at(1)).supported);
        let release = Some(Release { actor: name(0), sequence: 5 });
        let successor = Request { release, ..request(1, 2) };
        assert!(voter.consider(&successor, at(2)).supported);
    }

    authority_counts_from_the_sending_of_heartbeats {
        let mut authority = authority();
        authority.record_sent(1, at(0));
        authority.record_answer(&name(0), 1, &support(), at(0));
        assert!(!authority.holds(at(0)));
        authority.record_answer(&name(1), 1, &support(), at(2999));
        assert!(authority.holds(at(2999)));
        assert!(!authority.holds(at(3000)));
        assert_eq!(authority.expires_at(), at(3000));
        assert_eq!(authority.acquired_at(), Some(at(2999)));
    }

    authority_needs_the_vote_of_the_actor_itself {
        let mut authority = authority();
        authority.record_sent(1, at(0));
        authority.record_answer(&name(1), 1, &support(), at(1));
        authority.record_answer(&name(2), 1, &support(), at(1));
        assert!(!authority.holds(at(1)));
    }

    interruption_starts_a_new_term {
        let mut authority = authority();
        for (sequence, start) in [(1, 0), (2, 2000), (3, 6000)] {
            authority.record_sent(sequence, at(start));
            authority.record_answer(&name(0), sequence, &support(), at(start));
            authority.record_answer(&name(1), sequence, &support(), at(start + 1));
        }
        assert_eq!(authority.acquired_at(), Some(at(6001)));
    }

    resigned_actor_has_no_authority_despite_late_answers {
        let mut authority = authority();
        authority.record_sent(7, at(0));
        authority.record_answer(&name(0), 7, &support(), at(0));
        authority.record_answer(&name(1), 7, &support(), at(1));
        assert_eq!(authority.hand_over(Epoch(1), at(1)), None);
        let handover = authority.resign(at(1000)).unwrap();
        assert_eq!((handover.release.sequence, handover.remaining.as_millis()), (7, 2000));
        authority.record_answer(&name(0), 7, &support(), at(1001));
        authority.record_answer(&name(2), 7, &support(), at(1001));
        assert!(!authority.holds(at(1001)));
        assert_eq!(authority.resign(at(1001)), None);
    }

    refusals_in_favour_of_another_actor_show_that_this_one_could_win {
        let mut authority = authority();
        authority.record_sent(1, at(0));
        authority.record_answer(&name(0), 1, &support(), at(0));
        let refusal = Some(Refusal::Taken(name(1)));
        let taken = Answer { epoch: Epoch(1), supported: false, refusal };
        authority.record_answer(&name(2), 1, &taken, at(1));
        assert!(authority.could_win(at(1)) && !authority.holds(at(1)));
        authority.record_answer(&name(1), 1, &Answer { epoch: Epoch(4), ..taken }, at(1));
        assert_eq!(authority.newer_epoch(), Some(Epoch(4)));
    }
}
