//! What an instance reports to operators as JSON, at `GET /status` and `GET /moves` on the port for
//! operators.

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
