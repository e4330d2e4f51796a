//! The requests of one service that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ServiceName, TargetId};
use crate::scheduling::RequestClass;

/// Placements are counted over windows of this length to predict the next ones.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Retry-After lies between these bounds; below, the caller meets the same queue.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// The weight of the newest request in what is learned of the targets' work.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Work is taken to last at least this long, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;
/// Waiting requests without a target after which the others are not tried.
const MAX_PLACEMENT_MISSES: usize = 8;

/// What a request needs to be placed.
#[derive(Clone, Debug)]
pub struct SlotNeed {
    /// The service.
    pub service: ServiceName,
    /// Online or batch.
    pub class: RequestClass,
    /// Lower ranks go first.
    pub rank: u8,
    /// The shared parts of its prompt.
    pub prefix: Option<u64>,
    /// Targets that failed it.
    pub excluded: Vec<TargetId>,
    /// Among waiting requests of a rank the lowest goes first.
    pub order: Duration,
    /// It is refused if it is not placed by then.
    pub place_by: Duration,
    /// From then on a batch item may use what others leave free for online requests, because it would
    /// be late otherwise. `None` for online requests and for items that are late already.
    pub critical_at: Option<Duration>,
}

/// A request that waits for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotWaiter(u64);

/// Why a request got no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRefusal {
    /// When there will be room, as far as can be told.
    pub retry_after: Duration,
    /// Whether the service has any target that may be used.
    pub has_targets: bool,
}

impl SlotNeed {
    /// Whether it is a batch item that would else be late.
    pub fn is_critical(&self, now: Duration) -> bool {
        self.critical_at.is_some_and(|at| now >= at)
    }
}

/// What became of a waiting request of a class.
pub type DecidedWaiter = (SlotWaiter, RequestClass, Result<TargetId, SlotRefusal>);

/// Online requests go before batch items of any rank.
fn class_order(class: RequestClass) -> u8 {
    u8::from(class == RequestClass::Batch)
}

/// Class, rank, order and number of a waiting request; the lowest goes first.
type WaitKey = (u8, u8, Duration, u64);

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiters: BTreeMap<WaitKey, SlotNeed>,
    /// Batch items that this VM may start before the next look at the fleet.
    pub(crate) batch_allowance: u32,
    window_start: Duration,
    window_placed: u32,
    placed_per_s: f64,
    /// How long a target works on a request at the mean, in seconds.
    mean_service_s: Option<f64>,
}

impl ServiceQueue {
    /// The waiting requests that go before one of this class and rank.
    pub(crate) fn ahead_of(&self, need: &SlotNeed) -> usize {
        let class = class_order(need.class);
        self.waiters.keys().take_while(|key| (key.0, key.1) <= (class, need.rank)).count()
    }

    /// Lets a request wait.
    pub(crate) fn push(&mut self, number: u64, need: SlotNeed) -> SlotWaiter {
        self.waiters.insert((class_order(need.class), need.rank, need.order, number), need);
        SlotWaiter(number)
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, waiter: SlotWaiter) {
        self.waiters.retain(|key, _| key.3 != waiter.0);
    }

    /// The waiting requests of callers.
    pub(crate) fn online_count(&self) -> usize {
        let online = class_order(RequestClass::Online);
        self.waiters.keys().take_while(|key| key.0 == online).count()
    }

    /// Takes out, in their order, the requests that `place` finds a target for. It gives up after some
    /// that have none.
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

    /// Takes out the requests whose time is over, or all if the service has no target.
    pub(crate) fn refuse_expired(
        &mut self,
        now: Duration,
        refusal: SlotRefusal,
    ) -> Vec<DecidedWaiter> {
        let is_expired = |need: &SlotNeed| now >= need.place_by || !refusal.has_targets;
        let expired = self.waiters.extract_if(.., |_, need| is_expired(need));
        expired.map(|(key, need)| (SlotWaiter(key.3), need.class, Err(refusal))).collect()
    }

    /// Counts a placement, from which the next ones are predicted.
    pub(crate) fn count_placement(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= RATE_WINDOW {
            let rate = f64::from(self.window_placed) / elapsed.as_secs_f64();
            self.placed_per_s = f64::midpoint(self.placed_per_s, rate);
            self.window_start = now;
            self.window_placed = 0;
        }
        self.window_placed += 1;
    }

    /// Learns from a request on which a target worked for some time.
    pub(crate) fn record_service_time(&mut self, service_time: Duration) {
        let service_time = service_time.as_secs_f64();
        let mean = self.mean_service_s.get_or_insert(service_time);
        *mean += SERVICE_TIME_WEIGHT * (service_time - *mean);
    }

    /// The requests that may wait at a target with so many slots. Of what old reports count, some has
    /// ended; a request waits there no longer than the reports are old.
    pub(crate) fn max_queued_at_target(&self, slots: u32, report_age: Duration) -> u32 {
        let Some(service_s) = self.mean_service_s else { return 0 };
        let queued =
            f64::from(slots) * report_age.as_secs_f64() / service_s.max(MIN_SERVICE_SECONDS);
        (queued as u32).min(slots)
    }

    /// Placements a second, lately.
    pub(crate) fn placed_per_s(&self) -> f64 {
        self.placed_per_s
    }

    /// How long a request with so many ahead of it, at all VMs, will wait, as far as can be told. Each of
    /// the VMs places about as many requests as this one.
    pub(crate) fn expected_wait(&self, ahead: usize, vms: usize) -> Option<Duration> {
        if self.placed_per_s <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64((ahead + 1) as f64 / (self.placed_per_s * vms as f64)).ok()
    }

    /// When a refused request may come back, with so many others waiting at other VMs.
    pub(crate) fn retry_after(&self, waiting_elsewhere: usize, vms: usize) -> Duration {
        let expected = self
            .expected_wait(self.online_count() + waiting_elsewhere, vms)
            .unwrap_or(RETRY_AFTER_BOUNDS.1);
        expected.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
    }
}
