//! Balances batch work against online requests: how many batch items may start and how many are preempted.

use std::time::Duration;

use crate::ids::ServiceName;
use crate::placement::dispatcher::RequestDispatcher;
use crate::placement::wait_queue::{ServiceQueue, SlotNeed};

/// Fraction of a service's slots that batch items leave free for online requests.
const ONLINE_RESERVE_FRACTION: f64 = 0.12;
/// Fraction that critical batch items leave free; enough for the requests that arrive until the next
/// batch balance.
const CRITICAL_RESERVE_FRACTION: f64 = 0.06;
/// Additional free fraction required before batch items start again, so that they are not preempted right
/// after their start.
const BATCH_HYSTERESIS_FRACTION: f64 = 0.04;
/// Interval of the batch balance, long enough for other VMs to report the effect of their last decision.
pub(crate) const BATCH_BALANCE_INTERVAL: Duration = Duration::from_millis(40);

/// Number of batch items of this VM to preempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchPreemption {
    /// Service of the items.
    pub service: ServiceName,
    /// Items to preempt, critical ones last.
    pub items: u32,
    /// Maximum number of critical items among them.
    pub critical: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceUsage {
    slots: u32,
    free: u32,
    local_batch: u32,
    batch: u32,
    /// Online requests that wait for a target, at all VMs.
    waiting: u32,
}

/// Rounds up or down at random with the exact value as the mean, so that the shares of many VMs add up to
/// the total.
fn round_randomly(value: f64) -> u32 {
    (value + rand::random::<f64>()).floor() as u32
}

impl RequestDispatcher {
    /// Returns the slot use of a service over its usable targets, and the requests that wait for them.
    fn service_usage(
        &self,
        now: Duration,
        service: &ServiceName,
        queue: &ServiceQueue,
    ) -> ServiceUsage {
        let waiting = queue.online_count() as u32 + self.fleet.waiting(service);
        let empty = ServiceUsage { waiting, ..ServiceUsage::default() };
        let usable = self.targets.values().filter(|slots| {
            slots.target.service == *service
                && slots.cohort == self.main_cohort(service)
                && slots.is_usable(now, &self.out_of_service)
        });
        usable.fold(empty, |usage, slots| ServiceUsage {
            slots: usage.slots + slots.target.slots,
            free: usage.free + slots.free(),
            local_batch: usage.local_batch + slots.local_use().1,
            batch: usage.batch + slots.local_use().1 + slots.reported_batch,
            ..usage
        })
    }

    /// Returns the number of slots to keep free for online requests: `fraction` of all slots, or the number
    /// of waiting requests if that is more.
    fn reserve(usage: &ServiceUsage, fraction: f64) -> f64 {
        (f64::from(usage.slots) * fraction).max(f64::from(usage.waiting))
    }

    /// Decides for each service how many batch items of this VM are preempted, and how many may start until
    /// the next call. Both numbers are this VM's share of the excess or the headroom of the whole fleet.
    pub fn balance_batch(&mut self, now: Duration) -> Vec<BatchPreemption> {
        let mut preemptions = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let Some(queue) = self.queues.get(&service) else { continue };
            let usage = self.service_usage(now, &service, queue);
            let headroom = f64::from(usage.free) - Self::reserve(&usage, ONLINE_RESERVE_FRACTION);
            let vms = (self.live_vm_count() + 1) as f64;
            let hysteresis = f64::from(usage.slots) * BATCH_HYSTERESIS_FRACTION;
            let allowance = round_randomly((headroom - hysteresis).max(0.0) / vms);
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.batch_allowance = allowance;
            }
            let share = f64::from(usage.local_batch) / f64::from(usage.batch.max(1));
            let items = round_randomly((-headroom).max(0.0) * share).min(usage.local_batch);
            let critical_headroom =
                f64::from(usage.free) - Self::reserve(&usage, CRITICAL_RESERVE_FRACTION);
            let critical = round_randomly((-critical_headroom).max(0.0) * share).min(items);
            if items > 0 {
                preemptions.push(BatchPreemption { service, items, critical });
            }
        }
        preemptions
    }

    /// Returns whether a batch item may start now.
    pub(crate) fn may_start_batch(
        &self,
        now: Duration,
        need: &SlotNeed,
        queue: &ServiceQueue,
    ) -> bool {
        if queue.batch_allowance > 0 {
            return true;
        }
        if !need.is_critical(now) {
            return false;
        }
        let usage = self.service_usage(now, &need.service, queue);
        f64::from(usage.free) > Self::reserve(&usage, CRITICAL_RESERVE_FRACTION)
    }
}
