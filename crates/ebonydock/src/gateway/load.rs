//! What a VM tells the others about the load that it puts on targets and quotas.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::report_routes::ReportInterest;
use crate::ids::{ServiceName, TargetId, VmId, WorkspaceId};

/// The requests that a VM has running at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// A hash of the target's id, which keeps a report of a large fleet within a datagram.
    pub target: u32,
    /// Requests of callers.
    pub online: u8,
    /// Items of jobs.
    pub batch: u8,
}

/// The requests of callers that wait at a VM for a target of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWait {
    /// A hash of the service's name.
    pub service: u32,
    /// Requests.
    pub requests: u16,
}

/// What a VM has admitted for a workspace since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentQuota {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests.
    pub requests: u64,
}

/// The load of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Differs after each start of the VM.
    pub incarnation: u64,
    /// Grows with each report of an incarnation; datagrams may overtake each other.
    pub sequence: u64,
    /// Targets with requests of the VM.
    pub targets: Vec<ReportedLoad>,
    /// Quotas that the VM has spent from.
    pub quotas: Vec<SpentQuota>,
    /// Services for whose targets callers' requests wait at the VM.
    pub waiting: Vec<ReportedWait>,
}

/// Reports that travel in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// What the sender wants to be told in return.
    pub interest: ReportInterest,
    /// Reports by their VMs.
    pub reports: Vec<(VmId, LoadReport)>,
}

/// The hash under which reports name a target.
pub(crate) fn target_hash(target: &TargetId) -> u32 {
    xxh3_64(target.as_str().as_bytes()) as u32
}

/// The hash under which reports name a service.
pub(crate) fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}
