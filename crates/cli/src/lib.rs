//! The command-line tool.
//!
//! Operators drive chivewheel by rolling bundles and by reading what it reports. Each command is a
//! function of its request, the time and what it talks to, and returns a value that prints as
//! words or as JSON.
//!
//! # Invariants
//!
//! - A bundle's head is written only after its parts, and only over the revision that was read.
//! - A lost answer is read back before the write is tried again or its outcome is reported.
//! - Nothing is submitted unless it is signed twice and confirmed.

mod action;
pub mod bundle;
mod command;
mod connect;
pub mod console;
mod error;
pub mod exit;
pub mod explain;
mod file;
pub mod head;
pub mod moves;
pub mod port;
pub mod status;

use std::ffi::OsString;
use std::io;

pub use action::Action;
pub use command::command;
pub use console::Console;
pub use error::Error;

/// Runs the tool with `arguments`, the first of which is its name, and returns the exit code.
pub fn run<I>(arguments: I) -> exit::Code
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing can be told when the terminal is gone.
            let _ = error.print();
            return exit::Code::of_usage(&error);
        }
    };
    let mut console = Console::new(io::stdin().lock(), io::stdout(), io::stderr());
    console.json = matches.get_flag(command::JSON);
    let done = Action::from_matches(&matches).and_then(|action| {
        let run = action.run(&mut console, connect::open, clock::Boottime);
        smol::block_on(run)
    });
    match done {
        Ok(()) => exit::Code::Done,
        Err(error) => console.fail(&error),
    }
}
