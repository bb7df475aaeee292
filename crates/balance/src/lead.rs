//! Decides whether the reader of a data centre reads the store itself.
//!
//! One data centre's reader is enough to read the store for a region; the others take the records
//! from it. There is no election: a reader that does not hear of another one that reads begins to,
//! and of two that read, the one whose data centre comes first by name goes on. Two that read cost
//! additional calls and do no harm.
//!
//! Invariant: a reader that does not read heard of one that does within [`STATE_TTL`], was not behind it
//! for longer than [`MAX_LAG`], and has records that were confirmed within [`MAX_AGE`].

use std::time::Duration;

use clock::Instant;

/// The age up to which a state of another data centre is relied upon; tolerates the loss of one.
/// Takeover has to leave time to bring a change into force within two seconds.
pub const STATE_TTL: Duration = Duration::from_millis(700);

/// How long a reader may be behind the one that it takes records from. Connections to it may fail
/// although its messages arrive.
pub const MAX_LAG: Duration = Duration::from_millis(500);

/// The age up to which records that are taken from another data centre are relied upon. That its reader
/// has contact with the store does not tell how old they are.
pub const MAX_AGE: Duration = Duration::from_millis(1900);

/// How long a reader that was behind reads the store itself, at least.
const INDEPENDENCE: Duration = Duration::from_secs(5);

/// What a reader of another data centre announced recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote<'a> {
    /// The data centre.
    pub centre: &'a str,
    /// Whether it reads the store, and the store responds to it.
    pub reads: bool,
    /// Whether it has newer records than this one.
    pub is_ahead: bool,
}

/// Whether the reader of a data centre reads the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lead {
    reads: bool,
    started_at: Option<Instant>,
    behind_since: Option<Instant>,
    independent_until: Option<Instant>,
}

impl Lead {
    /// Decides from the states of the other data centres that are younger than [`STATE_TTL`], and from the
    /// age of the own records, if it is known. Returns whether the reader of data centre `own` reads the
    /// store.
    pub fn update<'a>(
        &mut self,
        own: &str,
        others: impl Iterator<Item = Remote<'a>>,
        age: Option<Duration>,
        now: Instant,
    ) -> bool {
        let mut reading = others.filter(|other| other.reads).peekable();
        let has_other = reading.peek().is_some();
        let (mut is_behind, mut is_first) = (false, true);
        for other in reading {
            is_behind |= other.is_ahead;
            is_first &= own < other.centre;
        }
        // A new reader has not heard yet how old the records of the others are.
        let is_new = now.since(*self.started_at.get_or_insert(now)) < MAX_LAG;
        if !self.reads && !is_new && age.is_some_and(|age| age > MAX_AGE) {
            self.independent_until = Some(now + INDEPENDENCE);
        }
        if self.reads || !is_behind {
            self.behind_since = None;
        } else if now.since(*self.behind_since.get_or_insert(now)) >= MAX_LAG {
            self.independent_until = Some(now + INDEPENDENCE);
        }
        let is_independent = self.independent_until.is_some_and(|until| now < until);
        self.reads = is_independent || !has_other || (self.reads && is_first);
        self.reads
    }
}
