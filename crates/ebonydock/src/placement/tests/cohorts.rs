//! Tests of placement while versions are rolled out.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::ConnectionPool;
use crate::ids::{DataCentreId, ServiceName, TargetId, VersionName, VmId};
use crate::placement::dispatcher::{PlacementOutcome, RequestDispatcher};
use crate::placement::slots::{ServingTarget, SlotOutcome};
use crate::placement::wait_queue::SlotNeed;
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

const NOW: Duration = Duration::from_millis(10);

fn service() -> ServiceName {
    ServiceName::from("llm")
}

/// Creates targets with one slot each, from ids and versions.
fn dispatcher(targets: &[(&str, &str)]) -> RequestDispatcher {
    let connections = Rc::new(ConnectionPool::default());
    let mut dispatcher =
        RequestDispatcher::open(&VmId::from("vm"), &DataCentreId::from("a"), connections);
    let target = |(id, version): &(&str, &str)| ServingTarget {
        id: TargetId::from(*id),
        started_at_ms: 0,
        service: service(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreId::from("a"),
        version: VersionName::from(*version),
        slots: 1,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    dispatcher.set_targets(Duration::ZERO, targets.iter().map(target).collect());
    dispatcher
}

fn assign(dispatcher: &mut RequestDispatcher, is_draining: bool) {
    let draining: HashSet<ServiceName> = is_draining.then(service).into_iter().collect();
    dispatcher.set_cohorts(draining, |target| match target.version.as_str() {
        "v1" => TargetCohort::Current,
        "v2" => TargetCohort::Next,
        _ => TargetCohort::Withheld,
    });
}

fn need(cohort: TargetCohort) -> SlotNeed {
    SlotNeed {
        service: service(),
        cohort,
        class: RequestClass::Online,
        rank: 0,
        prefix: None,
        excluded: Vec::new(),
        order: NOW,
        place_by: NOW + Duration::from_secs(1),
        critical_at: None,
    }
}

fn placed(outcome: &PlacementOutcome) -> Option<&str> {
    match outcome {
        PlacementOutcome::Placed(target) => Some(target.as_str()),
        _ => None,
    }
}

/// Requests must reach only targets of the version that was selected for them.
#[test]
fn request_goes_to_its_cohort() {
    let mut dispatcher = dispatcher(&[("old", "v1"), ("new", "v2"), ("other", "v3")]);
    assign(&mut dispatcher, false);
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Next))), Some("new"));
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Current))), Some("old"));
    // Targets of the other versions are free.
    let outcome = dispatcher.request(NOW, need(TargetCohort::Current));
    assert!(matches!(outcome, PlacementOutcome::Waiting(_)), "{outcome:?}");
}

/// A request for a full new version must not wait while the current one has room.
#[test]
fn request_for_full_new_version_goes_to_current_one() {
    let mut dispatcher = dispatcher(&[("old", "v1"), ("new", "v2")]);
    assign(&mut dispatcher, false);
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Next))), Some("new"));
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Next))), Some("old"));
    // It then waits for the current version only, and later requests for the new one pass it.
    let outcome = dispatcher.request(NOW, need(TargetCohort::Next));
    assert!(matches!(outcome, PlacementOutcome::Waiting(_)), "{outcome:?}");
    let new = TargetId::from("new");
    dispatcher.release(NOW, &new, RequestClass::Online, SlotOutcome::Responded);
    assert!(dispatcher.advance(NOW).is_empty());
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Next))), Some("new"));
}

/// A lost current version must not send its requests to a new one that is not known to be good.
#[test]
fn request_without_current_targets_is_refused() {
    let mut dispatcher = dispatcher(&[("new", "v2"), ("other", "v3")]);
    assign(&mut dispatcher, false);
    let outcome = dispatcher.request(NOW, need(TargetCohort::Current));
    let PlacementOutcome::Refused(refusal) = outcome else { panic!("{outcome:?}") };
    assert!(!refusal.has_targets);
}

/// Old targets must get nothing while they are drained, not even requests that wait already.
#[test]
fn drained_targets_get_no_requests() {
    let mut dispatcher = dispatcher(&[("old", "v1"), ("new", "v2")]);
    assign(&mut dispatcher, false);
    assert_eq!(placed(&dispatcher.request(NOW, need(TargetCohort::Current))), Some("old"));
    let outcome = dispatcher.request(NOW, need(TargetCohort::Current));
    assert!(matches!(outcome, PlacementOutcome::Waiting(_)), "{outcome:?}");
    assign(&mut dispatcher, true);
    let old = TargetId::from("old");
    assert!(dispatcher.is_drained(&old));
    dispatcher.release(NOW, &old, RequestClass::Online, SlotOutcome::Responded);
    let decided = dispatcher.advance(NOW);
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].2, Ok(TargetId::from("new")));
    let outcome = dispatcher.request(NOW, need(TargetCohort::Current));
    assert!(matches!(outcome, PlacementOutcome::Waiting(_)), "{outcome:?}");
    assert_eq!(dispatcher.version_load(&service(), &VersionName::from("v1")).running, 0);
}

/// Without roll-outs, the versions of targets must make no difference.
#[test]
fn all_versions_serve_without_rollouts() {
    let mut dispatcher = dispatcher(&[("old", "v1"), ("new", "v2"), ("other", "")]);
    let outcomes: Vec<_> =
        (0..3).map(|_| dispatcher.request(NOW, need(TargetCohort::Current))).collect();
    let reached: HashSet<_> = outcomes.iter().filter_map(placed).collect();
    assert_eq!(reached, HashSet::from(["old", "new", "other"]));
}
