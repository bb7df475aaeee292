//! Explanations: one for each code that can be printed.

use std::collections::BTreeSet;

use cli::explain::{find, run, Request, TABLE};

use crate::cases;

/// Checks that each of `codes` is explained.
fn explained<'a>(codes: impl IntoIterator<Item = &'a str>) {
    let missing: Vec<&str> = codes
        .into_iter()
        .filter(|code| find(code).is_none())
        .collect();
    assert_eq!(missing, [""; 0]);
}

/// Returns the codes that functions named `code` or ending so return in `source`: every string in
/// their bodies.
fn codes(source: &str) -> Vec<&str> {
    let bodies = source.split("code(").skip(1).filter_map(|rest| {
        let is_definition = rest.starts_with("&self)") || rest.starts_with("error: &");
        is_definition.then(|| rest.split("\n    }\n").next().unwrap())
    });
    let codes: Vec<&str> = bodies
        .flat_map(|body| body.split('"').skip(1).step_by(2))
        .collect();
    assert!(codes.len() > 3, "no codes are found");
    codes
}

cases! {
    outcomes: explained(["complete", "not-run", "unknown"]);
    status_codes: explained(["400", "404", "413", "422", "502", "503", "504"]);
    states_of_servers: explained(["warm", "cold", "ejected", "leaving"]);
    states_of_moves: explained(["planned", "trying", "moving", "done", "taken-back"]);
    errors: explained(codes(include_str!("../../src/error.rs")));
    findings: explained(codes(include_str!("../../src/status/finding.rs")));
    signatures: explained(codes(include_str!("../../../contract/src/signed.rs")));
    successions: explained(codes(include_str!("../../../contract/src/succession.rs")));
    dangers: explained(codes(include_str!("../../../contract/src/change/danger.rs")));
    faults_of_bundles: explained(codes(include_str!("../../../contract/src/fault/kind.rs")));
}

#[test]
fn each_code_stands_once() {
    let codes: BTreeSet<&str> = TABLE.iter().map(|entry| entry.code).collect();
    assert_eq!(codes.len(), TABLE.len());
}

#[test]
fn codes_are_found_in_any_case() {
    let explain = |code: &str| {
        run(&Request {
            code: Some(code.into()),
        })
    };
    assert!(explain(" Not-Run ")
        .unwrap()
        .to_string()
        .starts_with("not-run: "));
    assert_eq!(explain("nonsense").unwrap_err().code(), "not-explained");
}
