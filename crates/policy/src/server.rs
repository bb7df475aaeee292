//! Backend servers, as the list names them and as the pool sees them.

pub(crate) mod baseline;
mod health;
mod listing;
mod pace;
mod pause;
pub(crate) mod record;
pub(crate) mod report;
mod state;

pub use listing::Listing;
pub use state::State;
