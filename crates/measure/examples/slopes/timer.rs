//! The time of a step.

use std::time::Instant;

/// The measurements of which the least counts, since other work on the machine only adds time.
const ROUNDS: usize = 5;

/// Returns the mean time of a step in nanoseconds, where `run` makes `steps` of them.
pub(crate) fn time<F, E>(steps: usize, mut run: F) -> Result<f64, E>
where
    F: FnMut() -> Result<(), E>,
{
    let mut least = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run()?;
        least = least.min(start.elapsed().as_secs_f64());
    }
    Ok(least * 1e9 / steps as f64)
}
