//! Cases of the review: each starts instances of the project, clients, servers and a store, and checks
//! one rule. Arguments: the case, and the folder for `record.txt`. Exits with 1 if the rule was broken, 0
//! if it held, 2 if the case could not run.

mod cold;
mod crowd;
mod edge;
mod fields;
mod http;
mod record;
mod rollout;
mod site;
mod store;
mod sys;
mod target;

use std::panic;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

const TIME_LIMIT: Duration = Duration::from_secs(115);
const DESCRIPTORS: u64 = 16_384;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("arguments: CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    sys::end_after(TIME_LIMIT);
    sys::raise_descriptors(DESCRIPTORS);
    let directory: PathBuf =
        std::env::temp_dir().join(format!("chivewheel-case-{}", std::process::id()));
    let result = panic::catch_unwind(|| {
        std::fs::create_dir_all(&directory).expect("create a temporary folder");
        let record = Record::open(Path::new(folder));
        record.add(if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        let run = match case.as_str() {
            "cold" => cold::run,
            "crowd" => crowd::run,
            "fields" => fields::run,
            "rollout" => rollout::run,
            _ => panic!("no such case"),
        };
        let broken = run(&record, &directory, trouble);
        record.add(if broken {
            "the rule was broken"
        } else {
            "the rule held"
        });
        broken
    });
    let _ = std::fs::remove_dir_all(&directory);
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
