//! What `moves` makes of several reports.

use cli::moves::{merge, Concern};
use contract::report::{Rollout, State};

use crate::cases;
use crate::workshop::{now, NOW};

pub(crate) fn movement(state: State, deadline: i64) -> Rollout {
    Rollout {
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
    under_way: merged(&[State::Canary, State::Planned], NOW + 1, Concern::UnderWay);
    overdue: merged(&[State::Ramping], NOW, Concern::Overdue);
    ended_late_report: merged(&[State::Ramping, State::Done], NOW, Concern::Done);
    taken_back: merged(&[State::RolledBack, State::Canary], NOW + 1, Concern::TakenBack);
    disputed: merged(&[State::Done, State::RolledBack], NOW + 1, Concern::Disputed);
    disputed_in_any_order: merged(&[State::RolledBack, State::Done], NOW + 1, Concern::Disputed);
}

#[test]
fn urgent_moves_come_first() {
    let moves = [
        movement(State::Done, NOW + 1),
        movement(State::Ramping, NOW + 3),
        movement(State::Ramping, NOW + 2),
        movement(State::RolledBack, NOW + 4),
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
