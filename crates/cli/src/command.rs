//! The command line: flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command};
use contract::digest::Digest;

pub(crate) const JSON: &str = "json";
pub(crate) const PLATFORM: &str = "platform";
pub(crate) const SIGNER: &str = "signer";
pub(crate) const KEY_FILE: &str = "key-file";
pub(crate) const INSTANCE: &str = "instance";
pub(crate) const BUNDLE: &str = "bundle";
pub(crate) const SIGNED: &str = "signed";
pub(crate) const NAME: &str = "name";
pub(crate) const OUT: &str = "out";
pub(crate) const FIRST: &str = "first";
pub(crate) const PREVIOUS: &str = "previous";
pub(crate) const YES: &str = "yes";
pub(crate) const ACCEPT_RISK: &str = "accept-risk";
pub(crate) const TOML: &str = "toml";
pub(crate) const EVIDENCE: &str = "evidence";
pub(crate) const CODE: &str = "code";

/// The environment variable of the secret key itself. There is no flag, since other users of a
/// machine can read flags.
pub(crate) const KEY_VARIABLE: &str = "CHIVEWHEEL_SIGNING_KEY";

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused or faulty: nothing has changed
  2  the command line or the environment is wrong
  3  the platform or every instance is unreachable: nothing has changed
  4  a write's answer was lost: it may have taken effect
  5  another bundle was accepted first: nothing has changed
  6  a file or the terminal could not be read or written

`chivewheel explain CODE` explains every code in [brackets].";

/// Returns the command line.
pub fn command() -> Command {
    Command::new("chivewheel")
        .about("Rolls bundles and reads what chivewheel reports")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(flag(JSON, "Print JSON").global(true))
        .subcommand(bundle())
        .subcommand(status())
        .subcommand(moves())
        .subcommand(explain())
}

fn bundle() -> Command {
    Command::new("bundle")
        .about("Makes keys, and checks, signs, submits and shows bundles")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(keygen())
        .subcommand(check())
        .subcommand(sign())
        .subcommand(submit())
        .subcommand(show())
}

fn keygen() -> Command {
    let name = option(NAME, "NAME", "The operator whose key it will be");
    let out = option(OUT, "FILE", "The new file of the secret key");
    Command::new("keygen")
        .about("Makes a key to sign bundles with")
        .arg(name.required(true))
        .arg(
            out.required(true)
                .value_parser(clap::value_parser!(PathBuf)),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Names every fault of a bundle, with its line")
        .arg(bundle_file())
}

fn sign() -> Command {
    let key_file = option(KEY_FILE, "FILE", "The file of your secret key");
    let first = flag(FIRST, "This is the first bundle and replaces none");
    let previous = option(
        PREVIOUS,
        "DIGEST",
        "The digest of the bundle that is replaced",
    );
    let previous = previous.value_parser(|text: &str| text.parse::<Digest>());
    Command::new("sign")
        .about("Signs a bundle: the first time as its author, the second time to sign it off")
        .after_help("CHIVEWHEEL_SIGNING_KEY may hold the secret key itself.")
        .arg(bundle_file())
        .arg(signed())
        .arg(
            key_file
                .env("CHIVEWHEEL_SIGNING_KEY_FILE")
                .value_parser(clap::value_parser!(PathBuf)),
        )
        .arg(signer())
        .arg(platform())
        .arg(previous.conflicts_with(FIRST))
        .arg(first)
        .arg(flag(
            YES,
            "Sign a bundle off without being asked for confirmation",
        ))
}

fn submit() -> Command {
    Command::new("submit")
        .about("Shows what a signed bundle changes, and puts it in force")
        .arg(bundle_file())
        .arg(signed())
        .arg(signer())
        .arg(platform())
        .arg(flag(YES, "Do not ask for confirmation"))
        .arg(flag(ACCEPT_RISK, "Accept the dangers that may be accepted"))
}

fn show() -> Command {
    Command::new("show")
        .about("Shows the bundle that the platform's store has")
        .arg(signer())
        .arg(platform())
        .arg(flag(
            TOML,
            "Print the bundle's text alone, to start the next one from",
        ))
}

fn status() -> Command {
    Command::new("status")
        .about("Shows what the instances report, with what needs attention first")
        .arg(instance())
}

fn moves() -> Command {
    Command::new("moves")
        .about("Shows the moves between versions, with what needs attention first")
        .arg(instance())
        .arg(flag(EVIDENCE, "Print the evidence too"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Says what an outcome or a code means, and what to do about it")
        .arg(Arg::new(CODE).help("The outcome or code; all when absent"))
}

fn bundle_file() -> Arg {
    Arg::new(BUNDLE)
        .value_name("BUNDLE")
        .help("The file of the bundle, in TOML")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
}

fn signed() -> Arg {
    let help = "The file of signatures [default: beside the bundle, ending in .signed.json]";
    option(SIGNED, "FILE", help).value_parser(clap::value_parser!(PathBuf))
}

fn platform() -> Arg {
    option(
        PLATFORM,
        "ADDRESS",
        "The address of the platform's object API",
    )
    .env("CHIVEWHEEL_PLATFORM")
    .value_parser(clap::value_parser!(SocketAddr))
}

fn signer() -> Arg {
    let help = "The public key of an operator, as NAME=KEY; may be repeated";
    option(SIGNER, "SIGNER", help)
        .env("CHIVEWHEEL_SIGNERS")
        .action(ArgAction::Append)
}

fn instance() -> Arg {
    option(
        INSTANCE,
        "ADDRESS",
        "The operators' port of an instance; may be repeated",
    )
    .env("CHIVEWHEEL_INSTANCES")
    .value_delimiter(',')
    .action(ArgAction::Append)
    .value_parser(clap::value_parser!(SocketAddr))
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}
