//! The rows of a job in the platform's table.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Epoch, JobId, ObjectName, RowKey, VmId, WorkspaceId};
use crate::jobs::messages::ChunkReport;
use crate::platform::durable::decode_row;
use crate::platform::{PlatformResult, TableStore};

/// A job by its workspace and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobKey {
    /// The workspace.
    pub(crate) workspace: WorkspaceId,
    /// The name.
    pub(crate) job: JobId,
}

impl JobKey {
    /// The row of the job itself.
    pub(crate) fn job_row(&self) -> RowKey {
        RowKey::from(format!("job/{}/{}", self.workspace, self.job))
    }

    /// The row of its progress.
    pub(crate) fn progress_row(&self) -> RowKey {
        RowKey::from(format!("progress/{}/{}", self.workspace, self.job))
    }

    /// The row that lists it among the active jobs of a data centre.
    pub(crate) fn active_row(&self, data_centre: &DataCentreId) -> RowKey {
        RowKey::from(format!("active/{data_centre}/{}/{}", self.workspace, self.job))
    }

    /// The key that decides which VM leads it.
    pub(crate) fn ownership_key(&self) -> String {
        format!("job/{}/{}", self.workspace, self.job)
    }
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobState {
    /// Items are waiting or running.
    Running,
    /// Every item completed or failed for good.
    Completed,
    /// The caller cancelled it; results committed before stay readable.
    Cancelled,
}

/// The row of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobRow {
    /// The hash of the items and of the due time, which tells a resent job from another one.
    pub(crate) digest: String,
    /// The number of items.
    pub(crate) items: u64,
    /// The objects with the items, in order.
    pub(crate) inputs: Vec<ObjectName>,
    /// When the job is due, in seconds since the Unix epoch.
    pub(crate) due: u64,
    /// When it was accepted, in seconds since the Unix epoch.
    pub(crate) accepted: u64,
    /// Where it stands.
    pub(crate) state: JobState,
}

/// The row of a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProgressRow {
    /// The fencing number of the lead.
    pub(crate) epoch: Epoch,
    /// The VM that leads.
    pub(crate) lead: Option<VmId>,
    /// Committed chunks with their results.
    pub(crate) chunks: BTreeMap<u32, ChunkReport>,
}

impl ProgressRow {
    /// Items that completed, in committed chunks.
    pub(crate) fn completed(&self) -> u64 {
        self.chunks.values().map(|chunk| u64::from(chunk.completed)).sum()
    }

    /// Items that failed for good, in committed chunks.
    pub(crate) fn failed(&self) -> u64 {
        self.chunks.values().map(|chunk| u64::from(chunk.failed)).sum()
    }
}

/// Reads the row of a job with its version.
pub(crate) async fn read_job(
    table: &dyn TableStore,
    key: &JobKey,
) -> PlatformResult<Option<(JobRow, u64)>> {
    let Some(row) = table.read(&key.job_row()).await? else { return Ok(None) };
    Ok(Some((decode_row(&row.value)?, row.version)))
}

/// Reads the row of a job's progress with its version.
pub(crate) async fn read_progress(
    table: &dyn TableStore,
    key: &JobKey,
) -> PlatformResult<Option<(ProgressRow, u64)>> {
    let Some(row) = table.read(&key.progress_row()).await? else { return Ok(None) };
    Ok(Some((decode_row(&row.value)?, row.version)))
}

/// Which chunks of a job wait, run, or are finished but not committed. Free of I/O.
#[derive(Debug, Default)]
pub struct ChunkTracker {
    waiting: BTreeSet<u32>,
    running: BTreeMap<u32, VmId>,
    finished: BTreeMap<u32, ChunkReport>,
    committed: usize,
    total: usize,
}

impl ChunkTracker {
    /// A ledger of `total` chunks of which `committed` are committed.
    pub fn open(total: u32, committed: impl IntoIterator<Item = u32>) -> Self {
        let mut waiting: BTreeSet<u32> = (0..total).collect();
        let mut count = 0;
        for chunk in committed {
            if waiting.remove(&chunk) {
                count += 1;
            }
        }
        Self { waiting, committed: count, total: total as usize, ..Self::default() }
    }

    /// Whether every chunk is committed.
    pub fn is_complete(&self) -> bool {
        self.committed == self.total
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Takes a waiting chunk for one of `vms` that runs fewer than `limit`, least busy first.
    pub fn assign(&mut self, vms: &[VmId], limit: usize) -> Option<(u32, VmId)> {
        let chunk = *self.waiting.first()?;
        let busy = |vm: &VmId| self.running.values().filter(|holder| *holder == vm).count();
        let vm = vms.iter().min_by_key(|vm| busy(vm)).filter(|vm| busy(vm) < limit)?.clone();
        self.waiting.remove(&chunk);
        self.running.insert(chunk, vm.clone());
        Some((chunk, vm))
    }

    /// Takes the outcome of a chunk; without a report it waits again.
    pub fn finish(&mut self, chunk: u32, report: Option<ChunkReport>) {
        if self.running.remove(&chunk).is_none() {
            return;
        }
        match report {
            Some(report) => {
                self.finished.insert(chunk, report);
            }
            None => {
                self.waiting.insert(chunk);
            }
        }
    }

    /// Chunks that are finished and not committed.
    pub fn finished(&self) -> &BTreeMap<u32, ChunkReport> {
        &self.finished
    }

    /// Notes that finished chunks were committed.
    pub fn commit(&mut self, chunks: impl IntoIterator<Item = u32>) {
        for chunk in chunks {
            if self.finished.remove(&chunk).is_some() {
                self.committed += 1;
            }
        }
    }
}
