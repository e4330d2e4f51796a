//! Tests of how jobs change hands between VMs. Gateways of one [`FakeSite`] do not hear each other.

use std::time::Duration;

use crate::gateway::claim_planner::{ClaimPlanner, LeadClock, LeadStep};
use crate::gateway::job_lease::{LEAD_TABLE, LEASE_TABLE, VmLease};
use crate::gateway::job_records::{INPUT_TABLE, JOB_TABLE, JobHead, JobName, PARTIAL_TABLE};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, SLOW_READ_TIME, TargetBehavior, run};
use crate::gateway::tests::jobs::{ITEMS, all_results, full_output, key, submission};
use crate::ids::VmId;

/// Events of an item that runs for eight seconds.
const LONG_ITEM: u64 = 800;
/// Time of the store's clock in tests of single decisions.
const CLOCK: Duration = Duration::from_secs(100);

/// Review case 1: VMs that do not hear each other took each job from its leader many times a second.
#[test]
fn vms_that_do_not_hear_each_other_leave_jobs_with_their_leaders() {
    run(async {
        let site =
            FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(LONG_ITEM, true)));
        let first = site.gateway("vm1").await;
        let second = site.gateway("vm2").await;
        first.submit_job(submission("j1")).await.unwrap();
        second.submit_job(submission("j2")).await.unwrap();
        for id in ["j1", "j2"] {
            let results = all_results(&first, id).await;
            assert!(results.iter().all(|result| result.text == full_output(LONG_ITEM)));
        }
        assert_eq!(site.targets.seen.borrow().len() as u32, 2 * ITEMS, "items were cut");
        assert!(site.store.keys(LEAD_TABLE).is_empty(), "a job changed hands");
    });
}

/// No VM can renew its lease, so the VMs go on taking the job from each other, but ever more slowly.
#[test]
fn job_that_changes_hands_gets_time_to_finish_items() {
    run(async {
        let site =
            FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(LONG_ITEM, true)));
        let first = site.gateway("vm1").await;
        let _second = site.gateway("vm2").await;
        site.store.refused_table.set(LEASE_TABLE);
        first.submit_job(submission("j1")).await.unwrap();
        let results = tokio::time::timeout(Duration::from_secs(25), all_results(&first, "j1"));
        let results = results.await.expect("the job makes no progress");
        assert!(results.iter().all(|result| result.text == full_output(LONG_ITEM)));
        assert!(!site.store.keys(LEAD_TABLE).is_empty(), "the job never changed hands");
        let attempts = site.targets.seen.borrow().len() as u32;
        assert!(attempts <= 6 * ITEMS, "items were sent {attempts} times");
    });
}

/// Items reached targets after the end of their job, which had come during a takeover.
#[test]
fn job_that_ends_during_takeover_is_not_started() {
    run(async {
        let site =
            FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(LONG_ITEM, true)));
        let first = site.gateway("vm1").await;
        let _second = site.gateway("vm2").await;
        let third = site.gateway("vm3").await;
        first.submit_job(submission("j1")).await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.store.slow_table.set(PARTIAL_TABLE);
        first.stop().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!site.store.keys(LEAD_TABLE).is_empty(), "no VM has claimed the job");
        third.end_job(Some(&key()), "j1").await.unwrap();
        let sent = site.targets.seen.borrow().len();
        tokio::time::sleep(2 * SLOW_READ_TIME).await;
        assert_eq!(site.targets.seen.borrow().len(), sent, "items of an ended job were sent");
    });
}

fn head_of(lead: &str, lead_incarnation: u64) -> JobHead {
    JobHead {
        workspace: None,
        route: "night".to_owned(),
        host: "shop.example".to_owned(),
        accepted_at: Duration::ZERO,
        due_at: CLOCK,
        keep_until: CLOCK,
        items: ITEMS,
        tokens: 0,
        lead: lead.to_owned(),
        lead_incarnation,
        ended: false,
    }
}

/// A job that was handed on waited for the time that its former leader had been given.
#[test]
fn deferred_job_is_claimed_once_it_is_handed_on() {
    let job = JobName::of(None, "j1");
    let mut planner = ClaimPlanner::open(&VmId::from("vm1"));
    let now = LeadClock { store: CLOCK, monotonic: Duration::ZERO };
    planner.defer(&job, &head_of("vm2", 7), Duration::from_secs(16));
    let handed_on = planner.step(&job, &head_of("", 0), false, || true, now);
    assert_eq!(handed_on, LeadStep::Claim);
    planner.defer(&job, &head_of("", 0), Duration::from_secs(1));
    let deferred = planner.step(&job, &head_of("", 0), false, || true, now);
    assert_eq!(deferred, LeadStep::Leave);
}

/// A restarted VM that heard others left its jobs to their owners, who waited until its old lease had ended.
#[test]
fn restarted_vm_claims_its_jobs_whoever_owns_them() {
    let mut planner = ClaimPlanner::open(&VmId::from("vm1"));
    let now = LeadClock { store: CLOCK, monotonic: Duration::ZERO };
    let step = planner.step(&JobName::of(None, "j1"), &head_of("vm1", 7), false, || false, now);
    assert_eq!(step, LeadStep::Claim);
}

/// A lease that was renewed by a clock far ahead held the jobs of a VM that is gone for ever.
#[test]
fn lease_renewed_in_the_future_counts_as_ended() {
    let (job, head) = (JobName::of(None, "j1"), head_of("gone", 7));
    let step_with_lease = |renewed_at| {
        let mut planner = ClaimPlanner::open(&VmId::from("vm1"));
        let step = |planner: &mut ClaimPlanner, at| {
            let now = LeadClock { store: CLOCK, monotonic: at };
            planner.step(&job, &head, false, || true, now)
        };
        step(&mut planner, Duration::ZERO);
        let later = Duration::from_secs(2);
        let lease = VmLease { incarnation: 7, renewed_at };
        planner.leases.record(VmId::from("gone"), Some(lease), later);
        step(&mut planner, later)
    };
    assert_eq!(step_with_lease(CLOCK), LeadStep::Leave);
    assert_eq!(step_with_lease(CLOCK + Duration::from_hours(1)), LeadStep::Claim);
}

/// A job whose inputs cannot be read was claimed again twice a second, and all VMs read each new head.
#[test]
fn job_with_unreadable_inputs_is_not_claimed() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs));
        let first = site.gateway("vm1").await;
        first.submit_job(submission("j1")).await.unwrap();
        first.stop().await;
        site.store.overwrite(INPUT_TABLE, b"");
        let before = site.store.change_count(JOB_TABLE);
        let _second = site.gateway("vm2").await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert!(before > 0);
        assert_eq!(site.store.change_count(JOB_TABLE), before);
    });
}

/// A deletion of an expired job that takes effect late removed the inputs of a new job of the same name.
#[test]
fn late_deletion_of_expired_job_leaves_its_successor() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|attempt, _| match attempt.id.as_str() {
            "j1-0" => TargetBehavior::Events(3, true),
            _ => TargetBehavior::Whole(422, "no"),
        }));
        let gateway = site.gateway("vm1").await;
        gateway.submit_job(submission("j1")).await.unwrap();
        all_results(&gateway, "j1").await;
        site.store.withheld_table.set(INPUT_TABLE);
        // Retention, its margin and two cleanups.
        tokio::time::sleep(Duration::from_secs(225)).await;
        assert!(site.store.keys(INPUT_TABLE).is_empty(), "the job has not expired");
        gateway.submit_job(submission("j1")).await.unwrap();
        assert_eq!(site.store.apply_withheld(), 0);
        let body = site.gateway("vm2").await.job_item(Some(&key()), "j1", "j1-2").await;
        assert_eq!(&body.unwrap().body[..], [2; 10]);
    });
}
