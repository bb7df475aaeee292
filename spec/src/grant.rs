//! Rosters, votes, authority, takeovers and credits of one pool with one backend server.
//!
//! The server's allowance is one credit. Time is counted in ticks, as times left on the clock of
//! the instance that counts them; a lagging clock misses a tick. A pause needs no event of its own:
//! an instance may do nothing for any number of ticks. A message that is cut off or lost is one
//! that is not delivered before it is too old to matter. A lost answer of the store is a write
//! whose writer does not adopt the result; an outage is a time without writes and reads.
//!
//! What an instance knows of others' epochs is taken to be the truth at that instant. It is the
//! most that it can know, so that no order of events is missed that a real delay could cause.

mod actor;
mod change;
mod credit;
mod event;
mod guards;
mod instance;
mod per_instance;
mod pool;
mod roster;
mod scope;
mod slot;
mod state;
mod takeover;
mod voter;
mod voting;

pub use actor::{Actor, Release};
pub use change::is_settled;
pub use event::Event;
pub use guards::Guards;
pub use instance::Instance;
pub use per_instance::PerInstance;
pub use pool::{Pool, Violation};
pub use roster::{Change, Mask, Roster};
pub use scope::Scope;
pub use slot::Slot;
pub use state::State;
pub use voter::Support;

/// The number of an instance.
pub type Index = u8;

/// The most instances of a scope.
pub const INSTANCES: Index = 4;

/// A time left that has not begun to run.
pub const NEVER: u8 = u8::MAX;

/// Takes a tick from a time left.
fn tick(left: &mut u8) {
    if *left != NEVER {
        *left = left.saturating_sub(1);
    }
}
