//! Pools that a VM schedules, with the requests that wait for their targets.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::ids::{LeaseId, ModelName, TargetId, VmId};
use crate::membership::messages::PoolSummary;
use crate::scheduling::messages::{
    AcquireRefusal, AcquireReply, AcquireRequest, HeldLease, LeaseOutcome, ReleaseReport,
    StartReport,
};
use crate::scheduling::{CacheReport, Decision, PoolPolicy, PoolScheduler, WaiterId};
use crate::targets::EngineStatus;

/// Batch lease whose revocation is to be sent to its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRevocation {
    /// The lease.
    pub(crate) lease: LeaseId,
    /// The VM that holds it.
    pub(crate) holder: VmId,
}

/// Status of a target, as shown to operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct TargetReport {
    model: ModelName,
    target: TargetId,
    address: String,
    warm: bool,
    leaving: bool,
    in_flight: u32,
    capacity: u32,
}

struct PoolEntry {
    scheduler: PoolScheduler,
    waiters: HashMap<WaiterId, oneshot::Sender<AcquireReply>>,
    next_waiter: u64,
}

/// Pools that a VM schedules, by model.
pub(crate) struct PoolDirectory {
    policy: PoolPolicy,
    pools: Mutex<HashMap<ModelName, PoolEntry>>,
}

/// Request that waits in a local pool. Dropping it cancels the request.
pub(crate) struct PendingAcquire<'a> {
    directory: &'a PoolDirectory,
    model: ModelName,
    waiter: WaiterId,
    reply: oneshot::Receiver<AcquireReply>,
    completed: bool,
}

impl PendingAcquire<'_> {
    /// Waits for the reply.
    pub(crate) async fn wait(mut self) -> AcquireReply {
        let reply = (&mut self.reply).await;
        self.completed = true;
        reply.unwrap_or(AcquireReply::Refused(AcquireRefusal::NotOwner))
    }
}

impl Drop for PendingAcquire<'_> {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        let mut pools = self.directory.lock();
        if let Some(pool) = pools.get_mut(&self.model) {
            pool.waiters.remove(&self.waiter);
            pool.scheduler.cancel(self.waiter);
        }
    }
}

impl PoolDirectory {
    /// Returns a directory without pools.
    pub(crate) fn open(policy: PoolPolicy) -> Self {
        Self { policy, pools: Mutex::default() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ModelName, PoolEntry>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the models whose pools this VM schedules.
    pub(crate) fn models(&self) -> Vec<ModelName> {
        self.lock().keys().cloned().collect()
    }

    /// Takes over a pool unless this VM already schedules it. Returns whether the pool is new.
    pub(crate) fn take_over(&self, now: Duration, model: &ModelName, members: Vec<VmId>) -> bool {
        let mut pools = self.lock();
        if pools.contains_key(model) {
            return false;
        }
        let first_lease = rand::random::<u64>() & !u64::from(u32::MAX);
        let scheduler = PoolScheduler::open(self.policy, first_lease, members, now);
        let entry = PoolEntry { scheduler, waiters: HashMap::new(), next_waiter: 0 };
        pools.insert(model.clone(), entry);
        true
    }

    /// Drops the pools for which `still_owned` returns `false`. Requests that wait there are
    /// refused with [`AcquireRefusal::NotOwner`], so that their senders retry at the new owner.
    pub(crate) fn retain(&self, still_owned: impl Fn(&ModelName) -> bool) {
        self.lock().retain(|model, _| still_owned(model));
    }

    /// Submits a request for a lease. Returns `None` if this VM does not schedule the pool, and the
    /// revocations to send.
    pub(crate) fn acquire(
        &self,
        now: Duration,
        holder: &VmId,
        request: AcquireRequest,
    ) -> (Option<PendingAcquire<'_>>, Vec<PendingRevocation>) {
        let model = request.model.clone();
        let mut pools = self.lock();
        let Some(pool) = pools.get_mut(&model) else { return (None, Vec::new()) };
        let waiter = WaiterId(pool.next_waiter);
        pool.next_waiter += 1;
        let (sender, reply) = oneshot::channel();
        pool.waiters.insert(waiter, sender);
        let decisions = pool.scheduler.acquire(now, holder, waiter, request);
        let revocations = pool.deliver(now, &model, decisions);
        drop(pools);
        let pending = PendingAcquire { directory: self, model, waiter, reply, completed: false };
        (Some(pending), revocations)
    }

    /// Handles the report that a response has started.
    pub(crate) fn record_response_start(
        &self,
        now: Duration,
        report: &StartReport,
    ) -> Vec<PendingRevocation> {
        self.with_scheduler(now, &report.model, |scheduler| {
            scheduler.record_response_start(now, report)
        })
    }

    /// Handles the return of a lease.
    pub(crate) fn release(&self, now: Duration, report: &ReleaseReport) -> Vec<PendingRevocation> {
        self.with_scheduler(now, &report.model, |scheduler| scheduler.release(now, report))
    }

    /// Handles a target's own status report.
    pub(crate) fn record_status(
        &self,
        now: Duration,
        model: &ModelName,
        target: &TargetId,
        status: &EngineStatus,
    ) -> Vec<PendingRevocation> {
        let (incarnation, warm) = (status.start_id, status.warm);
        self.with_scheduler(now, model, |scheduler| {
            scheduler.record_status(now, target, incarnation, warm)
        })
    }

    /// Applies a VM's listing of the leases that it holds.
    pub(crate) fn reconcile(
        &self,
        now: Duration,
        model: &ModelName,
        holder: &VmId,
        held: &[HeldLease],
    ) -> Vec<PendingRevocation> {
        self.with_scheduler(now, model, |scheduler| scheduler.reconcile(now, holder, held))
    }

    /// Runs the periodic work of every pool. `out_of_service` says whether the data centre is out
    /// of service.
    pub(crate) fn tick(&self, now: Duration, out_of_service: bool) -> Vec<PendingRevocation> {
        let tick = |scheduler: &mut PoolScheduler| {
            scheduler.set_out_of_service(out_of_service);
            scheduler.tick(now)
        };
        self.models().iter().flat_map(|model| self.with_scheduler(now, model, tick)).collect()
    }

    /// Handles the loss of a VM.
    pub(crate) fn on_holder_lost(&self, now: Duration, holder: &VmId) {
        for pool in self.lock().values_mut() {
            pool.scheduler.on_holder_lost(now, holder);
        }
    }

    /// Calls `update` with the scheduler of a pool, if this VM has it. `update` must not make
    /// decisions.
    pub(crate) fn update<T>(
        &self,
        model: &ModelName,
        update: impl FnOnce(&mut PoolScheduler) -> T,
    ) -> Option<T> {
        self.lock().get_mut(model).map(|pool| update(&mut pool.scheduler))
    }

    /// Applies a target's report of its cache. Returns whether a full listing is needed.
    pub(crate) fn record_cache_report(
        &self,
        model: &ModelName,
        target: &TargetId,
        report: CacheReport,
    ) -> bool {
        self.update(model, |scheduler| scheduler.record_cache_report(target, report))
            .unwrap_or(false)
    }

    /// Returns the load of every pool.
    pub(crate) fn summaries(&self) -> Vec<PoolSummary> {
        let pools = self.lock();
        let summary = |(model, pool): (&ModelName, &PoolEntry)| PoolSummary {
            model: model.clone(),
            free: pool.scheduler.free(),
            waiting: pool.scheduler.waiting().0 as u32,
        };
        pools.iter().map(summary).collect()
    }

    /// Returns the status of the targets of every pool.
    pub(crate) fn target_reports(&self) -> Vec<TargetReport> {
        let pools = self.lock();
        let report = |model: &ModelName, state: &crate::scheduling::TargetState| TargetReport {
            model: model.clone(),
            target: state.target.clone(),
            address: state.address.clone(),
            warm: state.warmup == crate::scheduling::WarmupState::Warm,
            leaving: state.leaving,
            in_flight: state.in_flight,
            capacity: state.nominal_capacity(),
        };
        let reports = pools.iter().flat_map(|(model, pool)| {
            pool.scheduler.targets().map(move |state| report(model, state))
        });
        reports.collect()
    }

    fn with_scheduler(
        &self,
        now: Duration,
        model: &ModelName,
        decide: impl FnOnce(&mut PoolScheduler) -> Vec<Decision>,
    ) -> Vec<PendingRevocation> {
        let mut pools = self.lock();
        let Some(pool) = pools.get_mut(model) else { return Vec::new() };
        let decisions = decide(&mut pool.scheduler);
        pool.deliver(now, model, decisions)
    }
}

impl PoolEntry {
    /// Replies to waiters and returns the revocations to send. A lease whose waiter is gone is
    /// released at once, which may lead to further decisions.
    fn deliver(
        &mut self,
        now: Duration,
        model: &ModelName,
        mut decisions: Vec<Decision>,
    ) -> Vec<PendingRevocation> {
        let mut revocations = Vec::new();
        while let Some(decision) = decisions.pop() {
            match decision {
                Decision::Revoke(lease, holder) => {
                    revocations.push(PendingRevocation { lease, holder });
                }
                Decision::Refuse(waiter, refusal) => {
                    if let Some(sender) = self.waiters.remove(&waiter) {
                        let _ = sender.send(AcquireReply::Refused(refusal));
                    }
                }
                Decision::Grant(waiter, grant) => {
                    let lease = grant.lease;
                    let sender = self.waiters.remove(&waiter);
                    let delivered = sender.map(|s| s.send(AcquireReply::Granted(grant)).is_ok());
                    if delivered != Some(true) {
                        let report = ReleaseReport::unused(model, lease, LeaseOutcome::Cancelled);
                        decisions.extend(self.scheduler.release(now, &report));
                    }
                }
            }
        }
        revocations
    }
}
