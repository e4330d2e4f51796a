//! Decides on the steps of a roll-out, on its leader.

use std::time::Duration;

use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::fleet_evidence::FleetEvidence;
use crate::rollouts::order::RolloutSettings;
use crate::rollouts::record::RolloutRecord;

/// Targets of a cohort and their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CohortLoad {
    /// Targets in service.
    pub targets: u32,
    /// Their slots.
    pub slots: u32,
    /// Requests of all VMs that run there.
    pub running: u32,
}

/// Load of old and new targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutLoad {
    /// Old targets.
    pub current: CohortLoad,
    /// New targets.
    pub next: CohortLoad,
    /// Live VMs, with the local one.
    pub vms: u32,
    /// Longest time-out of the service's routes.
    pub longest_timeout: Duration,
}

/// Decision on a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutStep {
    /// Nothing changes.
    Keep,
    /// The record is to be written; the step takes effect once it is stored.
    Advance(RolloutRecord),
    /// The step takes effect at once by announcement, and the record is to be written until the store confirms it.
    Stop(RolloutRecord),
}

/// Decides on the steps of a roll-out. It exists on the leader for the time of its lease.
#[derive(Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    record: RolloutRecord,
    is_stored: bool,
    /// Store's clock minus the monotonic clock.
    store_offset: Duration,
}

impl RolloutController {
    /// Opens the controller of a leader whose claim is stored. `now` and `store_now` are the same moment by the
    /// monotonic clock and by the store's.
    pub fn open(
        settings: RolloutSettings,
        record: RolloutRecord,
        now: Duration,
        store_now: Duration,
    ) -> Self {
        Self { settings, record, is_stored: true, store_offset: store_now.saturating_sub(now) }
    }

    /// Returns the record as last stored or, after a stop, as last decided.
    pub fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Decides on the next step. Called every 100 ms or more often. The same step is returned again until
    /// [`Self::confirm`] is called with the record that the store has acknowledged.
    pub fn decide(
        &mut self,
        now: Duration,
        evidence: &FleetEvidence,
        load: &RolloutLoad,
    ) -> RolloutStep {
        todo!("{now:?} {evidence:?} {load:?} {:?}", (self.settings, self.store_offset))
    }

    /// Records that the store has acknowledged a record, also one of a renewal, or that it was read there.
    pub fn confirm(&mut self, record: &RolloutRecord) {
        todo!("{record:?}")
    }

    /// Returns the record to write to renew the lease.
    pub fn renewal(&self, store_now: Duration, evidence: &FleetEvidence) -> RolloutRecord {
        todo!("{store_now:?} {evidence:?}")
    }

    /// Returns what to announce in load reports.
    pub fn announcement(&self) -> RolloutAnnouncement {
        todo!("{:?}", self.is_stored)
    }
}
