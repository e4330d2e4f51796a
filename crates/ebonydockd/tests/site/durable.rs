//! Tests of batch jobs, service calls and configuration under failure, with real daemon processes.

use std::cell::RefCell;
use std::time::Duration;

use ebonydock::{Change, DataCentreId};
use ebonydock_standins::{EngineShape, PlatformFault, ProxyFault, ServiceFault};
use futures_util::future::join_all;
use serde_json::Value;

use crate::support::{Site, fast_engine, items, workspace};

async fn configured_site(data_centres: &[&str], vms: usize) -> Site {
    let site = Site::open(data_centres, vms, &[fast_engine(), fast_engine()]).await;
    site.configure(&[workspace("association", 100.0, 100.0), workspace("zlatnik", 100.0, 100.0)])
        .await;
    site
}

async fn completed_items(site: &Site, vm: usize, job: &str) -> u64 {
    let (_, text) = site.get(vm, &format!("/v1/batches/{job}"), "association").await;
    let report: Value = serde_json::from_str(&text).unwrap_or_default();
    report["completed"].as_u64().unwrap_or(0)
}

/// Starts a job at the first VM and waits for its first commit. Returns the index of its leader.
async fn start_job(site: &Site, count: usize) -> usize {
    let (status, text) =
        site.post(0, "/v1/batches?name=quotes", "association", items(count, 8)).await;
    assert_eq!(status, 200, "{text}");
    site.wait_until("a chunk is committed", async || completed_items(site, 0, "quotes").await > 0)
        .await;
    let leader = leader_of(site, "quotes").unwrap();
    site.vms.iter().position(|vm| vm.name == leader).unwrap()
}

fn committed_chunks(site: &Site, job: &str) -> serde_json::Map<String, Value> {
    let row = site.platform.row(&format!("progress/association/{job}"));
    let chunks = row.and_then(|row| row["chunks"].as_object().cloned());
    chunks.unwrap_or_default()
}

fn leader_of(site: &Site, job: &str) -> Option<String> {
    let row = site.platform.row(&format!("progress/association/{job}"))?;
    row["lead"].as_str().map(str::to_owned)
}

#[ntex::test]
async fn lost_leader_is_replaced() {
    let mut site = configured_site(&["celje"], 3).await;
    let index = start_job(&site, 600).await;
    let leader = site.vms[index].name.clone();
    site.vms[index].kill();
    site.publish_fleet();
    let other = (index + 1) % 3;
    site.await_results(other, "quotes", 600, 8).await;
    assert_ne!(leader_of(&site, "quotes"), Some(leader));
}

/// Guards against a paused leader that still commits chunks after another VM has taken the job over.
#[ntex::test]
async fn paused_leader_does_not_commit_twice() {
    let site = configured_site(&["celje"], 3).await;
    let index = start_job(&site, 600).await;
    let leader = site.vms[index].name.clone();
    site.vms[index].signal("-STOP");
    let other = (index + 1) % 3;
    site.wait_until("another VM leads", async || {
        leader_of(&site, "quotes").as_ref() != Some(&leader)
    })
    .await;
    site.vms[index].signal("-CONT");
    await_unchanged_commits(&site, other, 600).await;
    site.await_results(other, "quotes", 600, 8).await;
}

/// Guards against a commit of a former leader that reaches the table after the takeover.
#[ntex::test]
async fn late_commit_of_former_leader_is_rejected() {
    let site = configured_site(&["celje"], 3).await;
    let index = start_job(&site, 3000).await;
    let leader = site.vms[index].name.clone();
    // The leader's next commit reaches the table later than a takeover takes.
    let late = PlatformFault { late_transactions_ms: 9000, ..PlatformFault::default() };
    site.platform.set_fault(late);
    ntex::time::sleep(Duration::from_millis(1200)).await;
    site.vms[index].signal("-STOP");
    site.platform.set_fault(PlatformFault::default());
    site.wait_until("another VM leads", async || {
        leader_of(&site, "quotes").as_ref() != Some(&leader)
    })
    .await;
    let other = (index + 1) % 3;
    await_unchanged_commits(&site, other, 3000).await;
    site.vms[index].signal("-CONT");
    site.await_results(other, "quotes", 3000, 8).await;
}

/// Waits until every item is completed and checks that committed chunks never change.
async fn await_unchanged_commits(site: &Site, vm: usize, items: u64) {
    let last = RefCell::new(committed_chunks(site, "quotes"));
    site.wait_until("every chunk is committed", async || {
        let now = committed_chunks(site, "quotes");
        for (chunk, report) in last.borrow().iter() {
            assert_eq!(now.get(chunk), Some(report), "chunk {chunk} was changed");
        }
        last.replace(now);
        completed_items(site, vm, "quotes").await == items
    })
    .await;
}

#[ntex::test]
async fn job_survives_platform_faults() {
    let site = configured_site(&["celje"], 2).await;
    site.platform.set_fault(PlatformFault { lost_responses: 0.3, ..PlatformFault::default() });
    let body = items(400, 8);
    // The caller resends the same job until it gets a response.
    site.wait_until("the job is accepted", async || {
        site.post(0, "/v1/batches?name=quotes", "association", body.clone()).await.0 == 200
    })
    .await;
    let (status, _) = site.post(1, "/v1/batches?name=quotes", "association", items(3, 8)).await;
    assert_eq!(status, 409);
    site.wait_until("a chunk is committed", async || completed_items(&site, 0, "quotes").await > 0)
        .await;
    site.platform_proxy.set_fault(ProxyFault::Partition);
    ntex::time::sleep(Duration::from_secs(3)).await;
    site.platform_proxy.set_fault(ProxyFault::None);
    site.platform.set_fault(PlatformFault { slow_ms: 50, ..PlatformFault::default() });
    site.await_results(1, "quotes", 400, 8).await;
}

#[ntex::test]
async fn job_survives_loss_of_all_vms() {
    let mut site = configured_site(&["celje"], 2).await;
    start_job(&site, 400).await;
    for vm in &mut site.vms {
        vm.kill();
    }
    for name in ["celje-8", "celje-9"] {
        site.start_vm(name, "celje", &[]);
    }
    site.publish_fleet();
    site.client.wait_until_serving(site.vms[2].callers, crate::support::TIMEOUT).await.unwrap();
    site.await_results(2, "quotes", 400, 8).await;
}

#[ntex::test]
async fn cancelled_job_stops() {
    let site = configured_site(&["celje"], 2).await;
    site.post(0, "/v1/batches?name=quotes", "association", items(2000, 20)).await;
    site.wait_until("items run", async || completed_items(&site, 0, "quotes").await > 0).await;
    let (status, _) = site.post(1, "/v1/batches/quotes/cancel", "association", String::new()).await;
    assert_eq!(status, 200);
    // A cancelled job may take a few seconds to stop.
    ntex::time::sleep(Duration::from_secs(2)).await;
    assert!(site.engines.iter().all(|(_, engine)| engine.running() == 0));
    let requests = || -> u64 { site.engines.iter().map(|(_, e)| e.counters().requests).sum() };
    let before = requests();
    ntex::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(requests(), before);
    // Committed results stay readable, but not for another workspace.
    let (status, results) = site.get(1, "/v1/batches/quotes/results", "association").await;
    assert_eq!(status, 200);
    assert!(!results.is_empty() && results.lines().count() < 2000);
    assert_eq!(site.get(1, "/v1/batches/quotes", "zlatnik").await.0, 404);
}

/// Guards against a cancellation that reaches the leader only by a commit or by a message between
/// VMs: the leader must read it from the platform.
#[ntex::test]
async fn cancellation_reaches_partitioned_leader() {
    // Each item takes longer than the test, so the leader can't see the cancellation in a commit.
    let slow = EngineShape { step_us: 20_000, ..fast_engine() };
    let site = Site::open(&["celje", "ptuj"], 1, &[slow]).await;
    site.configure(&[workspace("association", 100.0, 100.0)]).await;
    site.post(0, "/v1/batches?name=quotes", "association", items(100, 4000)).await;
    let running = || site.engines.iter().map(|(_, engine)| engine.running()).sum::<usize>();
    site.wait_until("items run", async || running() > 0).await;
    // The data centres now share only the platform, so no message reports the cancellation.
    for proxy in &site.proxies {
        proxy.set_fault(ProxyFault::Partition);
    }
    let (status, _) = site.post(1, "/v1/batches/quotes/cancel", "association", String::new()).await;
    assert_eq!(status, 200);
    site.wait_until("nothing runs", async || running() == 0).await;
    ntex::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(running(), 0);
    let active_row = site.platform.row("active/celje/association/quotes");
    assert_eq!(active_row, None, "an ended job is still listed as active");
}

#[ntex::test]
async fn rejected_items_do_not_block_job() {
    let site = configured_site(&["celje"], 2).await;
    let line = |name: &str, prompt: &str| {
        let body = serde_json::json!({ "model": "clerk-8b", "prompt": prompt, "max_tokens": 4 });
        format!("{}\n", serde_json::json!({ "custom_id": name, "body": body }))
    };
    let body = [line("good", "a"), line("bad", "[reject]"), line("fine", "b")].concat();
    site.post(0, "/v1/batches?name=mixed", "association", body).await;
    site.wait_until("the job is completed", async || {
        let (_, text) = site.get(0, "/v1/batches/mixed", "association").await;
        text.contains("\"completed\",") && text.contains("\"failed\":1")
    })
    .await;
    let (_, results) = site.get(0, "/v1/batches/mixed/results", "association").await;
    let statuses: Vec<String> = results
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap())
        .map(|item| format!("{} {}", item["custom_id"], item["status"]))
        .collect();
    insta::assert_json_snapshot!(statuses, @r#"
    [
      "\"good\" \"completed\"",
      "\"bad\" \"failed\"",
      "\"fine\" \"completed\""
    ]
    "#);
}

#[ntex::test]
async fn platform_writes_per_chunk_are_bounded() {
    let site = configured_site(&["celje"], 2).await;
    let count = |counters: ebonydock_standins::PlatformCounters| {
        counters.transactions + counters.object_writes
    };
    let before = count(site.platform.counters());
    // The bound is five writes for a chunk of 1000 items. Chunks have 50 items here, so it is
    // checked on 20 chunks.
    site.post(0, "/v1/batches?name=quotes", "association", items(1000, 1)).await;
    site.await_results(0, "quotes", 1000, 1).await;
    let writes = count(site.platform.counters()) - before;
    // One object for each chunk's items and one for its results. The number of other writes must
    // not grow with the number of items.
    let objects = 2 * 20;
    assert!(writes <= objects + 20, "{writes} writes");
}

#[ntex::test]
async fn call_is_delivered_at_most_once() {
    let site = configured_site(&["celje", "ptuj"], 2).await;
    let sends = (0..4).map(|vm| site.send_notice(vm, Some("pickup-1"), "ready"));
    let responses = join_all(sends).await;
    assert!(responses.iter().all(|(status, _)| *status == 200), "{responses:?}");
    assert_eq!(site.deliveries("ready"), 1);
    let (status, _) = site.send_notice(0, Some("pickup-1"), "something else").await;
    assert_eq!((status, site.deliveries("something else")), (409, 0));

    for (_, service) in &site.services {
        service.set_fault(ServiceFault { lose_responses: true, ..ServiceFault::default() });
    }
    for name in [Some("pickup-2"), Some("pickup-2"), None] {
        let (status, refusal) = site.send_notice(1, name, "response lost").await;
        assert_eq!(status, 502, "{refusal}");
        assert_eq!(refusal["error"]["code"], "outcome_unknown");
        assert_eq!(refusal["error"]["not_run"], Value::Bool(false));
    }
    // One delivery with the idempotency key and one without a key.
    assert_eq!(site.deliveries("response lost"), 2);
}

#[ntex::test]
async fn call_is_not_resent_after_vm_loss() {
    let mut site = configured_site(&["celje"], 3).await;
    for (_, service) in &site.services {
        service.set_fault(ServiceFault { slow_ms: 2000, ..ServiceFault::default() });
    }
    let send = site.send_notice(0, Some("pickup-1"), "ready");
    let wait = ntex::time::timeout(Duration::from_millis(700), send).await;
    assert!(wait.is_err());
    assert_eq!(site.deliveries("ready"), 1);
    site.vms[0].kill();
    let (status, refusal) = site.send_notice(1, Some("pickup-1"), "ready").await;
    assert_eq!((status, refusal["error"]["code"].as_str()), (502, Some("outcome_unknown")));
    assert_eq!(site.deliveries("ready"), 1);
}

#[ntex::test]
async fn concurrent_edits_conflict_and_versions_increase() {
    let site = configured_site(&["celje", "ptuj"], 2).await;
    let base = site.status(0).await.config_version.0;
    let back_in_service = |name: &str| vec![Change::DataCentreBack(DataCentreId::from(name))];
    let edits = (0..4).map(|vm| site.edit(vm, base, back_in_service("celje")));
    let responses = join_all(edits).await;
    let accepted = responses.iter().filter(|(status, _)| status.is_success()).count();
    assert_eq!(accepted, 1, "{responses:?}");
    assert!(responses.iter().all(|(status, _)| [200, 409].contains(&status.as_u16())));
    // A partitioned data centre keeps its configuration and catches up afterwards.
    for vm in 2..4 {
        site.proxies[vm].set_fault(ProxyFault::Partition);
    }
    site.apply_changes(0, back_in_service("celje")).await;
    assert!(site.status(2).await.config_version.0 > base);
    for vm in 2..4 {
        site.proxies[vm].set_fault(ProxyFault::None);
    }
    for vm in 0..4 {
        site.wait_until("the version is active", async || {
            site.status(vm).await.config_version.0 == base + 2
        })
        .await;
    }
}
