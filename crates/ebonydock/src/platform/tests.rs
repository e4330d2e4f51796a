//! Tests of durable writes, and an in-memory table for the tests of other modules.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, join_all};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{AttemptId, ObjectName, RowKey};
use crate::platform::durable::{WriteOutcome, decode_row, encode_row, write_once};
use crate::platform::http::PlatformClient;
use crate::platform::{
    ObjectStore, PlatformError, PlatformResult, TableRow, TableStore, TableTransaction,
};

/// In-memory table with delayed calls. It loses some calls before they take effect and the responses
/// of others afterwards.
pub(crate) struct FakeTable {
    rows: RefCell<BTreeMap<String, (u64, Value)>>,
    revision: Cell<u64>,
    random: RefCell<SmallRng>,
    failure_rate: f64,
}

impl FakeTable {
    /// Opens an empty table. `failure_rate` is the fraction of calls that fail, about half of them after
    /// they took effect.
    pub(crate) fn open(seed: u64, failure_rate: f64) -> Self {
        Self {
            rows: RefCell::default(),
            revision: Cell::new(0),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            failure_rate,
        }
    }

    fn sample(&self, probability: f64) -> bool {
        self.random.borrow_mut().random_bool(probability)
    }

    async fn delay(&self) {
        let millis = self.random.borrow_mut().random_range(0..60);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    async fn deliver_response<T>(&self, response: T) -> PlatformResult<T> {
        self.delay().await;
        if self.sample(self.failure_rate / 2.0) {
            return Err(PlatformError::Unavailable("the response was lost".to_owned()));
        }
        Ok(response)
    }

    async fn deliver_call(&self) -> PlatformResult<()> {
        self.delay().await;
        if self.sample(self.failure_rate / 2.0) {
            return Err(PlatformError::Unavailable("the call was lost".to_owned()));
        }
        Ok(())
    }

    fn apply(&self, transaction: &TableTransaction) -> PlatformResult<u64> {
        let mut rows = self.rows.borrow_mut();
        for condition in &transaction.conditions {
            let version = rows.get(condition.key.as_str()).map_or(0, |(version, _)| *version);
            if version != condition.version {
                return Err(PlatformError::Conflict(condition.key.clone()));
            }
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for write in &transaction.writes {
            let key = write.key.to_string();
            match &write.value {
                Some(value) => rows.insert(key, (revision, value.clone())),
                None => rows.remove(&key),
            };
        }
        Ok(revision)
    }
}

impl TableStore for FakeTable {
    fn read<'a>(&'a self, key: &'a RowKey) -> LocalBoxFuture<'a, PlatformResult<Option<TableRow>>> {
        Box::pin(async move {
            self.deliver_call().await?;
            let row = self.rows.borrow().get(key.as_str()).map(|(version, value)| TableRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            });
            self.deliver_response(row).await
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, PlatformResult<Vec<TableRow>>> {
        Box::pin(async move {
            let start = Bound::Excluded(after.max(prefix).to_owned());
            let rows = self.rows.borrow();
            let rows = rows.range((start, Bound::Unbounded)).take(limit);
            let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
            let row = |(key, (version, value)): (&String, &(u64, Value))| TableRow {
                key: RowKey::from(key.as_str()),
                version: *version,
                value: value.clone(),
            };
            Ok(rows.map(row).collect())
        })
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalBoxFuture<'a, PlatformResult<u64>> {
        Box::pin(async move {
            self.deliver_call().await?;
            let revision = self.apply(transaction)?;
            self.deliver_response(revision).await
        })
    }
}

/// Runs a future with a paused clock, which advances to the next timer when all tasks are idle.
pub(crate) fn run_paused<T>(future: impl Future<Output = T>) -> T {
    // Initialise the process clock now, so that it does not start at a time of the paused clock.
    crate::clock::monotonic();
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(future)
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Counter {
    count: u64,
}

/// Increments a counter `times` times. Returns the numbers of confirmed and of unknown outcomes.
async fn increment(table: &FakeTable, times: usize) -> (u64, u64) {
    let key = RowKey::from("counter");
    let (mut confirmed, mut unknown) = (0, 0);
    for _ in 0..times {
        let Ok(row) = table.read(&key).await else { continue };
        let version = row.as_ref().map_or(0, |row| row.version);
        let mut counter: Counter =
            row.map(|row| decode_row(&row.value).unwrap()).unwrap_or_default();
        counter.count += 1;
        let attempt = AttemptId::random();
        let value = encode_row(&counter, &attempt);
        let transaction = TableTransaction::default().require(&key, version).write(&key, value);
        match write_once(table, &transaction, &key, &attempt, 4).await {
            Ok(WriteOutcome::Written(_)) => confirmed += 1,
            Ok(WriteOutcome::Conflict) => {}
            Err(_) => unknown += 1,
        }
    }
    (confirmed, unknown)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn write_takes_effect_once_or_is_unknown(
        seed in any::<u64>(),
        failure_rate in 0.0..0.6f64,
        writers in 1usize..5,
    ) {
        run_paused(async {
            let table = Rc::new(FakeTable::open(seed, failure_rate));
            let outcomes = join_all((0..writers).map(|_| increment(&table, 12))).await;
            let confirmed: u64 = outcomes.iter().map(|(confirmed, _)| confirmed).sum();
            let unknown: u64 = outcomes.iter().map(|(_, unknown)| unknown).sum();
            let rows = table.rows.borrow();
            let count = rows.get("counter").map_or(0, |(_, value)| value["count"].as_u64().unwrap());
            // A write that took effect counts as a conflict if another writer overwrote it before the
            // read-back.
            let overwritten =
                if writers > 1 { count.saturating_sub(confirmed + unknown) } else { 0 };
            assert!(
                count + unknown >= confirmed,
                "count {count}, confirmed {confirmed}, unknown {unknown}"
            );
            assert!(count <= confirmed + unknown + overwritten);
            if writers == 1 {
                assert!(confirmed <= count && count <= confirmed + unknown);
            }
        });
    }
}

/// Reads an object from a server that sends this response and resets the connection if `resets` is set.
fn read_object(response: &'static str, resets: bool) -> PlatformResult<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap() > 2 {
            line.clear();
        }
        (&stream).write_all(response.as_bytes()).unwrap();
        if resets {
            std::thread::sleep(Duration::from_millis(2));
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let object = tokio::task::LocalSet::new().block_on(&runtime, async {
        let client = PlatformClient::open(&address);
        client.get(&ObjectName::from("jobs/j1/in")).await.map(|body| body.to_vec())
    });
    server.join().unwrap();
    object
}

/// The inputs of a job were taken for empty when they came without a length.
#[test]
fn object_without_length_is_read_to_its_end() {
    let response = "HTTP/1.1 200 OK\r\n\r\nthe first part";
    assert_eq!(read_object(response, false), Ok(b"the first part".to_vec()));
    let broken = read_object(response, true);
    assert!(matches!(broken, Err(PlatformError::Unavailable(_))), "{broken:?}");
}
