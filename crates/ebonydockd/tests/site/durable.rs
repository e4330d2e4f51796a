//! Tests of batch jobs, service calls and configuration under failure, with real daemon processes.

use std::cell::RefCell;
use std::time::Duration;

use ebonydock::{Change, DataCentreId};
use ebonydock_standins::{EngineShape, PlatformFault, ProxyFault, ServiceFault};
use futures_util::future::join_all;
use serde_json::Value;

use crate::support::{Site, fast_engine, items, workspace};

async fn site_with_jobs(data_centres: &[&str], vms: usize) -> Site {
    let site = Site::open(data_centres, vms, &[fast_engine(), fast_engine()]).await;
    site.configure(&[workspace("association", 100.0, 100.0), workspace("zlatnik", 100.0, 100.0)])
        .await;
    site
}

async fn completed(site: &Site, vm: usize, job: &str) -> u64 {
    let (_, text) = site.get(vm, &format!("/v1/batches/{job}"), "association").await;
    let report: Value = serde_json::from_str(&text).unwrap_or_default();
    report["completed"].as_u64().unwrap_or(0)
}

/// Starts a job at the first VM and waits for its first commit. Returns the index of its leader.
async fn start_led_job(site: &Site, count: usize) -> usize {
    let (status, text) =
        site.post(0, "/v1/batches?name=quotes", "association", items(count, 8)).await;
    assert_eq!(status, 200, "{text}");
    site.until("a chunk is committed", async || completed(site, 0, "quotes").await > 0).await;
    let lead = lead_of(site, "quotes").unwrap();
    site.vms.iter().position(|vm| vm.name == lead).unwrap()
}

fn committed_chunks(site: &Site, job: &str) -> serde_json::Map<String, Value> {
    let row = site.platform.row(&format!("progress/association/{job}"));
    let chunks = row.and_then(|row| row["chunks"].as_object().cloned());
    chunks.unwrap_or_default()
}

fn lead_of(site: &Site, job: &str) -> Option<String> {
    let row = site.platform.row(&format!("progress/association/{job}"))?;
    row["lead"].as_str().map(str::to_owned)
}

#[ntex::test]
async fn a_job_survives_the_loss_of_its_lead() {
    let mut site = site_with_jobs(&["celje"], 3).await;
    let index = start_led_job(&site, 600).await;
    let lead = site.vms[index].name.clone();
    site.vms[index].kill();
    site.publish();
    let other = (index + 1) % 3;
    site.await_results(other, "quotes", 600, 8).await;
    assert_ne!(lead_of(&site, "quotes"), Some(lead));
}

/// Guards against a paused leader that still commits chunks after another VM has taken the job over.
#[ntex::test]
async fn a_paused_lead_does_not_commit_twice() {
    let site = site_with_jobs(&["celje"], 3).await;
    let index = start_led_job(&site, 600).await;
    let lead = site.vms[index].name.clone();
    site.vms[index].signal("-STOP");
    let other = (index + 1) % 3;
    site.until("another VM leads", async || lead_of(&site, "quotes").as_ref() != Some(&lead)).await;
    site.vms[index].signal("-CONT");
    await_steady_chunks(&site, other, 600).await;
    site.await_results(other, "quotes", 600, 8).await;
}

/// Guards against a commit of a former leader that reaches the table after the takeover.
#[ntex::test]
async fn a_write_of_a_lost_lead_that_arrives_late_has_no_effect() {
    let site = site_with_jobs(&["celje"], 3).await;
    let index = start_led_job(&site, 3000).await;
    let lead = site.vms[index].name.clone();
    // The leader's next commit reaches the table later than a takeover takes.
    let late = PlatformFault { late_transactions_ms: 9000, ..PlatformFault::default() };
    site.platform.set_fault(late);
    ntex::time::sleep(Duration::from_millis(1200)).await;
    site.vms[index].signal("-STOP");
    site.platform.set_fault(PlatformFault::default());
    site.until("another VM leads", async || lead_of(&site, "quotes").as_ref() != Some(&lead)).await;
    let other = (index + 1) % 3;
    await_steady_chunks(&site, other, 3000).await;
    site.vms[index].signal("-CONT");
    site.await_results(other, "quotes", 3000, 8).await;
}

/// Waits until every item is completed and checks that committed chunks never change.
async fn await_steady_chunks(site: &Site, vm: usize, items: u64) {
    let last = RefCell::new(committed_chunks(site, "quotes"));
    site.until("every chunk is committed", async || {
        let now = committed_chunks(site, "quotes");
        for (chunk, report) in last.borrow().iter() {
            assert_eq!(now.get(chunk), Some(report), "chunk {chunk} was changed");
        }
        last.replace(now);
        completed(site, vm, "quotes").await == items
    })
    .await;
}

#[ntex::test]
async fn a_job_survives_outages_and_lost_answers_of_the_platform() {
    let site = site_with_jobs(&["celje"], 2).await;
    site.platform.set_fault(PlatformFault { lost_answers: 0.3, ..PlatformFault::default() });
    let body = items(400, 8);
    // The caller resends the same job until it gets a response.
    site.until("the job is accepted", async || {
        site.post(0, "/v1/batches?name=quotes", "association", body.clone()).await.0 == 200
    })
    .await;
    let (status, _) = site.post(1, "/v1/batches?name=quotes", "association", items(3, 8)).await;
    assert_eq!(status, 409);
    site.until("a chunk is committed", async || completed(&site, 0, "quotes").await > 0).await;
    site.platform_proxy.set_fault(ProxyFault::Cut);
    ntex::time::sleep(Duration::from_secs(3)).await;
    site.platform_proxy.set_fault(ProxyFault::None);
    site.platform.set_fault(PlatformFault { slow_ms: 50, ..PlatformFault::default() });
    site.await_results(1, "quotes", 400, 8).await;
}

#[ntex::test]
async fn a_job_survives_the_loss_of_every_vm() {
    let mut site = site_with_jobs(&["celje"], 2).await;
    start_led_job(&site, 400).await;
    for vm in &mut site.vms {
        vm.kill();
    }
    for name in ["celje-8", "celje-9"] {
        site.start_vm(name, "celje", &[]);
    }
    site.publish();
    site.client.wait_until_serving(site.vms[2].callers, crate::support::LIMIT).await.unwrap();
    site.await_results(2, "quotes", 400, 8).await;
}

#[ntex::test]
async fn a_cancelled_job_stops() {
    let site = site_with_jobs(&["celje"], 2).await;
    site.post(0, "/v1/batches?name=quotes", "association", items(2000, 20)).await;
    site.until("items run", async || completed(&site, 0, "quotes").await > 0).await;
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
async fn a_job_cancelled_in_a_cut_off_data_centre_stops() {
    // Each item takes longer than the test, so the leader can't see the cancellation in a commit.
    let slow = EngineShape { step_us: 20_000, ..fast_engine() };
    let site = Site::open(&["celje", "ptuj"], 1, &[slow]).await;
    site.configure(&[workspace("association", 100.0, 100.0)]).await;
    site.post(0, "/v1/batches?name=quotes", "association", items(100, 4000)).await;
    let running = || site.engines.iter().map(|(_, engine)| engine.running()).sum::<usize>();
    site.until("items run", async || running() > 0).await;
    // The data centres now share only the platform, so no message reports the cancellation.
    for proxy in &site.proxies {
        proxy.set_fault(ProxyFault::Cut);
    }
    let (status, _) = site.post(1, "/v1/batches/quotes/cancel", "association", String::new()).await;
    assert_eq!(status, 200);
    site.until("nothing runs", async || running() == 0).await;
    ntex::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(running(), 0);
    let left = site.platform.row("active/celje/association/quotes");
    assert_eq!(left, None, "an ended job is still listed as active");
}

#[ntex::test]
async fn items_that_can_not_be_done_hold_up_nothing() {
    let site = site_with_jobs(&["celje"], 2).await;
    let line = |name: &str, prompt: &str| {
        let body = serde_json::json!({ "model": "clerk-8b", "prompt": prompt, "max_tokens": 4 });
        format!("{}\n", serde_json::json!({ "custom_id": name, "body": body }))
    };
    let body = [line("good", "a"), line("bad", "[reject]"), line("fine", "b")].concat();
    site.post(0, "/v1/batches?name=mixed", "association", body).await;
    site.until("the job is completed", async || {
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
async fn platform_writes_stay_within_five_for_a_thousand_items() {
    let site = site_with_jobs(&["celje"], 2).await;
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
async fn a_notice_is_delivered_at_most_once() {
    let site = site_with_jobs(&["celje", "ptuj"], 2).await;
    let sends = (0..4).map(|vm| site.notify(vm, Some("pickup-1"), "ready"));
    let answers = join_all(sends).await;
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert_eq!(site.deliveries("ready"), 1);
    let (status, _) = site.notify(0, Some("pickup-1"), "something else").await;
    assert_eq!((status, site.deliveries("something else")), (409, 0));

    for (_, service) in &site.services {
        service.set_fault(ServiceFault { lose_answers: true, ..ServiceFault::default() });
    }
    for name in [Some("pickup-2"), Some("pickup-2"), None] {
        let (status, refusal) = site.notify(1, name, "response lost").await;
        assert_eq!(status, 502, "{refusal}");
        assert_eq!(refusal["error"]["code"], "outcome_unknown");
        assert_eq!(refusal["error"]["not_run"], Value::Bool(false));
    }
    // One delivery with the idempotency key and one without a key.
    assert_eq!(site.deliveries("response lost"), 2);
}

#[ntex::test]
async fn a_notice_survives_the_loss_of_its_vm_without_a_second_delivery() {
    let mut site = site_with_jobs(&["celje"], 3).await;
    for (_, service) in &site.services {
        service.set_fault(ServiceFault { slow_ms: 2000, ..ServiceFault::default() });
    }
    let send = site.notify(0, Some("pickup-1"), "ready");
    let wait = ntex::time::timeout(Duration::from_millis(700), send).await;
    assert!(wait.is_err());
    assert_eq!(site.deliveries("ready"), 1);
    site.vms[0].kill();
    let (status, refusal) = site.notify(1, Some("pickup-1"), "ready").await;
    assert_eq!((status, refusal["error"]["code"].as_str()), (502, Some("outcome_unknown")));
    assert_eq!(site.deliveries("ready"), 1);
}

#[ntex::test]
async fn racing_operators_get_a_conflict_and_versions_never_go_back() {
    let site = site_with_jobs(&["celje", "ptuj"], 2).await;
    let base = site.status(0).await.config_version.0;
    let out = |name: &str| vec![Change::DataCentreBack(DataCentreId::from(name))];
    let edits = (0..4).map(|vm| site.edit(vm, base, out("celje")));
    let answers = join_all(edits).await;
    let accepted = answers.iter().filter(|(status, _)| status.is_success()).count();
    assert_eq!(accepted, 1, "{answers:?}");
    assert!(answers.iter().all(|(status, _)| [200, 409].contains(&status.as_u16())));
    // A partitioned data centre keeps its configuration and catches up afterwards.
    for vm in 2..4 {
        site.proxies[vm].set_fault(ProxyFault::Cut);
    }
    site.change(0, out("celje")).await;
    assert!(site.status(2).await.config_version.0 > base);
    for vm in 2..4 {
        site.proxies[vm].set_fault(ProxyFault::None);
    }
    for vm in 0..4 {
        site.until("the version is active", async || {
            site.status(vm).await.config_version.0 == base + 2
        })
        .await;
    }
}
