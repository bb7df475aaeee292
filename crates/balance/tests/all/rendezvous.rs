//! Tests of rendezvous hashing.

use arbtest::arbtest;
use balance::rendezvous::pick;

#[test]
fn order_of_members_does_not_matter() {
    let members = [3_u64, 9, 12, 40];
    let mut reversed = members;
    reversed.reverse();
    for subject in 0..100_u64 {
        assert_eq!(pick(&members, &subject), pick(&reversed, &subject));
    }
}

/// When a member leaves, only the subjects assigned to it move.
#[test]
fn departure_moves_only_the_subjects_of_the_member() {
    arbtest(|u| {
        let members: Vec<u64> = (0..u.int_in_range(2..=30_u64)?).collect();
        let departed = *u.choose(&members)?;
        let remaining: Vec<u64> = members.iter().copied().filter(|m| *m != departed).collect();
        for subject in 0..50_u64 {
            let before = pick(&members, &subject);
            if before != Some(&departed) {
                assert_eq!(before, pick(&remaining, &subject));
            }
        }
        Ok(())
    });
}

#[test]
fn no_members_yield_no_choice() {
    assert_eq!(pick(&[] as &[u64], &1), None);
}
