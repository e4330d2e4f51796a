//! Outcomes of the requests of all VMs at old and new targets.

use std::time::Duration;

use crate::ids::VmId;
use crate::rollouts::evidence::RolloutReport;

/// Evidence of all VMs on a roll-out. Every VM keeps it while the roll-out runs, so that any of them can lead it.
#[derive(Debug)]
pub struct FleetEvidence {
    revision: u64,
}

impl FleetEvidence {
    /// Opens the evidence on an order.
    pub fn open(revision: u64) -> Self {
        Self { revision }
    }

    /// Returns the revision of the order.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the report of a VM, also of the local one. A report on another order, or one that is not newer than
    /// the last one of its incarnation, changes nothing.
    pub fn observe(
        &mut self,
        now: Duration,
        (vm, incarnation, sequence): (&VmId, u64, u64),
        report: &RolloutReport,
    ) {
        todo!("{now:?} {vm} {incarnation} {sequence} {report:?}")
    }
}
