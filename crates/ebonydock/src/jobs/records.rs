//! Rows of jobs in the platform's table, and the state of a job's chunks.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Epoch, JobId, ObjectName, RowKey, VmId, WorkspaceId};
use crate::jobs::messages::ChunkReport;
use crate::platform::durable::decode_row;
use crate::platform::{PlatformResult, TableStore};

/// Workspace and name of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobKey {
    /// Workspace of the job.
    pub(crate) workspace: WorkspaceId,
    /// Name of the job, unique in the workspace.
    pub(crate) job: JobId,
}

impl JobKey {
    /// Returns the key of the job row.
    pub(crate) fn job_row(&self) -> RowKey {
        RowKey::from(format!("job/{}/{}", self.workspace, self.job))
    }

    /// Returns the key of the progress row.
    pub(crate) fn progress_row(&self) -> RowKey {
        RowKey::from(format!("progress/{}/{}", self.workspace, self.job))
    }

    /// Returns the key of the row that lists the job as active in a data centre.
    pub(crate) fn active_row(&self, data_centre: &DataCentreId) -> RowKey {
        RowKey::from(format!("active/{data_centre}/{}/{}", self.workspace, self.job))
    }

    /// Returns the key that selects the VM that leads the job.
    pub(crate) fn ownership_key(&self) -> String {
        format!("job/{}/{}", self.workspace, self.job)
    }
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobState {
    /// Items are waiting or running.
    Running,
    /// Every item completed or failed permanently.
    Completed,
    /// The caller cancelled the job; committed results stay readable.
    Cancelled,
}

/// Row of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobRow {
    /// Hash of the items; distinguishes a resubmission from another job of the same name.
    pub(crate) digest: String,
    /// Number of items.
    pub(crate) items: u64,
    /// Objects that hold the items, one per chunk, in order.
    pub(crate) inputs: Vec<ObjectName>,
    /// Due time, in seconds since the Unix epoch.
    pub(crate) due: u64,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub(crate) accepted: u64,
    /// State of the job.
    pub(crate) state: JobState,
}

/// Row of a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProgressRow {
    /// Fencing number of the leader.
    pub(crate) epoch: Epoch,
    /// VM that leads the job.
    pub(crate) lead: Option<VmId>,
    /// Reports of the committed chunks, by chunk number.
    pub(crate) chunks: BTreeMap<u32, ChunkReport>,
}

impl ProgressRow {
    /// Returns the number of completed items in committed chunks.
    pub(crate) fn completed(&self) -> u64 {
        self.chunks.values().map(|chunk| u64::from(chunk.completed)).sum()
    }

    /// Returns the number of permanently failed items in committed chunks.
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

/// Tracks which chunks of a job wait, run, or are finished but not committed. Does no I/O.
#[derive(Debug, Default)]
pub struct ChunkTracker {
    waiting: BTreeSet<u32>,
    running: BTreeMap<u32, VmId>,
    finished: BTreeMap<u32, ChunkReport>,
    committed: usize,
    total: usize,
}

impl ChunkTracker {
    /// Creates a tracker of `total` chunks of which `committed` are already committed.
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

    /// Assigns a waiting chunk to the least busy of `vms`, if it runs fewer than `limit` chunks.
    pub fn assign(&mut self, vms: &[VmId], limit: usize) -> Option<(u32, VmId)> {
        let chunk = *self.waiting.first()?;
        let busy = |vm: &VmId| self.running.values().filter(|holder| *holder == vm).count();
        let vm = vms.iter().min_by_key(|vm| busy(vm)).filter(|vm| busy(vm) < limit)?.clone();
        self.waiting.remove(&chunk);
        self.running.insert(chunk, vm.clone());
        Some((chunk, vm))
    }

    /// Records the outcome of a running chunk. Without a report the chunk waits again.
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

    /// Returns the reports of chunks that are finished but not committed.
    pub fn finished(&self) -> &BTreeMap<u32, ChunkReport> {
        &self.finished
    }

    /// Records that finished chunks were committed.
    pub fn commit(&mut self, chunks: impl IntoIterator<Item = u32>) {
        for chunk in chunks {
            if self.finished.remove(&chunk).is_some() {
                self.committed += 1;
            }
        }
    }
}
