//! `chivewheel-platform-stand-in`: runs a stand-in for the platform's object API as a process.
//!
//! Prints the address that it listens on.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches, Command};
use platform::{Instance, Server};
use serde::{Deserialize, Serialize};
use stand_in::platform::Platform;

/// The initial lists of the stand-in, read from a JSON file.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Lists {
    servers: Vec<Server>,
    instances: Vec<Instance>,
}

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let platform = Platform::bind(address(&matches))?;
    if let Some(path) = matches.get_one::<PathBuf>("lists") {
        let lists: Lists = serde_json::from_slice(&std::fs::read(path)?)?;
        platform.set_servers(lists.servers);
        platform.set_instances(lists.instances);
    }
    if let Some(millis) = matches.get_one::<u64>("lag-ms") {
        platform.set_lag(Duration::from_millis(*millis));
    }
    println!("{}", platform.address());
    smol::block_on(pending())
}

fn command() -> Command {
    Command::new("chivewheel-platform-stand-in")
        .about("A stand-in for the platform's object API, in memory")
        .arg(
            Arg::new("address")
                .long("address")
                .env("CHIVEWHEEL_PLATFORM_STAND_IN_ADDRESS")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0")
                .help("Where to listen"),
        )
        .arg(
            Arg::new("lists")
                .long("lists")
                .env("CHIVEWHEEL_PLATFORM_STAND_IN_LISTS")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("JSON with the lists of servers and instances"),
        )
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .env("CHIVEWHEEL_PLATFORM_STAND_IN_LAG_MS")
                .value_name("MILLISECONDS")
                .value_parser(value_parser!(u64))
                .help("How long later changes of the lists stay unseen"),
        )
}

fn address(matches: &ArgMatches) -> SocketAddr {
    let address = matches.get_one::<SocketAddr>("address").copied();
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}
