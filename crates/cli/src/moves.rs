//! `chivewheel moves`: the moves between versions, with what needs attention first.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use contract::id;
use contract::report::{Rollout, State};
use jiff::Timestamp;
use serde::Serialize;

use crate::{port, status, Error};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The operators' ports of the instances.
    pub instances: Vec<SocketAddr>,
    /// Whether to print the evidence too.
    pub evidence: bool,
}

/// The moves, the most urgent first.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Overview {
    /// The moves.
    pub moves: Vec<Entry>,
    /// The instances that did not answer.
    pub silent: Vec<SocketAddr>,
    #[serde(skip)]
    evidence: bool,
}

/// A move and what to make of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// How urgent the move is.
    pub concern: Concern,
    /// The move as the most advanced instance reports it.
    #[serde(rename = "move")]
    pub movement: Rollout,
}

/// How urgent a move is, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Concern {
    /// Instances report different ends.
    Disputed,
    /// The deadline has passed without an end.
    Overdue,
    /// The move was taken back.
    TakenBack,
    /// The move is under way.
    UnderWay,
    /// The move is done.
    Done,
}

/// Asks the instances. Fails if none answers.
pub async fn run(request: &Request, now: Timestamp) -> Result<Overview, Error> {
    if request.instances.is_empty() {
        return Err(Error::NoInstance);
    }
    let answers = port::get_all::<Vec<Rollout>>(&request.instances, "/moves").await;
    let (lists, silent) = status::split(answers);
    if lists.is_empty() {
        return Err(Error::AllUnreachable(silent));
    }
    Ok(Overview {
        moves: merge(lists.into_iter().flatten(), now),
        silent: silent.iter().map(|error| error.address).collect(),
        evidence: request.evidence,
    })
}

/// Merges what several instances report of the same moves: the most advanced state counts.
pub fn merge(reported: impl IntoIterator<Item = Rollout>, now: Timestamp) -> Vec<Entry> {
    let mut moves: BTreeMap<Name, (Rollout, bool)> = BTreeMap::new();
    for movement in reported {
        match moves.get_mut(&name(&movement)) {
            None => {
                moves.insert(name(&movement), (movement, false));
            }
            Some((known, disputed)) => {
                let ended = is_final(known.state) && is_final(movement.state);
                *disputed |= ended && known.state != movement.state;
                if rank(&movement) > rank(known) {
                    *known = movement;
                }
            }
        }
    }
    let entry = |(movement, disputed): (Rollout, bool)| Entry {
        concern: concern(&movement, disputed, now),
        movement,
    };
    let mut entries: Vec<Entry> = moves.into_values().map(entry).collect();
    entries.sort_by_key(|entry| (entry.concern, entry.movement.deadline));
    entries
}

/// What tells moves apart.
type Name = (id::Service, id::Version, id::Version, u64);

fn name(movement: &Rollout) -> Name {
    let Rollout {
        service,
        from,
        to,
        deadline,
        ..
    } = movement;
    (service.clone(), from.clone(), to.clone(), *deadline)
}

/// Returns how advanced the report of a move is. A take-back counts most: it must not be missed.
fn rank(movement: &Rollout) -> u8 {
    match movement.state {
        State::Planned => 0,
        State::Canary => 1,
        State::Ramping => 2,
        State::Done => 3,
        State::RolledBack => 4,
    }
}

fn is_final(state: State) -> bool {
    matches!(state, State::Done | State::RolledBack)
}

fn concern(movement: &Rollout, disputed: bool, now: Timestamp) -> Concern {
    let deadline = i64::try_from(movement.deadline).unwrap_or(i64::MAX);
    match movement.state {
        _ if disputed => Concern::Disputed,
        State::RolledBack => Concern::TakenBack,
        State::Done => Concern::Done,
        _ if deadline <= now.as_second() => Concern::Overdue,
        _ => Concern::UnderWay,
    }
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.moves.is_empty() {
            writeln!(f, "No moves.")?;
        }
        for entry in &self.moves {
            write!(f, "{entry}")?;
            let evidence = entry.movement.evidence.iter().filter(|_| self.evidence);
            for line in evidence {
                writeln!(f, "    {line}")?;
            }
        }
        for address in &self.silent {
            writeln!(
                f,
                "! the instance at {address} does not answer; its moves may be missing"
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Rollout {
            service,
            from,
            to,
            reason,
            ..
        } = &self.movement;
        let mark = match self.concern <= Concern::TakenBack {
            true => "!",
            false => "-",
        };
        let words = words(&self.movement, self.concern);
        write!(f, "{mark} {service}, {from} to {to}: {words}")?;
        match reason.is_empty() {
            true => writeln!(f),
            false => writeln!(f, "; {reason}"),
        }
    }
}

fn words(movement: &Rollout, concern: Concern) -> String {
    let deadline = i64::try_from(movement.deadline).ok();
    let deadline = deadline.and_then(|seconds| Timestamp::from_second(seconds).ok());
    let deadline = deadline.map_or_else(|| "the deadline".into(), |time| time.to_string());
    let share = movement.share * 100.0;
    let (from, to) = (&movement.from, &movement.to);
    match (concern, movement.state) {
        (Concern::Disputed, _) => "instances disagree about the end; escalate at once".into(),
        (Concern::Overdue, _) => {
            format!("no end after its deadline {deadline}, with {share:.1} % on {to}")
        }
        (_, State::RolledBack) => format!("taken back; {from} carries all traffic"),
        (_, State::Done) => format!("done; {to} carries all traffic"),
        (_, State::Planned) => format!("not started yet, to end by {deadline}"),
        (_, State::Canary) => format!("trying with {share:.1} % on {to}, to end by {deadline}"),
        (_, State::Ramping) => format!("moving, {share:.1} % on {to}, to end by {deadline}"),
    }
}
