//! Targets and how their slots are used, as one VM knows it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::load::target_hash;
use crate::ids::{DataCentreId, ServiceName, TargetId};
use crate::scheduling::RequestClass;

/// A target that failed is left alone for this long, twice as long after each further failure.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// The longest time that a failing target is left alone before it is tried again.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// A target that refused because it was full is left alone for about one step of its batch.
const FULL_TARGET_BACKOFF: Duration = Duration::from_millis(20);

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingTarget {
    /// The id, new with each start unless the start says otherwise.
    pub id: TargetId,
    /// When it started, in Unix milliseconds; 0 if it did not say.
    pub started_at_ms: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How much longer it is in cold start.
    pub cold_for: Duration,
}

/// How a slot was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The target answered.
    Responded,
    /// The request was cancelled.
    Cancelled,
    /// The target was full.
    Full,
    /// Another target answers at the address.
    Misdirected,
    /// The target failed or was not reached.
    Failed,
}

/// The slots of one target.
#[derive(Debug)]
pub(crate) struct TargetSlots {
    pub(crate) target: ServingTarget,
    /// The name of the target in reports.
    pub(crate) hash: u32,
    /// Requests and items of this VM.
    online: u32,
    batch: u32,
    /// Requests and items of other VMs, and the items among them.
    pub(crate) reported: u32,
    pub(crate) reported_batch: u32,
    cold_since: Duration,
    cold_until: Duration,
    cold_next: Duration,
    /// The part of this VM's interval between requests that it lets pass before the first one: what the
    /// target bears in cold start is the sum over all VMs.
    cold_offset: f64,
    backoff_until: Duration,
    failures: u32,
    misdirected: bool,
}

impl TargetSlots {
    /// A target that was not met yet.
    pub(crate) fn open(target: ServingTarget, now: Duration) -> Self {
        Self {
            hash: target_hash(&target.id),
            cold_since: now,
            cold_until: now + target.cold_for,
            cold_next: now,
            cold_offset: rand::random(),
            target,
            online: 0,
            batch: 0,
            reported: 0,
            reported_batch: 0,
            backoff_until: Duration::ZERO,
            failures: 0,
            misdirected: false,
        }
    }

    /// Takes a new listing of the same start.
    pub(crate) fn update(&mut self, target: ServingTarget, now: Duration) {
        if self.target != target {
            if now >= self.cold_until {
                self.cold_since = now;
                self.cold_offset = rand::random();
            }
            self.cold_until = now + target.cold_for;
            self.target = target;
        }
    }

    /// Whether a listing tells of the same start of the target.
    pub(crate) fn is_same_incarnation(&self, target: &ServingTarget) -> bool {
        self.target.started_at_ms == target.started_at_ms && self.target.address == target.address
    }

    /// What this VM has running there, online and batch.
    pub(crate) fn local_use(&self) -> (u32, u32) {
        (self.online, self.batch)
    }

    /// What all VMs have running there.
    pub(crate) fn in_use(&self) -> u32 {
        self.online + self.batch + self.reported
    }

    /// The slots that nobody uses.
    pub(crate) fn free(&self) -> u32 {
        self.target.slots.saturating_sub(self.in_use())
    }

    /// Whether the target may be sent requests at all.
    pub(crate) fn is_in_service(&self, out_of_service: &HashSet<DataCentreId>) -> bool {
        !self.misdirected
            && !self.target.leaving
            && !out_of_service.contains(&self.target.data_centre)
    }

    /// Whether the target may be sent a request now.
    pub(crate) fn is_usable(&self, now: Duration, out_of_service: &HashSet<DataCentreId>) -> bool {
        // Once suspected, one request at a time shows whether the target is back.
        let is_within_probe_limit = self.failures == 0 || self.online + self.batch == 0;
        self.is_in_service(out_of_service) && is_within_probe_limit && now >= self.backoff_until
    }

    /// Whether this VM has spent its share of what the target bears in cold start: `cold_rate` in requests
    /// a second; 0 means no limit.
    pub(crate) fn is_cold_start_limited(&self, now: Duration, cold_start_share: f64) -> bool {
        if cold_start_share <= 0.0 || now >= self.cold_until {
            return false;
        }
        let offset = Duration::from_secs_f64(self.cold_offset / cold_start_share);
        now < self.cold_next.max(self.cold_since + offset)
    }

    /// Takes a slot. `cold_rate` is this VM's share of what a cold target bears, in requests a second; 0
    /// means no limit.
    pub(crate) fn acquire(&mut self, now: Duration, class: RequestClass, cold_start_share: f64) {
        *self.count_mut(class) += 1;
        if now < self.cold_until && cold_start_share > 0.0 {
            self.cold_next = now + Duration::from_secs_f64(1.0 / cold_start_share);
        }
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, now: Duration, class: RequestClass, outcome: SlotOutcome) {
        let count = self.count_mut(class);
        *count = count.saturating_sub(1);
        match outcome {
            SlotOutcome::Responded => self.failures = 0,
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
