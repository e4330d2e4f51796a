//! A roll-out as seen by VMs that receive messages late, repeatedly, out of order or not at all.

use std::time::Duration;

use proptest::prelude::*;

use crate::ids::{Epoch, ServiceName, VersionName, VmId};
use crate::rollouts::tests::emulator::EmulatedRollout;
use crate::rollouts::{
    EvidenceSummary, RolloutAnnouncement, RolloutLeader, RolloutOrder, RolloutPhase, RolloutReason,
    RolloutRecord, RolloutView, ShareTable, TargetCohort,
};

const REVISION: u64 = 5;

fn open() -> RolloutRecord {
    let order = RolloutOrder {
        service: ServiceName::from("service"),
        to: VersionName::from("v2"),
        duration: Duration::from_secs(12),
        revision: REVISION,
    };
    let leader = RolloutLeader { vm: VmId::from("a"), incarnation: 1 };
    RolloutRecord::open(&order, VersionName::from("v1"), None, Duration::ZERO, leader)
}

fn step(record: &RolloutRecord, phase: RolloutPhase, share: f64) -> RolloutRecord {
    let evidence = EvidenceSummary::default();
    let next = record.advance(phase, ShareTable::uniform(share), RolloutReason::Planned, evidence);
    next.expect("the roll-out runs")
}

fn announcement(record: &RolloutRecord, is_stored: bool) -> RolloutAnnouncement {
    RolloutAnnouncement {
        service: 1,
        revision: record.revision,
        epoch: record.epoch.0,
        step: record.step,
        phase: record.phase,
        shares: record.shares.clone(),
        is_stored,
    }
}

fn share(view: &RolloutView, now: Duration) -> f64 {
    let selected =
        |part: &u32| view.select(now, 1, f64::from(*part) / 1000.0) == TargetCohort::Next;
    (0..1000).filter(selected).count() as f64 / 1000.0
}

/// Guards against a VM that goes on with a large share when it hears nobody.
#[test]
fn vm_without_contact_falls_back_to_the_canary_share() {
    let canary = step(&open(), RolloutPhase::Canary, 0.05);
    let draining = step(&canary, RolloutPhase::Draining, 1.0);
    let mut view = RolloutView::open();
    view.apply_record(Duration::ZERO, &canary);
    view.apply_record(Duration::from_secs(1), &draining);
    assert!(share(&view, Duration::from_secs(3)) >= 1.0);
    assert!(!view.allows_current(Duration::from_secs(3)));
    let cut_off = Duration::from_millis(3100);
    assert!((share(&view, cut_off) - 0.05).abs() < 0.002);
    assert!(view.allows_current(cut_off));
    view.record_contact(cut_off);
    assert!(share(&view, cut_off) >= 1.0, "the store says that the record has not changed");
}

/// Guards against an announced end that a record from before it undoes, and one that lasts against the store.
#[test]
fn announced_end_holds_until_the_store_says_otherwise() {
    let now = Duration::ZERO;
    let canary = step(&open(), RolloutPhase::Canary, 0.1);
    let stop = step(&canary, RolloutPhase::RolledBack, 0.0);
    let mut view = RolloutView::open();
    view.apply_record(now, &canary);
    view.apply(now, &announcement(&stop, false));
    view.apply_record(now, &canary);
    view.apply(now, &announcement(&canary, true));
    assert!(share(&view, now) <= 0.0);
    let taken_over = RolloutRecord { epoch: Epoch(2), ..canary };
    view.apply_record(now, &taken_over);
    assert!((share(&view, now) - 0.1).abs() < 0.002, "another leader went on from the row");
    view.apply(now, &announcement(&stop, false));
    assert!((share(&view, now) - 0.1).abs() < 0.002, "an end that the former leader did not store");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a share that no stored step allows, and a verdict that changes, whatever messages arrive.
    #[test]
    fn share_follows_the_newest_stored_step(
        shares in prop::collection::vec(0.0..0.2_f64, 1..5),
        takeover in 0..5_usize,
        is_bad in any::<bool>(),
        deliveries in prop::collection::vec((0..8_usize, 0..3_u8), 1..40),
    ) {
        let mut history = vec![step(&open(), RolloutPhase::Canary, 0.05)];
        for (number, share) in shares.iter().enumerate() {
            let last = history.last().expect("never empty");
            let mut next = step(last, RolloutPhase::Shifting, *share);
            next.epoch.0 += u64::from(number == takeover);
            history.push(next);
        }
        let last = history.last().expect("never empty");
        let end = if is_bad { RolloutPhase::RolledBack } else { RolloutPhase::Completed };
        history.push(step(last, end, if is_bad { 0.0 } else { 1.0 }));
        let mut view = RolloutView::open();
        let (mut newest, mut hold) = (None, None);
        for (index, kind) in deliveries {
            let index = index.min(history.len() - 1);
            let record = &history[index];
            let now = Duration::ZERO;
            match kind {
                0 => view.apply_record(now, record),
                1 => view.apply(now, &announcement(record, true)),
                _ if record.phase == RolloutPhase::RolledBack => {
                    view.apply(now, &announcement(record, false));
                    hold = Some(());
                }
                _ => {}
            }
            if kind < 2 {
                newest = newest.max(Some(index));
            }
            let allowed = newest.map_or(0.0, |index: usize| history[index].shares.share());
            let is_completed = view.phase() == Some(RolloutPhase::Completed);
            if hold.is_some() || (is_bad && newest == Some(history.len() - 1)) {
                prop_assert!(share(&view, now) <= 0.0);
                prop_assert_eq!(view.phase(), Some(RolloutPhase::RolledBack));
            } else if !is_completed {
                prop_assert!((share(&view, now) - allowed).abs() < 0.002);
            }
            if !is_bad && newest == Some(history.len() - 1) {
                prop_assert!(is_completed);
            }
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against more requests to a bad version than the bound, over lost and late reports, a leader that
    /// stops and a store that is away for some time.
    #[test]
    fn bad_version_stays_within_its_exposure(
        seed in any::<u64>(),
        report_loss in 0.0..0.6_f64,
        leader_stops_ms in prop::option::of(1000..9000_u64),
        store_down_ms in 0..8000_u64,
    ) {
        let outcome = EmulatedRollout {
            behaviour: |request| if request.is_next { (0.4, 1.0) } else { (0.002, 1.0) },
            report_loss,
            leader_stops_ms,
            store_down_ms: store_down_ms..store_down_ms + 2500,
            ..EmulatedRollout::default()
        }
        .run(seed);
        prop_assert!(outcome.is_within_bound(), "{}", outcome.describe());
        prop_assert_eq!(outcome.phase, RolloutPhase::RolledBack);
    }
}
