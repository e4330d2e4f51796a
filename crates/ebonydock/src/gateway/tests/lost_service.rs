//! Tests of services whose targets end together.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::connections::SendError;
use crate::gateway::forward::{ForwardResponse, GatewayRefusal, RefusalReason};
use crate::gateway::handle::Gateway;
use crate::gateway::load::{PromptFailure, ReportedQuarantine};
use crate::gateway::prompt_failures::{CrashVerdict, FailureLedger};
use crate::gateway::quarantine::{PartSet, QuarantineList};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, run};
use crate::gateway::tests::jobs::key;
use crate::gateway::tests::quarantine::{job, job_item, prompt_request};

/// Part that all requests of an application share.
const COMMON_PART: u64 = 0xc033;
/// Part of requests of another application.
const OTHER_PART: u64 = 0x07e4;
const TARGETS: usize = 9;

/// Site whose targets end together, and register again when they are back.
struct LostSite {
    site: FakeSite,
    is_lost: Rc<Cell<bool>>,
    /// Whether targets accept requests and send nothing.
    is_silent: Rc<Cell<bool>>,
    /// Whether targets end at requests with the common part after their return, too.
    is_deadly: Rc<Cell<bool>>,
    /// Targets that a request ended.
    ended: Rc<RefCell<BTreeSet<String>>>,
    starts: Cell<usize>,
}

impl LostSite {
    fn open() -> Self {
        let (is_lost, is_deadly) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (lost, deadly) = (Rc::clone(&is_lost), Rc::clone(&is_deadly));
        let is_silent = Rc::new(Cell::new(false));
        let silent = Rc::clone(&is_silent);
        let ended: Rc<RefCell<BTreeSet<String>>> = Rc::default();
        let known = Rc::clone(&ended);
        let targets = FakeTargets::open(move |seen, _| {
            let ends = deadly.get() && seen.parts.contains(&COMMON_PART);
            if known.borrow().contains(&seen.target) {
                return TargetBehavior::Fails(SendError::NotSent("refused".to_owned()));
            }
            if silent.get() {
                return TargetBehavior::Hangs;
            }
            if ends {
                known.borrow_mut().insert(seen.target.clone());
            }
            if ends || lost.get() {
                return TargetBehavior::Fails(SendError::Lost("reset".to_owned()));
            }
            TargetBehavior::Events(3, true)
        });
        let site = FakeSite::open(targets);
        let lost = Self { site, is_lost, is_silent, is_deadly, ended, starts: Cell::new(0) };
        lost.start_targets();
        lost
    }

    fn remove_targets(&self) {
        for target in self.site.store.keys("targets") {
            self.site.store.remove("targets", &target);
        }
    }

    fn start_targets(&self) {
        self.remove_targets();
        self.starts.set(self.starts.get() + 1);
        for number in 0..TARGETS {
            let id = format!("s{}-{number}", self.starts.get());
            self.site.store.put("targets", &id, b"ready");
        }
    }

    /// Ends all targets while each of them has requests of this VM that are not answered yet.
    async fn lose_service(&self, gateway: &Gateway) {
        self.is_lost.set(true);
        for number in 0..3 * TARGETS {
            let request = sound_request(&format!("lost{number}"));
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move { gateway.forward(request).await.is_ok() });
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        self.remove_targets();
        tokio::time::sleep(Duration::from_secs(3)).await;
        self.is_lost.set(false);
    }
}

fn sound_request(id: &str) -> crate::gateway::request::ForwardedRequest {
    prompt_request(id, "/chat/1", &[COMMON_PART])
}

async fn send(gateway: &Gateway, id: &str) -> Result<ForwardResponse, GatewayRefusal> {
    gateway.forward(sound_request(id)).await
}

/// Serves 100 requests with a part.
async fn serve_requests(gateway: &Gateway, part: u64) {
    for number in 0..100 {
        let request = prompt_request(&format!("before{number}"), "/chat/1", &[part]);
        assert!(gateway.forward(request).await.is_ok());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

// Guards against a quarantine of the part that all requests share after their service was lost for a moment.
#[test]
fn sound_requests_are_served_once_lost_targets_are_back() {
    run(async {
        let lost = LostSite::open();
        let gateway = lost.site.gateway("vm1").await;
        let other = lost.site.gateway("vm2").await;
        serve_requests(&gateway, COMMON_PART).await;
        lost.lose_service(&gateway).await;
        lost.start_targets();
        tokio::time::sleep(Duration::from_millis(100)).await;
        for number in 0..20 {
            for (vm, gateway) in [("a", &gateway), ("b", &other)] {
                let response = send(gateway, &format!("{vm}{number}")).await;
                assert!(response.is_ok(), "{vm}{number}: {:?}", response.err());
            }
        }
    });
}

// Guards against callers that are told for good what is only suspected, while no target can answer.
#[test]
fn callers_may_retry_while_their_service_is_lost() {
    run(async {
        let lost = LostSite::open();
        let gateway = lost.site.gateway("vm1").await;
        serve_requests(&gateway, COMMON_PART).await;
        lost.lose_service(&gateway).await;
        let refusal = send(&gateway, "early").await.err().unwrap();
        assert!(
            matches!(refusal.reason, RefusalReason::Suspected | RefusalReason::NoTarget),
            "{refusal:?}"
        );
        assert!(refusal.retry_after.is_some());
    });
}

// Guards against items that are held although their targets are back, with no caller whose request could be a trial.
#[test]
fn items_complete_once_lost_targets_are_back() {
    run(async {
        let lost = LostSite::open();
        let gateway = lost.site.gateway("vm1").await;
        serve_requests(&gateway, OTHER_PART).await;
        lost.is_lost.set(true);
        let items = (0..10).map(|number| job_item(&format!("i{number}"), &[COMMON_PART]));
        gateway.submit_job(job(items.collect())).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        lost.remove_targets();
        tokio::time::sleep(Duration::from_secs(3)).await;
        lost.is_lost.set(false);
        lost.start_targets();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let page = gateway.job_results(Some(&key()), "job", 0, Duration::from_secs(1)).await;
        assert_eq!(page.unwrap().results().len(), 10);
    });
}

// Guards against items that time out at silent targets and count as proof that their common part crashes these.
#[test]
fn service_with_silent_targets_is_served_once_they_answer() {
    run(async {
        let lost = LostSite::open();
        let gateway = lost.site.gateway("vm1").await;
        serve_requests(&gateway, OTHER_PART).await;
        lost.is_silent.set(true);
        let items = (0..20).map(|number| job_item(&format!("i{number}"), &[COMMON_PART]));
        gateway.submit_job(job(items.collect())).await.unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(lost.site.store.keys("gateway_quarantines").is_empty());
        lost.is_silent.set(false);
        // Each of them has failed, and is kept from requests for a while.
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert!(send(&gateway, "online").await.is_ok());
        let page = gateway.job_results(Some(&key()), "job", 0, Duration::from_secs(1)).await;
        assert_eq!(page.unwrap().results().len(), 20);
    });
}

// Guards against a second loss of all targets by a part that really ends them and took the first ones at one moment.
#[test]
fn part_that_ends_all_targets_at_once_reaches_one_more_after_their_return() {
    run(async {
        let lost = LostSite::open();
        lost.is_deadly.set(true);
        let gateway = lost.site.gateway("vm1").await;
        let other = lost.site.gateway("vm2").await;
        serve_requests(&gateway, OTHER_PART).await;
        lost.lose_service(&gateway).await;
        lost.start_targets();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(lost.ended.borrow().len(), TARGETS);
        for step in 0..200 {
            for (vm, gateway) in [("a", &gateway), ("b", &other)] {
                assert!(send(gateway, &format!("{vm}{step}")).await.is_err());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(lost.ended.borrow().len(), TARGETS + 1);
        let refusal = send(&other, "confirmed").await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::Quarantined);
    });
}

// Guards against a trial whose result is never known, because its VM ended: the others must not wait for it.
#[test]
fn lost_trial_is_followed_by_another() {
    let parts = PartSet::of([COMMON_PART]);
    let mut list = QuarantineList::default();
    list.add_provisional(Duration::ZERO, &parts);
    let write = list.unsaved(Duration::ZERO).remove(0);
    list.apply_row(Duration::ZERO, 1, write.record);
    let mut trials = Vec::new();
    for tenth in 0..50 {
        let now = Duration::from_millis(100 * tenth);
        if let Some(write) = list.due_trial(now, &parts) {
            trials.push(now.as_millis());
            list.apply_row(now, 2 + tenth, write.record);
        }
    }
    assert_eq!(trials, [0, 2000, 4000]);
}

// Guards against a row by which other VMs still send trials after targets ended one after the other.
#[test]
fn confirmed_quarantine_replaces_provisional_row() {
    let parts = PartSet::of([COMMON_PART]);
    let (mut provisional, mut confirmed) = (QuarantineList::default(), QuarantineList::default());
    provisional.add_provisional(Duration::ZERO, &parts);
    confirmed.add(Duration::ZERO, &parts);
    let row = provisional.unsaved(Duration::ZERO).remove(0).record;
    confirmed.apply_row(Duration::ZERO, 1, row);
    let row = confirmed.unsaved(Duration::ZERO).remove(0).record;
    provisional.apply_row(Duration::ZERO, 2, row);
    assert!(provisional.is_confirmed(&parts));
    assert_eq!(provisional.due_trial(Duration::from_secs(1), &parts), None);
}

// Guards against a VM that takes a report for more than it says: only the row tells whether a trial is due.
#[test]
fn reported_quarantine_is_not_confirmed_before_its_row_is_known() {
    let parts = PartSet::of([COMMON_PART]);
    let mut list = QuarantineList::default();
    let reported = ReportedQuarantine { parts: parts.clone(), revision: 1, is_lifted: false };
    list.observe(Duration::ZERO, &reported);
    assert!(list.is_quarantined(parts.parts()) && !list.is_confirmed(&parts));
    let mut judged = QuarantineList::default();
    judged.add(Duration::ZERO, &parts);
    list.apply_row(Duration::ZERO, 1, judged.unsaved(Duration::ZERO).remove(0).record);
    assert!(list.is_confirmed(&parts));
}

/// Judges failures at so many targets, each so long after the one before, beside answers to other requests.
fn judge_failures(targets: u32, gap: Duration) -> Option<CrashVerdict> {
    let mut ledger = FailureLedger::default();
    let began = Duration::from_secs(5);
    for number in 0..500 {
        ledger.record_answer(Duration::from_millis(10 * number), 1, &[OTHER_PART]);
    }
    for target in 0..targets {
        let failure = PromptFailure { target, service: 1, parts: vec![COMMON_PART], age_ms: 0 };
        ledger.record_failure(began + gap * target, failure);
    }
    ledger.judge(began + gap * targets + Duration::from_secs(1), &QuarantineList::default())
}

// Guards against failures of one moment that count as independent ones, and against the opposite.
#[test]
fn failures_of_one_moment_are_weak_evidence() {
    let together = judge_failures(9, Duration::from_millis(5)).unwrap();
    assert_eq!((together.targets, together.is_confirmed), (9, false));
    let apart = judge_failures(9, Duration::from_millis(250)).unwrap();
    assert_eq!((apart.targets, apart.independent_failures, apart.is_confirmed), (9, 9, true));
    assert_eq!(judge_failures(2, Duration::from_millis(250)), None);
}
