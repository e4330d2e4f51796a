//! What VMs report to each other of their load on targets.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{ServiceName, TargetId};
use crate::placement::outlier_ejection::ReportedOutlier;

/// Running requests of a VM at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Hash of the target's id; shorter than the id, so that a report of a large fleet fits in a datagram.
    pub target: u32,
    /// Online requests.
    pub online: u8,
    /// Batch items.
    pub batch: u8,
}

/// Online requests that wait at a VM for a target of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWait {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of requests.
    pub requests: u16,
}

/// Load report of one VM, as far as placement reads it.
pub trait VmReport {
    /// Identifies the process lifetime of the VM; new after each restart.
    fn incarnation(&self) -> u64;
    /// Increases with each report of an incarnation.
    fn sequence(&self) -> u64;
    /// Load by target; targets without requests of the VM are absent.
    fn targets(&self) -> &[ReportedLoad];
    /// Waiting online requests by service; services without any are absent.
    fn waiting(&self) -> &[ReportedWait];
    /// Targets at which requests of the VM failed recently.
    fn outliers(&self) -> &[ReportedOutlier];
}

/// Returns the hash that identifies a target in reports.
pub(crate) fn target_hash(target: &TargetId) -> u32 {
    xxh3_64(target.as_str().as_bytes()) as u32
}

/// Returns the hash that identifies a service in reports.
pub(crate) fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}
