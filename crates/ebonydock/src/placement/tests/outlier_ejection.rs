//! Tests of the ejection of targets that fail their requests.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;

use crate::gateway::{ConnectionPool, LoadReport};
use crate::ids::{DataCentreId, ServiceName, TargetId, VmId};
use crate::placement::dispatcher::{PlacementOutcome, RequestDispatcher};
use crate::placement::outlier_ejection::{OutlierLedger, ReportedOutlier};
use crate::placement::slots::{ServingTarget, SlotOutcome};
use crate::placement::wait_queue::SlotNeed;
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

const TARGETS: u32 = 12;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn target(number: u32) -> ServingTarget {
    ServingTarget {
        id: TargetId::from(format!("t{number}")),
        started_at_ms: 0,
        service: service(),
        address: ([127, 0, 0, 1], 1 + number as u16).into(),
        data_centre: DataCentreId::from("a"),
        version: "v1".into(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn dispatcher(vm: &str) -> RequestDispatcher {
    let connections = Rc::new(ConnectionPool::default());
    let mut dispatcher =
        RequestDispatcher::open(&VmId::from(vm), &DataCentreId::from("a"), connections);
    dispatcher.set_targets(Duration::ZERO, (0..TARGETS).map(target).collect());
    dispatcher
}

fn need(class: RequestClass, now: Duration) -> SlotNeed {
    SlotNeed {
        service: service(),
        class,
        rank: 0,
        prefix: None,
        excluded: Vec::new(),
        order: now,
        place_by: now + ms(200),
        critical_at: None,
        cohort: TargetCohort::Current,
    }
}

/// Plays a fleet whose VMs send one request each in turn and report every 40 ms. Returns the failed requests.
fn failed_requests(vms: usize, failing: &[u32], ejects: bool) -> usize {
    let mut fleet: Vec<_> = (0..vms).map(|vm| dispatcher(&format!("vm{vm}"))).collect();
    if ejects {
        fleet.iter_mut().for_each(RequestDispatcher::eject_outliers);
    }
    let failing: BTreeSet<TargetId> = failing.iter().map(|number| target(*number).id).collect();
    let mut failed = 0;
    for request in 0..1200_u64 {
        let now = ms(5 * request);
        let vm = request as usize % vms;
        let outcome = fleet[vm].request(now, need(RequestClass::Online, now));
        let PlacementOutcome::Placed(target) = outcome else { continue };
        let has_failed = failing.contains(&target);
        failed += usize::from(has_failed);
        let outcome = if has_failed { SlotOutcome::ServerError } else { SlotOutcome::Responded };
        fleet[vm].release(now + ms(1), &target, RequestClass::Online, outcome);
        if request % 8 == 0 {
            let reports: Vec<(VmId, LoadReport)> = (0..vms)
                .map(|vm| {
                    let outliers = fleet[vm].report_outliers(now);
                    let report =
                        LoadReport { sequence: request + 1, outliers, ..LoadReport::default() };
                    (VmId::from(format!("vm{vm}")), report)
                })
                .collect();
            for dispatcher in &mut fleet {
                dispatcher.observe(now, &reports);
                dispatcher.refresh_outliers(now);
            }
        }
    }
    failed
}

/// Guards against targets that attract requests because they answer each with an error at once.
#[test]
fn targets_that_fail_all_requests_get_few() {
    let before = failed_requests(60, &[2, 7], false);
    let after = failed_requests(60, &[2, 7], true);
    // Two ejections of each target in 6 s, after three failures and those until all VMs know of them.
    assert!(after <= 60, "{after} requests failed, {before} without ejection");
    assert!(before >= 4 * after, "{after} requests failed, {before} without ejection");
}

/// Guards against a service without targets when the cause of the failures is not the targets.
#[test]
fn few_targets_are_ejected_if_all_fail() {
    let mut ledger = OutlierLedger::default();
    let name = service();
    let targets = || (0..TARGETS).map(|target| (&name, target));
    for target in (0..TARGETS).cycle().take(60) {
        ledger.record(ms(1), target, true);
    }
    assert_eq!(ledger.refresh(ms(2), targets()).len(), 4);
    assert_eq!(ledger.ejected().len(), 4);
}

/// Guards against ejections for single failures and by batch items, which may be at fault themselves.
#[test]
fn sound_targets_stay_in_use() {
    let mut dispatcher = dispatcher("vm0");
    dispatcher.eject_outliers();
    let id = target(0).id;
    for _ in 0..2 {
        dispatcher.release(ms(1), &id, RequestClass::Online, SlotOutcome::ServerError);
    }
    for _ in 0..20 {
        dispatcher.release(ms(1), &id, RequestClass::Batch, SlotOutcome::Failed);
    }
    assert_eq!(dispatcher.refresh_outliers(ms(2)), []);
}

/// Guards against targets that stay out of use after they have recovered.
#[test]
fn ejection_ends_after_last_failure() {
    let mut ledger = OutlierLedger::default();
    let name = service();
    let targets = || (0..TARGETS).map(|target| (&name, target));
    let vm = VmId::from("vm1");
    ledger.observe(&vm, &[ReportedOutlier { target: 3, failures: 5, answers: 1 }]);
    assert_eq!(ledger.refresh(ms(10), targets()), [3]);
    assert!(ledger.is_ejected(3));
    ledger.observe(&vm, &[]);
    ledger.refresh(ms(20), targets());
    assert!(!ledger.is_ejected(3));
    for _ in 0..3 {
        ledger.record(ms(100), 4, true);
    }
    ledger.refresh(ms(3000), targets());
    assert!(ledger.is_ejected(4));
    ledger.refresh(ms(3200), targets());
    assert!(!ledger.is_ejected(4));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Whatever VMs report, late or twice, at most a third of the targets is ejected, and only those listed.
    #[test]
    fn ejections_are_capped(
        reports in prop::collection::vec((0_usize..5, 0_u32..20, any::<u8>(), any::<u8>()), 0..80),
    ) {
        let mut ledger = OutlierLedger::default();
        let name = service();
        for (at, (vm, target, failures, answers)) in reports.into_iter().enumerate() {
            let outliers = [ReportedOutlier { target, failures, answers }];
            ledger.observe(&VmId::from(format!("vm{vm}")), &outliers);
            ledger.refresh(ms(at as u64 * 10), (0..TARGETS).map(|target| (&name, target)));
            let ejected = ledger.ejected();
            prop_assert!(ejected.len() <= TARGETS as usize / 3);
            prop_assert!(ejected.iter().all(|target| *target < TARGETS));
        }
    }
}
