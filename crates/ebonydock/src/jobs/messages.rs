//! Messages between VMs about batch jobs.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, JobId, ObjectName, WorkspaceId};

/// Asks a VM to run a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Workspace of the job.
    pub workspace: WorkspaceId,
    /// Name of the job.
    pub job: JobId,
    /// Fencing number of the leader.
    pub epoch: Epoch,
    /// Number of the chunk.
    pub chunk: u32,
    /// Object that holds the items.
    pub input: ObjectName,
    /// Due time of the job, in seconds since the Unix epoch.
    pub due: u64,
}

/// Outcome of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReport {
    /// Object that holds the results; its name is unique per attempt.
    pub output: ObjectName,
    /// Number of completed items.
    pub completed: u32,
    /// Number of permanently failed items.
    pub failed: u32,
}

/// Notifies VMs that a job was accepted or cancelled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobSignal {
    /// Workspace of the job.
    pub workspace: WorkspaceId,
    /// Name of the job.
    pub job: JobId,
    /// Whether the receiver forwards the message to the other VMs of its data centre.
    pub relay: bool,
}
