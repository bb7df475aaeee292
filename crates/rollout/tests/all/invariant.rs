//! Invariants of a rollout under any stream of responses.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use clock::Instant;
use contract::{id, Shift};
use rollout::action::Action;
use rollout::controller::{Controller, WATCH_TIME};
use rollout::evidence::Evidence;
use rollout::origin::Origin;
use rollout::pace::MAX_FIRST_SHARE;
use rollout::plan::Plan;
use rollout::progress::Progress;
use rollout::sample::{Outcome, Sample};
use rollout::state::State;

use crate::stream::START_UNIX_S;

/// The longest time for a rollout.
const MAX_DEADLINE_S: u64 = 300;

fn plan(deadline: u64, now: Instant, first_share: f64) -> Plan {
    let shift = Shift {
        from: id::Version::from("old"),
        to: id::Version::from("new"),
        first_share,
        deadline: START_UNIX_S + deadline,
    };
    let wall = START_UNIX_S + (now - Instant::ZERO).as_secs();
    Plan::new(&shift, 2, wall, now)
}

fn sample(u: &mut Unstructured<'_>) -> Result<Sample> {
    let version = *u.choose(&["new", "new", "old", "other"])?;
    Ok(Sample {
        origin: Origin {
            version: id::Version::from(version),
            route: id::Route::from(*u.choose(&["a", "b", "c"])?),
            centre: id::Centre::from(*u.choose(&["x", "y"])?),
            server: id::Server::from(*u.choose(&["1", "2", "3"])?),
        },
        outcome: if u.ratio(1, 20)? {
            Outcome::Failure
        } else {
            Outcome::Success
        },
        latency: Duration::from_millis(u.int_in_range(0..=100)?),
        warm: u.ratio(9, 10)?,
        count: u.int_in_range(0..=40)?,
    })
}

/// Runs one rollout with arbitrary responses and checks each step.
fn check_rollout(u: &mut Unstructured<'_>) -> Result<()> {
    let deadline = u.int_in_range(1..=MAX_DEADLINE_S)?;
    let first_share = f64::from(u.int_in_range(0..=20u8)?) / 10.0;
    let mut controller = Controller::new(plan(deadline, Instant::ZERO, first_share));
    let mut now = Instant::ZERO;
    let mut responses = 0;
    let end = Instant::ZERO + Duration::from_secs(deadline) + WATCH_TIME;
    while now <= end + Duration::from_secs(60) {
        let mut evidence = Evidence::default();
        for _ in 0..u.int_in_range(0..=3)? {
            let sample = sample(u)?;
            let is_new = sample.origin.version.as_str() == "new";
            responses += if is_new { sample.count } else { 0 };
            evidence.observe(&sample);
        }
        controller.merge(&evidence);
        now += Duration::from_millis(u.int_in_range(500..=20_000)?);
        let before = (
            controller.state(),
            controller.share(),
            controller.is_final(),
        );
        let actions = controller.step(now);
        check_step(before, &controller, &actions, responses);
        if controller.share() != before.1 {
            responses = 0;
        }
        if now >= Instant::ZERO + Duration::from_secs(deadline) {
            assert!(
                controller.state().is_ended(),
                "{:?} after the deadline",
                controller.state()
            );
        }
        if u.ratio(1, 20)? {
            controller = resume(&controller, deadline, now);
        }
    }
    // Only a control comparison without enough responses keeps a rollout open.
    assert!(controller.is_final() || controller.share() < 1.0);
    Ok(())
}

fn check_step(
    before: (State, f64, bool),
    controller: &Controller,
    actions: &[Action],
    responses: u64,
) {
    let (state, share, is_final) = before;
    let (new_state, new_share) = (controller.state(), controller.share());
    if is_final {
        assert_eq!((new_state, new_share), (state, share));
    }
    assert!(new_state >= state, "{new_state:?} after {state:?}");
    if state == State::Planned && new_state != State::RolledBack {
        assert!(new_share <= MAX_FIRST_SHARE);
    } else if new_share > share {
        assert!(new_share <= 2.0 * share, "{new_share} after {share}");
        assert!(responses > 0, "growth to {new_share} without a response");
    }
    if new_state == State::RolledBack {
        assert_eq!(new_share, 0.0);
    }
    if new_state != state || new_share != share {
        let last = actions.last();
        assert!(
            matches!(last, Some(Action::Record(p)) if p.state == new_state && p.share == new_share)
        );
    }
    if new_share != share {
        assert!(actions.contains(&Action::SetShare(new_share)));
    }
}

/// Returns the controller of a new lead owner, resumed from progress that was written and read as
/// JSON.
fn resume(controller: &Controller, deadline: u64, now: Instant) -> Controller {
    let progress = controller.progress();
    let text = serde_json::to_string(&progress).expect("encoded");
    let read: Progress = serde_json::from_str(&text).expect("decoded");
    assert_eq!(read, progress);
    let next = Controller::resume(plan(deadline, now, 0.05), &read, now);
    assert_eq!(
        (next.state(), next.share()),
        (controller.state(), controller.share())
    );
    assert_eq!(next.is_final(), controller.is_final());
    if !controller.is_final() {
        assert_eq!(next.progress(), progress);
    }
    next
}

#[test]
fn invariants_hold_under_any_stream() {
    arbtest::arbtest(check_rollout)
        .size_min(3000)
        .budget_ms(3000);
}

/// A new lead owner that resumes after the end of the monitoring keeps that end.
#[test]
fn monitoring_that_ended_before_a_resume_keeps_its_end() {
    arbtest::arbtest(check_rollout).seed(0x4293_3000_0001_0000);
}
