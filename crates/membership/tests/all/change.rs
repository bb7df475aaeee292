//! Changes of the roster.

use membership::change::{Blocker, Planner};
use membership::detector::Detector;
use membership::epoch::Epoch;
use membership::roster::Roster;

use crate::world::{at, cases, member, name, roster, LEASE, MARGIN};

/// Returns the planner and the detector of member 1 of three, all of which have seen the epoch, and
/// the roster.
fn planner() -> (Planner, Detector, Roster) {
    let roster = roster(0..3);
    let mut planner = Planner::new(member(1));
    let mut detector = Detector::new(name(1), LEASE + MARGIN);
    detector.adopt(&roster, at(0));
    (0..3).for_each(|i| planner.record_view(&name(i), Epoch(1), &[]));
    (planner, detector, roster)
}

cases! {
    first_instance_writes_the_first_roster {
        let (mut planner, detector, _) = planner();
        let first = planner.plan(&Roster::default(), &detector, at(0)).unwrap();
        assert_eq!((first.epoch, first.members, first.prior), (Epoch(1), vec![member(1)], vec![]));
    }

    roster_is_unchanged_without_a_reason {
        let (mut planner, detector, roster) = planner();
        assert_eq!(planner.plan(&roster, &detector, at(0)), Err(Blocker::Unchanged));
    }

    joins_and_leaves_change_the_roster {
        let (mut planner, detector, roster) = planner();
        planner.record_join_request(&member(4), at(0));
        planner.record_leave(&name(0));
        let next = planner.plan(&roster, &detector, at(0)).unwrap();
        assert_eq!(next.members, [member(1), member(2), member(4)]);
        assert_eq!((next.epoch, next.prior), (Epoch(2), roster.members));
    }

    old_join_request_is_ignored {
        let (mut planner, mut detector, roster) = planner();
        planner.record_join_request(&member(4), at(0));
        detector.record_message(&name(0), at(5_000));
        detector.record_message(&name(2), at(5_000));
        assert_eq!(planner.plan(&roster, &detector, at(5_000)), Err(Blocker::Unchanged));
        planner.record_join_request(&member(4), at(5_000));
        assert!(planner.plan(&roster, &detector, at(5_000)).is_ok());
    }

    removed_member_has_to_ask_again {
        let (mut planner, mut detector, roster) = planner();
        planner.record_join_request(&member(4), at(0));
        let second = planner.plan(&roster, &detector, at(0)).unwrap();
        detector.adopt(&second, at(0));
        (0..5).for_each(|i| planner.record_view(&name(i), Epoch(2), &[]));
        assert_eq!(planner.plan(&second, &detector, at(0)), Err(Blocker::Unchanged));
        let third = second.next(&[], &[name(4)]);
        assert_eq!(planner.plan(&third, &detector, at(0)), Err(Blocker::Unchanged));
        planner.record_join_request(&member(4), at(0));
        assert_eq!(planner.plan(&third, &detector, at(0)), Err(Blocker::Unsettled));
    }

    silent_member_is_removed_if_a_majority_agrees {
        let (mut planner, mut detector, roster) = planner();
        detector.record_message(&name(2), at(5_000));
        assert_eq!(detector.silent(at(6_000)), [name(0)]);
        assert_eq!(planner.plan(&roster, &detector, at(6_000)), Err(Blocker::Unchanged));
        planner.record_view(&name(2), Epoch(1), &[name(0)]);
        let next = planner.plan(&roster, &detector, at(6_000)).unwrap();
        assert_eq!(next.members, [member(1), member(2)]);
    }

    isolated_member_changes_nothing {
        let (mut planner, detector, roster) = planner();
        assert_eq!(planner.plan(&roster, &detector, at(9_000)), Err(Blocker::Unchanged));
        planner.record_join_request(&member(4), at(9_000));
        assert_eq!(planner.plan(&roster, &detector, at(9_000)), Err(Blocker::Isolated));
    }

    isolated_member_removes_members_that_the_platform_ended {
        let (mut planner, detector, roster) = planner();
        planner.record_platform_list(&[name(0), name(1), name(2)]);
        planner.record_platform_list(&[name(1)]);
        let next = planner.plan(&roster, &detector, at(9_000)).unwrap();
        assert_eq!(next.members, [member(1)]);
    }

    instance_listed_again_has_not_ended {
        let (mut planner, ..) = planner();
        planner.record_platform_list(&[name(0), name(2)]);
        planner.record_platform_list(&[name(2)]);
        planner.record_platform_list(&[name(2)]);
        assert!(planner.has_ended(&name(0)) && !planner.has_ended(&name(1)));
        planner.record_platform_list(&[name(0), name(2)]);
        assert!(!planner.has_ended(&name(0)));
    }

    unsettled_epoch_is_not_replaced {
        let (mut planner, detector, roster) = planner();
        let second = roster.next(&[member(3), member(4)], &[]);
        planner.record_join_request(&member(5), at(0));
        (0..2).for_each(|i| planner.record_view(&name(i), Epoch(2), &[]));
        assert_eq!(planner.plan(&second, &detector, at(0)), Err(Blocker::Unsettled));
        planner.record_view(&name(2), Epoch(2), &[]);
        assert!(planner.plan(&second, &detector, at(0)).is_ok());
    }

    non_member_writes_nothing {
        let (mut planner, detector, roster) = planner();
        let without = roster.next(&[], &[name(1)]);
        assert_eq!(planner.plan(&without, &detector, at(0)), Err(Blocker::NotMember));
    }
}
