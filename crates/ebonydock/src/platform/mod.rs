//! The platform's services: table, object store and list of VMs and targets.
//!
//! The traits are the border; [`http`] is the only module that knows a wire format. Futures are local
//! to a thread because the HTTP client is.

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

/// A row of the table with the version that conditional writes compare.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableRow {
    /// The key of the row.
    pub key: RowKey,
    /// Grows with every write of the row; absent rows have version 0.
    pub version: u64,
    /// The content of the row.
    pub value: Value,
}

/// A condition of a transaction: the row must have this version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowCondition {
    /// The key of the row.
    pub key: RowKey,
    /// The version that the row must have; 0 requires that the row is absent.
    pub version: u64,
}

/// A write of a transaction; `None` deletes the row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowWrite {
    /// The key of the row.
    pub key: RowKey,
    /// The new content.
    pub value: Option<Value>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Every condition must hold.
    pub conditions: Vec<RowCondition>,
    /// The writes.
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

/// Why the platform did not answer as asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// A condition did not hold; nothing was written.
    #[error("a concurrent write changed row `{0}`")]
    Conflict(RowKey),
    /// The service did not answer; a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// The service refused the request; nothing was written.
    #[error("the platform refused the request: {0}")]
    Refused(String),
}

/// The outcome of a call of the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// The platform's transactional table service.
pub trait TableStore {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a RowKey) -> LocalBoxFuture<'a, PlatformResult<Option<TableRow>>>;
    /// Lists up to `limit` rows whose keys start with `prefix` and follow `after`, in order of the keys.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, PlatformResult<Vec<TableRow>>>;
    /// Runs a transaction. Returns its revision, which is the new version of every row that it wrote;
    /// revisions grow, also over the deletion of a row.
    fn transact<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalBoxFuture<'a, PlatformResult<u64>>;
}

/// The platform's object store. Objects are written once and never changed.
pub trait ObjectStore {
    /// Writes an object; writing the same object again is allowed.
    fn put<'a>(
        &'a self,
        name: &'a ObjectName,
        body: Bytes,
    ) -> LocalBoxFuture<'a, PlatformResult<()>>;
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a ObjectName) -> LocalBoxFuture<'a, PlatformResult<Bytes>>;
}

/// The platform's list of VMs and targets. It lags behind the truth.
pub trait VmList {
    /// Reads the list.
    fn fetch(&self) -> LocalBoxFuture<'_, PlatformResult<FleetListing>>;
}

/// What the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetListing {
    /// The VMs that run the daemon.
    pub vms: Vec<VmEntry>,
    /// The targets.
    pub targets: Vec<TargetEntry>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The UDP address for messages between VMs.
    pub peer_address: std::net::SocketAddr,
    /// Whether the VM is about to be stopped.
    #[serde(default)]
    pub leaving: bool,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The name of the target.
    pub target: TargetId,
    /// The data centre of the target.
    pub data_centre: DataCentreId,
    /// The address of the target, `host:port`.
    pub address: String,
    /// Whether the target is about to be stopped.
    #[serde(default)]
    pub leaving: bool,
    /// What the target does.
    pub role: TargetRole,
}

/// What a target does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetRole {
    /// A model engine.
    #[serde(rename = "engine")]
    Engine(EngineCapability),
    /// A plain service.
    #[serde(rename = "service")]
    Service(ServiceName),
}

/// What an engine can serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineCapability {
    /// The models that it has loaded.
    pub models: Vec<ModelName>,
    /// The most sequences that it is sized for.
    pub max_sequences: u32,
    /// The most tokens that a request may hold, prompt and answer together.
    pub context_tokens: u32,
    /// The tokens that fit into its cache memory.
    pub cache_tokens: u32,
    /// The sequences that it bears in cold start.
    pub cold_sequences: u32,
    /// How long a cold start takes at most, in milliseconds.
    pub cold_ms: u64,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}
