//! Prints how the cost of the decisions grows with the sizes, as tables in Markdown.
//!
//! Times are ratios to the smallest size, since they depend on the machine. A fit of the exponent
//! tells how a cost grows: 0 is level, 1 is in proportion.

mod bundle;
mod claim;
mod fault;
mod frame;
mod member;
mod memory;
mod pool;
mod series;
mod timer;

use fault::Fault;

fn main() -> Result<(), Fault> {
    // Memory first: what is freed later would be used again.
    pool::memory()?;
    pool::by_servers()?;
    pool::by_queue()?;
    member::voter();
    member::authority();
    bundle::by_services()?;
    bundle::by_changed_parts()?;
    claim::claims();
    claim::replay()?;
    frame::by_returns()
}
