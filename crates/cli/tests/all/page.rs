//! Runs what the pages for operators show, and compares what is printed.
//!
//! A block of TOML after a line that names a file in backquotes is that file. In a console block,
//! `$` starts a command, and what follows is what it prints. Keys and addresses are masked, since
//! they differ from run to run.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::process::{Command, Stdio};

use stand_in::platform::Platform;

use crate::cases;
use crate::workshop::Workshop;

/// A command of a page and what it is to print.
#[derive(Default)]
struct Step {
    command: String,
    expected: Vec<String>,
}

/// What runs a page.
struct Session {
    workshop: Workshop,
    environment: BTreeMap<String, String>,
    /// The public keys that were printed, by operator.
    signers: BTreeMap<String, String>,
}

impl Session {
    /// Runs `step` and compares what it prints.
    fn run(&mut self, step: &Step) {
        if let Some(setting) = step.command.strip_prefix("export ") {
            self.export(setting);
            return;
        }
        let arguments = step.command.split_whitespace();
        let printed = self.print(arguments.skip(1));
        let expected: Vec<String> = step.expected.iter().map(|line| mask(line)).collect();
        let found: Vec<String> = printed.lines().map(mask).collect();
        assert_eq!(found, expected, "{}\n{printed}", step.command);
        self.remember_signers(&printed);
    }

    /// Takes a setting. The platform and the keys of this run replace those on the page.
    fn export(&mut self, setting: &str) {
        let (name, value) = setting.split_once('=').unwrap();
        let value = match name {
            "CHIVEWHEEL_PLATFORM" => return,
            "CHIVEWHEEL_SIGNERS" => {
                let signers = self.signers.iter();
                let signers: Vec<String> = signers.map(|(n, key)| format!("{n}={key}")).collect();
                signers.join(",")
            }
            _ => value.to_owned(),
        };
        self.environment.insert(name.to_owned(), value);
    }

    /// Runs the program, confirms when asked, and returns what it prints.
    fn print<'a>(&self, arguments: impl Iterator<Item = &'a str>) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chivewheel"));
        let command = command.current_dir(&self.workshop.directory).env_clear();
        let command = command.envs(&self.environment).args(arguments);
        let command = command.stdin(Stdio::piped());
        let piped = command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = piped.spawn().unwrap();
        // A program that asks nothing may have ended already.
        let _ = child.stdin.take().unwrap().write_all(b"yes\n");
        let output = child.wait_with_output().unwrap();
        let printed = [output.stderr, output.stdout].concat();
        String::from_utf8(printed).unwrap()
    }

    fn remember_signers(&mut self, printed: &str) {
        let entries = printed
            .lines()
            .filter_map(|line| line.trim().split_once('='));
        let keys = entries.filter(|(_, key)| key.len() == 64);
        self.signers
            .extend(keys.map(|(name, key)| (name.into(), key.into())));
    }
}

/// Masks public keys. Digests stay: they are the same in every run.
fn mask(line: &str) -> String {
    let line = line.trim_end();
    if line.contains("digest") {
        return line.to_owned();
    }
    let parts = line.split_inclusive(|c: char| !c.is_ascii_hexdigit());
    let masked = parts.map(|part| match part.len() >= 64 {
        true => "KEY",
        false => part,
    });
    masked.collect()
}

/// Runs a page from top to bottom.
fn run(page: &str) {
    let platform = Platform::bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = platform.address().to_string();
    let mut session = Session {
        workshop: Workshop::open(),
        environment: BTreeMap::from([("CHIVEWHEEL_PLATFORM".into(), address)]),
        signers: BTreeMap::new(),
    };
    let mut before = "";
    let mut count = 0;
    let mut blocks = page.split("```");
    while let Some(prose) = blocks.next() {
        before = prose.trim().lines().last().unwrap_or(before);
        match blocks.next().and_then(|block| block.split_once('\n')) {
            Some(("toml", text)) => {
                let file = before.split('`').nth(1).unwrap();
                fs::write(session.workshop.directory.join(file), text).unwrap();
            }
            Some(("console", text)) => {
                let steps = steps(text);
                steps.iter().for_each(|step| session.run(step));
                count += steps.len();
            }
            _ => {}
        }
    }
    assert!(count > 0, "the page has no commands");
}

fn steps(text: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    for line in text.lines() {
        match (line.strip_prefix("$ "), steps.last_mut()) {
            (Some(command), _) => steps.push(Step {
                command: command.to_owned(),
                expected: Vec::new(),
            }),
            // What the operator types is not printed by the program.
            (None, Some(_)) if line == "yes" => {}
            (None, Some(step)) => step.expected.push(line.to_owned()),
            (None, None) => {}
        }
    }
    steps
}

cases! {
    rolling_a_bundle: run(include_str!("../../../../docs/operate/bundle.md"));
    commands: run(include_str!("../../../../docs/operate/cli.md"));
}
