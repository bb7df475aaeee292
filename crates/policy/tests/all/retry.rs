//! Tests of retry decisions and of the retry budget.

use arbtest::arbtest;
use policy::retry::{Budget, Context, Decision, Stop};

use crate::support::{at, cases, ms};

cases! {
    retry_storm_stays_in_budget => storm();
    decision_matches_the_attempts => decisions();
}

/// When every attempt fails, the retries stay within a tenth of the calls plus the burst.
fn storm() {
    let mut budget = Budget::new(0.1, 5);
    let mut retries = 0;
    for call in 1..=1000 {
        budget.deposit();
        let mut tried = vec!["s0".into()];
        loop {
            let context = Context {
                idempotent: true,
                may_have_run: true,
                quarantined: false,
                tried: &tried,
                deadline: at(1000),
                expected_duration: ms(10),
            };
            match Decision::decide(&context, &mut budget, at(0)) {
                Decision::Retry { avoid } => tried = [avoid, vec!["s1".into()]].concat(),
                Decision::Stop(stop) => break assert_eq!(stop, Stop::Unknown),
            }
            retries += 1;
        }
        assert!(f64::from(retries) <= 5.0 + 0.1 * f64::from(call) + 1e-6);
    }
    assert!(retries >= 100, "the budget was not used: {retries}");
}

/// A call that may have run is retried only if it is idempotent, and is never reported as not run.
fn decisions() {
    arbtest(|u| {
        let tried = vec!["s".into(); u.int_in_range(0..=4)?];
        let context = Context {
            idempotent: u.arbitrary()?,
            may_have_run: u.arbitrary()?,
            quarantined: u.arbitrary()?,
            tried: &tried,
            deadline: at(u.int_in_range(0..=20)?),
            expected_duration: ms(u.int_in_range(0..=10)?),
        };
        let tokens = u.int_in_range(0..=1)?;
        let mut budget = Budget::new(0.0, tokens);
        let safe = context.idempotent || !context.may_have_run;
        let in_time = at(5) + context.expected_duration < context.deadline;
        let fits = !context.quarantined && tried.len() < 3 && tokens == 1;
        let expected = match (safe && in_time && fits, context.may_have_run) {
            (true, _) => Decision::Retry {
                avoid: tried.clone(),
            },
            (false, true) => Decision::Stop(Stop::Unknown),
            (false, false) => Decision::Stop(Stop::NotRun),
        };
        assert_eq!(Decision::decide(&context, &mut budget, at(5)), expected);
        let left = if safe && in_time && fits { 0 } else { tokens };
        assert_eq!(budget.withdraw(), left == 1);
        Ok(())
    });
}
