//! Which target a request goes to, and which requests wait.
//!
//! Targets admit requests in order of arrival and know no ranks, so their queues are kept empty: a target
//! gets no more than its slots, counting what other VMs report, and the waiting is done here. The load
//! that this answers: online peaks of about twice the mean every few seconds beside batch work that can
//! wait for the troughs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::gateway::fleet_load::FleetLoad;
use crate::gateway::load::{LoadReport, ReportedLoad, ReportedWait, service_hash};
use crate::gateway::slots::{ServingTarget, SlotOutcome, TargetSlots};
use crate::gateway::wait_queue::{DecidedWaiter, ServiceQueue, SlotNeed, SlotRefusal, SlotWaiter};
use crate::ids::{DataCentreId, ServiceName, TargetId, VmId};
use crate::scheduling::RequestClass;

/// Another data centre's target is taken when it is freer by this part of its slots: traffic between
/// data centres is dearer than a slightly fuller batch.
const REMOTE_PENALTY: f64 = 0.15;
/// A target that has read the prompt's shared parts may be fuller by this part of its slots.
const PREFIX_BONUS: f64 = 0.10;
/// Shared prefixes whose last target is remembered.
const MAX_PREFIXES: usize = 4096;

/// Targets that are compared at least; two are much better than one, and more help little when reports
/// are old (Mitzenmacher, "How useful is old information?", 2000).
const MIN_SAMPLED_TARGETS: usize = 2;
/// VMs that see the same load must not all choose the same target; less than one slot's part.
const SCORE_NOISE: f64 = 0.02;

/// The VMs that share what a target bears in cold start, until their number is known. More than there
/// are: too few would topple the target.
const ASSUMED_FLEET_SIZE: usize = 300;

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

/// Draws candidates at random: all of them while less than one placement is `unseen`, fewer the more are.
fn sample<T>(candidates: &mut [T], unreported: f64) -> &[T] {
    let sample_size = (candidates.len() as f64 / unreported.max(1.0)).ceil() as usize;
    let count = sample_size.max(MIN_SAMPLED_TARGETS).min(candidates.len());
    candidates.partial_shuffle(&mut rand::rng(), count).0
}

/// The slots of all targets as one VM knows them, and the requests that wait for one.
#[derive(Debug)]
pub struct RequestDispatcher {
    data_centre: DataCentreId,
    pub(crate) targets: BTreeMap<TargetId, TargetSlots>,
    pub(crate) out_of_service: HashSet<DataCentreId>,
    cold_start_rates: HashMap<ServiceName, f64>,
    pub(crate) fleet: FleetLoad,
    pub(crate) queues: HashMap<ServiceName, ServiceQueue>,
    prefixes: HashMap<u64, TargetId>,
    sequence: u64,
    fleet_size: usize,
    report_age: Duration,
}

impl RequestDispatcher {
    /// A dispatcher for a VM in `data_centre` that knows no target yet.
    pub fn open(data_centre: &DataCentreId) -> Self {
        Self {
            data_centre: data_centre.clone(),
            targets: BTreeMap::new(),
            out_of_service: HashSet::new(),
            cold_start_rates: HashMap::new(),
            fleet: FleetLoad::default(),
            queues: HashMap::new(),
            prefixes: HashMap::new(),
            sequence: 0,
            fleet_size: ASSUMED_FLEET_SIZE,
            report_age: Duration::ZERO,
        }
    }

    /// Replaces the list of targets. Load and suspicion of known ones are kept, unless they started anew.
    pub fn set_targets(&mut self, now: Duration, listed: Vec<ServingTarget>) {
        let mut previous = std::mem::take(&mut self.targets);
        for target in listed {
            let known =
                previous.remove(&target.id).filter(|slots| slots.is_same_incarnation(&target));
            let mut slots = known.unwrap_or_else(|| TargetSlots::open(target.clone(), now));
            slots.update(target, now);
            self.targets.insert(slots.target.id.clone(), slots);
        }
        self.update_reported_use();
    }

    /// Sets the data centres whose targets get nothing.
    pub fn set_out_of_service(&mut self, out_of_service: HashSet<DataCentreId>) {
        self.out_of_service = out_of_service;
    }

    /// Sets what targets in cold start bear, in requests a second over all VMs.
    pub fn set_cold_start_rates(&mut self, rates: HashMap<ServiceName, f64>) {
        self.cold_start_rates = rates;
    }

    /// Sets the number of VMs that share what targets in cold start bear.
    pub fn set_fleet_size(&mut self, vms: usize) {
        self.fleet_size = vms.max(1);
    }

    /// Sets how old reports of other VMs are at the mean.
    pub fn set_report_age(&mut self, age: Duration) {
        self.report_age = age;
    }

    /// A target of the list.
    pub fn target(&self, id: &TargetId) -> Option<&ServingTarget> {
        self.targets.get(id).map(|slots| &slots.target)
    }

    /// The number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Takes reports of other VMs and returns those that are newer than what is known.
    pub fn observe<'a>(
        &mut self,
        now: Duration,
        reports: &'a [(VmId, LoadReport)],
    ) -> Vec<&'a (VmId, LoadReport)> {
        let new_reports = reports.iter().filter(|(vm, report)| self.fleet.observe(now, vm, report));
        let new_reports: Vec<_> = new_reports.collect();
        if !new_reports.is_empty() {
            self.update_reported_use();
        }
        new_reports
    }

    /// Forgets what VMs reported that have not been heard for some time, and returns them.
    pub fn expire_reports(&mut self, now: Duration) -> Vec<VmId> {
        let expired = self.fleet.expire(now);
        if !expired.is_empty() {
            self.update_reported_use();
        }
        expired
    }

    /// The number of VMs that have been heard lately.
    pub fn live_vm_count(&self) -> usize {
        self.fleet.live_vms().len()
    }

    /// The VMs that have been heard lately.
    pub fn live_vms(&self) -> Vec<VmId> {
        self.fleet.live_vms().cloned().collect()
    }

    /// Whether a VM has been heard lately.
    pub fn is_live(&self, vm: &VmId) -> bool {
        self.fleet.is_live(vm)
    }

    fn update_reported_use(&mut self) {
        let uses = self.fleet.use_by_target();
        for slots in self.targets.values_mut() {
            let target_use = uses.get(&slots.hash).copied().unwrap_or_default();
            (slots.reported, slots.reported_batch) = (target_use.all, target_use.batch);
        }
    }

    /// What this VM tells the others: its load and the requests of callers that wait.
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

    /// Whether a service has any target that may be used.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        self.targets.values().any(|slots| {
            slots.target.service == *service && slots.is_in_service(&self.out_of_service)
        })
    }

    /// Takes a slot, or lets the request wait, or refuses it.
    pub fn request(&mut self, now: Duration, need: SlotNeed) -> PlacementOutcome {
        // The queue is taken out while it and the targets change together.
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
        if !has_targets || would_time_out {
            let retry_after = queue.retry_after(waiting_elsewhere, vms);
            return PlacementOutcome::Refused(SlotRefusal { retry_after, has_targets });
        }
        self.sequence += 1;
        PlacementOutcome::Waiting(queue.push(self.sequence, need))
    }

    /// Takes a waiting request out.
    pub fn cancel(&mut self, waiter: SlotWaiter) {
        for queue in self.queues.values_mut() {
            queue.remove(waiter);
        }
    }

    /// Places waiting requests and refuses those whose time is over.
    pub fn advance(&mut self, now: Duration) -> Vec<DecidedWaiter> {
        let mut decided = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let mut queue = self.queues.remove(&service).unwrap_or_default();
            decided.extend(queue.place_waiting(|queue, need| self.place(queue, now, need)));
            let retry_after =
                queue.retry_after(self.fleet.waiting(&service) as usize, self.live_vm_count() + 1);
            let refusal = SlotRefusal { retry_after, has_targets: self.has_targets(&service) };
            decided.extend(queue.refuse_expired(now, refusal));
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
        let cold_start_share = self.cold_start_share(&need.service);
        self.targets.get_mut(&id)?.acquire(now, need.class, cold_start_share);
        self.record_prefix(need.prefix, &id);
        queue.count_placement(now);
        queue.batch_allowance -= u32::from(is_batch && queue.batch_allowance > 0);
        Some(id)
    }

    /// This VM's share of what a target in cold start bears, in requests a second; 0 means no limit.
    fn cold_start_share(&self, service: &ServiceName) -> f64 {
        self.cold_start_rates.get(service).copied().unwrap_or(0.0) / self.fleet_size as f64
    }

    /// The best of some targets drawn at random. The more placements of other VMs are not reported yet,
    /// the fewer are drawn: VMs that all see the same load must not all choose the same target.
    fn choose(&self, now: Duration, need: &SlotNeed, queue: &ServiceQueue) -> Option<TargetId> {
        let cold_start_share = self.cold_start_share(&need.service);
        // Each VM places about as many requests as this one.
        let unreported =
            queue.placed_per_s() * self.live_vm_count() as f64 * self.report_age.as_secs_f64();
        let cached_target = need.prefix.and_then(|prefix| self.prefixes.get(&prefix));
        let max_queued = |slots: u32| match need.class {
            RequestClass::Online => queue.max_queued_at_target(slots, self.report_age),
            RequestClass::Batch => 0,
        };
        let candidates = self.targets.iter().filter(|(id, slots)| {
            slots.target.service == need.service
                && slots.in_use() < slots.target.slots + max_queued(slots.target.slots)
                && slots.is_usable(now, &self.out_of_service)
                && !need.excluded.contains(id)
                && !slots.is_cold_start_limited(now, cold_start_share)
        });
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (id, slots) in candidates {
            let mut score = f64::from(slots.in_use()) / f64::from(slots.target.slots);
            if cached_target == Some(id) {
                score -= PREFIX_BONUS;
            }
            let is_local = slots.target.data_centre == self.data_centre;
            if is_local {
                local.push((score, id));
            } else {
                remote.push((score + REMOTE_PENALTY, id));
            }
        }
        let sampled = sample(&mut local, unreported).iter().chain(sample(&mut remote, unreported));
        let noisy = sampled.map(|(score, id)| (score + rand::random::<f64>() * SCORE_NOISE, *id));
        noisy.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id.clone())
    }

    fn record_prefix(&mut self, prefix: Option<u64>, target: &TargetId) {
        let Some(prefix) = prefix else { return };
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, target.clone());
    }

    /// Learns from a request on which a target worked for some time.
    pub fn record_service_time(&mut self, id: &TargetId, service_time: Duration) {
        let service = self.targets.get(id).map(|slots| &slots.target.service);
        if let Some(queue) = service.and_then(|service| self.queues.get_mut(service)) {
            queue.record_service_time(service_time);
        }
    }

    /// Gives a slot back.
    pub fn release(
        &mut self,
        now: Duration,
        id: &TargetId,
        class: RequestClass,
        outcome: SlotOutcome,
    ) {
        if let Some(slots) = self.targets.get_mut(id) {
            slots.release(now, class, outcome);
        }
    }
}
