//! Retries: what is tried again, how a call ends, and how much retries add.

use arbtest::arbtest;
use policy::retry::{Budget, Context, Decision, Stop};

use crate::support::{at, cases, ms};

cases! {
    retry_storm_stays_in_budget => storm();
    call_ends_truly => ends();
}

/// When every attempt fails, retries are a tenth of the calls and the burst.
fn storm() {
    let mut budget = Budget::new(0.1, 5);
    let mut retries = 0;
    for call in 1..=1000 {
        budget.deposit();
        let mut tried = vec!["s0".into()];
        loop {
            let attempt = Context {
                idempotent: true,
                may_have_run: true,
                quarantined: false,
                tried: &tried,
                deadline: at(1000),
                expected_duration: ms(10),
            };
            match Decision::decide(&attempt, &mut budget, at(0)) {
                Decision::Retry { avoid } => tried = [avoid, vec!["s1".into()]].concat(),
                Decision::Stop(stop) => break assert_eq!(stop, Stop::Unknown),
            }
            retries += 1;
        }
        assert!(f64::from(retries) <= 5.0 + 0.1 * f64::from(call) + 1e-6);
    }
    assert!(retries >= 100, "the budget is there to be used: {retries}");
}

/// No call that may have run is tried again unless it is idempotent, nor said not to have run.
fn ends() {
    arbtest(|u| {
        let tried = vec!["s".into(); u.int_in_range(0..=4)?];
        let attempt = Context {
            idempotent: u.arbitrary()?,
            may_have_run: u.arbitrary()?,
            quarantined: u.arbitrary()?,
            tried: &tried,
            deadline: at(u.int_in_range(0..=20)?),
            expected_duration: ms(u.int_in_range(0..=10)?),
        };
        let tokens = u.int_in_range(0..=1)?;
        let mut budget = Budget::new(0.0, tokens);
        let safe = attempt.idempotent || !attempt.may_have_run;
        let in_time = at(5) + attempt.expected_duration < attempt.deadline;
        let fits = !attempt.quarantined && tried.len() < 3 && tokens == 1;
        let expected = match (safe && in_time && fits, attempt.may_have_run) {
            (true, _) => Decision::Retry {
                avoid: tried.clone(),
            },
            (false, true) => Decision::Stop(Stop::Unknown),
            (false, false) => Decision::Stop(Stop::NotRun),
        };
        assert_eq!(Decision::decide(&attempt, &mut budget, at(5)), expected);
        let left = if safe && in_time && fits { 0 } else { tokens };
        assert_eq!(budget.withdraw(), left == 1);
        Ok(())
    });
}
