//! Validation of plans and parsing of calls.

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

fn check_rejected(plan: Plan, is_expected: fn(&Error) -> bool) {
    let error = run(plan).unwrap_err();
    assert!(is_expected(&error), "{error}");
}

const SECOND: Duration = Duration::from_secs(1);

cases! {
    non_loopback_targets_are_rejected => check_rejected(
        plan(1.0, SECOND).target("192.0.2.1:80".parse().unwrap()),
        |error| matches!(error, Error::NotLoopback { .. })
    );
    non_loopback_stand_ins_are_rejected => check_rejected(
        plan(1.0, SECOND).stand_in("[2001:db8::1]:80".parse().unwrap()),
        |error| matches!(error, Error::NotLoopback { .. })
    );
    plans_without_targets_are_rejected => check_rejected(
        Plan::new(1.0, SECOND).call(Call::get("read", "gauge", "/")),
        |error| matches!(error, Error::NoTarget)
    );
    plans_without_calls_are_rejected => check_rejected(
        Plan::new(1.0, SECOND).target("127.0.0.1:9".parse().unwrap()),
        |error| matches!(error, Error::NoCalls)
    );
    nan_rates_are_rejected => check_rejected(
        plan(f64::NAN, SECOND),
        |error| matches!(error, Error::Rate { .. })
    );
    too_long_durations_are_rejected => check_rejected(
        plan(1.0, SECOND * 3601),
        |error| matches!(error, Error::Duration { .. })
    );
    paths_that_inject_headers_are_rejected => check_rejected(
        plan(1.0, SECOND).call(Call::get("split", "gauge", "/ HTTP/1.1\r\nX: y")),
        |error| matches!(error, Error::Head { .. })
    );
}

#[test]
fn calls_are_parsed_from_text() {
    let text = "name=order,method=POST,host=clayworks,path=/orders,body=64,weight=3,keyed=true";
    let call: Call = text.parse().unwrap();
    assert_eq!(
        call,
        Call::post("order", "clayworks", "/orders").with_weight(3)
    );
    for invalid in ["name", "weight=many", "colour=red", "path="] {
        assert!(invalid.parse::<Call>().is_err(), "{invalid}");
    }
}
