//! Stored records, orders and cohorts.

use std::time::Duration;

use crate::ids::{Epoch, ServiceName, TargetId, VersionName, VmId};
use crate::rollouts::shares::SlowLimits;
use crate::rollouts::{
    AnswerSample, AnswerStage, ClaimWait, EvidenceSummary, RolloutLeader, RolloutOrder,
    RolloutPhase, RolloutReason, RolloutRecord, ShareTable, TargetCohort, VersionCohorts,
    VersionEvidence, claim_delay, rank_canary_targets, route_hash,
};
use TargetCohort::{Current, Next, Withheld};

const SECOND: Duration = Duration::from_secs(1);

fn order(to: &str, revision: u64) -> RolloutOrder {
    let service = ServiceName::from("service");
    RolloutOrder { service, to: VersionName::from(to), duration: 12 * SECOND, revision }
}

fn leader(vm: &str) -> RolloutLeader {
    RolloutLeader { vm: VmId::from(vm), incarnation: 1 }
}

fn record() -> RolloutRecord {
    RolloutRecord::open(&order("v2", 5), VersionName::from("v1"), None, 100 * SECOND, leader("a"))
}

fn end(record: &RolloutRecord, phase: RolloutPhase) -> RolloutRecord {
    let shares = ShareTable::uniform(1.0);
    record
        .advance(phase, shares, RolloutReason::Failures, EvidenceSummary::default())
        .expect("a running roll-out can end")
}

/// Guards against two leaders, and against a lease that a wrong clock holds for ever.
#[test]
fn lease_is_held_for_three_seconds() {
    let record = record();
    assert_eq!(record.claim(102 * SECOND, &leader("b")), Err(ClaimWait(103 * SECOND)));
    let claimed = record.claim(103 * SECOND, &leader("b")).expect("the lease has ended");
    assert_eq!((claimed.epoch, claimed.leader), (Epoch(2), leader("b")));
    assert!(record.claim(90 * SECOND, &leader("b")).is_ok(), "renewed far in the future");
    let restarted = RolloutLeader { incarnation: 2, ..leader("a") };
    assert!(record.claim(101 * SECOND, &restarted).is_ok(), "an earlier incarnation has ended");
    let ended = end(&record, RolloutPhase::RolledBack);
    assert!(ended.claim(200 * SECOND, &leader("b")).is_err(), "the roll-out has ended");
}

/// Guards against a verdict that changes.
#[test]
fn record_moves_only_forward() {
    let shifting = end(&record(), RolloutPhase::Shifting);
    let back = |record: &RolloutRecord, phase| {
        let evidence = EvidenceSummary::default();
        record.advance(phase, ShareTable::default(), RolloutReason::Planned, evidence)
    };
    assert_eq!(back(&shifting, RolloutPhase::Canary), None);
    for last in [RolloutPhase::Completed, RolloutPhase::RolledBack] {
        let ended = end(&shifting, last);
        assert_eq!(back(&ended, RolloutPhase::Completed), None);
        assert_eq!(back(&ended, RolloutPhase::RolledBack), None);
    }
}

/// Guards against an order that is repeated and starts again, and one that is ignored.
#[test]
fn only_another_order_replaces_a_record() {
    let running = record();
    assert!(!running.is_replaced_by(&order("v2", 6)), "the same order");
    assert!(!running.is_replaced_by(&order("v3", 4)), "an earlier order");
    assert!(running.is_replaced_by(&order("v3", 6)));
    assert!(!end(&running, RolloutPhase::RolledBack).is_replaced_by(&order("v2", 6)));
    assert!(!end(&running, RolloutPhase::Completed).is_replaced_by(&order("v2", 6)));
    let withdrawn = running.stop(RolloutReason::Withdrawn).expect("it runs");
    assert!(withdrawn.is_replaced_by(&order("v2", 6)));
    let from = VersionName::from("v1");
    let next = RolloutRecord::open(&order("v3", 6), from, Some(&running), SECOND, leader("b"));
    assert_eq!(next.rejected, [VersionName::from("v2")], "the replaced version");
    assert!(next.epoch > running.epoch);
}

/// Guards against orders that change traffic although they are invalid.
#[test]
fn invalid_orders_are_refused() {
    let service = ServiceName::from("service");
    let read = |is_known, to, duration| RolloutOrder::read(&service, is_known, to, duration, 1);
    assert!(read(true, "v2", 0.5).is_ok() && read(true, "v2", 86_400.0).is_ok());
    for duration in [0.0, -1.0, f64::NAN, f64::INFINITY, 86_401.0, 1e30] {
        let fault = read(true, "v2", duration).expect_err("the duration is invalid").to_string();
        assert!(fault.contains("duration_s"), "{fault}");
    }
    assert!(read(false, "v2", 1.0).is_err() && read(true, "", 1.0).is_err());
}

/// Guards against rejected or unknown versions that get requests, also after a restart.
#[test]
fn only_ordered_versions_get_requests() {
    let [v1, v2, v3] = ["v1", "v2", "v3"].map(VersionName::from);
    let cohorts = |record: Option<&RolloutRecord>, gone: Option<&VersionName>| {
        let cohorts = VersionCohorts::assign(record, Some(&v1), |version| Some(version) != gone);
        [&v1, &v2, &v3].map(|version| cohorts.cohort(version))
    };
    assert_eq!(cohorts(None, None), [Current, Withheld, Withheld]);
    assert_eq!(cohorts(None, Some(&v1)), [Current, Current, Current]);
    let running = record();
    assert_eq!(cohorts(Some(&running), None), [Current, Next, Withheld]);
    assert_eq!(cohorts(Some(&running), Some(&v1)), [Current, Next, Withheld]);
    let completed = end(&running, RolloutPhase::Completed);
    assert_eq!(cohorts(Some(&completed), None), [Withheld, Current, Withheld]);
    let rejected = end(&running, RolloutPhase::RolledBack);
    assert_eq!(cohorts(Some(&rejected), None), [Current, Withheld, Withheld]);
    assert_eq!(cohorts(Some(&rejected), Some(&v1)), [Current, Withheld, Current]);
    let again =
        RolloutRecord::open(&order("v3", 9), v1.clone(), Some(&rejected), SECOND, leader("a"));
    assert_eq!(cohorts(Some(&again), None), [Current, Withheld, Next]);
}

/// Guards against contenders that claim at the same moment, and VMs that choose different canary targets.
#[test]
fn vms_agree_on_ranks() {
    let vms: Vec<VmId> = (0..5).map(|number| VmId::from(format!("vm-{number}"))).collect();
    let mut delays: Vec<_> = vms.iter().map(|vm| claim_delay(7, Epoch(1), vm, &vms)).collect();
    delays.sort_unstable();
    assert_eq!(delays[0], Duration::ZERO);
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]));
    let targets: Vec<TargetId> =
        (0..9).map(|number| TargetId::from(format!("t{number}"))).collect();
    let forward: Vec<_> = targets.iter().collect();
    let backward: Vec<_> = targets.iter().rev().collect();
    assert_eq!(rank_canary_targets(7, &forward), rank_canary_targets(7, &backward));
    assert_ne!(rank_canary_targets(7, &forward), rank_canary_targets(8, &forward));
}

/// Guards against rare routes without canary requests, and against a division that exceeds the share.
#[test]
fn rare_routes_get_a_larger_share() {
    let limits = SlowLimits::default();
    let requests = [(1, 980.0, limits), (2, 15.0, limits), (3, 5.0, limits)];
    let shares = ShareTable::divide(0.07, &requests);
    let sent: f64 = requests.iter().map(|(route, n, _)| n * shares.route_share(*route)).sum();
    assert!((65.0..=70.0).contains(&sent), "{sent}");
    assert!(
        (shares.route_share(2) - 0.5).abs() < 1e-9 && (shares.route_share(3) - 0.5).abs() < 1e-9
    );
    assert!((shares.route_share(99) - 0.07).abs() < 1e-9, "routes that are not listed");
}

/// Guards against reports that do not fit into a datagram with the rest of a load report (1,000 bytes).
#[test]
fn reports_stay_small() {
    let mut evidence = VersionEvidence::open(&ServiceName::from("service"), 1 << 40);
    let mut requests = Vec::new();
    for number in 0..4000_u32 {
        let route = route_hash(&format!("/{}", number % 20));
        let cohort = if number % 12 == 0 { TargetCohort::Next } else { TargetCohort::Current };
        let time = Duration::from_millis(u64::from(40 + number % 300));
        for stage in [
            AnswerStage::Sent,
            AnswerStage::Began(time),
            AnswerStage::Ended { failed: number % 50 == 0, pace: Some(time) },
        ] {
            let sample = AnswerSample { cohort, route, target: number, stage };
            evidence.record(&sample, &ShareTable::default());
        }
        requests.push((route, 1.0, SlowLimits { first: 20, pace: 20 }));
    }
    let bytes = postcard::to_stdvec(&evidence.report()).expect("reports encode").len();
    assert!(bytes <= 700, "{bytes} bytes");
    let shares = ShareTable::divide(0.07, &requests[..8]);
    let bytes = postcard::to_stdvec(&shares).expect("shares encode").len();
    assert!(bytes <= 110, "{bytes} bytes");
    let row = postcard::to_stdvec(&record()).expect("records encode");
    assert_eq!(postcard::from_bytes::<RolloutRecord>(&row), Ok(record()));
}
