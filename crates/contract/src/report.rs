//! What an instance reports to operators: `GET /status` and `GET /moves` of its operators' port,
//! as JSON.

mod member;
mod pool;
mod rollout;
mod server;
mod status;

pub use member::Member;
pub use pool::Pool;
pub use rollout::{Rollout, State};
pub use server::Server;
pub use status::{Bundle, Status};
