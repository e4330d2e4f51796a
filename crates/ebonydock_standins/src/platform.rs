//! A stand-in for the platform: a transactional table, an object store and the list of VMs and
//! targets.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ebonydock::{FleetListing, RowKey, TableRow, TableTransaction};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, JsonConfig, Path, PayloadConfig, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::server::ServerThread;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Faults that the platform injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFault {
    /// Whether every request fails with an error.
    pub down: bool,
    /// Delay before each request is processed, in milliseconds.
    pub slow_ms: u64,
    /// Delay before a transaction takes effect, in milliseconds.
    pub late_transactions_ms: u64,
    /// Fraction of writes that take effect but get an error response, from 0 to 1.
    #[serde(rename = "lost_answers")]
    pub lost_responses: f64,
}

/// Counts of the requests to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCounters {
    /// Transactions, including rejected ones.
    pub transactions: u64,
    /// Reads of rows and of ranges of rows.
    pub reads: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Maximum number of writes within a window of one second.
    pub peak_writes: u64,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, (u64, Value)>,
    revision: u64,
    objects: HashMap<String, Bytes>,
    fleet: VecDeque<(Instant, FleetListing)>,
    fleet_lag: Duration,
    fault: PlatformFault,
    counters: PlatformCounters,
    window_start: Option<Instant>,
    window_writes: u64,
}

impl PlatformState {
    fn transact(&mut self, transaction: &TableTransaction) -> Result<u64, RowKey> {
        for condition in &transaction.conditions {
            let current = self.rows.get(condition.key.as_str()).map_or(0, |(version, _)| *version);
            if current != condition.version {
                return Err(condition.key.clone());
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            let key = write.key.as_str().to_owned();
            match &write.value {
                Some(value) => {
                    self.rows.insert(key, (self.revision, value.clone()));
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        Ok(self.revision)
    }

    fn count_write(&mut self) {
        let now = Instant::now();
        if self.window_start.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.window_writes = 0;
        }
        self.window_writes += 1;
        self.counters.peak_writes = self.counters.peak_writes.max(self.window_writes);
    }

    fn listing(&mut self) -> FleetListing {
        let newest_visible =
            Instant::now().checked_sub(self.fleet_lag).unwrap_or_else(Instant::now);
        while self.fleet.len() > 1 && self.fleet[1].0 <= newest_visible {
            self.fleet.pop_front();
        }
        self.fleet.front().map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

type SharedState = Arc<Mutex<PlatformState>>;

/// A running platform stand-in.
pub struct PlatformStandIn {
    state: SharedState,
    server: ServerThread,
}

fn lock(state: &SharedState) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformStandIn {
    /// Starts a platform that listens on `address`. Changes of its list of VMs and targets become
    /// visible after `fleet_lag`.
    pub fn spawn(address: SocketAddr, fleet_lag: Duration) -> std::io::Result<Self> {
        let state = PlatformState { fleet_lag, ..PlatformState::default() };
        let state: SharedState = Arc::new(Mutex::new(state));
        let server = ServerThread::spawn(address, state.clone(), configure, async {})?;
        Ok(Self { state, server })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that the platform injects.
    pub fn set_fault(&self, fault: PlatformFault) {
        lock(&self.state).fault = fault;
    }

    /// Changes the list of VMs and targets. The first list is visible at once, later ones after the
    /// lag.
    pub fn set_fleet(&self, listing: FleetListing) {
        let mut state = lock(&self.state);
        let at = if state.fleet.is_empty() {
            Instant::now().checked_sub(state.fleet_lag).unwrap()
        } else {
            Instant::now()
        };
        state.fleet.push_back((at, listing));
    }

    /// Returns the counts of the requests so far.
    pub fn counters(&self) -> PlatformCounters {
        lock(&self.state).counters
    }

    /// Returns the value of a row.
    pub fn row(&self, key: &str) -> Option<Value> {
        lock(&self.state).rows.get(key).map(|(_, value)| value.clone())
    }
}

fn configure(config: &mut ServiceConfig) {
    config
        .state(PayloadConfig::new(MAX_BODY_BYTES))
        .state(JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/table/row", web::get().to(read_row))
        .route("/table/rows", web::get().to(list_rows))
        .route("/table/transact", web::post().to(transact))
        .route("/objects/{name}*", web::get().to(get_object))
        .route("/objects/{name}*", web::put().to(put_object))
        .route("/fleet", web::get().to(fleet))
        .route("/control/fault", web::post().to(control_fault))
        .route("/control/fleet", web::post().to(control_fleet))
        .route("/control/counters", web::get().to(control_counters));
}

fn unavailable() -> HttpResponse {
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).body("the platform is down")
}

/// Waits for the delay of the injected fault. Returns whether the platform is down.
async fn apply_fault(state: &SharedState) -> bool {
    let fault = lock(state).fault;
    if fault.slow_ms > 0 {
        ntex::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    }
    fault.down
}

fn loses_response(state: &SharedState) -> bool {
    rand::random::<f64>() < lock(state).fault.lost_responses
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

async fn read_row(state: State<SharedState>, query: Query<RowQuery>) -> HttpResponse {
    if apply_fault(&state).await {
        return unavailable();
    }
    let mut state = lock(&state);
    state.counters.reads += 1;
    let row = state.rows.get(&query.key).map(|(version, value)| TableRow {
        key: RowKey::from(query.key.as_str()),
        version: *version,
        value: value.clone(),
    });
    HttpResponse::build(StatusCode::OK).json(&row)
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    after: String,
    limit: usize,
}

async fn list_rows(state: State<SharedState>, query: Query<RangeQuery>) -> HttpResponse {
    if apply_fault(&state).await {
        return unavailable();
    }
    let mut state = lock(&state);
    state.counters.reads += 1;
    let start = query.after.clone().max(query.prefix.clone());
    let range = (Bound::Included(start), Bound::Unbounded);
    let rows = state.rows.range::<String, _>(range);
    let rows = rows
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .filter(|(key, _)| **key != query.after)
        .take(query.limit);
    let rows: Vec<TableRow> = rows
        .map(|(key, (version, value))| TableRow {
            key: RowKey::from(key.as_str()),
            version: *version,
            value: value.clone(),
        })
        .collect();
    HttpResponse::build(StatusCode::OK).json(&rows)
}

async fn transact(state: State<SharedState>, transaction: Json<TableTransaction>) -> HttpResponse {
    let late = lock(&state).fault.late_transactions_ms;
    ntex::time::sleep(Duration::from_millis(late)).await;
    if apply_fault(&state).await {
        return unavailable();
    }
    let result = {
        let mut state = lock(&state);
        state.counters.transactions += 1;
        state.count_write();
        state.transact(&transaction)
    };
    if loses_response(&state) {
        return unavailable();
    }
    match result {
        Ok(revision) => HttpResponse::build(StatusCode::OK).json(&revision),
        Err(key) => HttpResponse::build(StatusCode::CONFLICT).body(key.to_string()),
    }
}

async fn put_object(state: State<SharedState>, name: Path<String>, body: Bytes) -> HttpResponse {
    if apply_fault(&state).await {
        return unavailable();
    }
    {
        let mut state = lock(&state);
        state.counters.object_writes += 1;
        state.count_write();
        state.objects.insert(name.into_inner(), body);
    }
    if loses_response(&state) {
        return unavailable();
    }
    HttpResponse::build(StatusCode::OK).body("")
}

async fn get_object(state: State<SharedState>, name: Path<String>) -> HttpResponse {
    if apply_fault(&state).await {
        return unavailable();
    }
    let mut state = lock(&state);
    state.counters.object_reads += 1;
    match state.objects.get(name.as_str()) {
        Some(body) => HttpResponse::build(StatusCode::OK).body(body.clone()),
        None => HttpResponse::build(StatusCode::NOT_FOUND).body("no such object"),
    }
}

async fn fleet(state: State<SharedState>) -> HttpResponse {
    if apply_fault(&state).await {
        return unavailable();
    }
    let listing = lock(&state).listing();
    HttpResponse::build(StatusCode::OK).json(&listing)
}

async fn control_fault(state: State<SharedState>, fault: Json<PlatformFault>) -> HttpResponse {
    lock(&state).fault = fault.into_inner();
    HttpResponse::build(StatusCode::OK).body("{}")
}

async fn control_fleet(state: State<SharedState>, listing: Json<FleetListing>) -> HttpResponse {
    lock(&state).fleet.push_back((Instant::now(), listing.into_inner()));
    HttpResponse::build(StatusCode::OK).body("{}")
}

async fn control_counters(state: State<SharedState>) -> HttpResponse {
    let counters = lock(&state).counters;
    HttpResponse::build(StatusCode::OK).json(&counters)
}
