//! Least-squares fits.

/// A line through points: `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at zero.
    pub intercept: f64,
    /// The change per unit.
    pub slope: f64,
}

impl Fit {
    /// Returns the least-squares line through `points`, or a horizontal line if they have fewer
    /// than two distinct x values.
    pub fn line(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
        let (product, square): (f64, f64) = (products.sum(), squares.sum());
        let slope = if square > 0.0 { product / square } else { 0.0 };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the exponent `k` of the power law `y = c * x^k` that fits the logarithms of `points`
    /// best. All coordinates must be above zero.
    pub fn exponent(points: &[(f64, f64)]) -> f64 {
        let logs: Vec<_> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        Self::line(&logs).slope
    }
}
