//! Which target a request goes to, and which requests wait.
//!
//! Targets admit requests in order of arrival and know no ranks, so their queues are kept empty: a target
//! gets no more than its slots, counting what other VMs report, and the waiting is done here. The load
//! that this answers: online peaks of about twice the mean every few seconds beside batch work that can
//! wait for the troughs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::load::{LoadReport, ReportedLoad, target_hash};
use crate::ids::{DataCentreId, ServiceName, TargetId, VmId};
use crate::scheduling::RequestClass;

/// Another data centre's target is taken when it is freer by this part of its slots: traffic between
/// data centres is dearer than a slightly fuller batch.
const REMOTE_PENALTY: f64 = 0.15;
/// A target that has read the prompt's shared parts may be fuller by this part of its slots.
const PREFIX_BONUS: f64 = 0.10;
/// Shared prefixes whose last target is remembered.
const PREFIX_LIMIT: usize = 4096;
/// The part of a service's slots that batch items leave free for online requests.
const ONLINE_RESERVE: f64 = 0.12;
/// What items that would else be late leave free: enough for the requests that arrive until the next
/// look at the fleet.
const URGENT_RESERVE: f64 = 0.06;
/// Batch items start again when this much more is free, so that they do not start just to yield.
const BATCH_MARGIN: f64 = 0.04;
/// Yielding and starting of batch is decided this often: the effect of the other VMs' last decision has
/// been reported by then.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_millis(40);
/// A target that failed is left alone for this long, twice as long after each further failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// The longest time that a failing target is left alone before it is tried again.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);
/// A target that refused because it was full is left alone for about one step of its batch.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// A VM's report counts for this long; reports come several times as often.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Placements are counted over windows of this length to predict the next ones.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Retry-After lies between these bounds; below, the caller meets the same queue.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Waiting requests that are tried when the first one has no target.
const SCAN_LIMIT: usize = 8;

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
    pub urgent_at: Option<Duration>,
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
    pub fn is_urgent(&self, now: Duration) -> bool {
        self.urgent_at.is_some_and(|at| now >= at)
    }
}

/// How many batch items of this VM yield.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchExcess {
    /// The service.
    pub service: ServiceName,
    /// Items that yield, urgent ones after all others.
    pub items: u32,
    /// Of these, the urgent ones that may have to yield.
    pub urgent: u32,
}

/// What became of a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// A slot is taken.
    Placed(TargetId),
    /// The request waits.
    Waiting(SlotWaiter),
    /// There will be no slot in time.
    Refused(SlotRefusal),
}

/// What became of a waiting request of a class.
pub type DecidedWaiter = (SlotWaiter, RequestClass, Result<TargetId, SlotRefusal>);

/// How a slot was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotUse {
    /// The target answered.
    Answered,
    /// The request was cancelled.
    Cancelled,
    /// The target was full.
    Full,
    /// Another target answers at the address.
    Misdirected,
    /// The target failed or was not reached.
    Failed,
}

#[derive(Debug)]
struct TargetSlots {
    target: ServingTarget,
    online: u32,
    batch: u32,
    reported: u32,
    reported_batch: u32,
    cold_until: Duration,
    cold_next: Duration,
    suspect_until: Duration,
    failures: u32,
    gone: bool,
}

impl TargetSlots {
    fn in_use(&self) -> u32 {
        self.online + self.batch + self.reported
    }

    fn is_usable(&self, now: Duration, closed: &HashSet<DataCentreId>) -> bool {
        // Once suspected, one request at a time shows whether the target is back.
        let is_trusted = self.failures == 0 || self.online + self.batch == 0;
        !self.gone
            && !self.target.leaving
            && !closed.contains(&self.target.data_centre)
            && is_trusted
            && now >= self.suspect_until
    }
}

#[derive(Debug)]
struct Waiter {
    id: SlotWaiter,
    need: SlotNeed,
}

type WaitKey = (u8, u8, Duration, u64);

#[derive(Debug, Default)]
struct ServiceQueue {
    waiters: BTreeMap<WaitKey, Waiter>,
    /// Batch items that this VM may start before the next look at the fleet.
    batch_allowance: u32,
    window_start: Duration,
    window_placed: u32,
    placed_per_s: f64,
}

impl ServiceQueue {
    fn count_placement(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= RATE_WINDOW {
            let rate = f64::from(self.window_placed) / elapsed.as_secs_f64();
            self.placed_per_s = f64::midpoint(self.placed_per_s, rate);
            self.window_start = now;
            self.window_placed = 0;
        }
        self.window_placed += 1;
    }

    fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.placed_per_s <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64((ahead + 1) as f64 / self.placed_per_s).ok()
    }

    fn retry_after(&self) -> Duration {
        let expected = self.expected_wait(self.waiters.len()).unwrap_or(RETRY_BOUNDS.1);
        expected.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceUsage {
    all: u32,
    free: u32,
    own_batch: u32,
    batch: u32,
}

/// Online requests go before batch items of any rank.
fn class_order(class: RequestClass) -> u8 {
    u8::from(class == RequestClass::Batch)
}

/// Rounds up or down so that the mean is exact: the shares of many VMs add up to the whole.
fn round_randomly(value: f64) -> u32 {
    (value + rand::random::<f64>()).floor() as u32
}

#[derive(Debug)]
struct VmLoad {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
    targets: Vec<ReportedLoad>,
    waiting: u16,
}

/// The slots of all targets as one VM knows them, and the requests that wait for one.
#[derive(Debug)]
pub struct PlacementBoard {
    data_centre: DataCentreId,
    targets: BTreeMap<TargetId, TargetSlots>,
    closed: HashSet<DataCentreId>,
    cold_rates: HashMap<ServiceName, f64>,
    vms: HashMap<VmId, VmLoad>,
    queues: HashMap<ServiceName, ServiceQueue>,
    prefixes: HashMap<u64, TargetId>,
    sequence: u64,
    fleet_size: usize,
}

impl PlacementBoard {
    /// A board for a VM in `data_centre` that knows no target yet.
    pub fn open(data_centre: &DataCentreId) -> Self {
        Self {
            data_centre: data_centre.clone(),
            targets: BTreeMap::new(),
            closed: HashSet::new(),
            cold_rates: HashMap::new(),
            vms: HashMap::new(),
            queues: HashMap::new(),
            prefixes: HashMap::new(),
            sequence: 0,
            fleet_size: 1,
        }
    }

    /// Replaces the list of targets. Load and suspicion of known ones are kept, unless they started anew.
    pub fn set_targets(&mut self, now: Duration, listed: Vec<ServingTarget>) {
        let mut before = std::mem::take(&mut self.targets);
        for target in listed {
            let known = before.remove(&target.id).filter(|slots| {
                slots.target.started_at_ms == target.started_at_ms
                    && slots.target.address == target.address
            });
            let cold_until = now + target.cold_for;
            let slots = match known {
                Some(slots) if slots.target == target => slots,
                Some(slots) => TargetSlots { target, cold_until, ..slots },
                None => TargetSlots {
                    target,
                    online: 0,
                    batch: 0,
                    reported: 0,
                    reported_batch: 0,
                    cold_until,
                    cold_next: now,
                    suspect_until: Duration::ZERO,
                    failures: 0,
                    gone: false,
                },
            };
            self.targets.insert(slots.target.id.clone(), slots);
        }
        self.count_reports();
    }

    /// Sets the data centres whose targets get nothing.
    pub fn set_closed(&mut self, closed: HashSet<DataCentreId>) {
        self.closed = closed;
    }

    /// Sets what targets in cold start bear, in requests a second over all VMs.
    pub fn set_cold_rates(&mut self, rates: HashMap<ServiceName, f64>) {
        self.cold_rates = rates;
    }

    /// Sets the number of VMs that share what targets in cold start bear.
    pub fn set_fleet_size(&mut self, vms: usize) {
        self.fleet_size = vms.max(1);
    }

    /// A target of the list.
    pub fn target(&self, id: &TargetId) -> Option<&ServingTarget> {
        self.targets.get(id).map(|slots| &slots.target)
    }

    /// Whether a target may still be sent requests.
    pub fn is_listed(&self, id: &TargetId) -> bool {
        self.targets.get(id).is_some_and(|slots| {
            !slots.target.leaving && !self.closed.contains(&slots.target.data_centre)
        })
    }

    /// The number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Takes the report of another VM; false if it is older than one that is known.
    pub fn observe(&mut self, now: Duration, vm: &VmId, report: &LoadReport) -> bool {
        let known = self.vms.get(vm);
        let stale = known.is_some_and(|load| {
            load.incarnation == report.incarnation && load.sequence >= report.sequence
        });
        if stale {
            return false;
        }
        let load = VmLoad {
            incarnation: report.incarnation,
            sequence: report.sequence,
            received_at: now,
            targets: report.targets.clone(),
            waiting: report.waiting,
        };
        self.vms.insert(vm.clone(), load);
        self.count_reports();
        true
    }

    /// Forgets what VMs reported that have not been heard for some time, and returns them.
    pub fn expire_reports(&mut self, now: Duration) -> Vec<VmId> {
        let silent = |load: &VmLoad| now.saturating_sub(load.received_at) > REPORT_LIFETIME;
        let expired: Vec<VmId> =
            self.vms.iter().filter(|(_, load)| silent(load)).map(|(vm, _)| vm.clone()).collect();
        for vm in &expired {
            self.vms.remove(vm);
        }
        if !expired.is_empty() {
            self.count_reports();
        }
        expired
    }

    /// The number of VMs that have been heard lately.
    pub fn heard(&self) -> usize {
        self.vms.len()
    }

    /// The VMs that have been heard lately.
    pub fn heard_vms(&self) -> Vec<VmId> {
        self.vms.keys().cloned().collect()
    }

    /// Whether a VM has been heard lately.
    pub fn hears(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm)
    }

    fn count_reports(&mut self) {
        let mut reported: HashMap<u32, (u32, u32)> = HashMap::new();
        for load in self.vms.values().flat_map(|load| &load.targets) {
            let sums = reported.entry(load.target).or_default();
            sums.0 += u32::from(load.online) + u32::from(load.batch);
            sums.1 += u32::from(load.batch);
        }
        for (id, slots) in &mut self.targets {
            let sums = reported.get(&target_hash(id)).copied().unwrap_or_default();
            (slots.reported, slots.reported_batch) = sums;
        }
    }

    /// What this VM tells the others.
    pub fn report(&self) -> (Vec<ReportedLoad>, u16) {
        let busy = self.targets.iter().filter(|(_, slots)| slots.online + slots.batch > 0);
        let loads = busy.map(|(id, slots)| ReportedLoad {
            target: target_hash(id),
            online: slots.online.min(100) as u8,
            batch: slots.batch.min(100) as u8,
        });
        (loads.collect(), self.waiting_online() as u16)
    }

    fn waiting_online(&self) -> usize {
        let waiters = self.queues.values().flat_map(|queue| queue.waiters.values());
        waiters.filter(|waiter| waiter.need.class == RequestClass::Online).count()
    }

    /// The slots of a service over the targets that may be used.
    fn usage(&self, now: Duration, service: &ServiceName) -> ServiceUsage {
        let usable = self
            .targets
            .values()
            .filter(|slots| slots.target.service == *service && slots.is_usable(now, &self.closed));
        usable.fold(ServiceUsage::default(), |usage, slots| ServiceUsage {
            all: usage.all + slots.target.slots,
            free: usage.free + slots.target.slots.saturating_sub(slots.in_use()),
            own_batch: usage.own_batch + slots.batch,
            batch: usage.batch + slots.batch + slots.reported_batch,
        })
    }

    fn waiting_anywhere(&self) -> u32 {
        let others: u32 = self.vms.values().map(|load| u32::from(load.waiting)).sum();
        self.waiting_online() as u32 + others
    }

    /// The slots that are to be free for online requests.
    fn reserve(&self, usage: &ServiceUsage) -> f64 {
        (f64::from(usage.all) * ONLINE_RESERVE).max(f64::from(self.waiting_anywhere()))
    }

    fn urgent_reserve(&self, usage: &ServiceUsage) -> f64 {
        (f64::from(usage.all) * URGENT_RESERVE).max(f64::from(self.waiting_anywhere()))
    }

    /// Decides for each service how many batch items of this VM yield, and how many may start until the
    /// next decision. Both are this VM's share of what the whole fleet has too many or too few.
    pub fn balance_batch(&mut self, now: Duration) -> Vec<BatchExcess> {
        let mut yielding = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let usage = self.usage(now, &service);
            let room = f64::from(usage.free) - self.reserve(&usage);
            let vms = (self.vms.len() + 1) as f64;
            let margin = f64::from(usage.all) * BATCH_MARGIN;
            let allowance = round_randomly((room - margin).max(0.0) / vms);
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.batch_allowance = allowance;
            }
            let share = f64::from(usage.own_batch) / f64::from(usage.batch.max(1));
            let items = round_randomly((-room).max(0.0) * share).min(usage.own_batch);
            let urgent_room = f64::from(usage.free) - self.urgent_reserve(&usage);
            let urgent = round_randomly((-urgent_room).max(0.0) * share).min(items);
            if items > 0 {
                yielding.push(BatchExcess { service, items, urgent });
            }
        }
        yielding
    }

    /// Whether a service has any target that may be used.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        self.targets.values().any(|slots| {
            slots.target.service == *service
                && !slots.gone
                && !slots.target.leaving
                && !self.closed.contains(&slots.target.data_centre)
        })
    }

    /// Takes a slot, or lets the request wait, or refuses it.
    pub fn request(&mut self, now: Duration, need: SlotNeed) -> PlacementOutcome {
        let queue = self.queues.get(&need.service);
        let ahead = queue.map_or(0, |queue| {
            let class = class_order(need.class);
            let keys = queue.waiters.keys();
            keys.take_while(|key| (key.0, key.1) <= (class, need.rank)).count()
        });
        if ahead == 0
            && let Some(target) = self.place(now, &need)
        {
            return PlacementOutcome::Placed(target);
        }
        let has_targets = self.has_targets(&need.service);
        let queue = self.queues.entry(need.service.clone()).or_default();
        let expected = queue.expected_wait(ahead).unwrap_or_default();
        let hopeless = need.class == RequestClass::Online && now + expected > need.place_by;
        if !has_targets || hopeless {
            let retry_after = queue.retry_after();
            return PlacementOutcome::Refused(SlotRefusal { retry_after, has_targets });
        }
        self.sequence += 1;
        let id = SlotWaiter(self.sequence);
        let key = (class_order(need.class), need.rank, need.order, self.sequence);
        queue.waiters.insert(key, Waiter { id, need });
        PlacementOutcome::Waiting(id)
    }

    /// Takes a waiting request out.
    pub fn cancel(&mut self, waiter: SlotWaiter) {
        for queue in self.queues.values_mut() {
            queue.waiters.retain(|_, entry| entry.id != waiter);
        }
    }

    /// Places waiting requests and refuses those whose time is over.
    pub fn advance(&mut self, now: Duration) -> Vec<DecidedWaiter> {
        let mut decided = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.advance_service(now, &service, &mut decided);
        }
        decided
    }

    fn advance_service(
        &mut self,
        now: Duration,
        service: &ServiceName,
        decided: &mut Vec<DecidedWaiter>,
    ) {
        let mut passed_over = 0;
        let Some(queue) = self.queues.get_mut(service) else { return };
        let mut waiters = std::mem::take(&mut queue.waiters);
        let mut left = BTreeMap::new();
        while let Some((key, waiter)) = waiters.pop_first() {
            if passed_over < SCAN_LIMIT
                && let Some(target) = self.place(now, &waiter.need)
            {
                decided.push((waiter.id, waiter.need.class, Ok(target)));
                continue;
            }
            passed_over += 1;
            left.insert(key, waiter);
        }
        let has_targets = self.has_targets(service);
        let Some(queue) = self.queues.get_mut(service) else { return };
        queue.waiters = left;
        let retry_after = queue.retry_after();
        queue.waiters.retain(|_, waiter| {
            let keep = now < waiter.need.place_by && has_targets;
            if !keep {
                let refusal = SlotRefusal { retry_after, has_targets };
                decided.push((waiter.id, waiter.need.class, Err(refusal)));
            }
            keep
        });
    }

    fn place(&mut self, now: Duration, need: &SlotNeed) -> Option<TargetId> {
        if need.class == RequestClass::Batch && !self.may_start_batch(now, need) {
            return None;
        }
        let id = self.choose(now, need)?;
        let cold_rate = self.cold_rate(&need.service);
        let slots = self.targets.get_mut(&id)?;
        match need.class {
            RequestClass::Online => slots.online += 1,
            RequestClass::Batch => slots.batch += 1,
        }
        if now < slots.cold_until && cold_rate > 0.0 {
            slots.cold_next = now + Duration::from_secs_f64(1.0 / cold_rate);
        }
        self.remember_prefix(need.prefix, &id);
        let queue = self.queues.entry(need.service.clone()).or_default();
        queue.count_placement(now);
        if need.class == RequestClass::Batch {
            queue.batch_allowance = queue.batch_allowance.saturating_sub(1);
        }
        Some(id)
    }

    fn may_start_batch(&self, now: Duration, need: &SlotNeed) -> bool {
        let queue = self.queues.get(&need.service);
        if queue.is_some_and(|queue| queue.batch_allowance > 0) {
            return true;
        }
        if !need.is_urgent(now) {
            return false;
        }
        let usage = self.usage(now, &need.service);
        f64::from(usage.free) > self.urgent_reserve(&usage)
    }

    fn cold_rate(&self, service: &ServiceName) -> f64 {
        self.cold_rates.get(service).copied().unwrap_or(0.0) / self.fleet_size as f64
    }

    fn choose(&self, now: Duration, need: &SlotNeed) -> Option<TargetId> {
        let cold_limited = self.cold_rate(&need.service) > 0.0;
        let warmed = need.prefix.and_then(|prefix| self.prefixes.get(&prefix));
        let candidates = self.targets.iter().filter(|(id, slots)| {
            slots.target.service == need.service
                && slots.in_use() < slots.target.slots
                && slots.is_usable(now, &self.closed)
                && !need.excluded.contains(id)
                && !(cold_limited && now < slots.cold_until && now < slots.cold_next)
        });
        let scored = candidates.map(|(id, slots)| {
            let mut score = f64::from(slots.in_use()) / f64::from(slots.target.slots);
            if slots.target.data_centre != self.data_centre {
                score += REMOTE_PENALTY;
            }
            if warmed == Some(id) {
                score -= PREFIX_BONUS;
            }
            // VMs that see the same load must not all choose the same target.
            (score + rand::random::<f64>() * 0.02, id)
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id.clone())
    }

    fn remember_prefix(&mut self, prefix: Option<u64>, target: &TargetId) {
        let Some(prefix) = prefix else { return };
        if self.prefixes.len() >= PREFIX_LIMIT && !self.prefixes.contains_key(&prefix) {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, target.clone());
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Duration, id: &TargetId, class: RequestClass, usage: SlotUse) {
        let Some(slots) = self.targets.get_mut(id) else { return };
        match class {
            RequestClass::Online => slots.online = slots.online.saturating_sub(1),
            RequestClass::Batch => slots.batch = slots.batch.saturating_sub(1),
        }
        match usage {
            SlotUse::Answered => slots.failures = 0,
            SlotUse::Cancelled => {}
            SlotUse::Full => slots.suspect_until = now + FULL_PAUSE,
            SlotUse::Misdirected => slots.gone = true,
            SlotUse::Failed => {
                slots.failures += 1;
                let factor = 1 << (slots.failures - 1).min(8);
                let suspicion = (FIRST_SUSPICION * factor).min(LONGEST_SUSPICION);
                slots.suspect_until = now + suspicion;
            }
        }
    }
}
