//! A small specification of the core protocol and its exhaustive exploration.
//!
//! Models are pure functions on a compact state, written apart from the code:
//!
//! - [`grant`]: rosters, votes, authority, takeovers and credits of one pool.
//!
//! A [`Model`] is explored breadth first over every order of its events, so that the trace to a
//! fault is a shortest one. Each guard of a protocol is a field of the model's `Guards`; taking it
//! out has to lead to a fault, which shows that the exploration reaches what the guard is for.

mod explore;
pub mod grant;
mod model;

pub use explore::{explore, Exploration, Step};
pub use model::Model;
