//! What a plan and a call are refused for.

use std::time::Duration;

use load::call::Call;
use load::plan::Plan;
use load::run::run;
use load::Error;

fn plan(rate: f64, duration: Duration) -> Plan {
    let target = "127.0.0.1:9".parse().unwrap();
    let call = Call::get("read", "gauge", "/");
    Plan::new(rate, duration).target(target).call(call)
}

fn check(plan: Plan, is_expected: fn(&Error) -> bool) {
    let error = run(plan).unwrap_err();
    assert!(is_expected(&error), "{error}");
}

const SECOND: Duration = Duration::from_secs(1);

cases! {
    other_machines_are_refused => check(
        plan(1.0, SECOND).target("192.0.2.1:80".parse().unwrap()),
        |error| matches!(error, Error::NotLoopback { .. })
    );
    stand_ins_on_other_machines_are_refused => check(
        plan(1.0, SECOND).stand_in("[2001:db8::1]:80".parse().unwrap()),
        |error| matches!(error, Error::NotLoopback { .. })
    );
    a_plan_without_target_is_refused => check(
        Plan::new(1.0, SECOND).call(Call::get("read", "gauge", "/")),
        |error| matches!(error, Error::NoTarget)
    );
    a_plan_without_calls_is_refused => check(
        Plan::new(1.0, SECOND).target("127.0.0.1:9".parse().unwrap()),
        |error| matches!(error, Error::NoCalls)
    );
    a_rate_that_is_no_number_is_refused => check(
        plan(f64::NAN, SECOND),
        |error| matches!(error, Error::Rate { .. })
    );
    an_endless_run_is_refused => check(
        plan(1.0, SECOND * 3601),
        |error| matches!(error, Error::Duration { .. })
    );
    a_path_that_would_split_the_head_is_refused => check(
        plan(1.0, SECOND).call(Call::get("split", "gauge", "/ HTTP/1.1\r\nX: y")),
        |error| matches!(error, Error::Head { .. })
    );
}

#[test]
fn a_call_is_read_from_text() {
    let text = "name=order,method=POST,host=clayworks,path=/orders,body=64,weight=3,keyed=true";
    let call: Call = text.parse().unwrap();
    assert_eq!(
        call,
        Call::post("order", "clayworks", "/orders").with_weight(3)
    );
    for wrong in ["name", "weight=many", "colour=red", "path="] {
        assert!(wrong.parse::<Call>().is_err(), "{wrong}");
    }
}
