//! Tests of roll-outs of versions on gateways that reach each other only through the store.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use yare::parameterized;

use crate::gateway::catalog::ServiceProfile;
use crate::gateway::handle::Gateway;
use crate::gateway::load::{EncodedReport, LoadReport};
use crate::gateway::tests::fakes::{
    FakeSite, FakeTargets, SeenAttempt, TargetBehavior, request, run,
};
use crate::gateway::tests::jobs::{ITEMS, submission};
use crate::ids::{ServiceName, VmId};
use crate::placement::load::ReportedWait;
use crate::rollouts::{EvidencePart, RolloutNews, RolloutSettings};

const SETTINGS: RolloutSettings = RolloutSettings {
    exposure_share: 0.1,
    exposure_slack: 50,
    rollback_time: Duration::from_secs(5),
};
/// Interval between the requests of a test; enough requests for a judgement within 12 s.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);

/// What the targets of the new version do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewVersion {
    Good,
    Fails,
}

fn is_new(attempt: &SeenAttempt) -> bool {
    attempt.target.ends_with("@v2")
}

fn targets(version: NewVersion) -> Rc<FakeTargets> {
    FakeTargets::open(move |attempt, _| match version {
        NewVersion::Fails if is_new(attempt) => TargetBehavior::Whole(500, "broken"),
        _ => TargetBehavior::Whole(200, "sent"),
    })
}

/// Opens a site with targets of version v1.
fn site(version: NewVersion) -> FakeSite {
    site_with(targets(version))
}

fn site_with(targets: Rc<FakeTargets>) -> FakeSite {
    let site = FakeSite::open(targets);
    site.decoder.configs.borrow_mut()[0].services.push(ServiceProfile {
        name: ServiceName::from("llm"),
        target_connections: 100,
        cold_start_rate: 0.0,
        is_engine: true,
    });
    for target in ["t1", "t2", "t3"] {
        site.store.remove("targets", target);
    }
    for number in 0..6 {
        site.store.put("targets", &format!("a{number}@v1"), b"ready");
    }
    site.rollouts.set(Some(SETTINGS));
    site
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Starts the targets of version v2 and orders the roll-out.
async fn order(site: &FakeSite, seconds: &str) {
    for number in 0..6 {
        site.store.put("targets", &format!("b{number}@v2"), b"ready");
    }
    settle().await;
    site.store.put("operators", "rollout/llm", format!("v2 {seconds}").as_bytes());
}

fn status(site: &FakeSite) -> String {
    let row = site.store.row("status", "rollout/llm").unwrap_or_default();
    String::from_utf8(row).unwrap()
}

/// Sends requests to the gateways in turn until a condition holds or the time is over.
async fn send_until(
    gateways: &[&Gateway],
    time: Duration,
    mut is_over: impl FnMut() -> bool,
) -> u32 {
    let until = tokio::time::Instant::now() + time;
    let sent = Cell::new(0);
    while tokio::time::Instant::now() < until && !is_over() {
        let gateway = gateways[sent.get() as usize % gateways.len()].clone();
        let id = format!("r{}", sent.get());
        sent.set(sent.get() + 1);
        tokio::task::spawn_local(async move {
            let path = if id.ends_with('7') { "/notice/1" } else { "/safe/1" };
            // Failures of the new version are part of the tests.
            let _ = gateway.forward(request(&id, path)).await;
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    sent.get()
}

fn seen_by_version(site: &FakeSite) -> HashMap<bool, usize> {
    let mut seen = HashMap::from([(false, 0), (true, 0)]);
    for attempt in site.targets.seen.borrow().iter() {
        *seen.entry(is_new(attempt)).or_default() += 1;
    }
    seen
}

/// A version that nobody ordered must get no requests, and no store calls are made for it.
#[test]
fn version_without_order_gets_no_requests() {
    run(async {
        let site = site(NewVersion::Good);
        let gateway = site.gateway("vm1").await;
        site.store.put("targets", "b0@v2", b"ready");
        settle().await;
        send_until(&[&gateway], Duration::from_millis(500), || false).await;
        let seen = seen_by_version(&site);
        assert_eq!(seen[&true], 0);
        assert!(seen[&false] > 100);
        // Nothing else is left in service.
        for number in 0..6 {
            site.store.remove("targets", &format!("a{number}@v1"));
        }
        settle().await;
        send_until(&[&gateway], Duration::from_millis(500), || false).await;
        assert!(seen_by_version(&site)[&true] > 100);
        assert_eq!(site.store.change_count("gateway_rollouts"), 0);
    });
}

/// Where roll-outs are not enabled, versions and orders must make no difference.
#[test]
fn versions_make_no_difference_without_settings() {
    run(async {
        let site = site(NewVersion::Good);
        site.rollouts.set(None);
        let gateway = site.gateway("vm1").await;
        order(&site, "12").await;
        settle().await;
        send_until(&[&gateway], Duration::from_millis(500), || false).await;
        assert!(seen_by_version(&site)[&true] > 20);
        assert_eq!(status(&site), "");
        assert_eq!(site.store.change_count("gateway_rollouts"), 0);
    });
}

/// An order that cannot be followed must move no traffic.
#[parameterized(
    zero = { "rollout/llm", "v2 0" },
    negative = { "rollout/llm", "v2 -3" },
    no_number = { "rollout/llm", "v2 NaN" },
    over_a_day = { "rollout/llm", "v2 86401" },
    no_version = { "rollout/llm", " 12" },
    unreadable = { "rollout/llm", "v2" },
    unknown_service = { "rollout/mll", "v2 12" },
)]
fn invalid_order_changes_nothing(key: &str, value: &str) {
    run(async {
        let site = site(NewVersion::Good);
        let gateway = site.gateway("vm1").await;
        site.store.put("targets", "b0@v2", b"ready");
        site.store.put("operators", key, value.as_bytes());
        settle().await;
        send_until(&[&gateway], Duration::from_secs(1), || false).await;
        assert_eq!(seen_by_version(&site)[&true], 0);
        assert_eq!(site.store.change_count("gateway_rollouts"), 0);
        assert_eq!(site.store.change_count("status"), 0);
    });
}

/// A good version must end up with all requests, before the deadline, and keep them after a restart.
#[test]
fn good_version_takes_over() {
    run(async {
        let site = site(NewVersion::Good);
        let (first, second) = (site.gateway("vm1").await, site.gateway("vm2").await);
        let gateways = [&first, &second];
        send_until(&gateways, Duration::from_secs(1), || false).await;
        order(&site, "12").await;
        let ended = || status(&site) == "completed v2";
        send_until(&gateways, Duration::from_millis(11_900), ended).await;
        assert_eq!(status(&site), "completed v2");
        settle().await;
        let before = seen_by_version(&site)[&false];
        let third = site.gateway("vm3").await;
        send_until(&[&first, &second, &third], Duration::from_secs(1), || false).await;
        assert_eq!(seen_by_version(&site)[&false], before, "an old target got a request");
        // The same order again changes nothing.
        let changes = site.store.change_count("gateway_rollouts");
        site.store.put("operators", "rollout/llm", b"v2 12");
        settle().await;
        assert_eq!(site.store.change_count("gateway_rollouts"), changes);
        assert_eq!(status(&site), "completed v2");
    });
}

/// A version that fails its requests must be stopped within the exposure, and get nothing later.
#[test]
fn failing_version_is_rolled_back() {
    run(async {
        let site = site(NewVersion::Fails);
        // Its leader hears of all requests; gateways of these tests do not hear each other.
        let first = site.gateway("vm1").await;
        let gateways = [&first];
        send_until(&gateways, Duration::from_secs(1), || false).await;
        order(&site, "12").await;
        let ended = || status(&site) == "rolled_back v2";
        let sent = send_until(&gateways, Duration::from_millis(11_900), ended).await;
        assert_eq!(status(&site), "rolled_back v2");
        settle().await;
        let exposed = seen_by_version(&site)[&true];
        let bound = f64::from(sent) * SETTINGS.exposure_share + f64::from(SETTINGS.exposure_slack);
        assert!((exposed as f64) <= bound, "{exposed} of {sent} requests");
        // Also not after a restart of all gateways.
        let third = site.gateway("vm3").await;
        send_until(&[&first, &third], Duration::from_secs(1), || false).await;
        assert_eq!(seen_by_version(&site)[&true], exposed);
    });
}

/// A deleted order must stop the new version at once.
#[test]
fn deleted_order_ends_rollout() {
    run(async {
        let site = site(NewVersion::Good);
        let gateway = site.gateway("vm1").await;
        send_until(&[&gateway], Duration::from_secs(1), || false).await;
        order(&site, "60").await;
        let is_exposed = || seen_by_version(&site)[&true] > 10;
        send_until(&[&gateway], Duration::from_secs(30), is_exposed).await;
        assert!(seen_by_version(&site)[&true] > 10);
        site.store.remove("operators", "rollout/llm");
        settle().await;
        let exposed = seen_by_version(&site)[&true];
        send_until(&[&gateway], Duration::from_secs(3), || false).await;
        assert_eq!(seen_by_version(&site)[&true], exposed);
        assert_eq!(status(&site), "rolled_back v2");
    });
}

/// An order for a version without targets must wait for them and end at its deadline.
#[test]
fn order_without_targets_ends_at_its_deadline() {
    run(async {
        let site = site(NewVersion::Good);
        let gateway = site.gateway("vm1").await;
        site.store.put("operators", "rollout/llm", b"v2 4");
        let is_over = || status(&site) == "rolled_back v2";
        send_until(&[&gateway], Duration::from_secs(2), is_over).await;
        assert_eq!(status(&site), "running v2");
        send_until(&[&gateway], Duration::from_secs(4), is_over).await;
        assert_eq!(status(&site), "rolled_back v2");
    });
}

/// A new order must end the running one, whose version gets nothing more.
#[test]
fn new_order_replaces_running_one() {
    run(async {
        let site = site(NewVersion::Good);
        let gateway = site.gateway("vm1").await;
        send_until(&[&gateway], Duration::from_secs(1), || false).await;
        order(&site, "60").await;
        let is_exposed = || seen_by_version(&site)[&true] > 10;
        send_until(&[&gateway], Duration::from_secs(30), is_exposed).await;
        site.store.put("operators", "rollout/llm", b"v3 30");
        settle().await;
        let exposed = seen_by_version(&site)[&true];
        assert!(exposed > 10);
        send_until(&[&gateway], Duration::from_secs(2), || false).await;
        assert_eq!(seen_by_version(&site)[&true], exposed);
        assert_eq!(status(&site), "running v3");
    });
}

/// The verdict must reach the store although responses are lost or the store is away for a while.
#[parameterized(
    lost_responses = { true },
    store_away = { false },
)]
fn verdict_is_written_in_spite_of_store_faults(loses_responses: bool) {
    run(async move {
        let site = site(NewVersion::Fails);
        let gateway = site.gateway("vm1").await;
        send_until(&[&gateway], Duration::from_secs(1), || false).await;
        order(&site, "20").await;
        let is_exposed = || seen_by_version(&site)[&true] > 0;
        send_until(&[&gateway], Duration::from_secs(10), is_exposed).await;
        if loses_responses {
            site.store.lost_responses.set(6);
        } else {
            site.store.refuses.set(true);
        }
        send_until(&[&gateway], Duration::from_secs(6), || false).await;
        // The version is stopped without the store.
        let exposed = seen_by_version(&site)[&true];
        send_until(&[&gateway], Duration::from_secs(2), || false).await;
        assert_eq!(seen_by_version(&site)[&true], exposed);
        site.store.refuses.set(false);
        let ended = || status(&site) == "rolled_back v2";
        send_until(&[&gateway], Duration::from_secs(6), ended).await;
        assert_eq!(status(&site), "rolled_back v2");
    });
}

/// Batch items must not end with the old targets: those that run there go on at new ones before the verdict.
#[test]
fn batch_items_move_from_drained_targets() {
    run(async {
        // An item takes 40 s, longer than the roll-out.
        let targets = FakeTargets::open(|attempt, _| {
            if attempt.path.starts_with("/night/") {
                TargetBehavior::Events(4000, true)
            } else {
                TargetBehavior::Whole(200, "sent")
            }
        });
        let site = site_with(targets);
        let gateway = site.gateway("vm1").await;
        send_until(&[&gateway], Duration::from_secs(1), || false).await;
        gateway.submit_job(submission("j1")).await.unwrap();
        order(&site, "12").await;
        let ended = || status(&site) != "running v2" && !status(&site).is_empty();
        send_until(&[&gateway], Duration::from_millis(11_900), ended).await;
        assert_eq!(status(&site), "completed v2");
        let seen = site.targets.seen.borrow().clone();
        for index in 0..ITEMS {
            let id = format!("j1-{index}");
            let last = seen.iter().rfind(|attempt| attempt.id == id);
            let last = last.unwrap_or_else(|| panic!("{id} did not run"));
            assert!(is_new(last), "{last:?}");
        }
        let is_moved = |attempt: &&SeenAttempt| is_new(attempt) && attempt.resume_after.is_some();
        assert!(seen.iter().any(|attempt| is_moved(&attempt)), "no item was resumed");
    });
}

/// Another VM must go on with the roll-out of a VM that is gone.
#[test]
fn lost_leader_is_replaced() {
    let verdicts = Rc::new(Cell::new(0));
    let seen = Rc::clone(&verdicts);
    run(async move {
        let site = site(NewVersion::Good);
        let second = {
            let local = tokio::task::LocalSet::new();
            let first = local.run_until(site.gateway("vm1")).await;
            local.run_until(send_until(&[&first], Duration::from_secs(1), || false)).await;
            local.run_until(order(&site, "30")).await;
            let is_exposed = || seen_by_version(&site)[&true] > 10;
            local.run_until(send_until(&[&first], Duration::from_secs(10), is_exposed)).await;
            assert_eq!(status(&site), "running v2");
            // The tasks of the first gateway end with their set.
            drop(local);
            site.gateway("vm2").await
        };
        let ended = || status(&site) != "running v2";
        send_until(&[&second], Duration::from_secs(30), ended).await;
        assert_eq!(status(&site), "completed v2");
        seen.set(site.store.change_count("status"));
    });
    // Running, and one verdict.
    assert_eq!(verdicts.get(), 2);
}

/// News of roll-outs must not make other reports larger, nor keep VMs of the former version from reading the rest.
#[test]
fn news_follow_the_rest_of_a_report() {
    let vm = VmId::from("vm1");
    let waiting = vec![ReportedWait { service: 3, requests: 4 }];
    let report = LoadReport { incarnation: 1, sequence: 2, waiting, ..LoadReport::default() };
    let plain = EncodedReport::encode(&vm, &report);
    assert_eq!(plain.frame().decode().unwrap(), report);
    assert_eq!(plain.frame().content, postcard::to_stdvec(&report).unwrap());
    let part = EvidencePart { generation: 5, index: 0, count: 1, bytes: vec![6; 7] };
    let news = RolloutNews { announcements: Vec::new(), part: Some(part) };
    let with_news = LoadReport { rollouts: Some(Box::new(news)), ..report.clone() };
    let encoded = EncodedReport::encode(&vm, &with_news);
    assert_eq!(encoded.frame().decode().unwrap(), with_news);
    let rest: LoadReport = postcard::from_bytes(encoded.frame().content).unwrap();
    assert_eq!(rest.waiting, report.waiting);
}
