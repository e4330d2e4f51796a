//! How much of a pool batch leaves free for online bursts.

use std::time::Duration;

/// The time that taking a lease back takes: a message to the holder, a cancel and a message back.
const REVOKE_TIME: Duration = Duration::from_millis(50);
/// Bursts are remembered for this many seconds.
const MEMORY_SECONDS: usize = 10;

/// Follows the most online requests that came within one [`REVOKE_TIME`].
///
/// A reserve of that size lets a burst as strong as the recent ones start at once, while leases for
/// what comes after it are being taken back.
#[derive(Debug)]
pub struct ReserveEstimator {
    window_start: Duration,
    window_count: u32,
    second: u64,
    maxima: [u32; MEMORY_SECONDS],
}

impl Default for ReserveEstimator {
    fn default() -> Self {
        Self {
            window_start: Duration::ZERO,
            window_count: 0,
            second: 0,
            maxima: [0; MEMORY_SECONDS],
        }
    }
}

impl ReserveEstimator {
    /// Counts an online request.
    pub fn arrival(&mut self, now: Duration) {
        if now.saturating_sub(self.window_start) >= REVOKE_TIME {
            self.window_start = now;
            self.window_count = 0;
        }
        self.window_count += 1;
        self.advance(now);
        let slot = &mut self.maxima[now.as_secs() as usize % MEMORY_SECONDS];
        *slot = (*slot).max(self.window_count);
    }

    /// The sequences to keep free in a pool of `capacity`: at most a tenth of the pool, but
    /// at least one.
    pub fn reserve(&mut self, now: Duration, capacity: u32) -> u32 {
        self.advance(now);
        let burst = self.maxima.iter().copied().max().unwrap_or(0);
        burst.clamp(1, (capacity / 10).max(1))
    }

    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        let passed = second.saturating_sub(self.second).min(MEMORY_SECONDS as u64);
        for step in 1..=passed {
            self.maxima[(self.second + step) as usize % MEMORY_SECONDS] = 0;
        }
        if passed == MEMORY_SECONDS as u64 {
            self.maxima = [0; MEMORY_SECONDS];
        }
        self.second = self.second.max(second);
    }
}
