//! Tests of scheduling: limits, order and preemption under random operations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use crate::ids::{DataCentreId, LeaseId, ModelName, TargetId, VmId, WorkspaceId};
use crate::platform::{EngineCapability, TargetEntry, TargetRole};
use crate::scheduling::messages::{
    AcquireRefusal, AcquireRequest, HeldLease, LeaseOutcome, ReleaseReport, RequestDemand,
    StartReport,
};
use crate::scheduling::{
    AffinityPolicy, CacheReport, Decision, FairQueue, PoolPolicy, PoolScheduler, PreemptionPolicy,
    PrefixIndex, RequestClass, ReserveEstimator, TargetState, WaiterId, WarmupState, WorkspaceLoad,
};

const MODEL: &str = "clerk-8b";
const SEQUENCES: u32 = 6;
const COLD_SEQUENCES: u32 = 2;
const COLD_MS: u64 = 1000;

fn target(index: usize, leaving: bool) -> TargetEntry {
    TargetEntry {
        target: TargetId::from(format!("engine-{index}")),
        data_centre: DataCentreId::from("celje"),
        address: format!("127.0.0.1:{}", 9000 + index),
        leaving,
        role: TargetRole::Engine(EngineCapability {
            models: vec![ModelName::from(MODEL)],
            max_sequences: SEQUENCES,
            context_tokens: 1000,
            cache_tokens: 100_000,
            cold_sequences: COLD_SEQUENCES,
            cold_ms: COLD_MS,
            checks_fence: true,
        }),
    }
}

fn demand(class: RequestClass, workspace: usize) -> RequestDemand {
    RequestDemand {
        class,
        workspace: WorkspaceId::from(format!("workspace-{workspace}")),
        weight: 1.0,
        prompt_tokens: 10,
        answer_tokens: 10,
        prefix: None,
        order: 0,
    }
}

fn request(demand: RequestDemand, wait_ms: u32) -> AcquireRequest {
    AcquireRequest { model: ModelName::from(MODEL), demand, wait_ms, excluded: Vec::new() }
}

fn report(lease: LeaseId, outcome: LeaseOutcome, start_id: u64) -> ReleaseReport {
    let model = ModelName::from(MODEL);
    ReleaseReport { model, lease, outcome, tokens: 10, token_micros: 20_000, start_id }
}

/// Scheduler with a record of its decisions.
struct Pool {
    scheduler: PoolScheduler,
    now: Duration,
    held: BTreeMap<LeaseId, (TargetId, RequestClass)>,
    classes: BTreeMap<WaiterId, RequestClass>,
    decided: BTreeSet<WaiterId>,
    revoked: BTreeSet<LeaseId>,
    /// Leases that were granted on targets in cold start and are still held.
    cold_grants: BTreeMap<TargetId, BTreeSet<LeaseId>>,
    /// Targets that restarted while idle, with the time of the restart.
    restarted: BTreeMap<TargetId, Duration>,
    /// The incarnation that is reported at once for each lease that asks for it.
    reported_incarnation: Option<u64>,
    next_waiter: u64,
}

impl Pool {
    fn open(policy: PoolPolicy, targets: usize) -> Self {
        let mut scheduler = PoolScheduler::open(policy, 1, Vec::new(), Duration::ZERO);
        let entries: Vec<TargetEntry> = (0..targets).map(|index| target(index, false)).collect();
        scheduler.set_targets(Duration::ZERO, &entries);
        Self {
            scheduler,
            now: Duration::from_secs(1),
            held: BTreeMap::new(),
            classes: BTreeMap::new(),
            decided: BTreeSet::new(),
            revoked: BTreeSet::new(),
            cold_grants: BTreeMap::new(),
            restarted: BTreeMap::new(),
            reported_incarnation: None,
            next_waiter: 0,
        }
    }

    /// Returns a pool whose targets are warm and have each completed a response.
    fn warm(policy: PoolPolicy, targets: usize) -> Self {
        let mut pool = Self::open(policy, targets);
        pool.reported_incarnation = Some(7);
        for index in 0..targets {
            let id = TargetId::from(format!("engine-{index}"));
            let decisions = pool.scheduler.record_status(pool.now, &id, 7, true);
            pool.apply_decisions(decisions);
        }
        for _ in 0..targets {
            pool.acquire(RequestClass::Online, 0, 1000);
        }
        let leases: Vec<LeaseId> = pool.held.keys().copied().collect();
        assert_eq!(leases.len(), targets);
        for lease in leases {
            pool.release(lease, LeaseOutcome::Completed, 7);
        }
        pool
    }

    fn acquire(&mut self, class: RequestClass, workspace: usize, wait_ms: u32) -> WaiterId {
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.classes.insert(waiter, class);
        let holder = VmId::from("vm-1");
        let request = request(demand(class, workspace), wait_ms);
        let decisions = self.scheduler.acquire(self.now, &holder, waiter, request);
        self.apply_decisions(decisions);
        waiter
    }

    fn report_response_start(&mut self, lease: LeaseId, start_id: u64) {
        let report = StartReport { model: ModelName::from(MODEL), lease, start_id };
        let decisions = self.scheduler.record_response_start(self.now, &report);
        self.apply_decisions(decisions);
    }

    fn release(&mut self, lease: LeaseId, outcome: LeaseOutcome, start_id: u64) {
        self.held.remove(&lease);
        self.revoked.remove(&lease);
        for leases in self.cold_grants.values_mut() {
            leases.remove(&lease);
        }
        let decisions = self.scheduler.release(self.now, &report(lease, outcome, start_id));
        self.apply_decisions(decisions);
    }

    fn tick(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let decisions = self.scheduler.tick(self.now);
        self.apply_decisions(decisions);
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant(waiter, grant) => {
                    assert!(self.decided.insert(waiter), "a request got two decisions");
                    let class = self.classes[&waiter];
                    let state = self.scheduler.targets().find(|state| state.target == grant.target);
                    if state.is_some_and(|s| matches!(s.warmup, WarmupState::Cold { .. })) {
                        let cold = self.cold_grants.entry(grant.target.clone()).or_default();
                        cold.insert(grant.lease);
                    }
                    self.held.insert(grant.lease, (grant.target, class));
                    if let Some(incarnation) = self.reported_incarnation.filter(|_| grant.probe) {
                        self.report_response_start(grant.lease, incarnation);
                    }
                }
                Decision::Refuse(waiter, _) => {
                    assert!(self.decided.insert(waiter), "a request got two decisions");
                }
                Decision::Revoke(lease, _) => {
                    assert_eq!(self.held[&lease].1, RequestClass::Batch);
                    assert!(self.revoked.insert(lease), "a lease was revoked twice");
                }
            }
        }
    }

    fn check(&self) {
        let held = |target: &TargetId| self.held.values().filter(|(id, _)| id == target).count();
        for state in self.scheduler.targets() {
            assert_eq!(
                state.in_flight as usize,
                held(&state.target),
                "the held leases and the load of a target differ"
            );
            assert!(state.in_flight <= SEQUENCES, "a target exceeds its limit");
        }
        for (target, leases) in &self.cold_grants {
            assert!(
                leases.len() <= COLD_SEQUENCES as usize,
                "`{target}` got too many leases in cold start"
            );
        }
        for (target, restarted_at) in &self.restarted {
            let cold = self.now.saturating_sub(*restarted_at) < Duration::from_millis(COLD_MS);
            assert!(
                !cold || held(target) <= COLD_SEQUENCES as usize,
                "`{target}` was overloaded after a restart"
            );
        }
        let (online, _) = self.scheduler.waiting();
        if online > 0 {
            let demand = demand(RequestClass::Online, 0);
            let room = self.scheduler.targets().any(|state| state.has_room(self.now, &demand));
            assert!(!room, "an online request waits although a target has room");
            let batch =
                self.held.values().filter(|(_, class)| *class == RequestClass::Batch).count();
            assert!(
                self.revoked.len() >= online.min(batch),
                "online requests wait but too few batch leases were revoked"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Online(usize),
    Batch(usize),
    Finish { index: usize, outcome: LeaseOutcome, restart: bool },
    ReturnRevoked,
    AdvanceTime(u64),
    Status { target: usize, warm: bool },
    ResponseStart(usize),
    RestartIdle(usize),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let outcome = prop_oneof![
        6 => Just(LeaseOutcome::Completed),
        1 => Just(LeaseOutcome::Cancelled),
        1 => Just(LeaseOutcome::TargetFailed),
        1 => Just(LeaseOutcome::Overloaded),
    ];
    let operation = prop_oneof![
        4 => (0usize..4).prop_map(Operation::Online),
        6 => (0usize..4).prop_map(Operation::Batch),
        6 => (any::<usize>(), outcome, prop::bool::weighted(0.05))
            .prop_map(|(index, outcome, restart)| Operation::Finish { index, outcome, restart }),
        3 => Just(Operation::ReturnRevoked),
        4 => (1u64..400).prop_map(Operation::AdvanceTime),
        1 => (0usize..3, any::<bool>())
            .prop_map(|(target, warm)| Operation::Status { target, warm }),
        4 => any::<usize>().prop_map(Operation::ResponseStart),
        2 => (0usize..3).prop_map(Operation::RestartIdle),
    ];
    prop::collection::vec(operation, 1..200)
}

fn apply(pool: &mut Pool, operation: &Operation, incarnations: &mut BTreeMap<TargetId, u64>) {
    match *operation {
        Operation::Online(workspace) => {
            pool.acquire(RequestClass::Online, workspace, 2000);
        }
        Operation::Batch(workspace) => {
            pool.acquire(RequestClass::Batch, workspace, 5000);
        }
        Operation::Finish { index, outcome, restart } => {
            let Some((lease, (target, _))) = pool.held.iter().nth(index % pool.held.len().max(1))
            else {
                return;
            };
            let (lease, target) = (*lease, target.clone());
            let incarnation = incarnations.entry(target).or_insert(7);
            *incarnation += u64::from(restart);
            let incarnation = *incarnation;
            pool.release(lease, outcome, incarnation);
        }
        Operation::ReturnRevoked => {
            for lease in std::mem::take(&mut pool.revoked) {
                pool.release(lease, LeaseOutcome::Cancelled, 0);
            }
        }
        Operation::AdvanceTime(millis) => pool.tick(millis),
        Operation::Status { target, warm } => {
            let id = TargetId::from(format!("engine-{target}"));
            let incarnation = *incarnations.get(&id).unwrap_or(&7);
            // A status that reports a warm target is true for its incarnation, so it ends the cold
            // start.
            let now = pool.now;
            if warm {
                pool.cold_grants.remove(&id);
                pool.restarted.remove(&id);
            }
            let decisions = pool.scheduler.record_status(now, &id, incarnation, warm);
            pool.apply_decisions(decisions);
        }
        Operation::ResponseStart(index) => {
            let Some((lease, (target, _))) = pool.held.iter().nth(index % pool.held.len().max(1))
            else {
                return;
            };
            let (lease, incarnation) = (*lease, *incarnations.get(target).unwrap_or(&7));
            pool.report_response_start(lease, incarnation);
        }
        Operation::RestartIdle(target) => {
            let id = TargetId::from(format!("engine-{target}"));
            if pool.held.values().all(|(target, _)| *target != id) {
                *incarnations.entry(id.clone()).or_insert(7) += 1;
                pool.restarted.insert(id, pool.now);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_hold_over_random_operations(operations in operations()) {
        let mut pool = Pool::open(PoolPolicy::default(), 3);
        let mut incarnations = BTreeMap::new();
        for operation in &operations {
            apply(&mut pool, operation, &mut incarnations);
            pool.check();
        }
        // After the deadlines every request has got a lease or a refusal.
        pool.tick(6000);
        prop_assert_eq!(pool.decided.len() as u64, pool.next_waiter);
    }

    #[test]
    fn prefix_index_follows_late_events_with_gaps(
        batches in prop::collection::vec((0u64..4, prop::collection::vec((0u64..20, any::<bool>()), 0..6)), 1..30),
    ) {
        let id = TargetId::from("engine-0");
        let mut index = PrefixIndex::default();
        let mut truth: Vec<u64> = Vec::new();
        let mut position = 0;
        for (lost, events) in batches {
            for (prefix, stored) in &events {
                truth.retain(|held| held != prefix);
                if *stored {
                    truth.push(*prefix);
                }
            }
            let first_event = position;
            position += events.len() as u64;
            if lost == 0 {
                continue;
            }
            if !index.apply(&id, CacheReport::Events { first_event, events }) {
                let listing = CacheReport::Listing { next_event: position, prefixes: truth.clone() };
                prop_assert!(index.apply(&id, listing));
            }
            for prefix in 0..20 {
                let known = index.holders(prefix).any(|holder| *holder == id);
                prop_assert_eq!(known, truth.contains(&prefix));
            }
        }
    }
}

#[test]
fn online_requests_preempt_batch_leases() {
    let mut pool = Pool::warm(PoolPolicy::default(), 2);
    for _ in 0..20 {
        pool.acquire(RequestClass::Batch, 1, 60_000);
    }
    // Two online requests arrived at once before, but the reserve is at most a tenth of the capacity of
    // twelve, and at least one.
    assert_eq!(pool.held.len(), 2 * SEQUENCES as usize - 1);
    pool.acquire(RequestClass::Online, 2, 1000);
    assert_eq!(pool.held.len(), 2 * SEQUENCES as usize);
    assert!(pool.revoked.is_empty());
    let waiting = pool.acquire(RequestClass::Online, 2, 1000);
    assert_eq!(pool.revoked.len(), 1);
    let revoked = pool.revoked.pop_first().unwrap();
    pool.release(revoked, LeaseOutcome::Cancelled, 7);
    assert!(pool.decided.contains(&waiting));
}

#[test]
fn first_come_first_served_never_revokes() {
    let policy = PoolPolicy { preemption: PreemptionPolicy::None, ..PoolPolicy::default() };
    let mut pool = Pool::warm(policy, 1);
    for _ in 0..10 {
        pool.acquire(RequestClass::Batch, 1, 60_000);
    }
    pool.acquire(RequestClass::Online, 2, 1000);
    assert!(pool.revoked.is_empty());
    assert_eq!(pool.scheduler.waiting().0, 5);
}

#[test]
fn cold_targets_wait_for_member_reports_after_takeover() {
    let members = vec![VmId::from("vm-1"), VmId::from("vm-2")];
    let mut scheduler = PoolScheduler::open(PoolPolicy::default(), 1, members, Duration::ZERO);
    scheduler.set_targets(Duration::ZERO, &[target(0, false)]);
    let now = Duration::from_millis(100);
    let acquire_request = request(demand(RequestClass::Online, 0), 5000);
    let vm = VmId::from("vm-1");
    assert!(scheduler.acquire(now, &vm, WaiterId(1), acquire_request).is_empty());
    let held = HeldLease {
        lease: LeaseId(99),
        target: TargetId::from("engine-0"),
        demand: demand(RequestClass::Online, 1),
    };
    assert!(scheduler.reconcile(now, &vm, std::slice::from_ref(&held)).is_empty());
    let granted = scheduler.reconcile(now, &VmId::from("vm-2"), &[]);
    assert!(matches!(granted.as_slice(), [Decision::Grant(WaiterId(1), _)]));
    // The predecessor's lease counts: the target now runs the two sequences allowed in cold start.
    let acquire_request = request(demand(RequestClass::Online, 0), 5000);
    assert!(scheduler.acquire(now, &vm, WaiterId(2), acquire_request).is_empty());
}

#[test]
fn unannounced_restart_applies_cold_limit() {
    let mut pool = Pool::warm(PoolPolicy::default(), 1);
    pool.reported_incarnation = Some(8);
    let first = pool.acquire(RequestClass::Online, 0, 1000);
    assert!(pool.decided.contains(&first));
    for _ in 0..5 {
        pool.acquire(RequestClass::Online, 0, 1000);
    }
    assert_eq!(pool.held.len(), COLD_SEQUENCES as usize);
    pool.check();
}

#[test]
fn idle_target_has_cold_limit_until_response_starts() {
    let mut pool = Pool::warm(PoolPolicy::default(), 1);
    pool.reported_incarnation = None;
    for _ in 0..SEQUENCES {
        pool.acquire(RequestClass::Online, 0, 1000);
    }
    assert_eq!(pool.held.len(), COLD_SEQUENCES as usize);
    let lease = *pool.held.keys().next().unwrap();
    pool.report_response_start(lease, 7);
    assert_eq!(pool.held.len(), SEQUENCES as usize);
}

#[test]
fn leaving_target_gets_no_new_requests() {
    let mut pool = Pool::warm(PoolPolicy::default(), 2);
    pool.scheduler.set_targets(pool.now, &[target(0, true), target(1, false)]);
    for _ in 0..4 {
        pool.acquire(RequestClass::Online, 0, 1000);
    }
    let leaving = TargetId::from("engine-0");
    assert!(pool.held.values().all(|(target, _)| *target != leaving));
    assert_eq!(pool.held.len(), 4);
}

#[test]
fn out_of_service_data_centre_refuses_and_revokes() {
    let mut pool = Pool::warm(PoolPolicy::default(), 1);
    pool.acquire(RequestClass::Batch, 0, 1000);
    pool.scheduler.set_out_of_service(true);
    pool.tick(10);
    assert_eq!(pool.revoked.len(), 1);
    let vm = VmId::from("vm-1");
    let acquire_request = request(demand(RequestClass::Online, 0), 1000);
    let decisions = pool.scheduler.acquire(pool.now, &vm, WaiterId(900), acquire_request);
    assert_eq!(decisions, [Decision::Refuse(WaiterId(900), AcquireRefusal::DataCentreOut)]);
}

#[parameterized(
    too_large = { 2000, AcquireRefusal::NoCapableTarget },
    never_free = { 10, AcquireRefusal::Busy },
)]
fn refusals(prompt_tokens: u32, expected: AcquireRefusal) {
    let mut pool = Pool::warm(PoolPolicy::default(), 1);
    for _ in 0..SEQUENCES {
        pool.acquire(RequestClass::Online, 0, 60_000);
    }
    let vm = VmId::from("vm-1");
    let demand = RequestDemand { prompt_tokens, ..demand(RequestClass::Online, 1) };
    let now = pool.now;
    let mut decisions = pool.scheduler.acquire(now, &vm, WaiterId(900), request(demand, 50));
    decisions.extend(pool.scheduler.tick(now + Duration::from_millis(60)));
    assert_eq!(decisions, [Decision::Refuse(WaiterId(900), expected)]);
}

/// Serves `rounds` items from a queue to which each workspace adds `sent` items per round.
fn serve(sent: &[usize], weights: &[f64], rounds: usize) -> Vec<usize> {
    let mut queue: FairQueue<usize> = FairQueue::default();
    let name = |index: usize| WorkspaceId::from(format!("workspace-{index}"));
    let mut served = vec![0; sent.len()];
    for _ in 0..rounds {
        for (index, count) in sent.iter().enumerate() {
            for _ in 0..*count {
                queue.push(&name(index), 0, index);
            }
        }
        let accept = |item: &usize, _: WorkspaceLoad| Some(*item);
        let Some((index, _)) = queue.pop_with(accept) else { continue };
        queue.start(&name(index), 30.0, weights[index]);
        queue.finish(&name(index), 0.0, weights[index]);
        served[index] += 1;
    }
    served
}

#[test]
fn service_follows_weights_not_arrivals() {
    insta::assert_json_snapshot!(serve(&[1, 5, 1, 25], &[1.0, 1.0, 2.0, 1.0], 500), @"
    [
      100,
      100,
      200,
      100
    ]
    ");
}

#[test]
fn idle_workspace_gains_no_credit() {
    let mut queue: FairQueue<u32> = FairQueue::default();
    let (busy, idle) = (WorkspaceId::from("busy"), WorkspaceId::from("idle"));
    let accept = |item: &u32, _: WorkspaceLoad| Some(*item);
    for item in 0..100 {
        queue.push(&busy, 0, item);
        queue.pop_with(accept);
        queue.start(&busy, 10.0, 1.0);
    }
    for item in 0..20 {
        queue.push(&busy, 0, item);
        queue.push(&idle, 0, 1000 + item);
    }
    let mut first = Vec::new();
    for _ in 0..10 {
        let Some((item, _)) = queue.pop_with(accept) else { break };
        let workspace = if item >= 1000 { &idle } else { &busy };
        queue.start(workspace, 10.0, 1.0);
        first.push(item >= 1000);
    }
    assert!(first.iter().filter(|idle| **idle).count() <= 6, "{first:?}");
}

#[test]
fn reserve_follows_recent_bursts() {
    let mut reserve = ReserveEstimator::default();
    let mut seen = Vec::new();
    seen.push(reserve.reserve(Duration::from_secs(1), 100));
    for _ in 0..7 {
        reserve.record_arrival(Duration::from_millis(2010));
    }
    seen.push(reserve.reserve(Duration::from_millis(2500), 100));
    seen.push(reserve.reserve(Duration::from_millis(2500), 20));
    seen.push(reserve.reserve(Duration::from_secs(13), 100));
    assert_eq!(seen, [1, 7, 2, 1]);
}

#[parameterized(
    no_affinity = { AffinityPolicy::None },
    bounded_load = { AffinityPolicy::BoundedLoad },
    wait_ratio = { AffinityPolicy::WaitRatio },
)]
fn affinity(policy: AffinityPolicy) {
    let policy = PoolPolicy { affinity: policy, ..PoolPolicy::default() };
    let mut pool = Pool::warm(policy, 3);
    let vm = VmId::from("vm-1");
    for waiter in 500..510 {
        let demand = RequestDemand { prefix: Some(42), ..demand(RequestClass::Online, 0) };
        pool.classes.insert(WaiterId(waiter), RequestClass::Online);
        let acquire_request = request(demand, 1000);
        let decisions = pool.scheduler.acquire(pool.now, &vm, WaiterId(waiter), acquire_request);
        pool.apply_decisions(decisions);
    }
    let mut counts: Vec<usize> = (0..3)
        .map(|index| TargetId::from(format!("engine-{index}")))
        .map(|id| pool.held.values().filter(|(target, _)| *target == id).count())
        .collect();
    counts.sort_unstable();
    let expected = match policy.affinity {
        // By load alone, the requests are spread evenly.
        AffinityPolicy::None => [3, 3, 4],
        // A holder gets up to a quarter more than the mean; the next request makes a second holder.
        AffinityPolicy::BoundedLoad => [0, 5, 5],
        // The holder is filled first and then waited for: six requests run and four wait.
        AffinityPolicy::WaitRatio => [0, 0, 6],
    };
    assert_eq!(counts, expected);
}

/// Returns a warm target that has responded at its unloaded token latency.
fn warm_target() -> TargetState {
    let mut state = TargetState::open(&target(0, false), Duration::ZERO).unwrap();
    for response in 0..4 {
        state.record_completion(Duration::from_millis(COLD_MS + response), UNLOADED_TOKEN_MICROS);
    }
    assert_eq!(state.nominal_capacity(), SEQUENCES);
    state
}

const UNLOADED_TOKEN_MICROS: u32 = 5000;

/// Guards against a limit that stays low after one wrong sample: a VM that was not scheduled for a
/// moment reads the tokens of a response all at once, and the target appears much faster than it
/// is.
#[test]
fn fast_sample_does_not_keep_limit_low() {
    let mut state = warm_target();
    state.record_completion(Duration::from_millis(1100), 10);
    for response in 0..2000 {
        state.record_completion(Duration::from_millis(1100 + response * 20), UNLOADED_TOKEN_MICROS);
    }
    assert_eq!(state.nominal_capacity(), SEQUENCES);
}

#[test]
fn limit_decreases_under_slowdown() {
    let mut state = warm_target();
    let mut min_capacity = SEQUENCES;
    for response in 0..500 {
        // Beyond three sequences each token takes twice as long.
        let overloaded = state.nominal_capacity() > 3;
        let micros = if overloaded { 2 * UNLOADED_TOKEN_MICROS } else { UNLOADED_TOKEN_MICROS };
        state.record_completion(Duration::from_millis(1100 + response * 20), micros);
        min_capacity = min_capacity.min(state.nominal_capacity());
    }
    assert!((2..=3).contains(&min_capacity), "{min_capacity}");
}
