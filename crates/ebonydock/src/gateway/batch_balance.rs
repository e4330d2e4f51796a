//! How much batch work runs beside online requests.

use std::time::Duration;

use crate::gateway::dispatcher::RequestDispatcher;
use crate::gateway::wait_queue::{ServiceQueue, SlotNeed};
use crate::ids::ServiceName;

/// The part of a service's slots that batch items leave free for online requests.
const ONLINE_RESERVE_FRACTION: f64 = 0.12;
/// What items that would else be late leave free: enough for the requests that arrive until the next
/// look at the fleet.
const CRITICAL_RESERVE_FRACTION: f64 = 0.06;
/// Batch items start again when this much more is free, so that they do not start just to yield.
const BATCH_HYSTERESIS_FRACTION: f64 = 0.04;
/// Yielding and starting of batch is decided this often: the effect of the other VMs' last decision has
/// been reported by then.
pub(crate) const BATCH_BALANCE_INTERVAL: Duration = Duration::from_millis(40);

/// How many batch items of this VM yield.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchPreemption {
    /// The service.
    pub service: ServiceName,
    /// Items that yield, urgent ones after all others.
    pub items: u32,
    /// Of these, the urgent ones that may have to yield.
    pub critical: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceUsage {
    slots: u32,
    free: u32,
    local_batch: u32,
    batch: u32,
    /// Requests of callers that wait for a target, at all VMs.
    waiting: u32,
}

/// Rounds up or down so that the mean is exact: the shares of many VMs add up to the whole.
fn round_randomly(value: f64) -> u32 {
    (value + rand::random::<f64>()).floor() as u32
}

impl RequestDispatcher {
    /// The slots of a service over the targets that may be used, and the requests that wait for them.
    fn service_usage(
        &self,
        now: Duration,
        service: &ServiceName,
        queue: &ServiceQueue,
    ) -> ServiceUsage {
        let waiting = queue.online_count() as u32 + self.fleet.waiting(service);
        let empty = ServiceUsage { waiting, ..ServiceUsage::default() };
        let usable = self.targets.values().filter(|slots| {
            slots.target.service == *service && slots.is_usable(now, &self.out_of_service)
        });
        usable.fold(empty, |usage, slots| ServiceUsage {
            slots: usage.slots + slots.target.slots,
            free: usage.free + slots.free(),
            local_batch: usage.local_batch + slots.local_use().1,
            batch: usage.batch + slots.local_use().1 + slots.reported_batch,
            ..usage
        })
    }

    /// The slots that are to be free for online requests, at least a part of all.
    fn reserve(usage: &ServiceUsage, fraction: f64) -> f64 {
        (f64::from(usage.slots) * fraction).max(f64::from(usage.waiting))
    }

    /// Decides for each service how many batch items of this VM yield, and how many may start until the
    /// next decision. Both are this VM's share of what the whole fleet has too many or too few.
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

    /// Whether a batch item may start now.
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
