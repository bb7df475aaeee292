//! Reproducible random numbers.

use std::f64::consts::TAU;

/// A pseudo-random number generator, determined by its seed: SplitMix64 (Steele, Lea and
/// Flood, 2014).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Returns the generator for `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number, evenly distributed over all values.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number above 0 and at most 1, evenly distributed.
    pub fn unit(&mut self) -> f64 {
        ((self.draw() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number below `bound`, evenly distributed; `bound` is above zero.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.draw() % bound as u64) as usize
    }

    /// Returns an exponentially distributed number.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -self.unit().ln() * mean
    }

    /// Returns a lognormally distributed number, of the given mean and shape.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        // Box-Muller transform (Box and Muller, 1958).
        let normal = (-2.0 * self.unit().ln()).sqrt() * (TAU * self.unit()).cos();
        (normal * sigma - sigma * sigma / 2.0).exp() * mean
    }
}
