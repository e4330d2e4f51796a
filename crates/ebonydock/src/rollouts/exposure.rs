//! Budget of requests that a version may get before it is known to be good.

use std::time::Duration;

use crate::rollouts::order::RolloutSettings;

/// Part of the expected requests that is counted on, because traffic may fall.
const EXPECTED_FRACTION: f64 = 0.9;
/// Part of the budget that the canary phase may use; the rest is for the final shift.
const CANARY_FRACTION: f64 = 0.68;
/// Part of the slack that steps may use; the rest is for requests that VMs send on an outdated share.
const SLACK_FRACTION: f64 = 0.5;
/// Largest canary share, for services with so few requests that the slack covers them.
const MAX_CANARY_SHARE: f64 = 0.5;

/// Requests sent, and those expected until the deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExposureBudget {
    settings: RolloutSettings,
    sent_next: f64,
    /// Requests to both versions until the deadline that can be counted on.
    expected: f64,
    /// Present rate of requests, per second.
    rate: f64,
}

impl ExposureBudget {
    /// Computes the budget from the requests sent to old and new targets, the time since the order, the time to the
    /// deadline and the present rate.
    pub(crate) fn compute(
        settings: RolloutSettings,
        sent: [u64; 2],
        (elapsed, remaining): (Duration, Duration),
        rate: f64,
    ) -> Self {
        let all = (sent[0] + sent[1]) as f64;
        let mean_rate = if elapsed.is_zero() { rate } else { all / elapsed.as_secs_f64() };
        let expected = all + EXPECTED_FRACTION * mean_rate * remaining.as_secs_f64();
        Self { settings, sent_next: sent[1] as f64, expected, rate: rate.max(mean_rate) }
    }

    fn allowed(&self) -> f64 {
        self.settings.exposure_share * self.expected
            + SLACK_FRACTION * f64::from(self.settings.exposure_slack)
    }

    /// Returns the share of the canary phase, which lasts for another `period`.
    pub(crate) fn canary_share(&self, period: Duration) -> f64 {
        let allowed = CANARY_FRACTION * self.allowed();
        let steady = allowed / self.expected.max(1.0);
        let planned = self.rate * period.as_secs_f64();
        let affordable = (allowed - self.sent_next) / planned.max(1.0);
        steady.min(affordable).clamp(0.0, MAX_CANARY_SHARE)
    }

    /// Returns whether a version stays within the budget that gets these shares, each for a time, and is noticed to
    /// be bad at the end.
    pub(crate) fn allows(&self, shares: &[(f64, Duration)]) -> bool {
        let seconds = shares.iter().map(|(share, time)| share * time.as_secs_f64()).sum::<f64>();
        self.sent_next + seconds * self.rate <= self.allowed()
    }
}
