//! What an instance reports to operators: `GET /status` and `GET /moves` of its operators' port,
//! as JSON.

mod member;
mod movement;
mod pool;
mod server;
mod status;

pub use member::Member;
pub use movement::{Move, State};
pub use pool::Pool;
pub use server::Server;
pub use status::{Bundle, Status};
