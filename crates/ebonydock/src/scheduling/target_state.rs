//! The scheduler's view of one target.

use std::time::Duration;

use crate::ids::TargetId;
use crate::platform::{EngineCapability, TargetEntry, TargetRole};
use crate::scheduling::messages::RequestDemand;

/// Complete responses, besides the target's declared cold start time, that end a cold start.
const MIN_WARMUP_RESPONSES: u32 = 2;
/// Number of running responses that should be known to come from the target's current incarnation;
/// below it, the holder of the next lease is asked to report the incarnation as soon as the
/// response starts.
const MIN_CONFIRMED_RESPONSES: u32 = 2;
/// Backoff after the first failure; it doubles with each further failure.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(3);
/// Backoff after a target refused a request as overloaded.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(200);
/// Factor by which the time between tokens may exceed its recent minimum before the limit is lowered.
const MAX_LATENCY_RATIO: f64 = 1.6;
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases of the limit because of slow tokens.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Weight of a new sample in the smoothed time between tokens.
const SMOOTHING_FACTOR: f64 = 0.2;
/// The minimum time between tokens is taken over the current window of this length and the previous
/// one: long enough to include times of low load, short enough to drop a wrong sample.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);

/// Whether a target can handle full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupState {
    /// In cold start: can run a few sequences only.
    Cold {
        /// Start of the cold start.
        since: Duration,
        /// Complete responses since then.
        responses: u32,
    },
    /// Can run as many sequences as its concurrency limit.
    Warm,
}

/// The scheduler's view of one target: its load, its capacity and its failures.
#[derive(Debug)]
pub struct TargetState {
    /// The target's name.
    pub target: TargetId,
    /// Address for requests, `host:port`.
    pub address: String,
    /// Models and sizes that the target can serve.
    pub capability: EngineCapability,
    /// Whether the target is about to stop and gets no new requests.
    pub leaving: bool,
    /// Number of running sequences.
    pub in_flight: u32,
    /// Whether the target is in cold start.
    pub warmup: WarmupState,
    /// Incarnation of the target that responded last; 0 if unknown.
    pub incarnation: u64,
    cache_tokens: u32,
    limit: f64,
    failed_incarnation: u64,
    confirmed_responses: u32,
    failures: u32,
    backoff_until: Duration,
    token_latency: TokenLatency,
    decreased_at: Duration,
}

/// Time between tokens, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct TokenLatency {
    mean: f64,
    /// Lowest mean of the current window. It is not the lowest sample, because a single response whose
    /// tokens were read all at once looks too fast.
    min_mean: f64,
    previous_min_mean: Option<f64>,
    window_start: Duration,
}

impl TokenLatency {
    fn add(&mut self, now: Duration, micros: f64) {
        if self.mean == 0.0 {
            *self =
                Self { mean: micros, min_mean: micros, previous_min_mean: None, window_start: now };
            return;
        }
        self.mean += SMOOTHING_FACTOR * (micros - self.mean);
        if now.saturating_sub(self.window_start) >= BASELINE_WINDOW {
            self.previous_min_mean = Some(self.min_mean);
            self.min_mean = self.mean;
            self.window_start = now;
        }
        self.min_mean = self.min_mean.min(self.mean);
    }

    fn baseline(&self) -> f64 {
        self.previous_min_mean.map_or(self.min_mean, |before| before.min(self.min_mean))
    }
}

impl TargetState {
    /// Returns the state of a target that has not responded yet; `None` unless it is an engine.
    pub fn open(entry: &TargetEntry, now: Duration) -> Option<Self> {
        let TargetRole::Engine(capability) = &entry.role else { return None };
        Some(Self {
            target: entry.target.clone(),
            address: entry.address.clone(),
            capability: capability.clone(),
            leaving: entry.leaving,
            in_flight: 0,
            warmup: WarmupState::Cold { since: now, responses: 0 },
            incarnation: 0,
            cache_tokens: 0,
            limit: f64::from(capability.max_sequences),
            failed_incarnation: 0,
            confirmed_responses: 0,
            failures: 0,
            backoff_until: Duration::ZERO,
            token_latency: TokenLatency::default(),
            decreased_at: Duration::ZERO,
        })
    }

    /// Applies a new registration of the same target.
    pub fn update(&mut self, entry: &TargetEntry) {
        if let TargetRole::Engine(capability) = &entry.role {
            self.limit = self.limit.min(f64::from(capability.max_sequences));
            self.capability = capability.clone();
        }
        self.address.clone_from(&entry.address);
        self.leaving = entry.leaving;
    }

    /// Returns the number of sequences that the target can run now.
    pub fn capacity(&self) -> u32 {
        let limit = self.concurrency_limit();
        match self.warmup {
            WarmupState::Warm if self.would_notice_restart() => limit,
            WarmupState::Warm | WarmupState::Cold { .. } => {
                limit.min(self.capability.cold_sequences)
            }
        }
    }

    /// Returns whether a restart would be noticed, because running responses would break off. An idle
    /// target may restart unnoticed.
    fn would_notice_restart(&self) -> bool {
        self.confirmed_responses > 0 || self.in_flight > self.capability.cold_sequences
    }

    /// Returns the number of sequences that the target can run once its current incarnation is
    /// confirmed by a running response.
    pub fn nominal_capacity(&self) -> u32 {
        match self.warmup {
            WarmupState::Warm => self.concurrency_limit(),
            WarmupState::Cold { .. } => {
                self.concurrency_limit().min(self.capability.cold_sequences)
            }
        }
    }

    /// Returns whether the holder of the next lease should report the incarnation as soon as the
    /// response starts.
    pub fn needs_probe(&self) -> bool {
        self.confirmed_responses < MIN_CONFIRMED_RESPONSES
    }

    /// Returns the load in thousandths of the capacity; the target is full from 1000 on.
    pub fn load(&self, now: Duration) -> u32 {
        let capacity = self.capacity();
        if capacity == 0 || self.leaving || self.is_in_backoff(now) {
            return u32::MAX;
        }
        self.in_flight.saturating_mul(1000) / capacity
    }

    /// Returns whether the target could run a request of this size when idle.
    pub fn can_serve(&self, demand: &RequestDemand) -> bool {
        !self.leaving && demand.cache_tokens() <= self.capability.context_tokens
    }

    /// Returns whether the target can start a request now.
    pub fn has_room(&self, now: Duration, demand: &RequestDemand) -> bool {
        let tokens = self.cache_tokens.saturating_add(demand.cache_tokens());
        let fits = self.in_flight == 0 || tokens <= self.capability.cache_tokens;
        fits && self.can_serve(demand) && self.load(now) < 1000
    }

    /// Returns whether the target gets no requests because it failed or was overloaded.
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Adds the load of a request that starts.
    pub fn start(&mut self, demand: &RequestDemand) {
        self.in_flight += 1;
        self.cache_tokens = self.cache_tokens.saturating_add(demand.cache_tokens());
    }

    /// Subtracts the load of a request that ended.
    pub fn finish(&mut self, demand: &RequestDemand) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.cache_tokens = self.cache_tokens.saturating_sub(demand.cache_tokens());
    }

    /// Records the incarnation that a response came from. Returns whether the target restarted.
    pub fn record_incarnation(&mut self, now: Duration, incarnation: u64) -> bool {
        if incarnation == 0 || incarnation == self.incarnation {
            return false;
        }
        let restarted = self.incarnation != 0;
        self.begin_incarnation(now, incarnation);
        restarted
    }

    /// Sets a new incarnation. It is in cold start, because it is unknown how long it has been running.
    fn begin_incarnation(&mut self, now: Duration, incarnation: u64) {
        self.incarnation = incarnation;
        self.confirmed_responses = 0;
        self.warmup = WarmupState::Cold { since: now, responses: 0 };
    }

    /// Counts a running response that is known to come from the current incarnation.
    pub fn add_confirmed_response(&mut self) {
        self.confirmed_responses += 1;
    }

    /// Handles the end of such a response. Responses of an earlier incarnation are not counted any
    /// more.
    pub fn remove_confirmed_response(&mut self, incarnation: u64) {
        if incarnation == self.incarnation {
            self.confirmed_responses = self.confirmed_responses.saturating_sub(1);
        }
    }

    /// Handles a status report, which may be older than what responses have shown.
    pub fn record_status(&mut self, now: Duration, incarnation: u64, warm: bool) {
        if self.incarnation == 0 {
            self.begin_incarnation(now, incarnation);
        }
        if warm && incarnation == self.incarnation && incarnation != self.failed_incarnation {
            self.warmup = WarmupState::Warm;
        }
    }

    /// Records a complete response. `token_micros` is its mean time between tokens; 0 if unknown.
    pub fn record_completion(&mut self, now: Duration, token_micros: u32) {
        self.failures = 0;
        if let WarmupState::Cold { since, responses } = self.warmup {
            let responses = responses + 1;
            let cold_time_over =
                now.saturating_sub(since) >= Duration::from_millis(self.capability.cold_ms);
            self.warmup = if cold_time_over && responses >= MIN_WARMUP_RESPONSES {
                WarmupState::Warm
            } else {
                WarmupState::Cold { since, responses }
            };
            return;
        }
        if token_micros > 0 {
            self.adjust_limit(now, f64::from(token_micros));
        }
    }

    /// Records a failure: the target may have restarted, so it backs off and is in cold start again.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures = (self.failures + 1).min(16);
        let backoff = INITIAL_FAILURE_BACKOFF * 2u32.pow(self.failures.min(6) - 1);
        self.backoff_until = now + backoff.min(MAX_FAILURE_BACKOFF);
        self.warmup = WarmupState::Cold { since: now, responses: 0 };
        self.failed_incarnation = self.incarnation;
        self.confirmed_responses = 0;
    }

    /// Records a refusal because of overload.
    pub fn record_overload(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + OVERLOAD_BACKOFF);
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
    }

    fn concurrency_limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Adjusts the concurrency limit by the time between tokens: additive increase, multiplicative
    /// decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
    /// avoidance", 1989).
    fn adjust_limit(&mut self, now: Duration, token_micros: f64) {
        self.token_latency.add(now, token_micros);
        if self.token_latency.mean > self.token_latency.baseline() * MAX_LATENCY_RATIO {
            if now.saturating_sub(self.decreased_at) >= MIN_DECREASE_INTERVAL {
                self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
                self.decreased_at = now;
            }
            return;
        }
        let max = f64::from(self.capability.max_sequences);
        self.limit = (self.limit + 1.0 / self.limit).min(max);
    }
}
