//! Wait queue of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ServiceName, TargetId};
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

/// Window over which the placement rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Minimum and maximum of Retry-After. A caller that retries sooner finds the same queue.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Weight of the newest request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Lower bound of the mean service time, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;
/// Number of waiting requests without a target after which a pass over the queue ends.
const MAX_PLACEMENT_MISSES: usize = 8;

/// Placement requirements of a request.
#[derive(Clone, Debug)]
pub struct SlotNeed {
    /// Requested service.
    pub service: ServiceName,
    /// Version that the request was selected for. A request for the new version that finds no free target there
    /// goes to the current one.
    pub cohort: TargetCohort,
    /// Class; online requests go before batch items.
    pub class: RequestClass,
    /// Rank; lower goes first.
    pub rank: u8,
    /// Hash of the shared prefix of the prompt.
    pub prefix: Option<u64>,
    /// Targets that have already failed the request.
    pub excluded: Vec<TargetId>,
    /// Sort key among waiting requests of the same class and rank; lower goes first.
    pub order: Duration,
    /// Deadline for the placement; the request is refused after it.
    pub place_by: Duration,
    /// Time from which a batch item may use part of the online reserve, because it would miss its deadline
    /// otherwise. `None` for online requests and for items that are already late.
    pub critical_at: Option<Duration>,
}

/// Handle of a request in a wait queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotWaiter(u64);

/// Refusal of a request that got no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Estimated time until a slot is available.
    pub retry_after: Duration,
    /// Whether the service has any target in service.
    pub has_targets: bool,
}

impl SlotNeed {
    /// Returns whether this is a batch item that would miss its deadline if it waited longer.
    pub fn is_critical(&self, now: Duration) -> bool {
        self.critical_at.is_some_and(|at| now >= at)
    }
}

/// Decision on a waiting request: its target or its refusal.
pub type DecidedWaiter = (SlotWaiter, RequestClass, Result<TargetId, SlotRefusal>);

/// Returns the sort key of a class: online requests go before batch items of any rank.
fn class_order(class: RequestClass) -> u8 {
    u8::from(class == RequestClass::Batch)
}

/// Class, rank, order and number of a waiting request; lowest first.
type WaitKey = (u8, u8, Duration, u64);

/// Waiting requests of one service, with the measurements that wait times are estimated from.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiters: BTreeMap<WaitKey, SlotNeed>,
    /// Batch items that this VM may start before the next batch balance.
    pub(crate) batch_allowance: u32,
    /// Start of the window in which placements are counted; `None` before the first one.
    window_start: Option<Duration>,
    window_placed: u32,
    placed_per_s: f64,
    /// Moving average of the service time of online requests, in seconds.
    mean_service_s: Option<f64>,
}

impl ServiceQueue {
    /// Returns the number of waiting requests that go before one of this class and rank.
    pub(crate) fn ahead_of(&self, need: &SlotNeed) -> usize {
        let class = class_order(need.class);
        self.waiters.keys().take_while(|key| (key.0, key.1) <= (class, need.rank)).count()
    }

    pub(crate) fn push(&mut self, number: u64, need: SlotNeed) -> SlotWaiter {
        self.waiters.insert((class_order(need.class), need.rank, need.order, number), need);
        SlotWaiter(number)
    }

    pub(crate) fn remove(&mut self, waiter: SlotWaiter) {
        self.waiters.retain(|key, _| key.3 != waiter.0);
    }

    /// Returns the number of waiting online requests.
    pub(crate) fn online_count(&self) -> usize {
        let online = class_order(RequestClass::Online);
        self.waiters.keys().take_while(|key| key.0 == online).count()
    }

    /// Removes, in order, the requests that `place` finds a target for. Stops after
    /// `MAX_PLACEMENT_MISSES` requests without a target.
    pub(crate) fn place_waiting(
        &mut self,
        mut place: impl FnMut(&mut Self, &SlotNeed) -> Option<TargetId>,
    ) -> Vec<DecidedWaiter> {
        let mut decided = Vec::new();
        let mut misses = 0;
        let mut waiters = std::mem::take(&mut self.waiters);
        let keys: Vec<WaitKey> = waiters.keys().copied().collect();
        for key in keys {
            let Some(need) = waiters.get(&key) else { continue };
            if let Some(target) = place(self, need) {
                decided.push((SlotWaiter(key.3), need.class, Ok(target)));
                waiters.remove(&key);
                continue;
            }
            misses += 1;
            if misses >= MAX_PLACEMENT_MISSES {
                break;
            }
        }
        self.waiters = waiters;
        decided
    }

    /// Removes the requests past their deadline and those that no target is left for.
    pub(crate) fn refuse_expired(
        &mut self,
        now: Duration,
        refusal: SlotRefusal,
        is_unplaceable: impl Fn(&SlotNeed) -> bool,
    ) -> Vec<DecidedWaiter> {
        let is_expired =
            |need: &SlotNeed| now >= need.place_by || !refusal.has_targets || is_unplaceable(need);
        let expired = self.waiters.extract_if(.., |_, need| is_expired(need));
        expired.map(|(key, need)| (SlotWaiter(key.3), need.class, Err(refusal))).collect()
    }

    /// Counts a placement for the placement rate.
    pub(crate) fn count_placement(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(*self.window_start.get_or_insert(now));
        if elapsed >= RATE_WINDOW {
            let rate = f64::from(self.window_placed) / elapsed.as_secs_f64();
            self.placed_per_s = f64::midpoint(self.placed_per_s, rate);
            self.window_start = Some(now);
            self.window_placed = 0;
        }
        self.window_placed += 1;
    }

    /// Records how long a target took to serve an online request.
    pub(crate) fn record_service_time(&mut self, service_time: Duration) {
        let service_s = service_time.as_secs_f64();
        let mean = self.mean_service_s.get_or_insert(service_s);
        *mean += SERVICE_TIME_WEIGHT * (service_s - *mean);
    }

    /// Returns how many requests may be queued at a target with this number of slots. Some of the requests
    /// counted in old reports have ended since; a request waits at the target no longer than the age of
    /// the reports.
    pub(crate) fn max_queued_at_target(&self, slots: u32, report_age: Duration) -> u32 {
        let Some(service_s) = self.mean_service_s else { return 0 };
        let queued =
            f64::from(slots) * report_age.as_secs_f64() / service_s.max(MIN_SERVICE_SECONDS);
        (queued as u32).min(slots)
    }

    /// Returns the recent placement rate of this VM, in requests per second.
    pub(crate) fn placed_per_s(&self) -> f64 {
        self.placed_per_s
    }

    /// Returns the estimated wait of a request with `ahead` others before it at all VMs, or `None` without
    /// a placement rate. Assumes that each VM places about as many requests as this one.
    pub(crate) fn expected_wait(&self, ahead: usize, vms: usize) -> Option<Duration> {
        if self.placed_per_s <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64((ahead + 1) as f64 / (self.placed_per_s * vms as f64)).ok()
    }

    /// Returns the Retry-After of a refused request, with `waiting_elsewhere` requests at other VMs.
    pub(crate) fn retry_after(&self, waiting_elsewhere: usize, vms: usize) -> Duration {
        let expected = self
            .expected_wait(self.online_count() + waiting_elsewhere, vms)
            .unwrap_or(RETRY_AFTER_BOUNDS.1);
        expected.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
    }
}
