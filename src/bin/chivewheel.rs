//! `chivewheel`: the command-line tool of operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os()).into()
}
