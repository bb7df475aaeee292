//! Tests of the two programs, run as processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use crate::tools::{body, call, header};

/// A running program, killed when dropped.
struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = line.trim_end().parse().unwrap();
        Self { child, address }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

#[test]
fn the_backend_reads_flags_and_environment() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chivewheel-backend-stand-in"));
    command.args(["--version", "v9", "--report-lag-ms", "0"]);
    command.env("CHIVEWHEEL_BACKEND_STAND_IN_SLOTS", "7");
    let program = Program::start(&mut command);
    let response = call(program.address, "GET /x", "");
    assert_eq!(header(&response, "X-Version"), Some("v9"));
    let load = || body(&call(program.address, "GET /load", "")).to_owned();
    load();
    assert_eq!(load(), r#"{"in_flight":0,"slots":7}"#);
}

#[test]
fn the_platform_loads_the_lists_file() {
    let path = std::env::temp_dir().join(format!("chivewheel-lists-{}", std::process::id()));
    let lists = r#"{"servers": [{"name": "s-1", "address": "127.0.0.1:9001", "service": "gauge",
        "version": "v1", "centre": "north", "health": "leaving"}]}"#;
    std::fs::write(&path, lists).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chivewheel-platform-stand-in"));
    let program = Program::start(command.arg("--lists").arg(&path));
    std::fs::remove_file(path).unwrap();
    let client = platform::Client::open(platform::client::Config::new(program.address));
    let servers = smol::block_on(platform::Store::servers(&client)).unwrap();
    assert_eq!(servers[0].name.as_str(), "s-1");
    assert_eq!(servers[0].health, platform::Health::Leaving);
}
