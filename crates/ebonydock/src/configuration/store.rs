//! Reads and edits the configuration in the platform's table.

use std::collections::VecDeque;
use std::rc::Rc;

use ntex::util::Bytes;
use serde::{Deserialize, Serialize};

use crate::configuration::messages::ChangeReply;
use crate::configuration::{Change, ConfigDocument, VersionedBatch};
use crate::ids::{AttemptId, ConfigVersion, ObjectName, RowKey};
use crate::platform::durable::{WriteOutcome, decode_row, encode_row, write_once};
use crate::platform::{ObjectStore, PlatformError, PlatformResult, TableStore, TableTransaction};

const HEAD_KEY: &str = "config/head";
const MAX_WRITE_ATTEMPTS: usize = 5;
const MAX_PAGE_ROWS: usize = 200;
/// Number of versions after which a snapshot object is written.
const SNAPSHOT_INTERVAL_VERSIONS: u64 = 256;
/// Number of batches that a VM keeps for VMs that lag behind.
const MAX_HISTORY_BATCHES: usize = 1024;

#[derive(Debug, Default, Serialize, Deserialize)]
struct HeadRow {
    version: ConfigVersion,
    snapshot: Option<ObjectName>,
    snapshot_version: ConfigVersion,
}

/// Reason why an edit was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EditError {
    /// Another edit changed the configuration first.
    #[error("the configuration is at version {0}; read it again and repeat the edit")]
    Conflict(ConfigVersion),
    /// The changes are not valid.
    #[error("the changes are not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Configuration stored in the platform's services.
pub(crate) struct ConfigStore {
    table: Rc<dyn TableStore>,
    objects: Rc<dyn ObjectStore>,
}

fn batch_key(version: ConfigVersion) -> RowKey {
    RowKey::from(format!("config/batch/{:012}", version.0))
}

impl ConfigStore {
    /// Opens the store.
    pub(crate) fn open(table: Rc<dyn TableStore>, objects: Rc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    async fn head(&self) -> PlatformResult<(HeadRow, u64)> {
        match self.table.read(&RowKey::from(HEAD_KEY)).await? {
            Some(row) => Ok((decode_row(&row.value)?, row.version)),
            None => Ok((HeadRow::default(), 0)),
        }
    }

    /// Returns the changes after `version`, or `None` if there are none.
    ///
    /// A VM that lags far behind gets the snapshot first.
    pub(crate) async fn read_after(
        &self,
        version: ConfigVersion,
    ) -> PlatformResult<Option<ChangeReply>> {
        let (head, _) = self.head().await?;
        if head.version <= version {
            return Ok(None);
        }
        if let Some(snapshot) = head.snapshot.filter(|_| head.snapshot_version > version) {
            let body = self.objects.get(&snapshot).await?;
            let document = serde_json::from_slice(&body);
            let document = document.map_err(|error| PlatformError::Refused(error.to_string()))?;
            return Ok(Some(ChangeReply::Snapshot(Box::new(document))));
        }
        let after = batch_key(version);
        let rows = self.table.list("config/batch/", after.as_str(), MAX_PAGE_ROWS).await?;
        let batches = rows.iter().map(|row| decode_row(&row.value)).collect::<Result<_, _>>()?;
        Ok(Some(ChangeReply::Batches(batches)))
    }

    /// Writes `changes` as the version after `document`, which must be at the version that the operator
    /// read.
    pub(crate) async fn edit(
        &self,
        document: &ConfigDocument,
        changes: Vec<Change>,
    ) -> Result<VersionedBatch, EditError> {
        let (mut head, row_version) = self.head().await?;
        if head.version != document.version {
            return Err(EditError::Conflict(head.version));
        }
        let batch = VersionedBatch { version: document.version.next(), changes };
        let mut next = document.clone();
        next.apply(&batch).map_err(EditError::Invalid)?;
        let attempt = AttemptId::random();
        if batch.version.0.is_multiple_of(SNAPSHOT_INTERVAL_VERSIONS) {
            self.write_snapshot(&mut head, &next, &attempt).await?;
        }
        head.version = batch.version;
        let head_key = RowKey::from(HEAD_KEY);
        let batch_key = batch_key(batch.version);
        let transaction = TableTransaction::default()
            .require(&head_key, row_version)
            .require(&batch_key, 0)
            .write(&head_key, encode_row(&head, &attempt))
            .write(&batch_key, encode_row(&batch, &attempt));
        let table = self.table.as_ref();
        match write_once(table, &transaction, &batch_key, &attempt, MAX_WRITE_ATTEMPTS).await? {
            WriteOutcome::Written(_) => Ok(batch),
            WriteOutcome::Conflict => Err(EditError::Conflict(batch.version)),
        }
    }

    async fn write_snapshot(
        &self,
        head: &mut HeadRow,
        document: &ConfigDocument,
        attempt: &AttemptId,
    ) -> PlatformResult<()> {
        let name = ObjectName::from(format!("config/{}-{}", document.version, attempt.as_str()));
        let body = serde_json::to_vec(document).unwrap_or_default();
        self.objects.put(&name, Bytes::from(body)).await?;
        head.snapshot = Some(name);
        head.snapshot_version = document.version;
        Ok(())
    }
}

/// Active configuration of a VM, with the latest batches for VMs that lag behind.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    document: ConfigDocument,
    history: VecDeque<VersionedBatch>,
}

impl ConfigState {
    /// Returns the active document.
    pub(crate) fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Applies newer versions and ignores the rest. Returns the batches that became active.
    pub(crate) fn advance(&mut self, reply: ChangeReply) -> Vec<VersionedBatch> {
        match reply {
            ChangeReply::Snapshot(document) => {
                if document.version > self.document.version {
                    self.document = *document;
                    self.history.clear();
                }
                Vec::new()
            }
            ChangeReply::Batches(batches) => {
                batches.into_iter().filter(|batch| self.apply_batch(batch)).collect()
            }
        }
    }

    fn apply_batch(&mut self, batch: &VersionedBatch) -> bool {
        if batch.version != self.document.version.next() {
            return false;
        }
        if let Err(errors) = self.document.apply(batch) {
            log::error!("config: Version {} is not valid: {errors:?}.", batch.version);
            return false;
        }
        self.history.push_back(batch.clone());
        if self.history.len() > MAX_HISTORY_BATCHES {
            self.history.pop_front();
        }
        true
    }

    /// Returns the changes that a VM at version `after` needs to catch up.
    pub(crate) fn reply_after(&self, after: ConfigVersion) -> ChangeReply {
        let oldest =
            self.history.front().map_or(self.document.version.next(), |batch| batch.version);
        if after.next() < oldest {
            return ChangeReply::Snapshot(Box::new(self.document.clone()));
        }
        let newer = self.history.iter().filter(|batch| batch.version > after);
        ChangeReply::Batches(newer.cloned().collect())
    }
}
