//! Targets and the use of their slots, as known to one VM.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DataCentreId, ServiceName, TargetId, VersionName};
use crate::placement::cold_start::{ColdStartCapacity, ColdStartTurns};
use crate::placement::load::target_hash;
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

/// Backoff after a target's first failure; doubles with each further one.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff of a failing target before the next probe.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff of a target that refused a request because it was full; about one step of its batch.
const FULL_TARGET_BACKOFF: Duration = Duration::from_millis(20);

/// Target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingTarget {
    /// Id; new for each incarnation unless the target registers with the same id.
    pub id: TargetId,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Network address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Version of the service that it runs; empty if unknown.
    pub version: VersionName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Remaining time in cold start.
    pub cold_for: Duration,
}

impl ServingTarget {
    /// Returns a hash that differs between incarnations.
    pub(crate) fn incarnation_hash(&self) -> u32 {
        let id = xxh3_64(self.id.as_str().as_bytes());
        (id ^ self.started_at_ms.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as u32
    }
}

/// Outcome of a request, passed when its slot is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The target responded.
    Responded,
    /// The target responded with a server error.
    ServerError,
    /// The request was cancelled.
    Cancelled,
    /// The target refused because it was full.
    Full,
    /// A different target responded at the address.
    Misdirected,
    /// The target failed or was unreachable.
    Failed,
}

/// Slot use and health of one target.
#[derive(Debug)]
pub(crate) struct TargetSlots {
    pub(crate) target: ServingTarget,
    /// Identifies the target in load reports.
    pub(crate) hash: u32,
    /// Which requests it gets while a roll-out runs.
    pub(crate) cohort: TargetCohort,
    /// Online requests and batch items of this VM.
    online: u32,
    batch: u32,
    /// Requests and batch items of other VMs, and the batch items among them.
    pub(crate) reported: u32,
    pub(crate) reported_batch: u32,
    pub(crate) cold_start: ColdStartTurns,
    backoff_until: Duration,
    failures: u32,
    misdirected: bool,
    /// Whether the target announced in a response that it is about to stop.
    pub(crate) announced_leaving: bool,
}

impl TargetSlots {
    /// Creates the state of a new target.
    pub(crate) fn open(target: ServingTarget, now: Duration) -> Self {
        Self {
            hash: target_hash(&target.id),
            cohort: TargetCohort::Current,
            cold_start: ColdStartTurns::open(now, target.cold_for),
            target,
            online: 0,
            batch: 0,
            reported: 0,
            reported_batch: 0,
            backoff_until: Duration::ZERO,
            failures: 0,
            misdirected: false,
            announced_leaving: false,
        }
    }

    /// Applies a new listing of the same incarnation.
    pub(crate) fn update(&mut self, target: ServingTarget, now: Duration) {
        if self.target != target {
            self.cold_start.extend(now, target.cold_for);
            self.target = target;
        }
    }

    /// Returns whether a listing describes the same incarnation of the target.
    pub(crate) fn is_same_incarnation(&self, target: &ServingTarget) -> bool {
        self.target.started_at_ms == target.started_at_ms && self.target.address == target.address
    }

    /// Returns the online requests and batch items of this VM on the target.
    pub(crate) fn local_use(&self) -> (u32, u32) {
        (self.online, self.batch)
    }

    /// Returns the slots used by all VMs.
    pub(crate) fn in_use(&self) -> u32 {
        (self.online + self.batch).saturating_add(self.reported)
    }

    /// Returns the slots used by no VM.
    pub(crate) fn free(&self) -> u32 {
        self.target.slots.saturating_sub(self.in_use())
    }

    /// Returns whether the target accepts requests, apart from backoff.
    pub(crate) fn is_in_service(&self, out_of_service: &HashSet<DataCentreId>) -> bool {
        !self.misdirected
            && !self.target.leaving
            && !self.announced_leaving
            && !out_of_service.contains(&self.target.data_centre)
    }

    /// Returns whether a request may be sent to the target now.
    pub(crate) fn is_usable(&self, now: Duration, out_of_service: &HashSet<DataCentreId>) -> bool {
        // After a failure, one request at a time probes whether the target has recovered.
        let is_within_probe_limit = self.failures == 0 || self.online + self.batch == 0;
        self.is_in_service(out_of_service) && is_within_probe_limit && now >= self.backoff_until
    }

    /// Acquires a slot, and uses this VM's turn at a target in cold start.
    pub(crate) fn acquire(
        &mut self,
        now: Duration,
        class: RequestClass,
        capacity: ColdStartCapacity,
    ) {
        *self.count_mut(class) += 1;
        self.cold_start.take(now, capacity);
    }

    /// Releases a slot. A failed or full target enters backoff.
    pub(crate) fn release(&mut self, now: Duration, class: RequestClass, outcome: SlotOutcome) {
        let count = self.count_mut(class);
        *count = count.saturating_sub(1);
        match outcome {
            SlotOutcome::Responded | SlotOutcome::ServerError => self.failures = 0,
            SlotOutcome::Cancelled => {}
            SlotOutcome::Full => self.backoff_until = now + FULL_TARGET_BACKOFF,
            SlotOutcome::Misdirected => self.misdirected = true,
            SlotOutcome::Failed => {
                self.failures += 1;
                let factor = 1 << (self.failures - 1).min(8);
                let backoff = (INITIAL_FAILURE_BACKOFF * factor).min(MAX_FAILURE_BACKOFF);
                self.backoff_until = now + backoff;
            }
        }
    }

    fn count_mut(&mut self, class: RequestClass) -> &mut u32 {
        match class {
            RequestClass::Online => &mut self.online,
            RequestClass::Batch => &mut self.batch,
        }
    }
}
