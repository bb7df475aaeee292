//! The program as operators run it: exit codes and what is printed where.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

use serde_json::Value;
use stand_in::platform::Platform;

use crate::workshop::{key, Workshop, TEXT};

/// Runs the program in the workshop's directory.
fn run(workshop: &Workshop, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chivewheel"));
    let command = command.current_dir(&workshop.directory).env_clear();
    command.args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn code(workshop: &Workshop, arguments: &[&str]) -> i32 {
    run(workshop, arguments).status.code().unwrap()
}

#[test]
fn exit_codes_are_as_documented() {
    let workshop = Workshop::open();
    fs::write(workshop.directory.join("good.toml"), TEXT).unwrap();
    fs::write(workshop.directory.join("bad.toml"), "version = 0").unwrap();
    let key = "11".repeat(32);
    fs::write(workshop.directory.join("key"), &key).unwrap();
    assert_eq!(code(&workshop, &["--help"]), 0);
    assert_eq!(code(&workshop, &["bundle", "check", "good.toml"]), 0);
    assert_eq!(code(&workshop, &["bundle", "check", "bad.toml"]), 1);
    assert_eq!(code(&workshop, &["bundle", "check"]), 2);
    assert_eq!(code(&workshop, &["bundle", "sign", "good.toml"]), 2);
    assert_eq!(
        code(
            &workshop,
            &["bundle", "sign", "good.toml", "--key-file", "key"]
        ),
        2
    );
    assert_eq!(code(&workshop, &["bundle", "show"]), 2);
    assert_eq!(
        code(&workshop, &["bundle", "show", "--platform", "127.0.0.1:1"]),
        3
    );
    assert_eq!(code(&workshop, &["status", "--instance", "127.0.0.1:1"]), 3);
    assert_eq!(code(&workshop, &["bundle", "check", "absent.toml"]), 6);
}

#[test]
fn faults_are_printed_with_lines() {
    let workshop = Workshop::open();
    let changed = TEXT.replacen("time-limit-ms = 500", "time-limit-ms = 0", 1);
    fs::write(workshop.directory.join("bad.toml"), changed).unwrap();
    let output = run(&workshop, &["bundle", "check", "bad.toml"]);
    let expected = "line 21: service[gauge].route[1].time-limit-ms: 0 is out of bounds";
    assert!(text(&output.stderr).contains(expected), "{output:?}");

    let output = run(&workshop, &["--json", "bundle", "check", "bad.toml"]);
    let json: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["error"]["code"], "faulty");
    assert_eq!(json["error"]["faults"][0]["line"], 21);
    assert_eq!(json["error"]["faults"][0]["code"], "out-of-bounds");
}

#[test]
fn keys_are_made_for_their_owner_alone() {
    let workshop = Workshop::open();
    let arguments = ["bundle", "keygen", "--name", "ada", "--out", "ada.key"];
    let output = run(&workshop, &arguments);
    let file = workshop.directory.join("ada.key");
    let secret = fs::read_to_string(&file).unwrap();
    assert!(!text(&output.stdout).contains(secret.trim()));
    assert_eq!(
        fs::metadata(&file).unwrap().permissions().mode() & 0o777,
        0o600
    );
    assert_eq!(
        code(&workshop, &arguments),
        6,
        "a key is never written over another"
    );
    assert_eq!(fs::read_to_string(&file).unwrap(), secret);
}

#[test]
fn two_operators_sign_from_files() {
    let workshop = Workshop::open();
    fs::write(workshop.directory.join("bundle.toml"), TEXT).unwrap();
    let mut keyring = Vec::new();
    for name in ["ada", "ben"] {
        let file = format!("{name}.key");
        let made = run(
            &workshop,
            &["--json", "bundle", "keygen", "--name", name, "--out", &file],
        );
        let json: Value = serde_json::from_slice(&made.stdout).unwrap();
        keyring.push(format!("{name}={}", json["public"].as_str().unwrap()));
    }
    let keyring = keyring.join(",");
    let sign = ["bundle", "sign", "bundle.toml", "--first", "--key-file"];
    assert_eq!(code(&workshop, &[&sign[..], &["ada.key"]].concat()), 0);
    let second = [&sign[..], &["ben.key", "--signer", &keyring, "--yes"]].concat();
    let output = run(&workshop, &second);
    assert!(
        text(&output.stdout).contains("signed as operator"),
        "{output:?}"
    );
    assert_eq!(code(&workshop, &second), 1);
}

#[test]
fn a_bundle_is_rolled_over_http() {
    let workshop = Workshop::open();
    workshop.write_bundle();
    workshop.sign_twice();
    let platform = Platform::bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = platform.address().to_string();
    let keyring = [("ada", 1), ("ben", 2)];
    let keyring = keyring.map(|(name, seed)| format!("{name}={}", key(seed).public()));
    let settings = ["--platform", &address, "--signer", &keyring.join(",")];
    let with = |arguments: &[&str]| run(&workshop, &[arguments, &settings].concat());

    let output = with(&["bundle", "show"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let output = with(&["bundle", "submit", "bundle.toml"]);
    assert!(
        text(&output.stderr).contains("nothing has changed"),
        "{output:?}"
    );
    // The answers to the writes of both parts and of the head are lost.
    platform.drop_responses(3);
    let output = with(&["bundle", "submit", "bundle.toml", "--yes"]);
    assert!(text(&output.stdout).contains("is accepted"), "{output:?}");
    let output = with(&["bundle", "submit", "bundle.toml"]);
    assert!(
        text(&output.stdout).contains("was accepted before"),
        "{output:?}"
    );
    let output = with(&["bundle", "show"]);
    assert!(
        text(&output.stdout).contains("Signed by ada, signed off by ben"),
        "{output:?}"
    );

    // What `show --toml` prints is the start of the next bundle.
    let output = with(&["bundle", "show", "--toml"]);
    fs::write(workshop.directory.join("next.toml"), &output.stdout).unwrap();
    assert_eq!(code(&workshop, &["bundle", "check", "next.toml"]), 0);
}
