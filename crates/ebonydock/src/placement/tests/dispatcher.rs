//! Tests of placement under load, without a network or a clock.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use crate::gateway::{ConnectionPool, LoadReport};
use crate::ids::{DataCentreId, ServiceName, TargetId, VersionName, VmId};
use crate::placement::dispatcher::{PlacementOutcome, RequestDispatcher};
use crate::placement::load::{ReportedLoad, target_hash};
use crate::placement::slots::{ServingTarget, SlotOutcome};
use crate::placement::wait_queue::{SlotNeed, SlotWaiter};
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

const SLOTS: u32 = 8;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn target(id: &str, data_centre: &str) -> ServingTarget {
    ServingTarget {
        id: TargetId::from(id),
        started_at_ms: 0,
        service: ServiceName::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreId::from(data_centre),
        version: VersionName::from("v1"),
        slots: SLOTS,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn dispatcher_with(targets: Vec<ServingTarget>) -> RequestDispatcher {
    dispatcher_of("local", targets)
}

fn dispatcher_of(vm: &str, targets: Vec<ServingTarget>) -> RequestDispatcher {
    let mut dispatcher = RequestDispatcher::open(
        &VmId::from(vm),
        &DataCentreId::from("a"),
        Rc::new(ConnectionPool::default()),
    );
    dispatcher.set_targets(Duration::ZERO, targets);
    dispatcher
}

fn fleet_members(vms: usize) -> Vec<VmId> {
    (0..vms).map(|vm| VmId::from(format!("vm{vm}"))).collect()
}

fn need(class: RequestClass, received: u64) -> SlotNeed {
    SlotNeed {
        service: ServiceName::from("llm"),
        cohort: TargetCohort::Current,
        class,
        rank: 0,
        prefix: None,
        excluded: Vec::new(),
        order: ms(received),
        place_by: ms(received + 210),
        critical_at: None,
    }
}

fn online(received: u64) -> SlotNeed {
    need(RequestClass::Online, received)
}

fn placed(outcome: PlacementOutcome) -> TargetId {
    match outcome {
        PlacementOutcome::Placed(target) => target,
        other => panic!("not placed: {other:?}"),
    }
}

fn waiting(outcome: PlacementOutcome) -> SlotWaiter {
    match outcome {
        PlacementOutcome::Waiting(waiter) => waiter,
        other => panic!("does not wait: {other:?}"),
    }
}

fn report(incarnation: u64, sequence: u64, loads: &[(&str, u8, u8)]) -> LoadReport {
    let loads = loads.iter().map(|(target, online, batch)| ReportedLoad {
        target: target_hash(&TargetId::from(*target)),
        online: *online,
        batch: *batch,
    });
    LoadReport { incarnation, sequence, targets: loads.collect(), ..LoadReport::default() }
}

#[test]
fn local_target_is_preferred_until_fuller() {
    let mut dispatcher = dispatcher_with(vec![target("near", "a"), target("far", "b")]);
    let mut counts: HashMap<TargetId, u32> = HashMap::new();
    for _ in 0..10 {
        *counts.entry(placed(dispatcher.request(ms(0), online(0)))).or_default() += 1;
    }
    assert!(counts[&TargetId::from("near")] >= 5, "{counts:?}");
    assert!(counts[&TargetId::from("far")] >= 3, "{counts:?}");
}

/// Relays send all reports to a VM, its own included.
#[test]
fn own_report_returned_by_relay_is_not_counted() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    for _ in 0..5 {
        placed(dispatcher.request(ms(0), online(0)));
    }
    let own = [(VmId::from("local"), report(1, 1, &[("t", 5, 0)]))];
    assert!(dispatcher.observe(ms(1), &own).is_empty(), "its quota use would be subtracted twice");
    assert_eq!(dispatcher.live_vm_count(), 0);
    for _ in 5..SLOTS {
        placed(dispatcher.request(ms(1), online(1)));
    }
}

#[test]
fn reported_load_uses_slots() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    let vm = VmId::from("other");
    let update = |report| [(vm.clone(), report)];
    assert_eq!(dispatcher.observe(ms(0), &update(report(1, 2, &[("t", 5, 3)]))).len(), 1);
    waiting(dispatcher.request(ms(0), online(0)));
    assert!(
        dispatcher.observe(ms(1), &update(report(1, 1, &[]))).is_empty(),
        "a report that arrives out of order is applied"
    );
    assert_eq!(
        dispatcher.observe(ms(2), &update(report(2, 1, &[]))).len(),
        1,
        "the sequence must restart with a new incarnation"
    );
    assert_eq!(dispatcher.advance(ms(3)).len(), 1);
}

#[test]
fn load_reports_expire() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    dispatcher.observe(ms(0), &[(VmId::from("other"), report(1, 1, &[("t", 8, 0)]))]);
    waiting(dispatcher.request(ms(0), online(0)));
    assert!(dispatcher.expire_reports(ms(1000)).is_empty());
    assert_eq!(dispatcher.expire_reports(ms(1600)), [VmId::from("other")]);
    assert_eq!(dispatcher.live_vm_count(), 0);
}

#[parameterized(
    leaving = { |target: &mut ServingTarget| target.leaving = true },
    other_service = { |target: &mut ServingTarget| target.service = ServiceName::from("other") },
)]
fn unusable_target_gets_no_requests(change: fn(&mut ServingTarget)) {
    let mut changed = target("t", "a");
    change(&mut changed);
    let mut dispatcher = dispatcher_with(vec![changed]);
    let outcome = dispatcher.request(ms(0), online(0));
    let PlacementOutcome::Refused(refusal) = outcome else { panic!("{outcome:?}") };
    assert!(!refusal.has_targets);
}

#[test]
fn out_of_service_data_centre_gets_no_requests() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    dispatcher.set_out_of_service(HashSet::from([DataCentreId::from("a")]));
    assert!(matches!(dispatcher.request(ms(0), online(0)), PlacementOutcome::Refused(_)));
    dispatcher.set_out_of_service(HashSet::new());
    placed(dispatcher.request(ms(1), online(1)));
}

#[test]
fn failed_target_is_probed_after_backoff() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    let id = placed(dispatcher.request(ms(0), online(0)));
    dispatcher.release(ms(10), &id, RequestClass::Online, SlotOutcome::Failed);
    waiting(dispatcher.request(ms(20), online(20)));
    assert_eq!(dispatcher.advance(ms(100)).len(), 0);
    waiting(dispatcher.request(ms(255), online(255)));
    // The first request is refused at its deadline; the second one probes the target.
    let decided = dispatcher.advance(ms(265));
    assert_eq!(decided.iter().filter(|(.., outcome)| outcome.is_ok()).count(), 1);
    waiting(dispatcher.request(ms(270), online(270)));
    dispatcher.release(ms(280), &id, RequestClass::Online, SlotOutcome::Responded);
    assert!(dispatcher.advance(ms(281)).iter().any(|(.., outcome)| outcome.is_ok()));
    placed(dispatcher.request(ms(290), online(290)));
}

#[test]
fn restarted_target_is_usable_again() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    let id = placed(dispatcher.request(ms(0), online(0)));
    dispatcher.release(ms(0), &id, RequestClass::Online, SlotOutcome::Misdirected);
    let outcome = dispatcher.request(ms(1), online(1));
    assert!(matches!(outcome, PlacementOutcome::Refused(refusal) if !refusal.has_targets));
    dispatcher.set_targets(ms(2), vec![ServingTarget { started_at_ms: 7, ..target("t", "a") }]);
    placed(dispatcher.request(ms(3), online(3)));
}

#[test]
fn cold_start_capacity_is_shared_by_vms() {
    let mut cold = target("t", "a");
    cold.cold_for = ms(3000);
    cold.slots = 1000;
    let mut dispatcher = dispatcher_of("vm0", vec![cold]);
    dispatcher.set_cold_start_rates(HashMap::from([(ServiceName::from("llm"), 10.0)]));
    dispatcher.set_members(ms(0), &fleet_members(5));
    let mut sent = 0;
    for tick in 0..200 {
        let now = ms(tick * 10);
        if let PlacementOutcome::Placed(_) = dispatcher.request(now, online(tick * 10)) {
            sent += 1;
        }
        sent += dispatcher.advance(now).iter().filter(|(.., outcome)| outcome.is_ok()).count();
    }
    // This VM's share is 2 requests per second for 2 s, and the first request may be sent at once.
    assert!((4..=5).contains(&sent), "{sent}");
}

/// Fleet whose VMs all see one target in cold start.
struct ColdFleet {
    dispatchers: Vec<RequestDispatcher>,
    rate: f64,
    /// Times of the requests that the target got, in ticks of 10 ms.
    sent: Vec<u64>,
}

impl ColdFleet {
    fn open(vms: usize, rate: f64) -> Self {
        let mut cold = target("t", "a");
        cold.cold_for = ms(5000);
        cold.slots = 1000;
        let members = fleet_members(vms);
        let dispatcher = |vm: &VmId| {
            let mut dispatcher = dispatcher_of(vm.as_str(), vec![cold.clone()]);
            dispatcher.set_cold_start_rates(HashMap::from([(ServiceName::from("llm"), rate)]));
            dispatcher.set_members(ms(0), &members);
            dispatcher
        };
        Self { dispatchers: members.iter().map(dispatcher).collect(), rate, sent: Vec::new() }
    }

    /// Plays one tick in which the VMs selected by `has_request` get a request each.
    fn tick(&mut self, tick: u64, mut has_request: impl FnMut(usize) -> bool) {
        let now = ms(tick * 10);
        for (vm, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            let at_once = has_request(vm)
                && matches!(
                    dispatcher.request(now, online(tick * 10)),
                    PlacementOutcome::Placed(_)
                );
            let decided = dispatcher.advance(now);
            let later = decided.iter().filter(|(.., outcome)| outcome.is_ok()).count();
            self.sent.extend(std::iter::repeat_n(tick, later + usize::from(at_once)));
        }
    }

    fn assert_capacity_is_kept(&self) {
        let max_count = self.rate * 1.5 + 5.0;
        for start in 0..400 {
            let count =
                self.sent.iter().filter(|tick| (start..start + 100).contains(*tick)).count();
            assert!((count as f64) <= max_count, "{count} of {max_count} from {start}");
        }
    }
}

/// All 85 VMs of a fleet have requests for a target that can handle 13 requests per second in cold start.
#[test]
fn fleet_stays_within_cold_start_capacity() {
    let mut fleet = ColdFleet::open(85, 13.0);
    for tick in 0..300 {
        fleet.tick(tick, |_| true);
    }
    fleet.assert_capacity_is_kept();
    assert!(fleet.sent.len() >= 37, "{} of 39 are sent", fleet.sent.len());
}

/// 195 VMs that get 2.4 requests per second each, of which a target handles 7.8 per second of all VMs.
#[test]
fn large_fleet_uses_cold_start_capacity() {
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet = ColdFleet::open(195, 7.8);
    for tick in 0..500 {
        fleet.tick(tick, |_| random.random::<f64>() < 0.024);
    }
    fleet.assert_capacity_is_kept();
    assert!(fleet.sent.len() >= 20, "{} of 39 are sent", fleet.sent.len());
}

#[test]
fn unused_cold_start_capacity_does_not_accumulate_until_a_peak() {
    let mut fleet = ColdFleet::open(195, 7.8);
    for tick in 0..450 {
        fleet.tick(tick, |_| tick >= 350);
    }
    fleet.assert_capacity_is_kept();
}

/// When all targets have failed a request, waiting for its deadline would not bring another one.
#[parameterized(
    online_request = { RequestClass::Online },
    batch_item = { RequestClass::Batch },
)]
fn request_that_all_targets_failed_is_refused_at_once(class: RequestClass) {
    let mut dispatcher = dispatcher_with(vec![target("t", "a"), target("u", "b")]);
    let failed = SlotNeed {
        excluded: vec![TargetId::from("t"), TargetId::from("u")],
        place_by: ms(60_000),
        ..need(class, 0)
    };
    let outcome = dispatcher.request(ms(0), failed);
    assert!(matches!(outcome, PlacementOutcome::Refused(_)), "{outcome:?}");
    // The last target that has not failed the request leaves while it waits.
    for _ in 0..2 * SLOTS {
        placed(dispatcher.request(ms(0), online(0)));
    }
    let failed_once =
        SlotNeed { excluded: vec![TargetId::from("t")], place_by: ms(60_000), ..need(class, 0) };
    let waiter = waiting(dispatcher.request(ms(1), failed_once));
    dispatcher.set_targets(ms(2), vec![target("t", "a")]);
    let decided = dispatcher.advance(ms(3));
    assert!(matches!(&decided[..], [(decided, _, Err(_))] if *decided == waiter), "{decided:?}");
}

#[test]
fn online_goes_before_batch_in_order() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    let mut running: Vec<TargetId> =
        (0..8).map(|_| placed(dispatcher.request(ms(0), online(0)))).collect();
    let batch = waiting(dispatcher.request(ms(1), need(RequestClass::Batch, 1)));
    let second = waiting(dispatcher.request(ms(3), online(3)));
    let first = waiting(dispatcher.request(ms(3), online(2)));
    let id = running.pop().unwrap();
    dispatcher.release(ms(4), &id, RequestClass::Online, SlotOutcome::Responded);
    let decided = dispatcher.advance(ms(4));
    assert_eq!(decided.iter().map(|(waiter, ..)| *waiter).collect::<Vec<_>>(), [first]);
    dispatcher.release(ms(5), &id, RequestClass::Online, SlotOutcome::Responded);
    let decided = dispatcher.advance(ms(5));
    assert_eq!(decided.iter().map(|(waiter, ..)| *waiter).collect::<Vec<_>>(), [second]);
    assert_ne!(batch, first);
}

#[test]
fn expected_timeout_is_refused_at_once() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a")]);
    // Placements at one per 100 ms over several rate windows, then a queue.
    let mut now = 0;
    let mut running = Vec::new();
    while running.len() < 8 {
        running.push(placed(dispatcher.request(ms(0), online(0))));
    }
    for _ in 0..30 {
        now += 100;
        dispatcher.release(
            ms(now),
            &TargetId::from("t"),
            RequestClass::Online,
            SlotOutcome::Responded,
        );
        placed(dispatcher.request(ms(now), online(now)));
    }
    waiting(dispatcher.request(ms(now), online(now)));
    let outcomes: Vec<PlacementOutcome> =
        (0..4).map(|_| dispatcher.request(ms(now), online(now))).collect();
    let refused = outcomes.iter().filter_map(|outcome| match outcome {
        PlacementOutcome::Refused(refusal) => Some(refusal),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() >= 3, "{outcomes:?}");
    assert!(refused.iter().all(|refusal| refusal.retry_after >= ms(100)));
}

/// Runs a load whose online rate jumps to five times its value after a second, beside batch items. Returns
/// the number of online requests that wait longer than 50 ms for a target.
fn late_requests_at_peak(preempts: bool) -> usize {
    let targets = (0..6).map(|index| target(&format!("t{index}"), "a")).collect();
    let mut dispatcher = dispatcher_with(targets);
    let mut batch: Vec<TargetId> = Vec::new();
    let mut running: Vec<(u64, TargetId)> = Vec::new();
    let mut waiting_since: HashMap<SlotWaiter, u64> = HashMap::new();
    let mut batch_waiting = 0;
    let mut late = 0;
    let mut arrivals = 0.0;
    for now in 0..3000_u64 {
        running.retain(|(end, id)| {
            if *end <= now {
                dispatcher.release(ms(now), id, RequestClass::Online, SlotOutcome::Responded);
            }
            *end > now
        });
        if now % 40 == 0 {
            let preemptions = dispatcher.balance_batch(ms(now));
            for preemption in preemptions.into_iter().filter(|_| preempts) {
                for _ in 0..preemption.items {
                    let id = batch.pop().unwrap();
                    dispatcher.release(ms(now), &id, RequestClass::Batch, SlotOutcome::Cancelled);
                }
            }
        }
        while batch_waiting < 20 {
            let item = SlotNeed { place_by: ms(60_000), ..need(RequestClass::Batch, 20_000) };
            match dispatcher.request(ms(now), item) {
                PlacementOutcome::Placed(id) => batch.push(id),
                PlacementOutcome::Waiting(_) => batch_waiting += 1,
                PlacementOutcome::Refused(refusal) => panic!("{refusal:?}"),
            }
        }
        // 8 requests per second, then 40; each runs for 700 ms.
        arrivals += if now < 1000 { 0.008 } else { 0.040 };
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let request = SlotNeed { place_by: ms(now + 5000), ..online(now) };
            match dispatcher.request(ms(now), request) {
                PlacementOutcome::Placed(id) => running.push((now + 700, id)),
                PlacementOutcome::Waiting(waiter) => {
                    waiting_since.insert(waiter, now);
                }
                PlacementOutcome::Refused(_) => late += 1,
            }
        }
        for (waiter, class, outcome) in dispatcher.advance(ms(now)) {
            let id = outcome.unwrap();
            if class == RequestClass::Batch {
                batch_waiting -= 1;
                batch.push(id);
                continue;
            }
            late += usize::from(now - waiting_since.remove(&waiter).unwrap() > 50);
            running.push((now + 700, id));
        }
    }
    late + waiting_since.len()
}

#[test]
fn batch_is_preempted_at_peak() {
    assert_eq!(late_requests_at_peak(true), 0);
    assert!(late_requests_at_peak(false) > 10);
}

#[test]
fn batch_leaves_online_reserve() {
    let mut dispatcher = dispatcher_with(vec![target("t", "a"), target("u", "a")]);
    for index in 0..16 {
        dispatcher
            .request(ms(0), SlotNeed { place_by: ms(60_000), ..need(RequestClass::Batch, index) });
    }
    dispatcher.balance_batch(ms(0));
    let started = dispatcher.advance(ms(1)).len();
    // 2 of the 16 slots are reserved for online requests.
    assert!((12..=14).contains(&started), "{started}");
}

/// Guards against batch items that miss their deadline because online requests keep the fleet nearly full for
/// a long time. Online requests must still find free slots.
#[test]
fn critical_item_uses_online_reserve() {
    let mut dispatcher =
        dispatcher_with((0..5).map(|index| target(&format!("t{index}"), "a")).collect());
    for _ in 0..35 {
        placed(dispatcher.request(ms(0), online(0)));
    }
    let regular = SlotNeed { place_by: ms(60_000), ..need(RequestClass::Batch, 1) };
    let critical = SlotNeed { critical_at: Some(ms(10)), order: ms(2), ..regular.clone() };
    dispatcher.balance_batch(ms(0));
    let regular = waiting(dispatcher.request(ms(0), regular));
    let critical: Vec<SlotWaiter> =
        (0..9).map(|_| waiting(dispatcher.request(ms(0), critical.clone()))).collect();
    assert!(dispatcher.advance(ms(5)).is_empty());
    let decided: Vec<SlotWaiter> =
        dispatcher.advance(ms(10)).iter().map(|(waiter, ..)| *waiter).collect();
    assert!(!decided.contains(&regular));
    assert!(decided.len() >= 3 && decided.iter().all(|waiter| critical.contains(waiter)));
    placed(dispatcher.request(ms(11), online(11)));
}

proptest! {
    #[test]
    fn targets_stay_within_slots(steps in prop::collection::vec((0_u8..4, 0_u64..30), 1..200)) {
        let mut dispatcher = dispatcher_with(vec![target("t", "a"), target("u", "b")]);
        let mut running: Vec<(TargetId, RequestClass)> = Vec::new();
        let mut now = 0;
        for (step, delay) in steps {
            now += delay;
            match step {
                0 | 1 => {
                    let class = if step == 0 { RequestClass::Online } else { RequestClass::Batch };
                    if let PlacementOutcome::Placed(id) = dispatcher.request(ms(now), need(class, now)) {
                        running.push((id, class));
                    }
                }
                2 if !running.is_empty() => {
                    let (id, class) = running.remove(now as usize % running.len());
                    dispatcher.release(ms(now), &id, class, SlotOutcome::Responded);
                }
                _ => {
                    dispatcher.balance_batch(ms(now));
                }
            }
            for (_, class, outcome) in dispatcher.advance(ms(now)) {
                if let Ok(id) = outcome {
                    running.push((id, class));
                }
            }
            for id in ["t", "u"] {
                let count = running.iter().filter(|(target, _)| target.as_str() == id).count();
                prop_assert!(count <= SLOTS as usize);
            }
        }
    }
}
