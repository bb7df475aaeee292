//! Weighted max-min fairness: what a unit of weight gets.

/// What a tenant, or all others together, asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The requests.
    pub requests: f64,
    /// The weight of the claim on capacity.
    pub weight: f64,
}

/// Returns the level at which the sum of `min(requests, level * weight)` is `capacity`, or infinity if
/// there is capacity for all.
pub fn level(demands: &[Demand], capacity: f64) -> f64 {
    let mut sorted: Vec<Demand> = demands
        .iter()
        .copied()
        .filter(|d| d.requests > 0.0)
        .collect();
    let saturation = |d: &Demand| d.requests / d.weight;
    sorted.sort_by(|a, b| saturation(a).total_cmp(&saturation(b)));
    let mut left = capacity.max(0.0);
    let mut weight: f64 = sorted.iter().map(|d| d.weight).sum();
    for demand in &sorted {
        // Those before this one have all that they ask for.
        if weight > 0.0 && saturation(demand) * weight > left {
            return left / weight;
        }
        left -= demand.requests;
        weight -= demand.weight;
    }
    f64::INFINITY
}
