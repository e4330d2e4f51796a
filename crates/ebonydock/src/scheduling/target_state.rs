//! What a scheduler knows of one target.

use std::time::Duration;

use crate::ids::TargetId;
use crate::platform::{EngineCapability, TargetEntry, TargetRole};
use crate::scheduling::messages::RequestDemand;

/// A target in cold start becomes warm after its stated time and at least this many answers.
const COLD_ANSWERS: u32 = 2;
/// Answers that run and are known to come from the target's present start; below this number the next
/// answer is asked to report its start.
const WANTED_WITNESSES: u32 = 2;
const FIRST_BLOCK: Duration = Duration::from_millis(50);
const LONGEST_BLOCK: Duration = Duration::from_secs(3);
const OVERLOAD_BLOCK: Duration = Duration::from_millis(200);
/// The time between tokens may exceed the best one of late by this factor before the limit is lowered.
const SLOWDOWN: f64 = 1.6;
const LIMIT_DECREASE: f64 = 0.9;
const DECREASE_PAUSE: Duration = Duration::from_millis(250);
/// Weight of a new sample in the smoothed time between tokens.
const SMOOTHING: f64 = 0.2;
/// The best time between tokens is that of the running window of this length and the one before: long
/// enough to have seen the target with little load, short enough to forget a wrong sample.
const BEST_WINDOW: Duration = Duration::from_secs(10);

/// Whether a target bears full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupState {
    /// In cold start: bears a few sequences only.
    Cold {
        /// Since when.
        since: Duration,
        /// Complete answers since then.
        answers: u32,
    },
    /// Bears its learned limit.
    Warm,
}

/// What a scheduler knows of one target.
#[derive(Debug)]
pub struct TargetState {
    /// The name of the target.
    pub target: TargetId,
    /// Where it takes requests.
    pub address: String,
    /// What it can serve.
    pub capability: EngineCapability,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Sequences that run there.
    pub in_flight: u32,
    /// Whether it bears full load.
    pub warmup: WarmupState,
    /// The start that answered last; 0 if unknown.
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

/// The time between tokens, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct TokenPace {
    mean: f64,
    /// The lowest mean of the running window; a single answer that was read at once says nothing.
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
    /// A target that was not met yet; `None` unless it is an engine.
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

    /// Takes a new listing of the same target.
    pub fn update(&mut self, entry: &TargetEntry) {
        if let TargetRole::Engine(capability) = &entry.role {
            self.limit = self.limit.min(f64::from(capability.max_sequences));
            self.capability = capability.clone();
        }
        self.address.clone_from(&entry.address);
        self.leaving = entry.leaving;
    }

    /// The sequences that the target bears now.
    pub fn capacity(&self) -> u32 {
        let limit = self.learned_limit();
        match self.warmup {
            WarmupState::Warm if self.is_witnessed() => limit,
            WarmupState::Warm | WarmupState::Cold { .. } => {
                limit.min(self.capability.cold_sequences)
            }
        }
    }

    /// Whether a restart would be seen, because answers would break off. A target that runs nothing may
    /// have restarted without a trace.
    fn is_witnessed(&self) -> bool {
        self.witnesses > 0 || self.in_flight > self.capability.cold_sequences
    }

    /// The sequences that the target bears once an answer runs there.
    pub fn nominal_capacity(&self) -> u32 {
        match self.warmup {
            WarmupState::Warm => self.learned_limit(),
            WarmupState::Cold { .. } => self.learned_limit().min(self.capability.cold_sequences),
        }
    }

    /// Whether the next answer should be reported as soon as it starts.
    pub fn wants_probe(&self) -> bool {
        self.witnesses < WANTED_WITNESSES
    }

    /// The load in thousandths of what the target bears; full from 1000 on.
    pub fn load(&self, now: Duration) -> u32 {
        let capacity = self.capacity();
        if capacity == 0 || self.leaving || self.is_blocked(now) {
            return u32::MAX;
        }
        self.in_flight.saturating_mul(1000) / capacity
    }

    /// Whether a request of this size could ever run here.
    pub fn can_serve(&self, demand: &RequestDemand) -> bool {
        !self.leaving && demand.cache_tokens() <= self.capability.context_tokens
    }

    /// Whether a request can start here now.
    pub fn has_room(&self, now: Duration, demand: &RequestDemand) -> bool {
        let tokens = self.cache_tokens.saturating_add(demand.cache_tokens());
        let fits = self.in_flight == 0 || tokens <= self.capability.cache_tokens;
        fits && self.can_serve(demand) && self.load(now) < 1000
    }

    /// Whether the target gets nothing because it failed.
    pub fn is_blocked(&self, now: Duration) -> bool {
        now < self.blocked_until
    }

    /// Counts a request that starts.
    pub fn start(&mut self, demand: &RequestDemand) {
        self.in_flight += 1;
        self.cache_tokens = self.cache_tokens.saturating_add(demand.cache_tokens());
    }

    /// Counts a request that ended.
    pub fn finish(&mut self, demand: &RequestDemand) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.cache_tokens = self.cache_tokens.saturating_sub(demand.cache_tokens());
    }

    /// Takes the start that an answer came from. Returns whether the target restarted.
    pub fn confirm_start(&mut self, now: Duration, start_id: u64) -> bool {
        if start_id == 0 || start_id == self.start_id {
            return false;
        }
        let restarted = self.start_id != 0;
        self.meet_start(now, start_id);
        restarted
    }

    /// Nobody knows for how long a start that was not met before has been running.
    fn meet_start(&mut self, now: Duration, start_id: u64) {
        self.start_id = start_id;
        self.witnesses = 0;
        self.warmup = WarmupState::Cold { since: now, answers: 0 };
    }

    /// Counts an answer that runs and came from the present start.
    pub fn add_witness(&mut self) {
        self.witnesses += 1;
    }

    /// Takes the end of such an answer; those of an earlier start do not count any more.
    pub fn remove_witness(&mut self, start_id: u64) {
        if start_id == self.start_id {
            self.witnesses = self.witnesses.saturating_sub(1);
        }
    }

    /// Takes a status report, which may be older than what answers showed.
    pub fn record_status(&mut self, now: Duration, start_id: u64, warm: bool) {
        if self.start_id == 0 {
            self.meet_start(now, start_id);
        }
        if warm && start_id == self.start_id && start_id != self.distrusted_start {
            self.warmup = WarmupState::Warm;
        }
    }

    /// Takes a complete answer.
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

    /// Takes a failure: the target may have restarted.
    pub fn note_failed(&mut self, now: Duration) {
        self.failures = (self.failures + 1).min(16);
        let block = FIRST_BLOCK * 2u32.pow(self.failures.min(6) - 1);
        self.blocked_until = now + block.min(LONGEST_BLOCK);
        self.warmup = WarmupState::Cold { since: now, answers: 0 };
        self.distrusted_start = self.start_id;
        self.witnesses = 0;
    }

    /// Takes a refusal because of overload.
    pub fn note_overloaded(&mut self, now: Duration) {
        self.blocked_until = self.blocked_until.max(now + OVERLOAD_BLOCK);
        self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
    }

    fn learned_limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Additive increase, multiplicative decrease on the time between tokens (Chiu and Jain, "Analysis
    /// of the increase and decrease algorithms for congestion avoidance", 1989).
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
