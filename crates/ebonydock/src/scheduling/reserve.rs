//! Capacity of a pool that batch work leaves free for bursts of online requests.

use std::time::Duration;

/// Time that a revocation takes: a message to the holder, a cancellation and a message back.
const REVOCATION_TIME: Duration = Duration::from_millis(50);
/// Number of seconds over which the largest burst is taken.
const BURST_WINDOW_SECONDS: usize = 10;

/// Tracks the maximum number of online requests that arrived within one [`REVOCATION_TIME`].
///
/// With a reserve of that size, a burst as large as the recent ones starts at once, while leases
/// are being revoked for the requests that follow.
#[derive(Debug)]
pub struct ReserveEstimator {
    window_start: Duration,
    window_count: u32,
    last_second: u64,
    max_bursts: [u32; BURST_WINDOW_SECONDS],
}

impl Default for ReserveEstimator {
    fn default() -> Self {
        Self {
            window_start: Duration::ZERO,
            window_count: 0,
            last_second: 0,
            max_bursts: [0; BURST_WINDOW_SECONDS],
        }
    }
}

impl ReserveEstimator {
    /// Records the arrival of an online request.
    pub fn record_arrival(&mut self, now: Duration) {
        if now.saturating_sub(self.window_start) >= REVOCATION_TIME {
            self.window_start = now;
            self.window_count = 0;
        }
        self.window_count += 1;
        self.advance(now);
        let slot = &mut self.max_bursts[now.as_secs() as usize % BURST_WINDOW_SECONDS];
        *slot = (*slot).max(self.window_count);
    }

    /// Returns the number of sequences to leave free in a pool of `capacity` sequences: at most a
    /// tenth of the pool, but at least one.
    pub fn reserve(&mut self, now: Duration, capacity: u32) -> u32 {
        self.advance(now);
        let burst = self.max_bursts.iter().copied().max().unwrap_or(0);
        burst.clamp(1, (capacity / 10).max(1))
    }

    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        let passed = second.saturating_sub(self.last_second).min(BURST_WINDOW_SECONDS as u64);
        for step in 1..=passed {
            self.max_bursts[(self.last_second + step) as usize % BURST_WINDOW_SECONDS] = 0;
        }
        if passed == BURST_WINDOW_SECONDS as u64 {
            self.max_bursts = [0; BURST_WINDOW_SECONDS];
        }
        self.last_second = self.last_second.max(second);
    }
}
