//! Tests of the placement of keys on members.

use membership::duty::Duty;
use membership::placement;

use crate::world::{cases, name, roster};

cases! {
    removal_moves_only_keys_of_the_removed_member {
        let before = roster(0..19);
        let after = before.next(&[], &[name(7)]);
        for key in 0..500 {
            let key = format!("pool/{key}");
            let old = placement::owner(&before, &key, None).unwrap();
            let new = placement::owner(&after, &key, None).unwrap();
            assert!(old.name == name(7) || old == new, "{key}");
        }
    }

    keys_are_spread_over_the_members {
        let roster = roster(0..10);
        let owner = |key: usize| placement::owner(&roster, &key.to_string(), None).unwrap();
        let count = |member| (0..1000).filter(|&key| owner(key).name == name(member)).count();
        assert!((0..10).all(|member| (60..140).contains(&count(member))));
    }

    members_in_the_data_centre_are_preferred {
        let all = roster(0..9);
        let west = "west".into();
        for key in 0..100 {
            let owner = placement::owner(&all, &key.to_string(), Some(&west)).unwrap();
            assert_eq!(owner.centre, west);
        }
        let east = roster([0, 3]);
        assert!(placement::owner(&east, "pool", Some(&west)).is_some());
    }

    deputies_are_all_other_members_in_a_fixed_order {
        let roster = roster(0..5);
        let duty = Duty(name(2));
        let order: Vec<_> = placement::deputies(&roster, &duty).collect();
        assert_eq!(order.len(), 4);
        assert!(order.iter().all(|deputy| deputy.name != name(2)));
        let fewer = roster.next(&[], &[order[0].name.clone()]);
        let rest: Vec<_> = placement::deputies(&fewer, &duty).collect();
        assert_eq!(rest, order[1..]);
    }

    roster_round_trips_through_json {
        let roster = roster(0..3).next(&[], &[name(1)]);
        let text = serde_json::to_string(&roster).unwrap();
        assert_eq!(serde_json::from_str::<membership::roster::Roster>(&text).unwrap(), roster);
    }
}
