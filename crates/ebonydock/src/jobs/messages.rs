//! Messages of jobs.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, JobId, ObjectName, WorkspaceId};

/// Has a VM run a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The workspace of the job.
    pub workspace: WorkspaceId,
    /// The job.
    pub job: JobId,
    /// The lead's fencing number.
    pub epoch: Epoch,
    /// The number of the chunk.
    pub chunk: u32,
    /// The object with the items.
    pub input: ObjectName,
    /// When the job is due, in seconds since the Unix epoch.
    pub due: u64,
}

/// The outcome of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReport {
    /// The object with the results, unique for the attempt.
    pub output: ObjectName,
    /// Items that completed.
    pub completed: u32,
    /// Items that failed for good.
    pub failed: u32,
}

/// Tells VMs that a job was accepted or cancelled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobSignal {
    /// The workspace of the job.
    pub workspace: WorkspaceId,
    /// The job.
    pub job: JobId,
    /// Whether the receiver tells the other VMs of its data centre.
    pub relay: bool,
}
