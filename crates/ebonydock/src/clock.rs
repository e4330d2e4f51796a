//! Monotonic time.
//!
//! Decisions take the time as a [`Duration`] since the process started, so that property tests can
//! drive them; only the daemon's tasks read the clock. Wall-clock time orders jobs by due time and is
//! never used for safety.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Time since the process first asked for it, by the monotonic clock. Tests may pause it.
pub fn monotonic() -> Duration {
    Instant::now().saturating_duration_since(*START.get_or_init(Instant::now))
}

/// Seconds since the Unix epoch, by the wall clock.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// Milliseconds since the Unix epoch, by the wall clock.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
