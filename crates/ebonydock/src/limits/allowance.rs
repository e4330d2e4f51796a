//! Tokens that a VM holds for one workspace.

use std::collections::VecDeque;
use std::time::Duration;

use crate::limits::messages::{GrantId, GrantReply};

/// Window of the demand estimate. A VM requests the tokens that it expects to need within one window.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Weight of the past in the demand estimate, per [`DEMAND_WINDOW`].
const DEMAND_DECAY: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: GrantId,
    tokens: u32,
    expires_at: Duration,
}

/// Tokens that a VM holds for one workspace, with an estimate of its demand.
#[derive(Debug, Default)]
pub struct SpendingAllowance {
    held: VecDeque<HeldGrant>,
    closed: Vec<GrantId>,
    window_start: Duration,
    window_count: f64,
    demand: f64,
}

impl SpendingAllowance {
    /// Spends one token and returns whether one was available.
    pub fn spend(&mut self, now: Duration) -> bool {
        self.expire(now);
        let Some(first) = self.held.front_mut() else { return false };
        first.tokens -= 1;
        if first.tokens == 0 {
            self.closed.push(first.grant);
            self.held.pop_front();
        }
        true
    }

    /// Counts a request and returns the number of tokens to acquire, at least one.
    pub fn record_request(&mut self, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= DEMAND_WINDOW {
            let windows = (elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).floor();
            let smoothed = self.demand * DEMAND_DECAY + self.window_count * (1.0 - DEMAND_DECAY);
            self.demand = smoothed * DEMAND_DECAY.powf(windows - 1.0);
            self.window_count = 0.0;
            self.window_start = now;
        }
        self.window_count += 1.0;
        self.demand.ceil().max(1.0) as u32
    }

    /// Adds the tokens of a grant that was requested at `sent_at`.
    pub fn add(&mut self, sent_at: Duration, grant: GrantId, reply: GrantReply) {
        if reply.tokens == 0 {
            return;
        }
        let expires_at = sent_at + Duration::from_millis(reply.lifetime_ms.into());
        self.held.push_back(HeldGrant { grant, tokens: reply.tokens, expires_at });
    }

    /// Returns the grants that are spent or expired, each of them only once.
    pub fn take_closed(&mut self, now: Duration) -> Vec<GrantId> {
        self.expire(now);
        std::mem::take(&mut self.closed)
    }

    /// Returns whether the allowance holds no tokens and its demand estimate is outdated.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.held.is_empty() && now.saturating_sub(self.window_start) > DEMAND_WINDOW * 16
    }

    fn expire(&mut self, now: Duration) {
        let closed = &mut self.closed;
        self.held.retain(|held| {
            let live = held.expires_at > now;
            if !live {
                closed.push(held.grant);
            }
            live
        });
    }
}
