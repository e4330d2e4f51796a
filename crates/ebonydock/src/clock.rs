//! Monotonic and wall-clock time.
//!
//! Decision code takes the time as a [`Duration`] argument, so that property tests control it; only the
//! daemon's tasks read the clock. Wall-clock time is used for the due times of jobs and never for
//! correctness.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first call in this process. Tests may pause this clock.
pub fn monotonic() -> Duration {
    Instant::now().saturating_duration_since(*START.get_or_init(Instant::now))
}

/// Returns the seconds since the Unix epoch, by the wall clock.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// Returns the milliseconds since the Unix epoch, by the wall clock.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns the microseconds since the Unix epoch, by the wall clock.
pub(crate) fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}
