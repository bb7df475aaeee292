//! Where commands read confirmations and print.

use std::fmt::Display;
use std::io::{BufRead, Write};

use serde::Serialize;
use serde_json::json;

use crate::{exit, Error};

/// The answer that confirms.
const YES: &str = "yes";

/// Where commands read confirmations and print.
pub struct Console<I, O, E> {
    input: I,
    output: O,
    notes: E,
    /// Whether to print JSON.
    pub json: bool,
}

impl<I, O, E> Console<I, O, E>
where
    I: BufRead,
    O: Write,
    E: Write,
{
    /// Returns a console that prints results to `output` and errors and questions to `notes`.
    pub fn new(input: I, output: O, notes: E) -> Self {
        Self {
            input,
            output,
            notes,
            json: false,
        }
    }

    /// Prints a result.
    pub fn print<T>(&mut self, value: &T) -> Result<(), Error>
    where
        T: Display + Serialize,
    {
        let text = match self.json {
            true => serde_json::to_string_pretty(value)?,
            false => printable(&value.to_string()),
        };
        writeln!(self.output, "{}", text.trim_end()).map_err(Error::Terminal)
    }

    /// Shows `text` and asks for confirmation.
    pub fn confirm(&mut self, text: &str) -> Result<(), Error> {
        let text = printable(text);
        let asked = writeln!(self.notes, "{text}\nType {YES:?} to go on:");
        asked
            .and_then(|()| self.notes.flush())
            .map_err(Error::Terminal)?;
        let mut answer = String::new();
        self.input.read_line(&mut answer).map_err(Error::Terminal)?;
        match answer.trim() == YES {
            true => Ok(()),
            false => Err(Error::Declined),
        }
    }

    /// Prints `error` and returns the exit code that it asks for.
    pub fn fail(&mut self, error: &Error) -> exit::Code {
        // Nothing can be told when the terminal is gone.
        let _ = match self.json {
            true => writeln!(self.output, "{:#}", describe(error)),
            false => writeln!(
                self.notes,
                "chivewheel: {}\n  what to do: {} [{}]",
                printable(&error.to_string()),
                error.advice(),
                error.code()
            ),
        };
        error.exit()
    }
}

/// Returns `text` without control characters but for line breaks: names and reasons come from other
/// machines, and must not steer the terminal.
fn printable(text: &str) -> String {
    let show = |c: char| match c.is_control() && c != '\n' {
        true => char::REPLACEMENT_CHARACTER,
        false => c,
    };
    text.chars().map(show).collect()
}

/// Returns `error` as JSON.
fn describe(error: &Error) -> serde_json::Value {
    json!({
        "error": {
            "code": error.code(),
            "message": error.to_string(),
            "advice": error.advice(),
            "faults": error.faults(),
        }
    })
}
