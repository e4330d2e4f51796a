//! Tests of prompt parts that crash targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::configuration::KeyHash;
use crate::gateway::connections::SendError;
use crate::gateway::forward::{RefusalReason, ResponseBody};
use crate::gateway::handle::Gateway;
use crate::gateway::job_records::{JobItem, JobSubmission};
use crate::gateway::load::PromptFailure;
use crate::gateway::prompt_failures::FailureLedger;
use crate::gateway::quarantine::{PartSet, QuarantineList};
use crate::gateway::request::{ForwardedRequest, PromptPart, TokenDemand};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, request, run};

const CRASHING_PART: u64 = 0xc4a5;
const SHARED_PART: u64 = 0x5a;
/// Time that VMs have to notice crashes.
const STABLE_TIME: Duration = Duration::from_secs(3);

pub(super) fn prompt_request(id: &str, path: &str, parts: &[u64]) -> ForwardedRequest {
    let own_part = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let parts = parts.iter().chain([&own_part]).map(|id| PromptPart { id: *id, tokens: 100 });
    let demand = TokenDemand { prompt_tokens: 300, most_output_tokens: 80, parts: parts.collect() };
    ForwardedRequest { demand: Some(demand), ..request(id, path) }
}

/// Targets that end without an answer when a request with the crashing part reaches them, and start again.
fn crashing_site() -> FakeSite {
    let targets = FakeTargets::open(|seen, _| {
        if seen.parts.contains(&CRASHING_PART) {
            TargetBehavior::Fails(SendError::Lost("reset".to_owned()))
        } else {
            TargetBehavior::Events(3, true)
        }
    });
    FakeSite::open(targets)
}

/// Crashes by requests with the crashing part.
#[derive(Default)]
struct CrashLog {
    crashes: usize,
    fifth_at: Option<tokio::time::Instant>,
    /// Crashes later than [`STABLE_TIME`] after the fifth one.
    late: usize,
}

impl CrashLog {
    /// Counts new crashes. Registers their targets under new ids, as targets do that start again.
    fn update(&mut self, site: &FakeSite) {
        let now = tokio::time::Instant::now();
        let crashed: Vec<String> = {
            let seen = site.targets.seen.borrow();
            let crashing = seen.iter().filter(|attempt| attempt.parts.contains(&CRASHING_PART));
            crashing.map(|attempt| attempt.target.clone()).collect()
        };
        for target in &crashed[self.crashes..] {
            site.store.remove("targets", target);
            site.store.put("targets", &format!("s{}", self.crashes), b"ready");
            self.crashes += 1;
            self.late += usize::from(self.fifth_at.is_some_and(|at| now > at + STABLE_TIME));
        }
        if self.crashes >= 5 {
            self.fifth_at = self.fifth_at.or(Some(now));
        }
    }
}

/// Reads the response of a request, and returns whether it began.
async fn is_answered(gateway: Gateway, request: ForwardedRequest) -> bool {
    let Ok(response) = gateway.forward(request).await else { return false };
    let ResponseBody::Chunks(mut chunks) = response.body else { return false };
    let has_begun = chunks.recv().await.is_some_and(|chunk| chunk.is_ok());
    while let Some(Ok(_)) = chunks.recv().await {}
    has_begun
}

// Five crashes, three seconds to notice them, and three requests more.
#[test]
fn requests_with_part_that_crashes_targets_stop_reaching_targets() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        let served = Rc::new(Cell::new(0));
        let mut crashes = CrashLog::default();
        for step in 0..400 {
            let is_crashing = step % 8 == 7;
            let parts: &[u64] =
                if is_crashing { &[SHARED_PART, CRASHING_PART] } else { &[SHARED_PART] };
            let request = prompt_request(&format!("r{step}"), "/chat/1", parts);
            let (gateway, served) = (gateway.clone(), Rc::clone(&served));
            tokio::task::spawn_local(async move {
                served.set(served.get() + u32::from(is_answered(gateway, request).await));
            });
            tokio::time::sleep(Duration::from_millis(40)).await;
            crashes.update(&site);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let CrashLog { crashes, late, .. } = crashes;
        assert!(late <= 3, "{late} requests with the part, {crashes} crashes");
        assert!(served.get() >= 347, "{} of 350 sound requests were served", served.get());
    });
}

/// Sends requests until those with the crashing part are refused.
async fn quarantine_crashing_part(site: &FakeSite, gateway: &Gateway) {
    let mut crashes = CrashLog::default();
    for step in 0..100 {
        let parts: &[u64] =
            if step % 8 == 7 { &[SHARED_PART, CRASHING_PART] } else { &[SHARED_PART] };
        let request = prompt_request(&format!("q{step}"), "/chat/1", parts);
        let refusal = gateway.forward(request).await.err();
        if refusal.is_some_and(|refusal| refusal.reason == RefusalReason::Quarantined) {
            // Until the store has the quarantine.
            tokio::time::sleep(Duration::from_millis(100)).await;
            return;
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
        crashes.update(site);
    }
    panic!("not quarantined after {} crashes", crashes.crashes);
}

// The second VM hears of the quarantine from the store only.
#[test]
fn quarantine_reaches_vm_that_starts_later() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        let later = site.gateway("vm2").await;
        let before = site.targets.seen.borrow().len();
        let refusal = later.forward(prompt_request("late", "/chat/1", &[CRASHING_PART])).await;
        assert_eq!(refusal.err().map(|refusal| refusal.reason), Some(RefusalReason::Quarantined));
        assert_eq!(site.targets.seen.borrow().len(), before);
        let sound = later.forward(prompt_request("sound", "/chat/1", &[SHARED_PART])).await;
        assert!(sound.is_ok());
    });
}

#[test]
fn quarantine_is_stored_once_the_store_is_back() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        site.store.refuses.set(true);
        quarantine_crashing_part(&site, &gateway).await;
        assert!(site.store.keys("gateway_quarantines").is_empty());
        site.store.refuses.set(false);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(site.store.keys("gateway_quarantines").len(), 1);
    });
}

// Two VMs ask for each trial. Targets still crash.
#[test]
fn fleet_tries_quarantined_part_again_with_single_requests() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        let other = site.gateway("vm2").await;
        let began = tokio::time::Instant::now();
        let mut trials = Vec::new();
        let mut known = site.targets.seen.borrow().len();
        for step in 0..60 {
            for (vm, gateway) in [("a", &gateway), ("b", &other)] {
                let request =
                    prompt_request(&format!("{vm}{step}"), "/resumed/1", &[CRASHING_PART]);
                assert!(gateway.forward(request).await.is_err());
            }
            let sent = site.targets.seen.borrow().len() - known;
            known += sent;
            trials.extend(std::iter::repeat_n(began.elapsed().as_secs(), sent));
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
        assert_eq!(trials, [60, 540]);
    });
}

#[test]
fn trials_of_quarantined_part_end_after_three() {
    let parts = PartSet::of([CRASHING_PART]);
    let mut list = QuarantineList::default();
    list.add(Duration::ZERO, &parts);
    let write = list.unsaved(Duration::ZERO).remove(0);
    list.apply_row(Duration::ZERO, 1, write.record);
    let mut trials = Vec::new();
    for minute in 0..100_000 {
        let now = Duration::from_mins(minute);
        if let Some(write) = list.due_trial(now, &parts) {
            trials.push(minute);
            list.apply_row(now, 1 + trials.len() as u64, write.record);
        }
    }
    assert_eq!(trials, [1, 9, 73]);
}

#[test]
fn answered_trial_lifts_quarantine_on_all_vms() {
    run(async {
        let is_mended = Rc::new(Cell::new(false));
        let mended = Rc::clone(&is_mended);
        let site = FakeSite::open(FakeTargets::open(move |seen, _| {
            if seen.parts.contains(&CRASHING_PART) && !mended.get() {
                TargetBehavior::Fails(SendError::Lost("reset".to_owned()))
            } else {
                TargetBehavior::Events(3, true)
            }
        }));
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        let other = site.gateway("vm2").await;
        is_mended.set(true);
        tokio::time::sleep(Duration::from_secs(61)).await;
        assert!(
            gateway.forward(prompt_request("trial", "/chat/1", &[CRASHING_PART])).await.is_ok()
        );
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(site.store.keys("gateway_quarantines").is_empty());
        for gateway in [&gateway, &other] {
            let request = prompt_request("sound", "/chat/1", &[CRASHING_PART]);
            assert!(gateway.forward(request).await.is_ok());
        }
    });
}

pub(super) fn job_item(id: &str, parts: &[u64]) -> JobItem {
    JobItem {
        id: id.to_owned(),
        path: "/night/1".to_owned(),
        headers: Vec::new(),
        body: b"letter".to_vec(),
        tokens: 10,
        demand: prompt_request(id, "/night/1", parts).demand.unwrap(),
    }
}

pub(super) fn job(items: Vec<JobItem>) -> JobSubmission {
    JobSubmission {
        id: "job".to_owned(),
        host: "shop.example".to_owned(),
        path: "/night/job".to_owned(),
        key: Some(KeyHash::of("secret")),
        items,
    }
}

#[test]
fn items_with_quarantined_part_are_held_and_others_complete() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        let items = vec![
            job_item("crashing", &[SHARED_PART, CRASHING_PART]),
            job_item("sound", &[SHARED_PART]),
        ];
        let before = site.targets.seen.borrow().len();
        gateway.submit_job(job(items)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let seen: Vec<String> =
            site.targets.seen.borrow()[before..].iter().map(|attempt| attempt.id.clone()).collect();
        assert_eq!(seen, ["sound"]);
    });
}

// The items of one job begin with the same parts, and each is tried again.
#[test]
fn items_with_part_that_crashes_targets_stop_reaching_targets() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        let items =
            (0..8).map(|number| job_item(&format!("d{number}"), &[SHARED_PART, CRASHING_PART]));
        gateway.submit_job(job(items.collect())).await.unwrap();
        let mut crashes = CrashLog::default();
        for step in 0..400 {
            let sound = prompt_request(&format!("s{step}"), "/chat/1", &[SHARED_PART]);
            tokio::task::spawn_local(is_answered(gateway.clone(), sound));
            tokio::time::sleep(Duration::from_millis(40)).await;
            crashes.update(&site);
        }
        let CrashLog { crashes, late, .. } = crashes;
        assert!(late <= 3, "{late} items with the part, {crashes} crashes");
    });
}

// The caller leaves while the store does not answer.
#[test]
fn caller_that_leaves_during_claim_does_not_end_trials() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        tokio::time::sleep(Duration::from_secs(61)).await;
        let before = site.targets.seen.borrow().len();
        let trial = gateway.forward(prompt_request("leaves", "/chat/1", &[CRASHING_PART]));
        // The store takes 4 ms for a write.
        assert!(tokio::time::timeout(Duration::from_millis(2), trial).await.is_err());
        let trial = gateway.forward(prompt_request("stays", "/chat/1", &[CRASHING_PART]));
        assert_eq!(trial.await.err().map(|refusal| refusal.reason), Some(RefusalReason::Failed));
        assert_eq!(site.targets.seen.borrow().len(), before + 1);
    });
}

#[test]
fn answers_of_failed_parts_are_kept_beyond_the_limit_for_answers() {
    let mut ledger = FailureLedger::default();
    let quarantines = QuarantineList::default();
    let at = Duration::from_millis;
    for target in 0..4 {
        let failure = PromptFailure { target, service: 1, parts: vec![SHARED_PART], age_ms: 0 };
        ledger.record_failure(at(100 * u64::from(target)), failure);
    }
    ledger.record_answer(at(500), 1, &[SHARED_PART]);
    for part in 0..20_000 {
        ledger.record_answer(at(500 + part / 2), 1, &[1 << 32 | part]);
    }
    assert_eq!(ledger.judge(at(12_000), &quarantines), None);
}

#[test]
fn trials_of_overlapping_quarantines_are_those_of_the_smallest() {
    let mut list = QuarantineList::default();
    let (larger, smaller) = (PartSet::of([CRASHING_PART, 7]), PartSet::of([CRASHING_PART]));
    list.add(Duration::ZERO, &larger);
    list.add(Duration::from_secs(1), &smaller);
    assert_eq!(list.find(&[7, CRASHING_PART, 9]), Some(&smaller));
    list.lift(Duration::from_secs(2), &smaller);
    assert_eq!(list.find(&[7, CRASHING_PART, 9]), Some(&larger));
    assert_eq!(list.find(&[CRASHING_PART, 9]), None);
}

// Callers choose the parts of their prompts.
#[test]
fn memory_of_answers_is_bounded_under_new_parts() {
    let mut ledger = FailureLedger::default();
    let now = Duration::from_secs(5);
    for request in 0..2000 {
        let parts: Vec<u64> = (0..1000).map(|part| request * 1000 + part).collect();
        ledger.record_answer(now, 1, &parts);
        assert!(ledger.answered_parts() <= 8192, "{}", ledger.answered_parts());
    }
}

// The sound requests share all but the crashing part, and none of them was answered yet.
#[test]
fn sound_requests_that_share_parts_with_suspect_ones_are_not_suspect() {
    let mut ledger = FailureLedger::default();
    let at = Duration::from_millis;
    for number in 0..2 {
        let parts = vec![SHARED_PART, CRASHING_PART, 100 + u64::from(number)];
        ledger
            .record_failure(at(0), PromptFailure { target: number, service: 1, parts, age_ms: 0 });
    }
    assert!(ledger.is_suspect(at(10), &[SHARED_PART, CRASHING_PART, 200]));
    assert!(!ledger.is_suspect(at(10), &[SHARED_PART, 300]));
    assert!(!ledger.is_suspect(at(10), &[CRASHING_PART, 400]));
    ledger.record_answer(at(20), 1, &[SHARED_PART, 300]);
    assert!(ledger.is_suspect(at(30), &[CRASHING_PART, 400]));
    assert!(!ledger.is_suspect(at(3000), &[SHARED_PART, CRASHING_PART, 200]));
}

// Two targets crash together for another reason.
#[test]
fn requests_with_parts_answered_before_a_mass_crash_are_not_suspect() {
    let mut ledger = FailureLedger::default();
    let at = Duration::from_millis;
    ledger.record_answer(at(0), 1, &[SHARED_PART, 300]);
    for target in 0..2 {
        let parts = vec![SHARED_PART, 100 + u64::from(target)];
        ledger.record_failure(at(5000), PromptFailure { target, service: 1, parts, age_ms: 0 });
    }
    assert!(!ledger.is_suspect(at(5010), &[SHARED_PART, 200]));
}

// The first trials find no target. The part is mended meanwhile.
#[test]
fn trial_that_reaches_no_target_is_given_back() {
    run(async {
        let is_mended = Rc::new(Cell::new(false));
        let mended = Rc::clone(&is_mended);
        let site = FakeSite::open(FakeTargets::open(move |seen, _| {
            if seen.parts.contains(&CRASHING_PART) && !mended.get() {
                TargetBehavior::Fails(SendError::Lost("reset".to_owned()))
            } else {
                TargetBehavior::Events(3, true)
            }
        }));
        let gateway = site.gateway("vm1").await;
        quarantine_crashing_part(&site, &gateway).await;
        for target in site.store.keys("targets") {
            site.store.remove("targets", &target);
        }
        for number in 0..5 {
            tokio::time::sleep(Duration::from_secs(61)).await;
            let trial = prompt_request(&format!("t{number}"), "/chat/1", &[CRASHING_PART]);
            let refusal = gateway.forward(trial).await.err().unwrap();
            assert_eq!(refusal.reason, RefusalReason::NoTarget, "{number}");
        }
        is_mended.set(true);
        site.store.put("targets", "t9", b"ready");
        tokio::time::sleep(Duration::from_secs(61)).await;
        assert!(gateway.forward(prompt_request("sent", "/chat/1", &[CRASHING_PART])).await.is_ok());
    });
}
