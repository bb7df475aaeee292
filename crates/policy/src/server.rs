//! Backend servers, as the list names them and as the pool sees them.

pub(crate) mod baseline;
mod health;
mod listing;
pub(crate) mod observation;
mod pause;
pub(crate) mod record;
mod speed;
mod state;

pub use listing::Listing;
pub use state::State;
