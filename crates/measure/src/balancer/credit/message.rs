//! Messages between entry instances and owners, and their timers.

use clock::Instant;
use policy::credit;
use policy::feedback::Feedback;
use policy::ticket;

/// A request for a credit.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The owner that it is sent to.
    pub owner: usize,
    /// The number of the request.
    pub ticket: ticket::Id,
    /// The entry instance that sends it.
    pub entry: usize,
    /// The call; `None` for a credit requested ahead of a call.
    pub call: Option<usize>,
    /// The time after which the credit is no longer needed.
    pub deadline: Instant,
}

/// A credit granted for a request.
#[derive(Clone, Debug)]
pub struct Granted {
    /// The request.
    pub ask: Ask,
    /// The credit.
    pub credit: credit::Id,
    /// The server of the credit.
    pub server: usize,
    /// The time at which the credit expires.
    pub expires: Instant,
    /// Whether the pool has spare capacity.
    pub spare: bool,
}

/// A message between an entry instance and an owner, or a timer.
#[derive(Clone, Debug)]
pub enum Message {
    /// Entry to owner: requests a credit.
    Ask(Ask),
    /// Entry to owner: withdraws a request.
    Withdraw(usize, ticket::Id),
    /// Entry to owner: returns a credit, with feedback if it was used.
    Return(credit::Id, Option<Feedback>),
    /// Owner to entry: grants a credit.
    Granted(Granted),
    /// Owner to entry: refuses a request.
    Refused(Ask),
    /// Owner to entry: asks for a credit to be returned if no call uses it.
    Recall(usize, credit::Id),
    /// Timer of an owner: processes what is due.
    Wake(usize, Instant),
    /// Timer of a call: also requests credits from the other data centres.
    Spill(usize),
    /// Timer of a call: repeats its request to an owner.
    Retry(usize, usize),
    /// Timer of a call: refuses the call if it has no credit yet.
    Deadline(usize),
    /// Timer of an entry instance: returns a credit that no call has used.
    Idle(usize, credit::Id),
    /// Timer: samples the allowances.
    Sample,
}
