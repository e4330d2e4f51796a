//! The scheduler's view of one target.

use std::time::Duration;

use crate::ids::TargetId;
use crate::platform::{EngineCapability, TargetEntry, TargetRole};
use crate::scheduling::messages::RequestDemand;

/// Complete responses, besides the target's declared cold start time, that end a cold start.
const COLD_ANSWERS: u32 = 2;
/// Number of running responses that should be known to come from the target's current incarnation;
/// below it, the holder of the next lease is asked to report the incarnation as soon as the
/// response starts.
const WANTED_WITNESSES: u32 = 2;
/// Backoff after the first failure; it doubles with each further failure.
const FIRST_BLOCK: Duration = Duration::from_millis(50);
const LONGEST_BLOCK: Duration = Duration::from_secs(3);
/// Backoff after a target refused a request as overloaded.
const OVERLOAD_BLOCK: Duration = Duration::from_millis(200);
/// Factor by which the time between tokens may exceed its recent minimum before the limit is lowered.
const SLOWDOWN: f64 = 1.6;
const LIMIT_DECREASE: f64 = 0.9;
/// Minimum time between two decreases of the limit because of slow tokens.
const DECREASE_PAUSE: Duration = Duration::from_millis(250);
/// Weight of a new sample in the smoothed time between tokens.
const SMOOTHING: f64 = 0.2;
/// The minimum time between tokens is taken over the current window of this length and the previous
/// one: long enough to include times of low load, short enough to drop a wrong sample.
const BEST_WINDOW: Duration = Duration::from_secs(10);

/// Whether a target can handle full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupState {
    /// In cold start: can run a few sequences only.
    Cold {
        /// Start of the cold start.
        since: Duration,
        /// Complete responses since then.
        answers: u32,
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
    pub start_id: u64,
    cache_tokens: u32,
    limit: f64,
    distrusted_start: u64,
    witnesses: u32,
    failures: u32,
    blocked_until: Duration,
    pace: TokenPace,
    decreased_at: Duration,
}

/// Time between tokens, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct TokenPace {
    mean: f64,
    /// Lowest mean of the current window. Single samples do not count: tokens that were read all at
    /// once look too fast.
    lowest: f64,
    lowest_before: Option<f64>,
    window_start: Duration,
}

impl TokenPace {
    fn add(&mut self, now: Duration, micros: f64) {
        if self.mean == 0.0 {
            *self = Self { mean: micros, lowest: micros, lowest_before: None, window_start: now };
            return;
        }
        self.mean += SMOOTHING * (micros - self.mean);
        if now.saturating_sub(self.window_start) >= BEST_WINDOW {
            self.lowest_before = Some(self.lowest);
            self.lowest = self.mean;
            self.window_start = now;
        }
        self.lowest = self.lowest.min(self.mean);
    }

    fn best(&self) -> f64 {
        self.lowest_before.map_or(self.lowest, |before| before.min(self.lowest))
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
            warmup: WarmupState::Cold { since: now, answers: 0 },
            start_id: 0,
            cache_tokens: 0,
            limit: f64::from(capability.max_sequences),
            distrusted_start: 0,
            witnesses: 0,
            failures: 0,
            blocked_until: Duration::ZERO,
            pace: TokenPace::default(),
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
        let limit = self.learned_limit();
        match self.warmup {
            WarmupState::Warm if self.is_witnessed() => limit,
            WarmupState::Warm | WarmupState::Cold { .. } => {
                limit.min(self.capability.cold_sequences)
            }
        }
    }

    /// Returns whether a restart would be noticed, because running responses would break off. An idle
    /// target may restart unnoticed.
    fn is_witnessed(&self) -> bool {
        self.witnesses > 0 || self.in_flight > self.capability.cold_sequences
    }

    /// Returns the number of sequences that the target can run once its current incarnation is
    /// confirmed by a running response.
    pub fn nominal_capacity(&self) -> u32 {
        match self.warmup {
            WarmupState::Warm => self.learned_limit(),
            WarmupState::Cold { .. } => self.learned_limit().min(self.capability.cold_sequences),
        }
    }

    /// Returns whether the holder of the next lease should report the incarnation as soon as the
    /// response starts.
    pub fn wants_probe(&self) -> bool {
        self.witnesses < WANTED_WITNESSES
    }

    /// Returns the load in thousandths of the capacity; the target is full from 1000 on.
    pub fn load(&self, now: Duration) -> u32 {
        let capacity = self.capacity();
        if capacity == 0 || self.leaving || self.is_blocked(now) {
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
    pub fn is_blocked(&self, now: Duration) -> bool {
        now < self.blocked_until
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
    pub fn confirm_start(&mut self, now: Duration, start_id: u64) -> bool {
        if start_id == 0 || start_id == self.start_id {
            return false;
        }
        let restarted = self.start_id != 0;
        self.meet_start(now, start_id);
        restarted
    }

    /// Starts a cold start: it is unknown how long the new incarnation has been running.
    fn meet_start(&mut self, now: Duration, start_id: u64) {
        self.start_id = start_id;
        self.witnesses = 0;
        self.warmup = WarmupState::Cold { since: now, answers: 0 };
    }

    /// Counts a running response that is known to come from the current incarnation.
    pub fn add_witness(&mut self) {
        self.witnesses += 1;
    }

    /// Handles the end of such a response. Responses of an earlier incarnation are not counted any
    /// more.
    pub fn remove_witness(&mut self, start_id: u64) {
        if start_id == self.start_id {
            self.witnesses = self.witnesses.saturating_sub(1);
        }
    }

    /// Handles a status report, which may be older than what responses have shown.
    pub fn record_status(&mut self, now: Duration, start_id: u64, warm: bool) {
        if self.start_id == 0 {
            self.meet_start(now, start_id);
        }
        if warm && start_id == self.start_id && start_id != self.distrusted_start {
            self.warmup = WarmupState::Warm;
        }
    }

    /// Records a complete response. `token_micros` is its mean time between tokens; 0 if unknown.
    pub fn note_completed(&mut self, now: Duration, token_micros: u32) {
        self.failures = 0;
        if let WarmupState::Cold { since, answers } = self.warmup {
            let answers = answers + 1;
            let over = now.saturating_sub(since) >= Duration::from_millis(self.capability.cold_ms);
            self.warmup = if over && answers >= COLD_ANSWERS {
                WarmupState::Warm
            } else {
                WarmupState::Cold { since, answers }
            };
            return;
        }
        if token_micros > 0 {
            self.learn_limit(now, f64::from(token_micros));
        }
    }

    /// Records a failure: the target may have restarted, so it backs off and is in cold start again.
    pub fn note_failed(&mut self, now: Duration) {
        self.failures = (self.failures + 1).min(16);
        let block = FIRST_BLOCK * 2u32.pow(self.failures.min(6) - 1);
        self.blocked_until = now + block.min(LONGEST_BLOCK);
        self.warmup = WarmupState::Cold { since: now, answers: 0 };
        self.distrusted_start = self.start_id;
        self.witnesses = 0;
    }

    /// Records a refusal because of overload.
    pub fn note_overloaded(&mut self, now: Duration) {
        self.blocked_until = self.blocked_until.max(now + OVERLOAD_BLOCK);
        self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
    }

    fn learned_limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Adjusts the concurrency limit by the time between tokens: additive increase, multiplicative
    /// decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
    /// avoidance", 1989).
    fn learn_limit(&mut self, now: Duration, token_micros: f64) {
        self.pace.add(now, token_micros);
        if self.pace.mean > self.pace.best() * SLOWDOWN {
            if now.saturating_sub(self.decreased_at) >= DECREASE_PAUSE {
                self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
                self.decreased_at = now;
            }
            return;
        }
        let most = f64::from(self.capability.max_sequences);
        self.limit = (self.limit + 1.0 / self.limit).min(most);
    }
}
