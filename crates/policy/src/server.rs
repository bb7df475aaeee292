//! Backend servers, as listed by the platform and as tracked by the pool.

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
