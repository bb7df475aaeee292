//! Parsing bundles: the path and line of each fault, and robustness against any input.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use contract::text;

use crate::{cases, fixture};

/// Replaces `old` by `new` in [`fixture::TEXT`] and checks that `expected` is the only fault.
fn fault(old: &str, new: &str, expected: &str) {
    assert!(fixture::TEXT.contains(old), "{old:?} is not in the text");
    let changed = fixture::TEXT.replacen(old, new, 1);
    let faults = text::parse(&changed).unwrap_err();
    let found: Vec<String> = faults.as_slice().iter().map(summary).collect();
    assert_eq!(found, [expected], "{faults}");
}

fn summary(fault: &contract::fault::Fault) -> String {
    let line = fault.line.unwrap_or(0);
    format!("{line} {} {}", fault.path, fault.kind.code())
}

cases! {
    invalid_toml: fault("version = 7", "version =", "1  syntax");
    version_zero: fault("version = 7", "version = 0", "1 version out-of-bounds");
    version_missing: fault("version = 7", "", "1 version missing-key");
    version_negative: fault("version = 7", "version = -7", "1 version wrong-type");
    unknown_key: fault("slots = 4", "slots = 4\nslot = 5", "15 service[gauge].slot unknown-key");
    slots_zero: fault("slots = 4", "slots = 0", "14 service[gauge].slots out-of-bounds");
    slots_above_maximum:
        fault("slots = 4", "slots = 1001", "14 service[gauge].slots out-of-bounds");
    slots_huge: fault("slots = 4", "slots = 99999999999", "14 service[gauge].slots out-of-bounds");
    slots_text: fault("slots = 4", "slots = \"4\"", "14 service[gauge].slots wrong-type");
    probes_negative:
        fault("second = 2.5", "second = -0.5", "15 service[gauge].probes-per-second out-of-bounds");
    probes_nan:
        fault("second = 2.5", "second = nan", "15 service[gauge].probes-per-second out-of-bounds");
    probe_path:
        fault("\"/health\"", "\"health\"", "16 service[gauge].probe-path bad-path");
    route_path:
        fault("path = \"/levels\"", "path = \"/le vels\"",
            "21 service[gauge].route[1].path bad-path");
    limit_zero:
        fault("ms = 500", "ms = 0", "22 service[gauge].route[1].time-limit-ms out-of-bounds");
    limit_long:
        fault("ms = 500", "ms = 600001", "22 service[gauge].route[1].time-limit-ms out-of-bounds");
    limit_missing:
        fault("time-limit-ms = 500", "", "18 service[gauge].route[1].time-limit-ms missing-key");
    method_lower_case:
        fault("\"HEAD\"", "\"head\"", "20 service[gauge].route[1].methods[2] bad-method");
    method_twice:
        fault("\"HEAD\"", "\"GET\"", "20 service[gauge].route[1].methods[2] duplicate");
    same_calls:
        fault("[\"POST\"]", "[\"POST\", \"GET\"]", "27 service[gauge].route[2].path same-calls");
    route_twice:
        fault("name = \"write\"", "name = \"read\"", "25 service[gauge].route[2].name duplicate");
    service_twice:
        fault("name = \"clayworks\"", "name = \"gauge\"", "43 service[2].name duplicate");
    bad_name: fault("name = \"gauge\"", "name = \"ga uge\"", "12 service[1].name bad-name");
    centre_twice: fault("name = \"west\"", "name = \"east\"", "8 data-centre[2].name duplicate");
    host_shared:
        fault("\"clayworks.example\"", "\"gauge.example\"",
            "44 service[clayworks].hosts[1] shared-host");
    host_port:
        fault("\"gauge.example\"", "\"gauge.example:80\"", "13 service[gauge].hosts[1] bad-host");
    hosts_empty: fault("[\"clayworks.example\"]", "[]", "44 service[clayworks].hosts empty");
    share_large: fault("0.02", "0.051", "39 service[gauge].move.first-share out-of-bounds");
    share_zero: fault("0.02", "0", "39 service[gauge].move.first-share out-of-bounds");
    rollout_to_unknown_version:
        fault("to = \"v2\"", "to = \"v3\"", "38 service[gauge].move.to no-such-version");
    rollout_to_same_version:
        fault("to = \"v2\"", "to = \"v1\"", "38 service[gauge].move.to same-version");
    deadline_missing:
        fault("deadline = 1800000000", "", "36 service[gauge].move.deadline missing-key");
}

#[test]
fn no_centre_in_service() {
    let changed = fixture::TEXT.replace("in-service = true", "in-service = false");
    let faults = text::parse(&changed).unwrap_err();
    let found: Vec<String> = faults.as_slice().iter().map(summary).collect();
    assert_eq!(found, ["3 data-centre no-centre-in-service"]);
}

#[test]
fn every_fault_is_named_at_once() {
    let changed = fixture::TEXT
        .replacen("slots = 4", "slots = true", 1)
        .replacen("ms = 500", "ms = 0", 1)
        .replacen("to = \"v2\"", "to = \"v9\"", 1)
        .replacen("can-wait", "may-wait", 1);
    let faults = text::parse(&changed).unwrap_err();
    let found: Vec<String> = faults.as_slice().iter().map(summary).collect();
    let expected = [
        "14 service[gauge].slots wrong-type",
        "22 service[gauge].route[1].time-limit-ms out-of-bounds",
        "38 service[gauge].move.to no-such-version",
        "53 service[clayworks].route[1].may-wait unknown-key",
    ];
    assert_eq!(found, expected);
}

#[test]
fn too_long_text_is_rejected() {
    let text = "#".repeat(text::MAX_BYTES + 1);
    let faults = text::parse(&text).unwrap_err();
    assert_eq!(faults.as_slice()[0].kind.code(), "too-long");
}

/// The maximum time for rejecting a text of the maximum length in an unoptimised build.
const MAX_REJECTION_TIME: Duration = Duration::from_secs(60);

/// Checks that a text of `head`, as many repetitions of `piece` as fit, and `tail` is rejected
/// within [`MAX_REJECTION_TIME`].
fn check_rejection_time(head: &str, piece: &str, tail: &str) {
    let room = text::MAX_BYTES - head.len() - tail.len();
    let text = format!("{head}{}{tail}", piece.repeat(room / piece.len()));
    let start = Instant::now();
    text::parse(&text).unwrap_err();
    assert!(
        start.elapsed() < MAX_REJECTION_TIME,
        "{:?}",
        start.elapsed()
    );
}

cases! {
    many_services: check_rejection_time("", "[[service]]\n", "");
    many_routes: check_rejection_time("[[service]]\n", "[[service.route]]\npath='/'\n", "");
    many_methods: check_rejection_time("[[service]]\n[[service.route]]\nmethods=[", "'A',", "]");
    many_hosts: check_rejection_time("[[service]]\nhosts=[", "'a',", "]");
}

#[test]
fn invalid_utf8_is_reported_with_its_line() {
    let faults = text::parse_bytes(b"version = 1\n# \xff").unwrap_err();
    assert_eq!(summary(&faults.as_slice()[0]), "2  not-text");
}

#[test]
fn printed_bundles_round_trip() {
    arbtest(|u| {
        let bundle = fixture::any_bundle(u)?;
        let printed = text::print(&bundle).unwrap();
        assert_eq!(text::parse(&printed), Ok(bundle), "{printed}");
        Ok(())
    });
}

/// Corrupts a valid text in random places, so that much of the input passes the TOML parser.
#[test]
fn any_bytes_are_parsed_or_rejected() {
    arbtest(|u| {
        let mut bytes = fixture::TEXT.as_bytes().to_vec();
        for _ in 0..u.int_in_range(0..=8)? {
            let from = u.choose_index(bytes.len())?;
            let to = (from + u.int_in_range(0..=12)?).min(bytes.len());
            let piece: Vec<u8> = u.arbitrary()?;
            bytes.splice(from..to, piece);
        }
        if let Ok(bundle) = text::parse_bytes(&bytes) {
            let printed = text::print(&bundle).unwrap();
            assert_eq!(text::parse(&printed), Ok(bundle));
        }
        let raw: Vec<u8> = u.arbitrary()?;
        let _ = text::parse_bytes(&raw);
        Ok(())
    });
}
