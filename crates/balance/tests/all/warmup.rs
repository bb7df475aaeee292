//! Tests of the rate limit for cold servers.

use arbtest::arbtest;
use balance::warmup::Limiter;

use crate::support::at;

/// Two instances that both warm up a cold server stay within what it tolerates.
#[test]
fn two_instances_stay_within_the_bound() {
    const BOUND_FACTOR: f64 = 1.5;
    const BOUND_SLACK: f64 = 5.0;
    arbtest(|u| {
        let rate = f64::from(u.int_in_range(1..=40_u32)?) / 2.0;
        let mut limiters = [Limiter::new(at(0)); 2];
        let mut sent = Vec::new();
        let mut now = 0;
        for _ in 0..500 {
            now += u.int_in_range(0..=60_u64)?;
            let limiter = &mut limiters[u.choose_index(2)?];
            if limiter.allows(at(now)) {
                limiter.record(at(now), rate);
                sent.push(now);
            }
        }
        for first in &sent {
            let within = sent
                .iter()
                .filter(|t| **t >= *first && **t < first + 1000)
                .count();
            assert!(
                within as f64
                    <= rate
                        .mul_add(BOUND_FACTOR, BOUND_SLACK)
                        .max(2.0 * rate + 2.0)
            );
            if rate <= 6.0 {
                assert!(
                    within as f64 <= rate * BOUND_FACTOR + BOUND_SLACK,
                    "{within} at {rate}"
                );
            }
        }
        Ok(())
    });
}
