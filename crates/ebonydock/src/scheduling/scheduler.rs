//! Scheduler of one pool. It does no I/O: callers pass the time and carry out its decisions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::ids::{LeaseId, TargetId, VmId, WorkspaceId};
use crate::platform::TargetEntry;
use crate::scheduling::lease_table::{LeaseRecord, LeaseTable};
use crate::scheduling::load_index::LoadIndex;
use crate::scheduling::messages::{
    AcquireRefusal, AcquireRequest, HeldLease, LeaseGrant, LeaseOutcome, ReleaseReport,
    RequestDemand, StartReport,
};
use crate::scheduling::wait_queues::{PoolWaiter, WaitQueues};
use crate::scheduling::{
    AffinityPolicy, CacheReport, PreemptionPolicy, PrefixIndex, RequestClass, ReserveEstimator,
    TargetState, WarmupState, WorkspaceLoad,
};

/// Number of least loaded targets that are considered for one request.
const MAX_CANDIDATE_TARGETS: usize = 8;
/// Maximum number of waiting requests per class; further requests are refused as busy.
const MAX_WAITING_REQUESTS: usize = 20_000;
/// Retention of a lost VM's leases, because the VM may just be partitioned from the network and still
/// use them.
const LOST_HOLDER_GRACE: Duration = Duration::from_secs(3);
/// After a takeover, targets in cold start get no requests until every member has reported its leases,
/// for at most this long.
const REBUILD_TIMEOUT: Duration = Duration::from_secs(5);
/// Highest load of a prefix holder relative to the mean load of the pool, for
/// [`AffinityPolicy::BoundedLoad`].
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Ratio of a workspace's waiting to running requests below which [`AffinityPolicy::WaitRatio`] waits
/// for the prefix holder.
const WAIT_RATIO_THRESHOLD: f64 = 1.0;
/// Cost of an output token relative to a prompt token when service is charged to a workspace.
const OUTPUT_TOKEN_WEIGHT: f64 = 2.0;

/// Identifies a waiting request. The caller of the scheduler assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Scheduling policy of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolPolicy {
    /// How online requests preempt batch work.
    pub preemption: PreemptionPolicy,
    /// How prefix caches are weighed against load.
    pub affinity: AffinityPolicy,
}

/// Decision of the scheduler, which its caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Grants a lease to the waiter.
    Grant(WaiterId, LeaseGrant),
    /// Refuses the waiter a lease.
    Refuse(WaiterId, AcquireRefusal),
    /// Revokes a batch lease, which the holder has to return.
    Revoke(LeaseId, VmId),
}

/// Scheduler of one pool, which assigns waiting requests to targets.
#[derive(Debug)]
pub struct PoolScheduler {
    policy: PoolPolicy,
    targets: HashMap<TargetId, TargetState>,
    index: LoadIndex,
    max_context_tokens: u32,
    waiting: WaitQueues,
    leases: LeaseTable,
    prefixes: PrefixIndex,
    reserve: ReserveEstimator,
    unreported_members: HashSet<VmId>,
    rebuild_until: Duration,
    lost_holders: BTreeMap<VmId, Duration>,
    out_of_service: bool,
}

impl PoolScheduler {
    /// Returns a scheduler that takes over the pool. `members` are the VMs that may hold leases granted
    /// by a predecessor. Lease ids start at `first_lease`, which differs for each incarnation of a VM.
    pub fn open(policy: PoolPolicy, first_lease: u64, members: Vec<VmId>, now: Duration) -> Self {
        Self {
            policy,
            targets: HashMap::new(),
            index: LoadIndex::default(),
            max_context_tokens: 0,
            waiting: WaitQueues::default(),
            leases: LeaseTable::open(first_lease),
            prefixes: PrefixIndex::default(),
            reserve: ReserveEstimator::default(),
            unreported_members: members.into_iter().collect(),
            rebuild_until: now + REBUILD_TIMEOUT,
            lost_holders: BTreeMap::new(),
            out_of_service: false,
        }
    }

    /// Replaces the targets of the pool.
    pub fn set_targets(&mut self, now: Duration, entries: &[TargetEntry]) {
        let listed: HashSet<&TargetId> = entries.iter().map(|entry| &entry.target).collect();
        let removed: Vec<TargetId> =
            self.targets.keys().filter(|target| !listed.contains(target)).cloned().collect();
        for target in removed {
            self.targets.remove(&target);
            self.prefixes.clear(&target);
            self.reindex(now, &target);
        }
        for entry in entries {
            match self.targets.get_mut(&entry.target) {
                Some(state) => state.update(entry),
                None => {
                    if let Some(state) = TargetState::open(entry, now) {
                        self.targets.insert(entry.target.clone(), state);
                    }
                }
            }
            self.reindex(now, &entry.target);
        }
        let contexts = self.targets.values().filter(|state| !state.leaving);
        self.max_context_tokens =
            contexts.map(|state| state.capability.context_tokens).max().unwrap_or(0);
    }

    /// Sets whether the data centre is out of service.
    pub fn set_out_of_service(&mut self, out_of_service: bool) {
        self.out_of_service = out_of_service;
    }

    /// Returns the targets of the pool.
    pub fn targets(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Returns the number of granted leases.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }

    /// Returns the numbers of waiting requests, online and batch.
    pub fn waiting(&self) -> (usize, usize) {
        let waiting = |class| self.waiting.of(class).len();
        (waiting(RequestClass::Online), waiting(RequestClass::Batch))
    }

    /// Returns the number of sequences that could start now.
    pub fn free(&self) -> u32 {
        if self.out_of_service {
            0
        } else {
            self.index.capacity().saturating_sub(self.index.in_flight())
        }
    }

    /// Returns whether leases that a predecessor granted may still be unknown.
    pub fn is_rebuilding(&self, now: Duration) -> bool {
        !self.unreported_members.is_empty() && now < self.rebuild_until
    }

    /// Handles a request for a lease. Its [`Decision`] follows now or later.
    pub fn acquire(
        &mut self,
        now: Duration,
        holder: &VmId,
        id: WaiterId,
        request: AcquireRequest,
    ) -> Vec<Decision> {
        let class = request.demand.class;
        if class == RequestClass::Online {
            self.reserve.record_arrival(now);
        }
        if let Some(refusal) = self.immediate_refusal(&request) {
            return vec![Decision::Refuse(id, refusal)];
        }
        let (queue, workspace, order) = self.queue_key(&request.demand);
        let deadline = now + Duration::from_millis(request.wait_ms.into());
        let AcquireRequest { demand, excluded, .. } = request;
        let waiter = PoolWaiter { id, holder: holder.clone(), demand, excluded };
        self.waiting.push(queue, &workspace, order, deadline, waiter);
        self.dispatch(now)
    }

    /// Removes a waiting request whose sender gave up.
    pub fn cancel(&mut self, id: WaiterId) {
        self.waiting.cancel(id);
    }

    /// Handles the report that a response has started, which names the target's incarnation.
    pub fn record_response_start(&mut self, now: Duration, report: &StartReport) -> Vec<Decision> {
        let Some(lease) = self.leases.get_mut(report.lease) else { return Vec::new() };
        let target = lease.target.clone();
        let newly_confirmed = lease.confirmed_incarnation == 0 && report.start_id != 0;
        lease.confirmed_incarnation = report.start_id;
        self.record_incarnation(now, &target, report.start_id);
        if let Some(state) = self.targets.get_mut(&target).filter(|_| newly_confirmed) {
            state.add_confirmed_response();
        }
        self.reindex(now, &target);
        self.dispatch(now)
    }

    /// Handles the return of a lease and what its use showed about the target.
    pub fn release(&mut self, now: Duration, report: &ReleaseReport) -> Vec<Decision> {
        let Some(lease) = self.remove_lease(report.lease) else { return Vec::new() };
        let target = lease.target.clone();
        let actual =
            f64::from(lease.demand.prompt_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(report.tokens);
        self.adjust_charge(&lease, actual - lease.charged);
        self.record_incarnation(now, &target, report.start_id);
        if let Some(state) = self.targets.get_mut(&target) {
            match report.outcome {
                LeaseOutcome::Completed => state.record_completion(now, report.token_micros),
                LeaseOutcome::Cancelled => {}
                LeaseOutcome::TargetFailed => state.record_failure(now),
                LeaseOutcome::Overloaded => state.record_overload(now),
            }
        }
        self.reindex(now, &target);
        self.dispatch(now)
    }

    /// Handles a target's own status report, which may be older than what responses have shown.
    pub fn record_status(
        &mut self,
        now: Duration,
        target: &TargetId,
        incarnation: u64,
        warm: bool,
    ) -> Vec<Decision> {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_status(now, incarnation, warm);
        }
        self.reindex(now, target);
        self.dispatch(now)
    }

    /// Applies a target's report of its cache. Returns whether a full listing is needed.
    pub fn record_cache_report(&mut self, target: &TargetId, report: CacheReport) -> bool {
        self.targets.contains_key(target) && !self.prefixes.apply(target, report)
    }

    /// Returns the number of the next cache event expected from a target.
    pub fn next_cache_event(&self, target: &TargetId) -> u64 {
        self.prefixes.next_event(target)
    }

    /// Applies a VM's listing of the leases that it holds: adopts unknown ones, which a predecessor
    /// granted, and drops leases that the VM no longer holds.
    pub fn reconcile(&mut self, now: Duration, holder: &VmId, held: &[HeldLease]) -> Vec<Decision> {
        self.unreported_members.remove(holder);
        self.lost_holders.remove(holder);
        for record in held {
            self.adopt_lease(now, holder, record);
        }
        let listed: HashSet<LeaseId> = held.iter().map(|record| record.lease).collect();
        let missing = self.leases.missing(now, holder, &listed);
        self.drop_leases(now, &missing);
        self.dispatch(now)
    }

    /// Handles the loss of a VM. Its leases are dropped after a grace period.
    pub fn on_holder_lost(&mut self, now: Duration, holder: &VmId) {
        self.unreported_members.remove(holder);
        self.lost_holders.insert(holder.clone(), now + LOST_HOLDER_GRACE);
    }

    /// Refuses requests past their deadline, drops leases of lost VMs, and grants leases on
    /// capacity that has become free.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        let refuse = |id| Decision::Refuse(id, AcquireRefusal::Busy);
        let mut decisions: Vec<Decision> =
            self.waiting.expire(now).into_iter().map(refuse).collect();
        self.expire_lost_holders(now);
        let targets: Vec<TargetId> = self.targets.keys().cloned().collect();
        for target in targets {
            self.reindex(now, &target);
        }
        self.waiting.prune();
        decisions.extend(self.dispatch(now));
        decisions
    }

    fn immediate_refusal(&self, request: &AcquireRequest) -> Option<AcquireRefusal> {
        if self.out_of_service {
            return Some(AcquireRefusal::DataCentreOut);
        }
        if !self.is_servable(request) {
            return Some(AcquireRefusal::NoCapableTarget);
        }
        let waiting = self.waiting.of(request.demand.class).len();
        (waiting >= MAX_WAITING_REQUESTS).then_some(AcquireRefusal::Busy)
    }

    /// Returns the queue, workspace and order of a request. First come, first served uses one queue and
    /// one workspace for all requests.
    fn queue_key(&self, demand: &RequestDemand) -> (RequestClass, WorkspaceId, i64) {
        if self.policy.preemption == PreemptionPolicy::None {
            return (RequestClass::Online, WorkspaceId::from(""), 0);
        }
        (demand.class, demand.workspace.clone(), demand.order)
    }

    fn is_servable(&self, request: &AcquireRequest) -> bool {
        if request.excluded.is_empty() {
            return request.demand.cache_tokens() <= self.max_context_tokens;
        }
        let mut states = self.targets.values();
        states.any(|state| {
            state.can_serve(&request.demand) && !request.excluded.contains(&state.target)
        })
    }

    fn dispatch(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.out_of_service {
            self.revoke(self.leases.batch_len(), &mut decisions);
            return decisions;
        }
        while self.dispatch_one(now, RequestClass::Online, &mut decisions) {}
        if self.policy.preemption == PreemptionPolicy::Revoke {
            self.revoke(self.waiting.of(RequestClass::Online).len(), &mut decisions);
        }
        let (online, batch) = self.waiting();
        if batch == 0 || online > 0 {
            return decisions;
        }
        let capacity = self.index.capacity();
        let reserve = match self.policy.preemption {
            PreemptionPolicy::None => 0,
            PreemptionPolicy::StaticReserve => capacity.div_ceil(4),
            PreemptionPolicy::Revoke => self.reserve.reserve(now, capacity),
        };
        let mut free = capacity.saturating_sub(self.index.in_flight());
        while free > reserve && self.dispatch_one(now, RequestClass::Batch, &mut decisions) {
            free -= 1;
        }
        decisions
    }

    fn dispatch_one(
        &mut self,
        now: Duration,
        class: RequestClass,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let mut queue = std::mem::take(self.waiting.of_mut(class));
        let popped = queue.pop_with(|waiter, load| self.choose_target(now, waiter, load));
        *self.waiting.of_mut(class) = queue;
        let Some((waiter, target)) = popped else { return false };
        self.waiting.forget(waiter.id);
        decisions.push(self.grant(now, waiter, &target));
        true
    }

    fn grant(&mut self, now: Duration, waiter: PoolWaiter, target: &TargetId) -> Decision {
        let lease = self.leases.next_id();
        let demand = &waiter.demand;
        let charged = f64::from(demand.prompt_tokens)
            + OUTPUT_TOKEN_WEIGHT * f64::from(demand.answer_tokens) / 2.0;
        let grant = self.start_lease(now, target, lease, demand);
        if let Some(prefix) = demand.prefix {
            self.prefixes.insert(target, prefix);
        }
        let record = LeaseRecord::open(target, waiter.holder, waiter.demand, now, charged);
        self.insert_lease(lease, record);
        Decision::Grant(waiter.id, grant)
    }

    fn start_lease(
        &mut self,
        now: Duration,
        target: &TargetId,
        lease: LeaseId,
        demand: &RequestDemand,
    ) -> LeaseGrant {
        let state = self.targets.get_mut(target);
        let grant = LeaseGrant {
            lease,
            target: target.clone(),
            address: state.as_ref().map(|state| state.address.clone()).unwrap_or_default(),
            start_id: state.as_ref().map_or(0, |state| state.incarnation),
            probe: state.as_ref().is_some_and(|state| state.needs_probe()),
        };
        if let Some(state) = state {
            state.start(demand);
        }
        self.reindex(now, target);
        grant
    }

    fn insert_lease(&mut self, id: LeaseId, record: LeaseRecord) {
        let (class, workspace, _) = self.queue_key(&record.demand);
        let weight = f64::from(record.demand.weight);
        let charged = record.charged;
        self.leases.insert(id, record);
        self.waiting.of_mut(class).start(&workspace, charged, weight);
    }

    fn remove_lease(&mut self, id: LeaseId) -> Option<LeaseRecord> {
        let lease = self.leases.remove(id)?;
        if let Some(state) = self.targets.get_mut(&lease.target) {
            state.finish(&lease.demand);
            if lease.confirmed_incarnation != 0 {
                state.remove_confirmed_response(lease.confirmed_incarnation);
            }
        }
        Some(lease)
    }

    fn adjust_charge(&mut self, lease: &LeaseRecord, correction: f64) {
        let (class, workspace, _) = self.queue_key(&lease.demand);
        self.waiting.of_mut(class).finish(&workspace, correction, f64::from(lease.demand.weight));
    }

    /// Returns the target for a request, or `None` if the request has to wait.
    fn choose_target(
        &self,
        now: Duration,
        waiter: &PoolWaiter,
        load: WorkspaceLoad,
    ) -> Option<TargetId> {
        let holder = self.prefix_holder(now, waiter);
        match self.policy.affinity {
            AffinityPolicy::None => self.least_loaded(now, waiter),
            AffinityPolicy::BoundedLoad => {
                let preferred = holder.filter(|state| self.is_within_bound(now, waiter, state));
                let preferred = preferred.map(|state| state.target.clone());
                preferred.or_else(|| self.least_loaded(now, waiter))
            }
            AffinityPolicy::WaitRatio => {
                let ratio = load.waiting as f64 / f64::from(load.running.max(1));
                let admitting = holder.filter(|state| self.admits(now, waiter, state));
                match (holder, admitting) {
                    (Some(_), None) if ratio < WAIT_RATIO_THRESHOLD => None,
                    (_, Some(state)) => Some(state.target.clone()),
                    (_, None) => self.least_loaded(now, waiter),
                }
            }
        }
    }

    fn prefix_holder(&self, now: Duration, waiter: &PoolWaiter) -> Option<&TargetState> {
        let holders = self.prefixes.holders(waiter.demand.prefix?);
        let usable = holders.filter_map(|target| self.targets.get(target)).filter(|state| {
            !state.leaving && !state.is_in_backoff(now) && !waiter.excluded.contains(&state.target)
        });
        usable.min_by_key(|state| state.load(now))
    }

    fn is_within_bound(&self, now: Duration, waiter: &PoolWaiter, state: &TargetState) -> bool {
        let mean = f64::from(self.index.in_flight()) / f64::from(self.index.capacity().max(1));
        let own = f64::from(state.in_flight) / f64::from(state.capacity().max(1));
        let one_sequence = 1.0 / f64::from(state.capacity().max(1));
        self.admits(now, waiter, state) && own <= MAX_AFFINITY_LOAD_RATIO * mean + one_sequence
    }

    fn least_loaded(&self, now: Duration, waiter: &PoolWaiter) -> Option<TargetId> {
        let candidates = self.index.least_loaded().take(MAX_CANDIDATE_TARGETS);
        candidates
            .filter_map(|target| self.targets.get(target))
            .find(|state| self.admits(now, waiter, state))
            .map(|state| state.target.clone())
    }

    fn admits(&self, now: Duration, waiter: &PoolWaiter, state: &TargetState) -> bool {
        let cold = matches!(state.warmup, WarmupState::Cold { .. });
        let held_back = cold && self.is_rebuilding(now);
        !held_back
            && !waiter.excluded.contains(&state.target)
            && state.has_room(now, &waiter.demand)
    }

    /// Revokes as many of the newest batch leases as `wanted` requests need to start.
    fn revoke(&mut self, wanted: usize, decisions: &mut Vec<Decision>) {
        let revoked = self.leases.revoke(wanted);
        decisions.extend(revoked.into_iter().map(|(id, holder)| Decision::Revoke(id, holder)));
    }

    fn adopt_lease(&mut self, now: Duration, holder: &VmId, record: &HeldLease) {
        if self.leases.contains(record.lease) {
            return;
        }
        // The VM may also hold leases on the same model's pool in another data centre.
        let Some(state) = self.targets.get_mut(&record.target) else { return };
        state.start(&record.demand);
        let holder = holder.clone();
        let lease = LeaseRecord::open(&record.target, holder, record.demand.clone(), now, 0.0);
        self.insert_lease(record.lease, lease);
        self.reindex(now, &record.target);
    }

    fn record_incarnation(&mut self, now: Duration, target: &TargetId, incarnation: u64) {
        let state = self.targets.get_mut(target);
        if state.is_some_and(|state| state.record_incarnation(now, incarnation)) {
            self.prefixes.clear(target);
        }
    }

    fn drop_leases(&mut self, now: Duration, ids: &[LeaseId]) {
        for id in ids {
            let Some(lease) = self.remove_lease(*id) else { continue };
            self.adjust_charge(&lease, 0.0);
            self.reindex(now, &lease.target);
        }
    }

    fn expire_lost_holders(&mut self, now: Duration) {
        let expired = self.lost_holders.extract_if(.., |_, until| *until <= now);
        let expired: HashSet<VmId> = expired.map(|(vm, _)| vm).collect();
        if expired.is_empty() {
            return;
        }
        let lost = self.leases.of_holders(&expired);
        self.drop_leases(now, &lost);
    }

    /// Updates the load index after a change of a target.
    fn reindex(&mut self, now: Duration, target: &TargetId) {
        self.index.update(now, target, self.targets.get(target));
    }
}
