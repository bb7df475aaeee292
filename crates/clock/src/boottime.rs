//! The system clock of the machine.

use std::time::{Duration, SystemTime};

use rustix::time::{clock_gettime, ClockId};

use crate::{Clock, Instant};

/// The time since the machine booted, including the time for which it was suspended.
///
/// A lease has to expire while the machine of its holder is suspended. `CLOCK_MONOTONIC` stops
/// during suspension, so `CLOCK_BOOTTIME` is used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boottime;

impl Clock for Boottime {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Instant::ZERO + Duration::new(secs, nanos)
    }

    fn time_of_day(&self) -> Duration {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.unwrap_or_default()
    }

    async fn sleep_until(&self, deadline: Instant) {
        loop {
            let now = self.now();
            if now >= deadline {
                return;
            }
            smol::Timer::after(deadline - now).await;
        }
    }
}
