//! Stand-alone load generator with the arguments of `chivewheel load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = load::command::command().get_matches();
    match load::command::execute(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}
