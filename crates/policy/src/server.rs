//! Backend servers, as the list names them and as the pool sees them.

pub(crate) mod health;
mod listed;
pub(crate) mod pace;
pub(crate) mod record;
mod state;

pub use listed::Listed;
pub use state::State;
