//! What the command line asks for.

use std::env;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use clock::Clock;
use contract::digest::Digest;
use contract::id;
use contract::keyring::Keyring;
use contract::signature::Key;
use jiff::Timestamp;
use platform::Store;

use crate::bundle::{check, keygen, show, sign, submit};
use crate::head::Keeper;
use crate::{command, explain, file, moves, status, Console, Error};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// `bundle keygen`
    Keygen(keygen::Request),
    /// `bundle check`
    Check(check::Request),
    /// `bundle sign`, perhaps with the platform's address.
    Sign(Box<sign::Request>, Option<SocketAddr>),
    /// `bundle submit`, at the platform's address.
    Submit(submit::Request, SocketAddr),
    /// `bundle show`, at the platform's address.
    Show(show::Request, SocketAddr),
    /// `status`
    Status(status::Request),
    /// `moves`
    Moves(moves::Request),
    /// `explain`
    Explain(explain::Request),
}

impl Action {
    /// Reads what the command line asks for.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let action = match matches.subcommand() {
            Some(("bundle", matches)) => return Self::from_bundle(matches),
            Some(("status", matches)) => Self::Status(status::Request {
                instances: many(matches, command::INSTANCE),
            }),
            Some(("moves", matches)) => Self::Moves(moves::Request {
                instances: many(matches, command::INSTANCE),
                evidence: matches.get_flag(command::EVIDENCE),
            }),
            Some(("explain", matches)) => Self::Explain(explain::Request {
                code: one(matches, command::CODE),
            }),
            // The command line admits no other.
            _ => Self::Explain(explain::Request { code: None }),
        };
        Ok(action)
    }

    fn from_bundle(matches: &ArgMatches) -> Result<Self, Error> {
        let action = match matches.subcommand() {
            Some(("keygen", matches)) => Self::Keygen(keygen::Request {
                name: id::Operator::from(text(matches, command::NAME).as_str()),
                out: path(matches, command::OUT),
            }),
            Some(("check", matches)) => Self::Check(check::Request {
                bundle: path(matches, command::BUNDLE),
            }),
            Some(("sign", matches)) => {
                let request = sign::Request {
                    bundle: path(matches, command::BUNDLE),
                    signed: one(matches, command::SIGNED),
                    key: key(matches)?,
                    keyring: keyring(matches)?,
                    parent: parent(matches),
                    yes: matches.get_flag(command::YES),
                };
                Self::Sign(Box::new(request), one(matches, command::PLATFORM))
            }
            Some(("submit", matches)) => {
                let request = submit::Request {
                    bundle: path(matches, command::BUNDLE),
                    signed: one(matches, command::SIGNED),
                    keyring: keyring(matches)?.ok_or(Error::NoKeyring)?,
                    yes: matches.get_flag(command::YES),
                    accept_risk: matches.get_flag(command::ACCEPT_RISK),
                };
                Self::Submit(request, address(matches)?)
            }
            Some((_, matches)) => {
                let request = show::Request {
                    keyring: keyring(matches)?,
                    toml: matches.get_flag(command::TOML),
                };
                Self::Show(request, address(matches)?)
            }
            // The command line admits no other.
            None => Self::Explain(explain::Request { code: None }),
        };
        Ok(action)
    }

    /// Does what was asked for and prints the result. `open` connects to the platform.
    pub async fn run<I, O, E, S, C>(
        self,
        console: &mut Console<I, O, E>,
        open: impl Fn(SocketAddr) -> S,
        clock: C,
    ) -> Result<(), Error>
    where
        I: BufRead,
        O: Write,
        E: Write,
        S: Store,
        C: Clock,
    {
        let now = Timestamp::now();
        let connect = |address| Keeper::new(open(address), clock.clone());
        match self {
            Self::Keygen(request) => console.print(&keygen::run(&request)?),
            Self::Check(request) => console.print(&check::run(&request, now)?),
            Self::Sign(request, address) => {
                let keeper = address.map(connect);
                let done = sign::run(&request, keeper.as_ref(), console, now).await?;
                console.print(&done)
            }
            Self::Submit(request, address) => {
                let keeper = connect(address);
                let done = submit::run(&request, &keeper, console, now).await?;
                console.print(&done)
            }
            Self::Show(request, address) => {
                console.print(&show::run(&request, &connect(address)).await?)
            }
            Self::Status(request) => console.print(&status::run(&request).await?),
            Self::Moves(request) => console.print(&moves::run(&request, now).await?),
            Self::Explain(request) => console.print(&explain::run(&request)?),
        }
    }
}

/// Returns the secret key: from its file, otherwise from the environment.
fn key(matches: &ArgMatches) -> Result<Key, Error> {
    if let Some(path) = one::<PathBuf>(matches, command::KEY_FILE) {
        return file::read_key(&path);
    }
    let text = env::var(command::KEY_VARIABLE).map_err(|_| Error::NoKey)?;
    text.parse().map_err(Error::Key)
}

/// Returns the keyring of all signers, if there are any.
fn keyring(matches: &ArgMatches) -> Result<Option<Keyring>, Error> {
    let signers = many::<String>(matches, command::SIGNER);
    let keyring: Keyring = signers.join(",").parse()?;
    Ok(Some(keyring).filter(|keyring| !keyring.is_empty()))
}

fn parent(matches: &ArgMatches) -> Option<sign::Parent> {
    if matches.get_flag(command::FIRST) {
        return Some(sign::Parent::None);
    }
    one::<Digest>(matches, command::PREVIOUS).map(sign::Parent::Digest)
}

fn address(matches: &ArgMatches) -> Result<SocketAddr, Error> {
    one(matches, command::PLATFORM).ok_or(Error::NoPlatform)
}

fn one<T>(matches: &ArgMatches, name: &str) -> Option<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).cloned()
}

fn many<T>(matches: &ArgMatches, name: &str) -> Vec<T>
where
    T: Clone + Send + Sync + 'static,
{
    let values = matches.get_many::<T>(name);
    values
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}

/// Returns the value of an option that the command line demands.
fn text(matches: &ArgMatches, name: &str) -> String {
    one(matches, name).unwrap_or_default()
}

/// Returns the value of a path that the command line demands.
fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    one(matches, name).unwrap_or_default()
}
