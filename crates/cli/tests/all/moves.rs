//! What `moves` makes of several reports.

use cli::moves::{merge, Concern};
use contract::report::{Move, State};

use crate::cases;
use crate::workshop::{now, NOW};

pub(crate) fn movement(state: State, deadline: i64) -> Move {
    Move {
        service: "gauge".into(),
        from: "v1".into(),
        to: "v2".into(),
        state,
        share: 0.02,
        deadline: deadline.try_into().unwrap(),
        reason: String::new(),
        evidence: Vec::new(),
    }
}

/// Checks what reports of one move, in these states, come to.
fn merged(states: &[State], deadline: i64, expected: Concern) {
    let reports = states.iter().map(|state| movement(*state, deadline));
    let entries = merge(reports, now());
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].concern, expected);
}

cases! {
    under_way: merged(&[State::Trying, State::Planned], NOW + 1, Concern::UnderWay);
    overdue: merged(&[State::Moving], NOW, Concern::Overdue);
    ended_late_report: merged(&[State::Moving, State::Done], NOW, Concern::Done);
    taken_back: merged(&[State::TakenBack, State::Trying], NOW + 1, Concern::TakenBack);
    disputed: merged(&[State::Done, State::TakenBack], NOW + 1, Concern::Disputed);
    disputed_in_any_order: merged(&[State::TakenBack, State::Done], NOW + 1, Concern::Disputed);
}

#[test]
fn urgent_moves_come_first() {
    let moves = [
        movement(State::Done, NOW + 1),
        movement(State::Moving, NOW + 3),
        movement(State::Moving, NOW + 2),
        movement(State::TakenBack, NOW + 4),
    ];
    let entries = merge(moves, now());
    let order: Vec<i64> = entries
        .iter()
        .map(|e| e.movement.deadline as i64 - NOW)
        .collect();
    assert_eq!(order, [4, 2, 3, 1]);
    assert_eq!(
        entries[0].to_string(),
        "! gauge, v1 to v2: taken back; v1 carries all traffic\n"
    );
}
