//! Selects a target for each request and queues requests while no slot is free.
//!
//! Targets run requests in order of arrival and have no priorities, so the dispatcher keeps their queues
//! short: it counts the requests of all VMs against a target's slots and queues the others on the VM by
//! rank. The design load is online traffic that peaks at about twice its mean every few seconds, next to
//! batch work that can use the idle capacity between the peaks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::ids::{DataCentreId, ServiceName, TargetId, VmId};
use crate::placement::cold_start::{ColdStartCapacity, TurnOrder};
use crate::placement::fleet_load::FleetLoad;
use crate::placement::idle_connections::IdleConnections;
use crate::placement::load::{ReportedLoad, ReportedWait, VmReport, service_hash};
use crate::placement::outlier_ejection::{OutlierLedger, ReportedOutlier};
use crate::placement::slots::{ServingTarget, SlotOutcome, TargetSlots};
use crate::placement::wait_queue::{
    DecidedWaiter, ServiceQueue, SlotNeed, SlotRefusal, SlotWaiter,
};
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

/// Added to the utilization of targets in other data centres. Traffic between data centres costs more
/// than a slightly fuller batch on the target.
const REMOTE_PENALTY: f64 = 0.15;
/// Subtracted from the utilization of local targets to which the VM has an idle connection. Opening one costs a
/// round trip, and targets accept a limited number. In a large fleet each VM sends few requests, which find an
/// open connection only if they go to the same few targets. Smaller than one slot's fraction of a target,
/// because a fuller batch slows a request down by more than a new connection does.
const CONNECTION_BONUS: f64 = 0.10;
/// Subtracted from the utilization of the target that last processed the same prompt prefix.
const PREFIX_BONUS: f64 = 0.10;
/// Prompt prefixes whose last target is stored.
const MAX_PREFIXES: usize = 4096;

/// Minimum number of targets to compare. Two are much better than one, and more help little when load
/// reports are old (Mitzenmacher, "How Useful Is Old Information?", 2000).
const MIN_SAMPLED_TARGETS: usize = 2;
/// Upper bound of the random value added to each score, so that VMs with the same load reports choose
/// different targets. Smaller than one slot's fraction of a target.
const SCORE_NOISE: f64 = 0.02;

/// Time after its last announcement that a target is assumed to have stopped. Targets leave within seconds.
const LEAVING_MEMORY: Duration = Duration::from_mins(10);

/// Result of a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// A slot of this target was acquired.
    Placed(TargetId),
    /// The request is in the wait queue.
    Waiting(SlotWaiter),
    /// No slot is expected before the request's deadline, or the service has no target.
    Refused(SlotRefusal),
}

/// Returns a random sample of the candidates. The sample shrinks as the number of placements that are
/// still `unreported` grows, and has all candidates while that number is at most one.
fn sample<T>(candidates: &mut [T], unreported: f64) -> &[T] {
    let sample_size = (candidates.len() as f64 / unreported.max(1.0)).ceil() as usize;
    let count = sample_size.max(MIN_SAMPLED_TARGETS).min(candidates.len());
    candidates.partial_shuffle(&mut rand::rng(), count).0
}

/// Slot use of all targets as known to one VM, and the VM's wait queues.
pub struct RequestDispatcher {
    data_centre: DataCentreId,
    connections: Rc<dyn IdleConnections>,
    pub(crate) targets: BTreeMap<TargetId, TargetSlots>,
    pub(crate) out_of_service: HashSet<DataCentreId>,
    cold_start_rates: HashMap<ServiceName, f64>,
    pub(crate) fleet: FleetLoad,
    pub(crate) queues: HashMap<ServiceName, ServiceQueue>,
    prefixes: HashMap<u64, TargetId>,
    sequence: u64,
    turns: TurnOrder,
    report_age: Duration,
    /// Incarnations that announced that they are about to stop, with the time of their last announcement.
    /// Their entries may disappear and return meanwhile.
    leaving: HashMap<IncarnationKey, Duration>,
    /// Services whose requests all go to the new version, because the old targets are drained.
    pub(crate) draining: HashSet<ServiceName>,
    /// Targets that fail their requests; `None` if these are not taken out of use.
    outliers: Option<OutlierLedger>,
}

/// Id, start time in Unix milliseconds, and address.
type IncarnationKey = (TargetId, u64, SocketAddr);

fn incarnation_key(target: &ServingTarget) -> IncarnationKey {
    (target.id.clone(), target.started_at_ms, target.address)
}

impl RequestDispatcher {
    /// Creates a dispatcher without targets for `local_vm` in `data_centre`.
    pub fn open(
        local_vm: &VmId,
        data_centre: &DataCentreId,
        connections: Rc<dyn IdleConnections>,
    ) -> Self {
        Self {
            data_centre: data_centre.clone(),
            connections,
            targets: BTreeMap::new(),
            out_of_service: HashSet::new(),
            cold_start_rates: HashMap::new(),
            fleet: FleetLoad::open(local_vm),
            queues: HashMap::new(),
            prefixes: HashMap::new(),
            sequence: 0,
            turns: TurnOrder::open(local_vm),
            report_age: Duration::ZERO,
            leaving: HashMap::new(),
            draining: HashSet::new(),
            outliers: None,
        }
    }

    /// Begins to take targets that fail their requests out of use.
    pub fn eject_outliers(&mut self) {
        self.outliers.get_or_insert_default();
    }

    /// Decides which targets are ejected for failures, and returns those that are newly ejected. Called
    /// periodically.
    pub fn refresh_outliers(&mut self, now: Duration) -> Vec<TargetId> {
        let Some(outliers) = &mut self.outliers else { return Vec::new() };
        let targets = self.targets.values().map(|slots| &slots.target);
        let listed = targets.clone().map(|target| (&target.service, target.incarnation_hash()));
        let ejected = outliers.refresh(now, listed);
        let is_ejected = |target: &&ServingTarget| ejected.contains(&target.incarnation_hash());
        if ejected.is_empty() {
            return Vec::new();
        }
        targets.filter(is_ejected).map(|target| target.id.clone()).collect()
    }

    /// Returns the number of targets that are ejected for failures.
    pub fn ejected_count(&self) -> usize {
        self.outliers.as_ref().map_or(0, OutlierLedger::ejected_count)
    }

    /// Returns the targets at which requests of this VM failed recently, for a load report.
    pub fn report_outliers(&self, now: Duration) -> Vec<ReportedOutlier> {
        self.outliers.as_ref().map_or_else(Vec::new, |outliers| outliers.report(now))
    }

    /// Replaces the list of targets. A target of the same incarnation keeps its load and backoff.
    pub fn set_targets(&mut self, now: Duration, listed: Vec<ServingTarget>) {
        let mut previous = std::mem::take(&mut self.targets);
        for target in listed {
            let known =
                previous.remove(&target.id).filter(|slots| slots.is_same_incarnation(&target));
            let mut slots = known.unwrap_or_else(|| TargetSlots::open(target.clone(), now));
            slots.update(target, now);
            slots.announced_leaving = self.leaving.contains_key(&incarnation_key(&slots.target));
            self.targets.insert(slots.target.id.clone(), slots);
        }
        self.update_reported_use();
        self.update_cold_start_ranks(now);
    }

    /// Records that a target announced in a response that it is about to stop. It gets no more requests of
    /// this VM. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Duration, target: &ServingTarget) -> bool {
        self.leaving.retain(|_, announced| *announced + LEAVING_MEMORY >= now);
        let is_new = self.leaving.insert(incarnation_key(target), now).is_none();
        if let Some(slots) = self.targets.get_mut(&target.id)
            && slots.is_same_incarnation(target)
        {
            slots.announced_leaving = true;
        }
        is_new
    }

    fn update_cold_start_ranks(&mut self, now: Duration) {
        for slots in self.targets.values_mut().filter(|slots| slots.cold_start.is_cold(now)) {
            slots.cold_start.set_rank(self.turns.rank(slots.hash));
        }
    }

    /// Sets the data centres whose targets receive no requests.
    pub fn set_out_of_service(&mut self, out_of_service: HashSet<DataCentreId>) {
        self.out_of_service = out_of_service;
    }

    /// Sets the capacity of a target in cold start by service, in requests per second over all VMs.
    pub fn set_cold_start_rates(&mut self, rates: HashMap<ServiceName, f64>) {
        self.cold_start_rates = rates;
    }

    /// Sets the VMs that share the capacity of targets in cold start, this one included.
    pub fn set_members(&mut self, now: Duration, members: &[VmId]) {
        self.turns.set_members(members);
        self.update_cold_start_ranks(now);
    }

    /// Sets the mean age of the load reports of other VMs.
    pub fn set_report_age(&mut self, age: Duration) {
        self.report_age = age;
    }

    /// Returns the target with this id.
    pub fn target(&self, id: &TargetId) -> Option<&ServingTarget> {
        self.targets.get(id).map(|slots| &slots.target)
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the VM of a received report if [`Self::observe`] would apply the report.
    pub(crate) fn new_report_vm(&self, vm: &str, incarnation: u64, sequence: u64) -> Option<VmId> {
        self.fleet.new_report_vm(vm, incarnation, sequence)
    }

    /// Applies load reports of other VMs and returns those that are newer than the known ones.
    pub fn observe<'a, R: VmReport>(
        &mut self,
        now: Duration,
        reports: &'a [(VmId, R)],
    ) -> Vec<&'a (VmId, R)> {
        let new_reports = reports.iter().filter(|(vm, report)| self.fleet.observe(now, vm, report));
        let new_reports: Vec<_> = new_reports.collect();
        if let Some(outliers) = &mut self.outliers {
            for (vm, report) in &new_reports {
                outliers.observe(vm, report.outliers());
            }
        }
        if !new_reports.is_empty() {
            self.update_reported_use();
        }
        new_reports
    }

    /// Removes expired load reports and returns their VMs.
    pub fn expire_reports(&mut self, now: Duration) -> Vec<VmId> {
        let expired = self.fleet.expire(now);
        if let Some(outliers) = &mut self.outliers {
            for vm in &expired {
                outliers.remove(vm);
            }
        }
        if !expired.is_empty() {
            self.update_reported_use();
        }
        expired
    }

    /// Returns the number of other VMs with a current load report.
    pub fn live_vm_count(&self) -> usize {
        self.fleet.live_vms().len()
    }

    /// Returns the other VMs with a current load report.
    pub fn live_vms(&self) -> Vec<VmId> {
        self.fleet.live_vms().cloned().collect()
    }

    /// Returns whether a VM has a current load report.
    pub fn is_live(&self, vm: &VmId) -> bool {
        self.fleet.is_live(vm)
    }

    fn update_reported_use(&mut self) {
        for slots in self.targets.values_mut() {
            let target_use = self.fleet.use_of(slots.hash);
            (slots.reported, slots.reported_batch) = (target_use.all, target_use.batch);
        }
    }

    /// Returns this VM's load by target and its waiting online requests by service, for a load report.
    pub fn report(&self) -> (Vec<ReportedLoad>, Vec<ReportedWait>) {
        let loads = self.targets.values().filter_map(|slots| {
            let (online, batch) = slots.local_use();
            let load = |count: u32| count.min(u8::MAX.into()) as u8;
            let report =
                ReportedLoad { target: slots.hash, online: load(online), batch: load(batch) };
            (online + batch > 0).then_some(report)
        });
        let waits = self.queues.iter().filter_map(|(service, queue)| {
            let requests = queue.online_count() as u16;
            let wait = ReportedWait { service: service_hash(service), requests };
            (requests > 0).then_some(wait)
        });
        (loads.collect(), waits.collect())
    }

    /// Returns whether a service has any target in service.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        self.targets.values().any(|slots| {
            slots.target.service == *service
                && slots.cohort == self.main_cohort(service)
                && slots.is_in_service(&self.out_of_service)
        })
    }

    /// Returns whether a request could run at any target in service that has not failed it yet.
    fn has_candidate(&self, need: &SlotNeed) -> bool {
        self.targets.iter().any(|(id, slots)| {
            slots.target.service == need.service
                && slots.cohort == self.main_cohort(&need.service)
                && slots.is_in_service(&self.out_of_service)
                && !need.excluded.contains(id)
        })
    }

    /// Acquires a slot, or queues the request, or refuses it.
    pub fn request(&mut self, now: Duration, need: SlotNeed) -> PlacementOutcome {
        // Removed from the map so that the queue and the targets can be borrowed mutably together.
        let mut queue = self.queues.remove(&need.service).unwrap_or_default();
        let service = need.service.clone();
        let outcome = self.place_or_enqueue(&mut queue, now, need);
        self.queues.insert(service, queue);
        outcome
    }

    fn place_or_enqueue(
        &mut self,
        queue: &mut ServiceQueue,
        now: Duration,
        need: SlotNeed,
    ) -> PlacementOutcome {
        // Waiting requests are for the main cohort, so a request for the new version does not overtake them.
        if self.main_cohort(&need.service) == TargetCohort::Current
            && need.cohort == TargetCohort::Next
            && let Some(target) = self.place(queue, now, &need)
        {
            return PlacementOutcome::Placed(target);
        }
        let need = SlotNeed { cohort: TargetCohort::Current, ..need };
        let ahead = queue.ahead_of(&need);
        if ahead == 0
            && let Some(target) = self.place(queue, now, &need)
        {
            return PlacementOutcome::Placed(target);
        }
        let has_targets = self.has_targets(&need.service);
        let waiting_elsewhere = self.fleet.waiting(&need.service) as usize;
        let vms = self.live_vm_count() + 1;
        let expected = queue.expected_wait(ahead + waiting_elsewhere, vms).unwrap_or_default();
        let would_time_out = need.class == RequestClass::Online && now + expected > need.place_by;
        if would_time_out || !self.has_candidate(&need) {
            let retry_after = queue.retry_after(waiting_elsewhere, vms);
            return PlacementOutcome::Refused(SlotRefusal { retry_after, has_targets });
        }
        self.sequence += 1;
        PlacementOutcome::Waiting(queue.push(self.sequence, need))
    }

    /// Removes a request from the wait queue.
    pub fn cancel(&mut self, waiter: SlotWaiter) {
        for queue in self.queues.values_mut() {
            queue.remove(waiter);
        }
    }

    /// Places waiting requests and refuses those past their deadline.
    pub fn advance(&mut self, now: Duration) -> Vec<DecidedWaiter> {
        let mut decided = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let mut queue = self.queues.remove(&service).unwrap_or_default();
            decided.extend(queue.place_waiting(|queue, need| self.place(queue, now, need)));
            let retry_after =
                queue.retry_after(self.fleet.waiting(&service) as usize, self.live_vm_count() + 1);
            let refusal = SlotRefusal { retry_after, has_targets: self.has_targets(&service) };
            let is_unplaceable =
                |need: &SlotNeed| !need.excluded.is_empty() && !self.has_candidate(need);
            decided.extend(queue.refuse_expired(now, refusal, is_unplaceable));
            self.queues.insert(service, queue);
        }
        decided
    }

    fn place(
        &mut self,
        queue: &mut ServiceQueue,
        now: Duration,
        need: &SlotNeed,
    ) -> Option<TargetId> {
        let is_batch = need.class == RequestClass::Batch;
        if is_batch && !self.may_start_batch(now, need, queue) {
            return None;
        }
        let id = self.choose(now, need, queue)?;
        let capacity = self.cold_start_capacity(&need.service);
        self.targets.get_mut(&id)?.acquire(now, need.class, capacity);
        self.record_prefix(need.prefix, &id);
        queue.count_placement(now);
        queue.batch_allowance -= u32::from(is_batch && queue.batch_allowance > 0);
        Some(id)
    }

    fn cold_start_capacity(&self, service: &ServiceName) -> ColdStartCapacity {
        let rate = self.cold_start_rates.get(service).copied().unwrap_or(0.0);
        ColdStartCapacity { rate, vms: self.turns.vms() }
    }

    /// Returns the target with the lowest score among the usable ones with an idle connection and a random
    /// sample of the others. The sample shrinks as more placements of other VMs are not reported yet, so that
    /// VMs with the same load reports do not all choose the same target.
    fn choose(&self, now: Duration, need: &SlotNeed, queue: &ServiceQueue) -> Option<TargetId> {
        let capacity = self.cold_start_capacity(&need.service);
        // Assumes that each VM places about as many requests as this one.
        let unreported =
            queue.placed_per_s() * self.live_vm_count() as f64 * self.report_age.as_secs_f64();
        let cached_target = need.prefix.and_then(|prefix| self.prefixes.get(&prefix));
        let max_queued = |slots: u32| match need.class {
            RequestClass::Online => queue.max_queued_at_target(slots, self.report_age),
            RequestClass::Batch => 0,
        };
        let cohort = self.cohort_for(need);
        let candidates = self.targets.iter().filter(|(id, slots)| {
            slots.target.service == need.service
                && slots.cohort == cohort
                && slots.in_use() < slots.target.slots + max_queued(slots.target.slots)
                && slots.is_usable(now, &self.out_of_service)
                && !need.excluded.contains(id)
                && !self.is_ejected(slots)
                && !slots.cold_start.is_limited(now, capacity)
        });
        let (mut connected, mut local, mut remote) = (Vec::new(), Vec::new(), Vec::new());
        for (id, slots) in candidates {
            let mut score = f64::from(slots.in_use()) / f64::from(slots.target.slots);
            if cached_target == Some(id) {
                score -= PREFIX_BONUS;
            }
            let is_local = slots.target.data_centre == self.data_centre;
            let has_idle = self.connections.has_idle(slots.target.address);
            let candidates = match (is_local, has_idle) {
                (_, true) => &mut connected,
                (true, false) => &mut local,
                (false, false) => &mut remote,
            };
            if !is_local {
                score += REMOTE_PENALTY;
            } else if has_idle {
                score -= CONNECTION_BONUS;
            }
            candidates.push((score, id));
        }
        let sampled = sample(&mut local, unreported).iter().chain(sample(&mut remote, unreported));
        let sampled = sampled.chain(&connected);
        let noisy = sampled.map(|(score, id)| (score + rand::random::<f64>() * SCORE_NOISE, *id));
        noisy.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id.clone())
    }

    fn is_ejected(&self, slots: &TargetSlots) -> bool {
        self.outliers.as_ref().is_some_and(|outliers| {
            outliers.ejected_count() > 0 && outliers.is_ejected(slots.target.incarnation_hash())
        })
    }

    fn record_prefix(&mut self, prefix: Option<u64>, target: &TargetId) {
        let Some(prefix) = prefix else { return };
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, target.clone());
    }

    /// Records how long a target took to serve an online request.
    pub fn record_service_time(&mut self, id: &TargetId, service_time: Duration) {
        let service = self.targets.get(id).map(|slots| &slots.target.service);
        if let Some(queue) = service.and_then(|service| self.queues.get_mut(service)) {
            queue.record_service_time(service_time);
        }
    }

    /// Releases a slot.
    pub fn release(
        &mut self,
        now: Duration,
        id: &TargetId,
        class: RequestClass,
        outcome: SlotOutcome,
    ) {
        let Some(slots) = self.targets.get_mut(id) else { return };
        slots.release(now, class, outcome);
        // Batch items may be at fault themselves: some fail at every target.
        if class == RequestClass::Online
            && let Some(outliers) = &mut self.outliers
        {
            let target = slots.target.incarnation_hash();
            match outcome {
                SlotOutcome::Responded => outliers.record(now, target, false),
                SlotOutcome::ServerError | SlotOutcome::Failed => {
                    outliers.record(now, target, true);
                }
                SlotOutcome::Cancelled | SlotOutcome::Full | SlotOutcome::Misdirected => {}
            }
        }
    }
}
