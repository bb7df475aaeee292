//! Prints Markdown tables of how the cost of operations grows with size, for capacity planning.
//!
//! Times are ratios to the smallest size, since they depend on the machine. The fitted
//! exponent describes the growth of a cost: 0 is constant, 1 is linear.

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
    // Memory comes first, since memory freed by other measurements would be reused and not counted.
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
