//! Log of messages that could not be decoded.

use std::time::Duration;

/// Minimum interval between log lines; a VM of another version sends such messages many times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts dropped messages and limits the log lines about them.
#[derive(Debug, Default)]
pub(crate) struct DropLog {
    total: u64,
    logged: u64,
    next_log_at: Duration,
}

impl DropLog {
    /// Counts a message. Returns the number of messages since the last log line if a line is due.
    pub(crate) fn record(&mut self, now: Duration) -> Option<u64> {
        self.total += 1;
        if now < self.next_log_at {
            return None;
        }
        self.next_log_at = now + LOG_INTERVAL;
        let count = self.total - self.logged;
        self.logged = self.total;
        Some(count)
    }

    /// Returns the number of messages dropped since start.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }
}
