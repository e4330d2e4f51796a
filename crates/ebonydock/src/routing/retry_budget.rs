//! Limit on retries as a fraction of the requests, so that retries do not overload a failing fleet.

/// Retries that each request adds to the budget.
const EARNED: f64 = 0.2;
/// Maximum number of retries that the budget can hold.
const MOST: f64 = 20.0;

/// Budget for retries, a fraction of the requests.
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
    /// Records a request, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_acquire(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
