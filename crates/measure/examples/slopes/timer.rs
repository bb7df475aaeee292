//! Timing of a step.

use std::time::Instant;

/// The number of measurements. The shortest is used, since other work on the machine only adds
/// time.
const ROUNDS: usize = 5;

/// Returns the mean time of a step in nanoseconds; each call of `run` executes `steps` steps.
pub(crate) fn time<F, E>(steps: usize, mut run: F) -> Result<f64, E>
where
    F: FnMut() -> Result<(), E>,
{
    let mut shortest = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run()?;
        shortest = shortest.min(start.elapsed().as_secs_f64());
    }
    Ok(shortest * 1e9 / steps as f64)
}
