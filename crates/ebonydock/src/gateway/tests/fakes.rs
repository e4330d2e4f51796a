//! A store, targets and records in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::{StreamExt, stream};
use http::StatusCode;
use ntex::util::Bytes;
use tokio::sync::Notify;

use crate::gateway::catalog::{BatchTerms, GatewayConfig, RouteClass};
use crate::gateway::connections::{ConnectionPool, SendError};
use crate::gateway::followers::{OperatorRecord, PlatformDialect};
use crate::gateway::handle::{Gateway, GatewaySettings};
use crate::gateway::request::ForwardedRequest;
use crate::gateway::slots::ServingTarget;
use crate::gateway::tests::catalog::{config, route};
use crate::gateway::transport::{ReplyMeaning, TargetAttempt, TargetReply, TargetTransport};
use crate::ids::{DataCentreId, ServiceName, TargetId, VmId};
use crate::platform::rows::{RowError, RowPage, RowResult, RowStore, RowTransaction, StoredRow};

type RowKey = (String, String, String);

/// Rows in memory with what a store may do to its callers.
#[derive(Default)]
pub(super) struct FakeStore {
    rows: RefCell<BTreeMap<RowKey, (Vec<u8>, u64)>>,
    changes: RefCell<Vec<(String, StoredRow)>>,
    version: Cell<u64>,
    changed: Notify,
    /// Transactions that take effect and are not answered.
    pub(super) lost_answers: Cell<u32>,
    /// The table whose feeds stay silent, as on a connection that is cut without a word.
    pub(super) silent_table: Cell<&'static str>,
    /// Whether every call is refused.
    pub(super) refuses: Cell<bool>,
}

impl FakeStore {
    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.version.get()
    }

    fn set(&self, table: &str, part: &str, key: &str, value: Option<Vec<u8>>, version: u64) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let row = StoredRow {
            partition: part.to_owned(),
            key: key.to_owned(),
            value: value.clone().unwrap_or_default(),
            version,
            deleted: value.is_none(),
        };
        match value {
            Some(value) => self.rows.borrow_mut().insert(name, (value, version)),
            None => self.rows.borrow_mut().remove(&name),
        };
        self.changes.borrow_mut().push((table.to_owned(), row));
    }

    pub(super) fn put(&self, table: &str, key: &str, value: &[u8]) {
        let version = self.next_version();
        self.set(table, "", key, Some(value.to_vec()), version);
        self.changed.notify_waiters();
    }

    pub(super) fn remove(&self, table: &str, key: &str) {
        let version = self.next_version();
        self.set(table, "", key, None, version);
        self.changed.notify_waiters();
    }

    /// The keys of a table.
    pub(super) fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        rows.keys().filter(|(own, ..)| own == table).map(|(.., key)| key.clone()).collect()
    }

    fn check(&self, transaction: &RowTransaction) -> bool {
        let rows = self.rows.borrow();
        transaction.expected.iter().all(|(id, version)| {
            let name = (id.table.to_owned(), transaction.partition.clone(), id.key.clone());
            rows.get(&name).map_or(0, |(_, version)| *version) == *version
        })
    }

    fn page(&self, rows: Vec<StoredRow>) -> RowPage {
        let store_time = crate::clock::monotonic() + Duration::from_secs(50);
        RowPage { rows, version: self.version.get(), store_time, has_more: false }
    }
}

impl RowStore for FakeStore {
    fn transact<'a>(
        &'a self,
        transaction: &'a RowTransaction,
    ) -> LocalBoxFuture<'a, RowResult<u64>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(4)).await;
            if self.refuses.get() {
                return Err(RowError::Refused("busy".to_owned()));
            }
            if !self.check(transaction) {
                return Err(RowError::Conflict);
            }
            let version = self.next_version();
            for (id, value) in &transaction.writes {
                self.set(id.table, &transaction.partition, &id.key, Some(value.clone()), version);
            }
            for id in &transaction.deletes {
                self.set(id.table, &transaction.partition, &id.key, None, version);
            }
            self.changed.notify_waiters();
            if self.lost_answers.get() > 0 {
                self.lost_answers.set(self.lost_answers.get() - 1);
                return Err(RowError::Unknown("the answer was lost".to_owned()));
            }
            Ok(version)
        })
    }

    fn range<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
        to: &'a str,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(4)).await;
            if self.refuses.get() {
                return Err(RowError::Refused("busy".to_owned()));
            }
            let rows = self.rows.borrow();
            let found = rows.iter().filter(|((own, own_part, key), _)| {
                own == table
                    && own_part == part
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
            });
            let found = found.map(|((_, part, key), (value, version))| StoredRow {
                partition: part.clone(),
                key: key.clone(),
                value: value.clone(),
                version: *version,
                deleted: false,
            });
            Ok(self.page(found.collect()))
        })
    }

    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>> {
        Box::pin(async move {
            let until = tokio::time::Instant::now() + wait;
            loop {
                if self.refuses.get() {
                    return Err(RowError::Refused("busy".to_owned()));
                }
                if self.silent_table.get() == table {
                    tokio::time::sleep_until(until + Duration::from_secs(1)).await;
                    return Err(RowError::Unknown("no answer".to_owned()));
                }
                let rows: Vec<StoredRow> = self
                    .changes
                    .borrow()
                    .iter()
                    .filter(|(own, row)| own == table && row.version > after)
                    .map(|(_, row)| row.clone())
                    .collect();
                if !rows.is_empty() || tokio::time::Instant::now() >= until {
                    return Ok(self.page(rows));
                }
                let _ = tokio::time::timeout_at(until, self.changed.notified()).await;
            }
        })
    }
}

/// Records as indexes into a list of configurations, and targets by their keys.
#[derive(Default)]
pub(super) struct FakeDialect {
    pub(super) configs: RefCell<Vec<GatewayConfig>>,
}

impl PlatformDialect for FakeDialect {
    fn target_table(&self) -> &'static str {
        "targets"
    }

    fn operator_table(&self) -> &'static str {
        "operators"
    }

    fn read_target(&self, row: &StoredRow) -> Result<ServingTarget, String> {
        if row.value == b"unreadable" {
            return Err("unreadable".to_owned());
        }
        Ok(ServingTarget {
            id: TargetId::from(row.key.as_str()),
            started_at_ms: 0,
            service: ServiceName::from("llm"),
            address: "127.0.0.1:1".parse().map_err(|_| "address")?,
            data_centre: DataCentreId::from("a"),
            slots: 2,
            leaving: row.value == b"leaving",
            cold_for: Duration::ZERO,
        })
    }

    fn read_operator_record(&self, row: &StoredRow) -> Result<OperatorRecord, String> {
        if let Some(data_centre) = row.key.strip_prefix("out/") {
            return Ok(OperatorRecord::DataCentreOut(DataCentreId::from(data_centre)));
        }
        let index = row.value.first().copied().ok_or("empty")?;
        let config = self.configs.borrow().get(usize::from(index)).cloned();
        Ok(OperatorRecord::Config(Box::new(config.ok_or("unknown")?)))
    }
}

/// What a target does with one attempt.
pub(super) enum TargetAct {
    /// Events from one on, up to another one, which is the last of the answer if the flag is set.
    Events(u64, bool),
    /// So many events, of which the first comes after some time.
    Late(Duration, u64),
    /// A whole answer.
    Whole(u16, &'static str),
    /// The target says that it did not run the request.
    NotRun,
    /// No answer.
    Fails(SendError),
    /// Nothing happens.
    Hangs,
}

/// An attempt that reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SeenAttempt {
    pub(super) id: String,
    pub(super) target: String,
    pub(super) resume_after: Option<u64>,
    pub(super) path: String,
}

type TargetScript = Box<dyn Fn(&SeenAttempt, usize) -> TargetAct>;

/// Targets that follow a script, which is given the attempt and the number of those before.
pub(super) struct FakeTargets {
    script: TargetScript,
    pub(super) seen: RefCell<Vec<SeenAttempt>>,
    pub(super) open: Rc<Cell<i32>>,
}

/// Counts answers that are being read.
struct OpenAnswer(Rc<Cell<i32>>);

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl FakeTargets {
    pub(super) fn open(script: impl Fn(&SeenAttempt, usize) -> TargetAct + 'static) -> Rc<Self> {
        Rc::new(Self { script: Box::new(script), seen: RefCell::default(), open: Rc::default() })
    }
}

/// The bytes of an event.
pub(super) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn reply(status: u16, meaning: ReplyMeaning, parts: Vec<Result<Bytes, SendError>>) -> TargetReply {
    TargetReply {
        meaning,
        status: StatusCode::from_u16(status).unwrap(),
        headers: Vec::new(),
        has_events: false,
        body: stream::iter(parts).boxed_local(),
    }
}

impl TargetTransport for FakeTargets {
    fn send<'a>(
        &'a self,
        attempt: TargetAttempt<'a>,
    ) -> LocalBoxFuture<'a, Result<TargetReply, SendError>> {
        let seen = SeenAttempt {
            id: attempt.request.id.to_string(),
            target: attempt.target.id.to_string(),
            resume_after: attempt.resume_after,
            path: attempt.request.path.clone(),
        };
        let before = self.seen.borrow().len();
        self.seen.borrow_mut().push(seen.clone());
        let act = (self.script)(&seen, before);
        let from = attempt.resume_after.unwrap_or(0) + 1;
        self.open.set(self.open.get() + 1);
        let open = OpenAnswer(Rc::clone(&self.open));
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let act = match act {
                TargetAct::Late(wait, events) => {
                    tokio::time::sleep(wait).await;
                    TargetAct::Events(events, true)
                }
                act => act,
            };
            match act {
                TargetAct::Events(to, complete) => {
                    let mut parts: Vec<Result<Bytes, SendError>> =
                        (from..=to).map(|id| Ok(Bytes::from(event(id)))).collect();
                    if !complete {
                        // A target may stop in the middle of an event.
                        parts.push(Ok(Bytes::from_static(b"id: 9")));
                        parts.push(Err(SendError::Lost("reset".to_owned())));
                    }
                    let steps = stream::iter(parts).then(move |part| {
                        let open = &open;
                        let _ = open;
                        async move {
                            tokio::time::sleep(Duration::from_millis(10)).await;
                            part
                        }
                    });
                    let mut reply = reply(200, ReplyMeaning::Ran, Vec::new());
                    reply.has_events = true;
                    reply.body = steps.boxed_local();
                    Ok(reply)
                }
                TargetAct::Whole(status, body) => Ok(reply(
                    status,
                    ReplyMeaning::Ran,
                    vec![Ok(Bytes::from_static(body.as_bytes()))],
                )),
                TargetAct::Late(..) => unreachable!("translated above"),
                TargetAct::NotRun => Ok(reply(503, ReplyMeaning::NotRun, Vec::new())),
                TargetAct::Fails(error) => Err(error),
                TargetAct::Hangs => {
                    let _open = open;
                    std::future::pending().await
                }
            }
        })
    }
}

/// A gateway on fakes.
pub(super) struct FakeSite {
    pub(super) store: Rc<FakeStore>,
    pub(super) dialect: Rc<FakeDialect>,
    pub(super) targets: Rc<FakeTargets>,
}

impl FakeSite {
    pub(super) fn open(targets: Rc<FakeTargets>) -> Self {
        let site = Self { store: Rc::default(), dialect: Rc::default(), targets };
        let terms = BatchTerms {
            due_within: Duration::from_secs(18),
            keep_for: Duration::from_mins(1),
            waiting_tokens: Some(1000),
        };
        let routes = vec![
            route("safe", "/safe/", RouteClass::Idempotent),
            route("notice", "/notice/", RouteClass::AtMostOnce),
            route("chat", "/chat/", RouteClass::Stream { resumable: false }),
            route("resumed", "/resumed/", RouteClass::Stream { resumable: true }),
            route("night", "/night/", RouteClass::Batch(terms)),
        ];
        site.configure(config(1, routes));
        for target in ["t1", "t2", "t3"] {
            site.store.put("targets", target, b"ready");
        }
        site
    }

    pub(super) fn configure(&self, config: GatewayConfig) {
        let mut configs = self.dialect.configs.borrow_mut();
        configs.push(config);
        let index = configs.len() as u8 - 1;
        drop(configs);
        self.store.put("operators", "config", &[index]);
    }

    pub(super) async fn gateway(&self, vm: &str) -> Gateway {
        let settings = GatewaySettings {
            vm: VmId::from(vm),
            data_centre: DataCentreId::from("a"),
            capacity: 1000,
            peers: "127.0.0.1:0".parse().unwrap(),
            results_kept: Duration::from_mins(2),
            stop_within: Duration::from_secs(7),
            balancer_notice: Duration::from_millis(100),
        };
        let gateway = Gateway::open(
            settings,
            Rc::clone(&self.targets) as Rc<dyn TargetTransport>,
            Rc::clone(&self.store) as Rc<dyn RowStore>,
            Rc::clone(&self.dialect) as Rc<dyn PlatformDialect>,
            ConnectionPool::default(),
        );
        let gateway = gateway.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway
    }
}

/// A caller's request.
pub(super) fn request(id: &str, path: &str) -> ForwardedRequest {
    ForwardedRequest {
        id: id.into(),
        method: http::Method::POST,
        path: path.to_owned(),
        host: "shop.example".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"question"),
        key: Some(crate::configuration::KeyHash::of("secret")),
        patience: Some(Duration::from_secs(3)),
        received_at: crate::clock::monotonic(),
        demand: None,
        last_event: None,
    }
}

/// Runs a test on one thread with a clock that jumps over waits.
pub(super) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
