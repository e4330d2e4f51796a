//! Limit on retries as a fraction of the requests, so that retries do not overload a failing fleet.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries that the budget can hold.
const MAX_AVAILABLE_RETRIES: f64 = 20.0;

/// Budget for retries, a fraction of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: MAX_AVAILABLE_RETRIES }
    }
}

impl RetryBudget {
    /// Records a request, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_acquire(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
