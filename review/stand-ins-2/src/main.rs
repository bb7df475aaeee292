//! Stand-ins of the platform, of targets and of clients, and the cases that use them.
//!
//! `review-stand-ins CASE RECORD` runs a case from the repository's root and exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run.

mod client;
mod crowd;
mod extra_bytes;
mod forgotten;
mod http;
mod instance;
mod left;
mod paused_reader;
mod record;
mod store;
mod target;

use std::path::Path;
use std::process::exit;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(record)) = (words.next(), words.next()) else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "forgotten" => forgotten::run(Path::new(&record), trouble),
        "paused_reader" => paused_reader::run(Path::new(&record), trouble),
        "left" => left::run(Path::new(&record), trouble),
        "crowd" => crowd::run(Path::new(&record), trouble),
        "extra_bytes" => extra_bytes::run(Path::new(&record), trouble),
        _ => None,
    };
    exit(match verdict {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
