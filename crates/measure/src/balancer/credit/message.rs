//! What entries and owners tell each other, and their timers.

use clock::Instant;
use policy::credit;
use policy::feedback::Feedback;
use policy::ticket;

/// A demand for a credit.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The owner asked.
    pub owner: usize,
    /// The number of the demand.
    pub ticket: ticket::Id,
    /// The entry that asks.
    pub entry: usize,
    /// The call; none for a credit that is asked for ahead.
    pub call: Option<usize>,
    /// When the credit is of no more use.
    pub deadline: Instant,
}

/// A credit for a demand.
#[derive(Clone, Debug)]
pub struct Granted {
    /// The demand.
    pub ask: Ask,
    /// The credit.
    pub credit: credit::Id,
    /// Its server.
    pub server: usize,
    /// When it expires.
    pub expires: Instant,
    /// Whether the pool has room to spare.
    pub spare: bool,
}

/// What entries and owners tell each other, and their timers.
#[derive(Clone, Debug)]
pub enum Message {
    /// Entry to owner: a demand.
    Ask(Ask),
    /// Entry to owner: a demand is of no more use.
    Withdraw(usize, ticket::Id),
    /// Entry to owner: a credit ends, with evidence if it was used.
    Return(credit::Id, Option<Feedback>),
    /// Owner to entry: a credit.
    Granted(Granted),
    /// Owner to entry: no credit.
    Refused(Ask),
    /// Owner to entry: a credit is to come back if no call uses it.
    Recall(usize, credit::Id),
    /// Timer of an owner.
    Wake(usize, Instant),
    /// Timer of a call: it asks the other data centres too.
    Spill(usize),
    /// Timer of a call: it asks an owner again.
    Retry(usize, usize),
    /// Timer of a call: it is refused if it has no credit yet.
    Deadline(usize),
    /// Timer of an entry: a credit that no call used goes back.
    Idle(usize, credit::Id),
    /// Timer: the allowances are looked at.
    Sample,
}
