//! Which instance does what for all.

use arbtest::arbtest;
use balance::rendezvous::pick;

#[test]
fn same_members_choose_the_same_one() {
    let members = [3_u64, 9, 12, 40];
    let mut turned = members;
    turned.reverse();
    for subject in 0..100_u64 {
        assert_eq!(pick(&members, &subject), pick(&turned, &subject));
    }
}

/// When a member goes, only what it did moves.
#[test]
fn others_keep_what_they_do() {
    arbtest(|u| {
        let members: Vec<u64> = (0..u.int_in_range(2..=30_u64)?).collect();
        let gone = *u.choose(&members)?;
        let rest: Vec<u64> = members.iter().copied().filter(|m| *m != gone).collect();
        for subject in 0..50_u64 {
            let before = pick(&members, &subject);
            if before != Some(&gone) {
                assert_eq!(before, pick(&rest, &subject));
            }
        }
        Ok(())
    });
}

#[test]
fn nobody_is_chosen_of_none() {
    assert_eq!(pick(&[] as &[u64], &1), None);
}
