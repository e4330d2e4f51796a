//! A stand-in for a model engine, with continuous batching, a bounded prefix cache and a cold start.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ebonydock::{
    EngineCache, EngineCommand, EngineEvent, EngineStatus, GenerateRequest, ModelName,
};
use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, JsonConfig, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64;

use crate::server::ServerThread;

const PREFIX_BYTES: usize = 256;
const BYTES_PER_TOKEN: usize = 4;
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Fraction of the prompt's tokens that need no reading if its prefix is cached.
const CACHED_PROMPT_FRACTION: f64 = 0.8;
const MAX_CACHE_EVENTS: usize = 64;
const WORDS: [&str; 16] = [
    "resize", "band", "solder", "polish", "stone", "prong", "clasp", "chain", "kraft", "handle",
    "gusset", "grammage", "ply", "flexo", "fold", "bale",
];

/// Speed and capacity of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineShape {
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// Base time of a step, which generates one token for each sequence, in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Number of sequences above which each further one adds ten times `sequence_us`.
    pub knee: u32,
    /// Time to read one token of a prompt, in microseconds.
    pub prompt_us: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: usize,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Maximum number of sequences during a cold start; one more overloads the engine, and it restarts.
    pub cold_sequences: u32,
    /// Age of the reported status, in milliseconds.
    pub status_lag_ms: u64,
    /// Whether commands with an outdated fencing number are refused.
    pub checks_fence: bool,
    /// Whether the engine is cold when it is spawned.
    pub starts_cold: bool,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            models: vec![ModelName::from("clerk-8b")],
            step_us: 20_000,
            sequence_us: 100,
            knee: 32,
            prompt_us: 50,
            cached_prefixes: 32,
            cold_ms: 3000,
            cold_sequences: 2,
            status_lag_ms: 300,
            checks_fence: true,
            starts_cold: false,
        }
    }
}

/// Counts of what happened at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounters {
    /// Accepted requests.
    pub requests: u64,
    /// Completed responses.
    pub completed: u64,
    /// Generated tokens.
    pub tokens: u64,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
    /// Restarts because of an overload during a cold start.
    #[serde(rename = "topples")]
    pub overloads: u64,
    /// Maximum number of concurrent sequences.
    #[serde(rename = "most_running")]
    pub max_running: u32,
    /// Maximum number of concurrent sequences during cold starts.
    #[serde(rename = "most_cold")]
    pub max_cold: u32,
    /// Requests with an `authorization` header, which leaks a caller's key.
    pub leaked_keys: u64,
    /// Commands refused because of an outdated fencing number.
    pub fenced: u64,
}

struct Sequence {
    request_id: String,
    seed: u64,
    next: u32,
    end: u32,
    crash: bool,
    unread_tokens: u64,
    sender: mpsc::UnboundedSender<EngineEvent>,
}

struct EngineState {
    shape: EngineShape,
    start_id: u64,
    cold_until: Instant,
    running: Vec<Sequence>,
    cache: VecDeque<u64>,
    events: VecDeque<(u64, bool)>,
    first_event: u64,
    status: EngineStatus,
    status_at: Instant,
    highest_fence: u64,
    swap_responses: bool,
    frozen: bool,
    counters: EngineCounters,
    /// Hashes of all received prompts.
    prompts: HashSet<u64>,
}

#[derive(Clone)]
struct SharedEngine {
    state: Arc<Mutex<EngineState>>,
    work: Arc<Notify>,
}

/// A running engine stand-in.
pub struct EngineStandIn {
    engine: SharedEngine,
    server: ServerThread,
}

/// Returns the token at `index` of a response. It is the same at every engine, so that tests can check
/// the text of responses.
fn token(seed: u64, index: u32) -> String {
    let word = WORDS[(seed.rotate_left(index % 64) ^ u64::from(index)) as usize % WORDS.len()];
    format!("{word} ")
}

/// Returns the complete text that every engine generates for a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|index| token(seed, index)).collect()
}

impl SharedEngine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self) {
        loop {
            let step = self.lock().step_time();
            let Some(step) = step else {
                self.work.notified().await;
                continue;
            };
            tokio::time::sleep(step).await;
            self.lock().step();
        }
    }
}

impl EngineState {
    fn new(shape: EngineShape) -> Self {
        let now = Instant::now();
        let cold = if shape.starts_cold { shape.cold_ms } else { 0 };
        Self {
            start_id: rand::random(),
            cold_until: now + Duration::from_millis(cold),
            running: Vec::new(),
            cache: VecDeque::new(),
            events: VecDeque::new(),
            first_event: 0,
            status: EngineStatus::default(),
            status_at: now.checked_sub(Duration::from_mins(1)).unwrap(),
            highest_fence: 0,
            swap_responses: false,
            frozen: false,
            counters: EngineCounters::default(),
            prompts: HashSet::new(),
            shape,
        }
    }

    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    /// Drops the running sequences and the cache and starts cold with a new start id.
    fn restart(&mut self) {
        self.start_id = rand::random();
        self.cold_until = Instant::now() + Duration::from_millis(self.shape.cold_ms);
        self.running.clear();
        self.cache.clear();
        self.events.clear();
        self.first_event = 0;
    }

    fn step_time(&self) -> Option<Duration> {
        if self.running.is_empty() || self.frozen {
            return None;
        }
        let count = self.running.len() as u64;
        let above_knee = count.saturating_sub(self.shape.knee.into());
        let sequences = (count + 9 * above_knee) * self.shape.sequence_us;
        let unread: u64 = self.running.iter().map(|sequence| sequence.unread_tokens).sum();
        let micros = self.shape.step_us + sequences + unread * self.shape.prompt_us;
        Some(Duration::from_micros(micros))
    }

    /// Returns for each running response the id and seed of the one whose events it gets instead.
    /// Empty unless responses are swapped.
    fn swapped_responses(&self) -> Vec<(String, u64)> {
        if !self.swap_responses || self.running.len() < 2 {
            return Vec::new();
        }
        let responses = self.running.iter().map(|s| (s.request_id.clone(), s.seed));
        let mut responses: Vec<(String, u64)> = responses.collect();
        responses.rotate_left(1);
        responses
    }

    fn step(&mut self) {
        let swapped = self.swapped_responses();
        let mut crashed = false;
        let mut index = 0;
        let counters = &mut self.counters;
        self.running.retain_mut(|sequence| {
            sequence.unread_tokens = 0;
            let own = (sequence.request_id.clone(), sequence.seed);
            let (request_id, seed) = swapped.get(index).cloned().unwrap_or(own);
            index += 1;
            crashed |= sequence.crash && sequence.next > 1;
            let done = sequence.next >= sequence.end;
            let event = EngineEvent {
                request_id,
                index: sequence.next,
                text: if done { String::new() } else { token(seed, sequence.next) },
                finish_reason: done.then(|| "stop".to_owned()),
            };
            sequence.next += 1;
            counters.tokens += u64::from(!done);
            counters.completed += u64::from(done);
            sequence.sender.send(event).is_ok() && !done
        });
        if crashed {
            self.restart();
        }
    }

    fn admit(&mut self, request: &GenerateRequest) -> mpsc::UnboundedReceiver<EngineEvent> {
        let prompt = request.prompt.as_bytes();
        self.prompts.insert(xxh3_64(prompt));
        let cached = prompt.get(..PREFIX_BYTES).is_some_and(|prefix| self.touch(xxh3_64(prefix)));
        let tokens = (prompt.len() / BYTES_PER_TOKEN + 1) as f64;
        let unread = if cached { tokens * (1.0 - CACHED_PROMPT_FRACTION) } else { tokens };
        let (sender, receiver) = mpsc::unbounded_channel();
        self.running.push(Sequence {
            request_id: request.request_id.clone(),
            seed: xxh3_64(prompt),
            next: request.generated_tokens,
            end: request.max_tokens,
            crash: request.prompt.contains("[crash]"),
            unread_tokens: unread as u64 + u64::from(request.generated_tokens),
            sender,
        });
        let running = self.running.len() as u32;
        self.counters.requests += 1;
        self.counters.cache_hits += u64::from(cached);
        self.counters.max_running = self.counters.max_running.max(running);
        if self.is_cold() {
            self.counters.max_cold = self.counters.max_cold.max(running);
            if running > self.shape.cold_sequences {
                self.counters.overloads += 1;
                self.restart();
            }
        }
        receiver
    }

    /// Moves a prefix to the newest end of the LRU cache or inserts it there. Returns whether it was
    /// cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let cached_at = self.cache.iter().position(|held| *held == prefix);
        if let Some(position) = cached_at {
            self.cache.remove(position);
        } else {
            self.record_cache_event(prefix, true);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.shape.cached_prefixes
            && let Some(evicted) = self.cache.pop_front()
        {
            self.record_cache_event(evicted, false);
        }
        cached_at.is_some()
    }

    fn record_cache_event(&mut self, prefix: u64, stored: bool) {
        self.events.push_back((prefix, stored));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    fn refresh_status(&mut self) -> EngineStatus {
        if self.status_at.elapsed() >= Duration::from_millis(self.shape.status_lag_ms) {
            self.status_at = Instant::now();
            let status = EngineStatus {
                start_id: self.start_id,
                warm: !self.is_cold(),
                running: self.running.len() as u32,
                models: self.shape.models.clone(),
            };
            if self.status.start_id == 0 {
                self.status = status.clone();
            }
            return std::mem::replace(&mut self.status, status);
        }
        self.status.clone()
    }
}

impl EngineStandIn {
    /// Starts an engine that listens on `address`.
    pub fn spawn(address: SocketAddr, shape: EngineShape) -> std::io::Result<Self> {
        let engine = SharedEngine {
            state: Arc::new(Mutex::new(EngineState::new(shape))),
            work: Arc::new(Notify::new()),
        };
        let run = engine.clone().run();
        let server = ServerThread::spawn(address, engine.clone(), configure, run)?;
        Ok(Self { engine, server })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Breaks off all responses, drops the cache and starts cold with a new start id.
    pub fn restart(&self) {
        self.engine.lock().restart();
    }

    /// Sets whether each response gets the events of another one.
    pub fn set_swap_responses(&self, swap: bool) {
        self.engine.lock().swap_responses = swap;
    }

    /// Sets whether the engine stops generating tokens.
    pub fn set_frozen(&self, frozen: bool) {
        self.engine.lock().frozen = frozen;
        self.engine.work.notify_one();
    }

    /// Returns the number of running sequences.
    pub fn running(&self) -> usize {
        self.engine.lock().running.len()
    }

    /// Returns whether the engine ever accepted a request with this prompt.
    pub fn has_seen(&self, prompt: &str) -> bool {
        self.engine.lock().prompts.contains(&xxh3_64(prompt.as_bytes()))
    }

    /// Returns the counters.
    pub fn counters(&self) -> EngineCounters {
        self.engine.lock().counters
    }

    /// Returns the shape, including the models loaded since the start.
    pub fn shape(&self) -> EngineShape {
        self.engine.lock().shape.clone()
    }
}

fn configure(config: &mut ServiceConfig) {
    config
        .state(JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/v1/generate", web::post().to(generate))
        .route("/status", web::get().to(status))
        .route("/cache", web::get().to(cache))
        .route("/orders", web::post().to(load_model));
}

#[derive(Debug)]
struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for BrokenOff {}

async fn generate(
    engine: State<SharedEngine>,
    request: HttpRequest,
    body: Json<GenerateRequest>,
) -> HttpResponse {
    let leaked = request.headers().get("authorization").is_some();
    let (events, start_id) = {
        let mut state = engine.lock();
        state.counters.leaked_keys += u64::from(leaked);
        if !state.shape.models.contains(&body.model) {
            return HttpResponse::build(StatusCode::BAD_REQUEST).body("the model is not loaded");
        }
        if body.prompt.contains("[reject]") {
            return HttpResponse::build(StatusCode::BAD_REQUEST).body("the prompt is not allowed");
        }
        (state.admit(&body), state.start_id)
    };
    engine.work.notify_one();
    let chunks = stream::unfold((events, false), |(mut events, done)| async move {
        if done {
            return None;
        }
        let Some(event) = events.recv().await else {
            return Some((Err(BrokenOff), (events, true)));
        };
        let done = event.finish_reason.is_some();
        let json = serde_json::to_string(&event).unwrap_or_default();
        Some((Ok(Bytes::from(format!("data: {json}\n\n"))), (events, done)))
    });
    HttpResponse::build(StatusCode::OK)
        .content_type("text/event-stream")
        .set_header("x-start-id", start_id.to_string())
        .streaming(Box::pin(chunks))
}

async fn status(engine: State<SharedEngine>) -> HttpResponse {
    let status = engine.lock().refresh_status();
    HttpResponse::build(StatusCode::OK).json(&status)
}

#[derive(Deserialize)]
struct CacheQuery {
    after: Option<u64>,
}

async fn cache(engine: State<SharedEngine>, query: Query<CacheQuery>) -> HttpResponse {
    let state = engine.lock();
    let next = state.first_event + state.events.len() as u64;
    let report = match query.after {
        Some(after) => {
            let skip = after.saturating_sub(state.first_event).min(state.events.len() as u64);
            EngineCache {
                position: state.first_event + skip,
                listing: false,
                entries: state.events.iter().skip(skip as usize).copied().collect(),
            }
        }
        None => EngineCache {
            position: next,
            listing: true,
            entries: state.cache.iter().map(|prefix| (*prefix, true)).collect(),
        },
    };
    HttpResponse::build(StatusCode::OK).json(&report)
}

async fn load_model(engine: State<SharedEngine>, command: Json<EngineCommand>) -> HttpResponse {
    let mut state = engine.lock();
    if state.shape.checks_fence && command.fence < state.highest_fence {
        state.counters.fenced += 1;
        return HttpResponse::build(StatusCode::CONFLICT).body("the fencing number is old");
    }
    state.highest_fence = state.highest_fence.max(command.fence);
    if !state.shape.models.contains(&command.load_model) {
        let model = command.load_model.clone();
        state.restart();
        state.shape.models.push(model);
    }
    HttpResponse::build(StatusCode::OK).body("{}")
}
