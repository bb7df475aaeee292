//! Rosters, votes, authority, takeovers and credits of one pool with one backend server.
//!
//! The server's allowance is one credit. Time is counted in ticks, as the time left on the clock of
//! the instance that counts it; a lagging clock misses a tick. A process pause needs no event of
//! its own: an instance may do nothing for any number of ticks. A partition or a lost message is
//! modelled as a message that is not delivered until it is too old to have an effect, a lost answer
//! of the store as a write whose writer does not adopt the result, and an outage of the store as a
//! period without reads and writes.
//!
//! Instances know the current epochs of the others at once. This is the most that they can know, so
//! no order of events is missed that a real delay could cause.

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

/// The index of an instance.
pub type Index = u8;

/// The maximum number of instances in a scope.
pub const INSTANCES: Index = 4;

/// A timer, in ticks, that has not started.
pub const NEVER: u8 = u8::MAX;

/// Decrements a timer that has started.
fn tick(left: &mut u8) {
    if *left != NEVER {
        *left = left.saturating_sub(1);
    }
}
