//! The tokens that a VM holds for one workspace.

use std::collections::VecDeque;
use std::time::Duration;

use crate::limits::messages::{GrantId, GrantReply};

/// A VM asks for what it expects to need within this time.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// The weight of the past in the estimate of demand, for each [`HORIZON`].
const DEMAND_DECAY: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: GrantId,
    tokens: u32,
    expires_at: Duration,
}

/// The tokens that a VM holds for one workspace.
#[derive(Debug, Default)]
pub struct SpendingAllowance {
    held: VecDeque<HeldGrant>,
    closed: Vec<GrantId>,
    window_start: Duration,
    window_count: f64,
    demand: f64,
}

impl SpendingAllowance {
    /// Spends one token if there is one.
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

    /// Counts a request and returns how many tokens to ask for, at least one.
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

    /// Takes a grant whose request was sent at `sent_at`.
    pub fn add(&mut self, sent_at: Duration, grant: GrantId, reply: GrantReply) {
        if reply.tokens == 0 {
            return;
        }
        let expires_at = sent_at + Duration::from_millis(reply.lifetime_ms.into());
        self.held.push_back(HeldGrant { grant, tokens: reply.tokens, expires_at });
    }

    /// The grants to report as spent or expired; reported once.
    pub fn take_closed(&mut self, now: Duration) -> Vec<GrantId> {
        self.expire(now);
        std::mem::take(&mut self.closed)
    }

    /// Whether the allowance holds nothing worth keeping.
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
