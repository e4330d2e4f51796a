//! Tests of VMs whose configuration is older than that of other VMs.

use std::time::Duration;

use yare::parameterized;

use crate::configuration::KeyHash;
use crate::gateway::catalog::{BatchPolicy, ForwardRoute, RouteBackend, RouteClass};
use crate::gateway::forward::RefusalReason;
use crate::gateway::handle::Gateway;
use crate::gateway::job_api::JobRefusal;
use crate::gateway::job_records::{JobItemResult, JobSubmission};
use crate::gateway::tests::catalog::{config, route};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, request, run};
use crate::gateway::tests::jobs::{ITEMS, all_results, full_output, key, submission};
use crate::ids::ServiceName;

/// Longer than a stalled feed request takes to fail and to be repeated.
const FEED_RECOVERY_TIME: Duration = Duration::from_secs(4);

fn batch_route(name: &str) -> ForwardRoute {
    let policy = BatchPolicy {
        completion_target: Duration::from_secs(18),
        max_queue_time: Duration::from_mins(1),
        max_waiting_tokens: None,
    };
    route(name, &format!("/{name}/"), RouteClass::Batch(policy))
}

fn submission_on(route: &str, id: &str) -> JobSubmission {
    JobSubmission { path: format!("/{route}/"), ..submission(id) }
}

/// A site with a VM that has missed the newest configuration, and one that has it.
struct SplitSite {
    site: FakeSite,
    behind: Gateway,
    current: Gateway,
}

impl SplitSite {
    /// The VM that is behind learns of the second configuration when its feed request fails, about two seconds
    /// later.
    async fn open(targets: std::rc::Rc<FakeTargets>, routes: [Vec<ForwardRoute>; 2]) -> Self {
        let site = FakeSite::open(targets);
        let [first, second] = routes;
        site.configure(config(2, first));
        let behind = site.gateway("vm1").await;
        site.store.silent_table.set("operators");
        site.configure(config(3, second));
        tokio::time::sleep(Duration::from_millis(10)).await;
        site.store.silent_table.set("");
        let current = site.gateway("vm2").await;
        Self { site, behind, current }
    }
}

/// Returns whether all items completed with their whole output.
fn all_complete(results: &[JobItemResult], last_event: u64) -> bool {
    let is_complete = |item: &JobItemResult| item.completed && item.text == full_output(last_event);
    results.len() as u32 == ITEMS && results.iter().all(is_complete)
}

/// Review case 6: a VM that took a job over before it had the newest configuration gave all items up, because it
/// did not know their route yet.
#[test]
fn job_on_new_route_is_not_given_up_by_vm_with_older_configuration() {
    run(async {
        let targets = FakeTargets::open(|_, _| TargetBehavior::Events(20, true));
        let routes = [Vec::new(), vec![batch_route("evening")]];
        let split = SplitSite::open(targets, routes).await;
        // No target is usable until the job has changed hands.
        for target in ["t1", "t2", "t3"] {
            split.site.store.put("targets", target, b"leaving");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        split.current.submit_job(submission_on("evening", "j1")).await.unwrap();
        split.current.stop().await;
        assert!(!split.behind.accepts_jobs("shop.example", "/evening/"), "the VM is not behind");
        for target in ["t4", "t5", "t6"] {
            split.site.store.put("targets", target, b"ready");
        }
        let results = all_results(&split.behind, "j1").await;
        assert!(all_complete(&results, 20), "{results:?}");
    });
}

/// The same VM sent items to the service that their route had before.
#[test]
fn items_are_not_sent_to_service_that_route_left_before_acceptance() {
    run(async {
        let targets = FakeTargets::open(|_, _| TargetBehavior::Events(20, true));
        let mut moved = batch_route("evening");
        moved.backends = vec![RouteBackend { service: ServiceName::from("other"), weight: 1 }];
        let routes = [vec![batch_route("evening")], vec![moved]];
        let split = SplitSite::open(targets, routes).await;
        split.current.submit_job(submission_on("evening", "j1")).await.unwrap();
        split.current.stop().await;
        tokio::time::sleep(FEED_RECOVERY_TIME).await;
        let sent = split.site.targets.seen.borrow().len();
        assert_eq!(sent, 0, "items were sent to the service of an older configuration");
    });
}

/// The rule that the fix of review case 6 must keep: items end with their route, also after a change of leaders.
#[test]
fn items_of_removed_route_are_given_up_by_next_leader() {
    run(async {
        let targets = FakeTargets::open(|_, _| TargetBehavior::NotRun);
        let routes = [Vec::new(), vec![batch_route("evening")]];
        let split = SplitSite::open(targets, routes).await;
        split.current.submit_job(submission_on("evening", "j1")).await.unwrap();
        split.current.stop().await;
        split.site.configure(config(4, Vec::new()));
        let results = tokio::time::timeout(FEED_RECOVERY_TIME, all_results(&split.behind, "j1"));
        let results = results.await.expect("items of a removed route are left lying");
        assert!(results.iter().all(|item| !item.completed), "{results:?}");
    });
}

/// A record that cannot be read may be a configuration that has the route.
#[test]
fn items_are_not_given_up_while_operator_record_is_unreadable() {
    run(async {
        let targets = FakeTargets::open(|_, before| {
            if before < 40 { TargetBehavior::NotRun } else { TargetBehavior::Events(20, true) }
        });
        let site = FakeSite::open(targets);
        site.configure(config(2, vec![batch_route("evening")]));
        let gateway = site.gateway("vm1").await;
        gateway.submit_job(submission_on("evening", "j1")).await.unwrap();
        site.configure(config(3, Vec::new()));
        site.store.put("operators", "config", b"");
        tokio::time::sleep(Duration::from_secs(3)).await;
        let page = gateway.job_results(Some(&key()), "j1", 0, Duration::ZERO).await.unwrap();
        assert_eq!(page.next, 0, "{:?}", page.results());
        site.configure(config(4, vec![batch_route("evening")]));
        let results = all_results(&gateway, "j1").await;
        assert!(all_complete(&results, 20), "{results:?}");
    });
}

/// How a VM misses changes of the operators' records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FeedLoss {
    /// The store refuses all calls.
    Refused,
    /// The feed stalls without an error.
    Silent,
    /// The store no longer keeps the changes, and the read of all records takes long.
    Forgotten,
}

/// A VM that the store does not serve refused routes and keys that others knew already with 404 and 401, which
/// callers do not repeat elsewhere.
#[parameterized(
    refused = { FeedLoss::Refused },
    silent = { FeedLoss::Silent },
    forgotten = { FeedLoss::Forgotten },
)]
fn route_or_key_that_may_be_new_is_not_refused_for_good(loss: FeedLoss) {
    run(async move {
        let targets = FakeTargets::open(|_, _| TargetBehavior::Whole(200, "whole"));
        let site = FakeSite::open(targets);
        let gateway = site.gateway("vm1").await;
        let reason = async |path: &str, key: &str| {
            let mut request = request("r1", path);
            request.key = Some(KeyHash::of(key));
            gateway.forward(request).await.err().map(|refusal| refusal.reason)
        };
        assert_eq!(reason("/evening/1", "secret").await, Some(RefusalReason::NoRoute));
        assert_eq!(reason("/safe/1", "new").await, Some(RefusalReason::BadKey));
        match loss {
            FeedLoss::Refused => site.store.refuses.set(true),
            FeedLoss::Silent => site.store.silent_table.set("operators"),
            FeedLoss::Forgotten => {
                site.store.forgotten_table.set("operators");
                site.store.slow_table.set("operators");
            }
        }
        let mut newer = config(2, vec![route("evening", "/evening/", RouteClass::Idempotent)]);
        newer.workspaces.as_mut().unwrap()[0].keys.push(KeyHash::of("new"));
        site.configure(newer);
        // Shorter than a silent feed request takes to fail.
        let is_silent = loss == FeedLoss::Silent;
        tokio::time::sleep(Duration::from_millis(if is_silent { 2050 } else { 50 })).await;
        assert_eq!(reason("/evening/1", "secret").await, Some(RefusalReason::MayBeOutdated));
        assert_eq!(reason("/safe/1", "new").await, Some(RefusalReason::MayBeOutdated));
        let refused = gateway.submit_job(submission_on("evening", "j1")).await;
        assert_eq!(refused, Err(JobRefusal::MayBeOutdated));
        let new_key = KeyHash::of("new");
        let refused = gateway.job_results(Some(&new_key), "j1", 0, Duration::ZERO).await;
        assert_eq!(refused.err(), Some(JobRefusal::MayBeOutdated));
        assert_eq!(reason("/safe/1", "secret").await, None, "what is known is served");
        site.store.refuses.set(false);
        site.store.silent_table.set("");
        tokio::time::sleep(FEED_RECOVERY_TIME).await;
        assert_eq!(reason("/evening/1", "new").await, None);
        assert_eq!(reason("/safe/1", "secret").await, Some(RefusalReason::NoRoute));
    });
}
