//! Tests of the evidence in load reports.

use std::time::Duration;

use crate::ids::VmId;
use crate::rollouts::evidence::{AnswerTally, GroupTally, RolloutReport};
use crate::rollouts::news::{EvidenceReceiver, EvidenceSender};

const STEP: Duration = Duration::from_millis(15);

/// Returns evidence that takes several parts.
fn reports(requests: u32) -> Vec<RolloutReport> {
    let tally = AnswerTally { sent: requests, ended: requests, ..AnswerTally::default() };
    let group = |group| GroupTally { group, tally };
    let mut report = RolloutReport { service: 7, revision: 9, ..RolloutReport::default() };
    report.current.groups = (0..60).map(group).collect();
    vec![report]
}

/// Evidence of any size must fit into datagrams, and arrive although a relay drops every second report.
#[test]
fn evidence_arrives_in_parts() {
    let (mut sender, mut receiver) = (EvidenceSender::default(), EvidenceReceiver::default());
    let vm = VmId::from("vm1");
    let mut arrived = Vec::new();
    for step in 0..200 {
        let now = STEP * step;
        if sender.advance(now, STEP * 2) {
            sender.begin(now, &reports(1000 + step));
        }
        let part = sender.part();
        assert!(part.bytes.len() <= 320);
        if step % 2 == 0 {
            arrived.extend(receiver.add(&vm, 1, &part).unwrap());
        }
    }
    assert!(arrived.len() > 5, "{} times", arrived.len());
    let sent: Vec<u32> = arrived.iter().map(|own| own[0].current.groups[0].tally.sent).collect();
    assert!(sent.is_sorted());
    assert!(sent.iter().all(|sent| *sent >= 1000));
    assert!(arrived.iter().all(|own| own[0].current.groups.len() == 60));
}

/// Parts of a former incarnation must not be mixed with those of the present one.
#[test]
fn parts_of_incarnations_are_kept_apart() {
    let (mut former, mut present) = (EvidenceSender::default(), EvidenceSender::default());
    former.begin(Duration::ZERO, &reports(1_000_000));
    present.begin(Duration::ZERO, &reports(2));
    let mut receiver = EvidenceReceiver::default();
    let vm = VmId::from("vm1");
    assert_eq!(receiver.add(&vm, 1, &former.part()), Ok(None));
    let mut complete = None;
    for step in 0..20 {
        let part = present.part();
        complete = complete.or(receiver.add(&vm, 2, &part).unwrap());
        present.advance(Duration::from_secs(step), Duration::ZERO);
    }
    assert_eq!(complete, Some(reports(2)));
}

/// A malformed part must be dropped.
#[test]
fn malformed_part_is_rejected() {
    let mut sender = EvidenceSender::default();
    sender.begin(Duration::ZERO, &reports(2));
    let mut part = sender.part();
    part.index = part.count;
    let mut receiver = EvidenceReceiver::default();
    assert!(receiver.add(&VmId::from("vm1"), 1, &part).is_err());
    part.index = 0;
    part.count = 1;
    part.bytes = vec![255; 9];
    assert!(receiver.add(&VmId::from("vm1"), 1, &part).is_err());
}
