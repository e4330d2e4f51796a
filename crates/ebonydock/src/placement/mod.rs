//! Selects a target for each request, queues requests while no slot is free, and divides the slots between
//! online requests and batch items.
//!
//! Decisions without I/O. Each VM decides by itself, on its own use of targets and on what other VMs report.
//! [`RequestDispatcher`] holds the state; the gateway reaches it through [`SlotPlacement`] for each request.

pub(crate) mod batch_balance;
mod cohorts;
mod cold_start;
pub(crate) mod dispatcher;
pub(crate) mod fleet_load;
pub(crate) mod idle_connections;
pub(crate) mod load;
pub(crate) mod outlier_ejection;
pub(crate) mod slots;
#[cfg(test)]
pub(crate) mod tests;
pub(crate) mod wait_queue;

use std::time::Duration;

pub use batch_balance::BatchPreemption;
pub use dispatcher::{PlacementOutcome, RequestDispatcher};
pub use idle_connections::IdleConnections;
pub use load::{ReportedLoad, ReportedWait, VmReport};
pub use outlier_ejection::ReportedOutlier;
pub use slots::{ServingTarget, SlotOutcome};
pub use wait_queue::{DecidedWaiter, SlotNeed, SlotRefusal, SlotWaiter};

use crate::ids::TargetId;
use crate::scheduling::RequestClass;

/// Places requests on the slots of targets.
pub(crate) trait SlotPlacement {
    /// Acquires a slot, or queues the request, or refuses it.
    fn request(&mut self, now: Duration, need: SlotNeed) -> PlacementOutcome;
    /// Removes a waiting request.
    fn cancel(&mut self, waiter: SlotWaiter);
    /// Decides on waiting requests.
    fn advance(&mut self, now: Duration) -> Vec<DecidedWaiter>;
    /// Releases a slot.
    fn release(&mut self, now: Duration, id: &TargetId, class: RequestClass, outcome: SlotOutcome);
    /// Records how long a target took to serve an online request.
    fn record_service_time(&mut self, id: &TargetId, service_time: Duration);
    /// Decides how many batch items of this VM are preempted and how many may start.
    fn balance_batch(&mut self, now: Duration) -> Vec<BatchPreemption>;
}

impl SlotPlacement for RequestDispatcher {
    fn request(&mut self, now: Duration, need: SlotNeed) -> PlacementOutcome {
        self.request(now, need)
    }

    fn cancel(&mut self, waiter: SlotWaiter) {
        self.cancel(waiter);
    }

    fn advance(&mut self, now: Duration) -> Vec<DecidedWaiter> {
        self.advance(now)
    }

    fn release(&mut self, now: Duration, id: &TargetId, class: RequestClass, outcome: SlotOutcome) {
        self.release(now, id, class, outcome);
    }

    fn record_service_time(&mut self, id: &TargetId, service_time: Duration) {
        self.record_service_time(id, service_time);
    }

    fn balance_batch(&mut self, now: Duration) -> Vec<BatchPreemption> {
        self.balance_batch(now)
    }
}
