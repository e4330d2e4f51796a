//! Platform services: transactional table, object store, and list of VMs and targets.
//!
//! Other modules use the traits; only [`http`] depends on a wire format. Futures are not `Send` because
//! the HTTP client is not.

pub(crate) mod durable;
pub mod http;
pub mod rows;
#[cfg(test)]
pub(crate) mod tests;

use futures_util::future::LocalBoxFuture;
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{DataCentreId, ModelName, ObjectName, RowKey, ServiceName, TargetId, VmId};

/// Row of the table, with the version that conditional writes compare.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Version, which increases with every write of the row; absent rows have version 0.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// Condition of a transaction: the row must have the given version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: RowKey,
    /// Required version; 0 requires that the row is absent.
    pub version: u64,
}

/// Write or deletion of a row in a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
}

/// Atomic transaction: conditions, and writes that take effect if all conditions hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<RowCondition>,
    /// Writes and deletions.
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// Adds a condition on the version of a row.
    #[must_use]
    pub fn require(mut self, key: &RowKey, version: u64) -> Self {
        self.conditions.push(RowCondition { key: key.clone(), version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn write(mut self, key: &RowKey, value: Value) -> Self {
        self.writes.push(RowWrite { key: key.clone(), value: Some(value) });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: &RowKey) -> Self {
        self.writes.push(RowWrite { key: key.clone(), value: None });
        self
    }
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// A condition on this row did not hold; nothing was written.
    #[error("a concurrent write changed row `{0}`")]
    Conflict(RowKey),
    /// The service did not respond or failed; a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// The service refused the request; nothing was written. Also used for rows that cannot be decoded.
    #[error("the platform refused the request: {0}")]
    Refused(String),
}

/// Result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Platform's transactional table.
pub trait TableStore {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a RowKey) -> LocalBoxFuture<'a, PlatformResult<Option<TableRow>>>;
    /// Lists up to `limit` rows whose keys start with `prefix` and sort after `after`, ordered by key.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, PlatformResult<Vec<TableRow>>>;
    /// Runs a transaction and returns its revision, the new version of every row that it wrote.
    /// Revisions always increase, also when a row is deleted and written again.
    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalBoxFuture<'a, PlatformResult<u64>>;
}

/// Platform's object store. Objects are immutable.
pub trait ObjectStore {
    /// Writes an object. Writing the same content again is allowed.
    fn put<'a>(
        &'a self,
        name: &'a ObjectName,
        body: Bytes,
    ) -> LocalBoxFuture<'a, PlatformResult<()>>;
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a ObjectName) -> LocalBoxFuture<'a, PlatformResult<Bytes>>;
}

/// Platform's list of VMs and targets, which may be out of date.
pub trait FleetSource {
    /// Fetches the list.
    fn fetch(&self) -> LocalBoxFuture<'_, PlatformResult<FleetListing>>;
}

/// VMs and targets listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetListing {
    /// VMs that run the daemon.
    pub vms: Vec<VmEntry>,
    /// Targets.
    pub targets: Vec<TargetEntry>,
}

/// Entry of a VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// UDP address for messages between VMs.
    pub peer_address: std::net::SocketAddr,
    /// Whether the VM is going to be stopped.
    #[serde(default)]
    pub leaving: bool,
}

/// Entry of a target in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub target: TargetId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Address of the target (`host:port`).
    pub address: String,
    /// Whether the target is going to be stopped.
    #[serde(default)]
    pub leaving: bool,
    /// Role of the target.
    pub role: TargetRole,
}

/// Role of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetRole {
    /// Model engine with its capability.
    #[serde(rename = "engine")]
    Engine(EngineCapability),
    /// Plain service.
    #[serde(rename = "service")]
    Service(ServiceName),
}

/// Models and capacity of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineCapability {
    /// Models that are loaded.
    pub models: Vec<ModelName>,
    /// Maximum number of concurrent sequences.
    pub max_sequences: u32,
    /// Maximum number of tokens per request, prompt and output together.
    pub context_tokens: u32,
    /// Capacity of the cache, in tokens.
    pub cache_tokens: u32,
    /// Maximum number of concurrent sequences during a cold start.
    pub cold_sequences: u32,
    /// Maximum duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Whether the engine refuses commands with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}
