//! Retries as a part of the requests, so that a failing fleet is not loaded further by them.

/// Retries earned by each request.
const EARNED: f64 = 0.2;
/// Retries that may be saved up.
const MOST: f64 = 20.0;

/// Retries as a part of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Spends a retry if there is one.
    pub fn try_acquire(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
