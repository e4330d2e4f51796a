//! Reading and editing the configuration in the platform's table.

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
const WRITE_TRIES: usize = 5;
const PAGE: usize = 200;
/// A snapshot object is written after this many versions.
const SNAPSHOT_EVERY: u64 = 256;
/// Batches that a VM keeps for VMs that are behind.
const HISTORY: usize = 1024;

#[derive(Debug, Default, Serialize, Deserialize)]
struct HeadRow {
    version: ConfigVersion,
    snapshot: Option<ObjectName>,
    snapshot_version: ConfigVersion,
}

/// Why an edit was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EditError {
    /// Another operator was faster.
    #[error("the configuration is at version {0}; read it again and repeat the edit")]
    Conflict(ConfigVersion),
    /// The changes are not valid.
    #[error("the changes are not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// The configuration in the platform's services.
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

    /// What follows `version`; a VM that is far behind gets the snapshot first.
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
        let rows = self.table.list("config/batch/", after.as_str(), PAGE).await?;
        let batches = rows.iter().map(|row| decode_row(&row.value)).collect::<Result<_, _>>()?;
        Ok(Some(ChangeReply::Batches(batches)))
    }

    /// Accepts `changes` on top of `document`, which must be at the version that the operator read.
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
        if batch.version.0.is_multiple_of(SNAPSHOT_EVERY) {
            self.write_snapshot(&mut head, &next, &attempt).await?;
        }
        head.version = batch.version;
        let head_key = RowKey::from(HEAD_KEY);
        let witness = batch_key(batch.version);
        let transaction = TableTransaction::default()
            .require(&head_key, row_version)
            .require(&witness, 0)
            .write(&head_key, encode_row(&head, &attempt))
            .write(&witness, encode_row(&batch, &attempt));
        let table = self.table.as_ref();
        match write_once(table, &transaction, &witness, &attempt, WRITE_TRIES).await? {
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

/// The configuration in force at a VM, with the newest batches for VMs that are behind.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    document: ConfigDocument,
    history: VecDeque<VersionedBatch>,
}

impl ConfigState {
    /// The document in force.
    pub(crate) fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Takes what leads forward and ignores the rest. Returns the batches that came into force.
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
                batches.into_iter().filter(|batch| self.advance_one(batch)).collect()
            }
        }
    }

    fn advance_one(&mut self, batch: &VersionedBatch) -> bool {
        if batch.version != self.document.version.next() {
            return false;
        }
        if let Err(findings) = self.document.apply(batch) {
            log::error!("config: Version {} is not valid: {findings:?}.", batch.version);
            return false;
        }
        self.history.push_back(batch.clone());
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        true
    }

    /// What a VM at version `after` needs to catch up.
    pub(crate) fn reply_after(&self, after: ConfigVersion) -> ChangeReply {
        let first =
            self.history.front().map_or(self.document.version.next(), |batch| batch.version);
        if after.next() < first {
            return ChangeReply::Snapshot(Box::new(self.document.clone()));
        }
        let newer = self.history.iter().filter(|batch| batch.version > after);
        ChangeReply::Batches(newer.cloned().collect())
    }
}
