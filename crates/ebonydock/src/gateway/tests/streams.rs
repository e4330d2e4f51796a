//! Tests of requests and streams at failing targets, from the view of callers.

use std::collections::BTreeSet;
use std::time::Duration;

use ntex::util::Bytes;
use yare::parameterized;

use crate::gateway::connections::SendError;
use crate::gateway::forward::{ForwardResponse, GatewayRefusal, RefusalReason, ResponseBody};
use crate::gateway::handle::Gateway;
use crate::gateway::response_body::open_body;
use crate::gateway::tests::catalog::config;
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, event, request, run};
use crate::memory::{MemoryLedger, MemorySettings};

fn lost() -> TargetBehavior {
    TargetBehavior::Fails(SendError::Lost("reset".to_owned()))
}

fn unsent() -> TargetBehavior {
    TargetBehavior::Fails(SendError::NotSent("refused".to_owned()))
}

/// Returns the body as the caller receives it, and whether it is complete.
async fn read(response: Result<ForwardResponse, GatewayRefusal>) -> (String, bool) {
    let response = response.unwrap_or_else(|refusal| panic!("{refusal:?}"));
    match response.body {
        ResponseBody::Whole(body) => (String::from_utf8(body.to_vec()).unwrap(), true),
        ResponseBody::Chunks(mut chunks) => {
            let mut text = String::new();
            while let Some(chunk) = chunks.recv().await {
                match chunk {
                    Ok(chunk) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
                    Err(_) => return (text, false),
                }
            }
            (text, true)
        }
    }
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

// The stream is resumed after the last complete event that the caller received.
#[test]
fn resumable_stream_continues_at_another_target() {
    run(async {
        let targets = FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::Events(3, false),
            _ => TargetBehavior::Events(6, true),
        });
        let site = FakeSite::open(targets);
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/resumed/1")).await;
        assert_eq!(read(response).await, (events(1..=6), true));
        let seen = site.targets.seen.borrow();
        assert_eq!(seen.len(), 2);
        assert_eq!(seen[1].resume_after, Some(3));
        assert_ne!(seen[0].target, seen[1].target);
    });
}

#[test]
fn non_resumable_stream_reports_break() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(3, false)));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/chat/1")).await;
        assert_eq!(read(response).await, (events(1..=3), false));
        assert_eq!(site.targets.seen.borrow().len(), 1);
    });
}

#[parameterized(
    idempotent = { "/safe/1", 2, false },
    at_most_once = { "/notice/1", 1, false },
    stream = { "/chat/1", 1, false },
    resumable = { "/resumed/1", 2, false },
)]
fn request_that_may_have_run_is_retried_only_if_allowed(
    path: &str,
    attempts: usize,
    not_run: bool,
) {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| lost()));
        let gateway = site.gateway("vm1").await;
        let refusal = gateway.forward(request("r1", path)).await.err().unwrap();
        assert_eq!(site.targets.seen.borrow().len(), attempts);
        assert_eq!(refusal.reason.is_not_run(), not_run, "{refusal:?}");
    });
}

#[parameterized(
    not_sent = { unsent },
    not_run = { || TargetBehavior::NotRun },
)]
fn request_that_did_not_run_is_retried(first: fn() -> TargetBehavior) {
    run(async move {
        let site = FakeSite::open(FakeTargets::open(move |_, before| match before {
            0 => first(),
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/notice/1")).await;
        assert_eq!(read(response).await, ("sent".to_owned(), true));
        assert_eq!(site.targets.seen.borrow().len(), 2);
    });
}

/// All targets are full for a moment.
#[test]
fn request_refused_by_full_targets_runs_once_they_have_room() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0..4 => TargetBehavior::NotRun,
            _ => TargetBehavior::Whole(200, "whole"),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/notice/1")).await;
        assert_eq!(read(response).await, ("whole".to_owned(), true));
    });
}

#[test]
fn request_run_by_no_target_is_refused_as_not_run() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::NotRun));
        let gateway = site.gateway("vm1").await;
        let refusal = gateway.forward(request("r1", "/notice/1")).await.err().unwrap();
        assert!(refusal.reason.is_not_run(), "{refusal:?}");
    });
}

#[parameterized(
    safe = { "/safe/1", 2, 200 },
    notice = { "/notice/1", 1, 500 },
)]
fn server_error_is_forwarded_unless_retry_is_allowed(path: &str, attempts: usize, status: u16) {
    run(async move {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::Whole(500, "broken"),
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", path)).await.ok().unwrap();
        assert_eq!(response.status.as_u16(), status);
        assert_eq!(site.targets.seen.borrow().len(), attempts);
    });
}

#[test]
fn caller_disconnect_cancels_request_at_target() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/safe/1"));
        assert!(tokio::time::timeout(Duration::from_millis(50), response).await.is_err());
        assert_eq!(site.targets.seen.borrow().len(), 1);
        assert_eq!(site.targets.open.get(), 0);
    });
}

#[test]
fn caller_disconnect_cancels_stream() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(1000, true)));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/chat/1")).await.ok().unwrap();
        let ResponseBody::Chunks(mut chunks) = response.body else { panic!("no stream") };
        chunks.recv().await.unwrap().unwrap();
        drop(chunks);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(site.targets.open.get(), 0);
    });
}

#[test]
fn caller_that_stops_reading_does_not_occupy_target_past_its_deadline() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(1000, true)));
        let gateway = site.gateway("vm1").await;
        let mut slow = request("r1", "/chat/1");
        slow.caller_timeout = Some(Duration::from_millis(600));
        let response = gateway.forward(slow).await.ok().unwrap();
        let ResponseBody::Chunks(mut chunks) = response.body else { panic!("no stream") };
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(site.targets.open.get(), 1, "the stream is sound until the deadline");
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(site.targets.open.get(), 0);
        while let Some(Ok(_)) = chunks.recv().await {}
        assert!(chunks.recv().await.is_some_and(|chunk| chunk.is_err()), "it looks complete");
    });
}

#[test]
fn abandoned_response_does_not_look_complete() {
    run(async {
        let (sender, mut receiver) = open_body(&MemoryLedger::open(MemorySettings::default()));
        sender.send(Bytes::from_static(b"half"), Duration::from_secs(1)).await.unwrap();
        // As when the forwarding task is cancelled.
        drop(sender);
        assert_eq!(receiver.recv().await.unwrap().unwrap(), "half");
        assert!(receiver.recv().await.unwrap().is_err());
    });
}

#[test]
fn complete_response_is_delivered_to_slow_caller_after_its_deadline() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(10, true)));
        let gateway = site.gateway("vm1").await;
        let mut slow = request("r1", "/chat/1");
        slow.caller_timeout = Some(Duration::from_millis(400));
        let response = gateway.forward(slow).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(read(response).await, (events(1..=10), true));
    });
}

#[test]
fn request_times_out_at_its_deadline() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs));
        let gateway = site.gateway("vm1").await;
        let began = tokio::time::Instant::now();
        let refusal = gateway.forward(request("r1", "/notice/1")).await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::TimedOut);
        assert!(began.elapsed() < Duration::from_millis(3200), "{:?}", began.elapsed());
    });
}

#[test]
fn removed_route_and_withdrawn_key_are_refused() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Whole(200, "sent")));
        let gateway = site.gateway("vm1").await;
        read(gateway.forward(request("r1", "/safe/1")).await).await;
        let mut changed = config(5, Vec::new());
        changed.routes.push(crate::gateway::tests::catalog::route(
            "chat",
            "/chat/",
            crate::gateway::RouteClass::Idempotent,
        ));
        changed.workspaces.as_mut().unwrap()[0].keys.clear();
        site.configure(changed);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let reason =
            |response: Result<_, GatewayRefusal>| response.err().map(|refusal| refusal.reason);
        let removed = gateway.forward(request("r2", "/safe/1")).await;
        assert_eq!(reason(removed), Some(RefusalReason::NoRoute));
        let withdrawn = gateway.forward(request("r3", "/chat/1")).await;
        assert_eq!(reason(withdrawn), Some(RefusalReason::BadKey));
        // An older version that arrives late is ignored.
        site.configure(config(2, Vec::new()));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let withdrawn = gateway.forward(request("r4", "/chat/1")).await;
        assert_eq!(reason(withdrawn), Some(RefusalReason::BadKey));
    });
}

#[test]
fn vm_without_configuration_refuses_and_is_not_ready() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs));
        site.store.refuses.set(true);
        let gateway = site.gateway("vm1").await;
        assert!(!gateway.is_ready());
        let refusal = gateway.forward(request("r1", "/safe/1")).await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::NotConfigured);
        site.store.refuses.set(false);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(gateway.is_ready());
    });
}

// Registrations expire while the store is unavailable, although the targets still run. They must be used
// until they have had time to register again.
#[test]
fn targets_expired_in_store_outage_stay_usable() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Whole(200, "sent")));
        let gateway = site.gateway("vm1").await;
        site.store.refuses.set(true);
        tokio::time::sleep(Duration::from_secs(10)).await;
        for target in ["t1", "t2", "t3"] {
            site.store.remove("targets", target);
        }
        site.store.refuses.set(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        read(gateway.forward(request("r1", "/safe/1")).await).await;
        site.store.put("targets", "t2", b"ready");
        tokio::time::sleep(Duration::from_secs(4)).await;
        for id in 0..4 {
            read(gateway.forward(request(&format!("s{id}"), "/safe/1")).await).await;
        }
        let seen = site.targets.seen.borrow();
        assert!(seen[1..].iter().all(|attempt| attempt.target == "t2"), "{seen:?}");
    });
}

// The grace period after a store outage must not extend the time for which a target that deregistered on
// purpose gets requests.
#[test]
fn target_removed_after_store_outage_gets_no_late_requests() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Whole(200, "sent")));
        let gateway = site.gateway("vm1").await;
        site.store.refuses.set(true);
        tokio::time::sleep(Duration::from_secs(10)).await;
        site.store.refuses.set(false);
        // The follower retries within 800 ms.
        tokio::time::sleep(Duration::from_millis(800)).await;
        for target in ["t1", "t3"] {
            site.store.remove("targets", target);
        }
        // A target may be sent requests for two seconds after its entry was removed.
        tokio::time::sleep(Duration::from_millis(1950)).await;
        for id in 0..6 {
            read(gateway.forward(request(&format!("r{id}"), "/safe/1")).await).await;
        }
        let seen = site.targets.seen.borrow();
        assert!(seen.iter().all(|attempt| attempt.target == "t2"), "{seen:?}");
    });
}

// Once the balancer has deregistered a stopping VM, requests over open connections are refused as not
// run. The stop ends with the last stream.
#[test]
fn stopping_vm_refuses_requests_and_finishes_streams() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(100, true)));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/chat/1")).await;
        let stopping = gateway.clone();
        let stopped = tokio::task::spawn_local(async move { stopping.stop().await });
        // The balancer sends no new connections after 100 ms, but callers may keep theirs.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let refusal = gateway.forward(request("r2", "/chat/1")).await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::Stopping);
        assert!(refusal.reason.is_not_run());
        assert_eq!(read(response).await, (events(1..=100), true));
        tokio::time::timeout(Duration::from_secs(1), stopped).await.unwrap().unwrap();
    });
}

#[test]
fn leaving_or_unreadable_target_gets_no_requests() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Whole(200, "sent")));
        let gateway = site.gateway("vm1").await;
        site.store.put("targets", "t1", b"leaving");
        site.store.put("targets", "t3", b"unreadable");
        tokio::time::sleep(Duration::from_millis(50)).await;
        for id in 0..6 {
            read(gateway.forward(request(&format!("r{id}"), "/safe/1")).await).await;
        }
        let seen = site.targets.seen.borrow();
        assert!(seen.iter().all(|attempt| attempt.target == "t2"), "{seen:?}");
    });
}

#[test]
fn request_that_did_not_run_is_refunded_to_quota() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|seen, _| match seen.id.as_str() {
            "r1" => TargetBehavior::NotRun,
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        let mut limited = site.decoder.configs.borrow()[0].clone();
        limited.version = 4;
        let workspace = &mut limited.workspaces.as_mut().unwrap()[0];
        (workspace.rate, workspace.burst) = (0.01, 1.0);
        site.configure(limited);
        // The bucket holds one request after 100 s.
        tokio::time::sleep(Duration::from_secs(150)).await;
        let refusal = gateway.forward(request("r1", "/safe/1")).await.err().unwrap();
        assert_ne!(refusal.reason, RefusalReason::OverQuota);
        read(gateway.forward(request("r2", "/safe/1")).await).await;
        let refusal = gateway.forward(request("r3", "/safe/1")).await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::OverQuota);
    });
}

#[test]
fn planned_stop_waits_for_streams() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Events(100, true)));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/chat/1")).await;
        let stopping = gateway.clone();
        let stopped = tokio::task::spawn_local(async move { stopping.stop().await });
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(!stopped.is_finished());
        assert!(!gateway.is_ready());
        assert_eq!(read(response).await, (events(1..=100), true));
        stopped.await.unwrap();
    });
}

#[parameterized(
    not_resumable = { "/chat/1", 3, false },
    resumable = { "/resumed/1", 6, true },
)]
fn stream_that_ends_within_event_has_broken_off(path: &str, last: u64, is_complete: bool) {
    run(async move {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::EndsWithinEvent(3),
            _ => TargetBehavior::Events(6, true),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", path)).await;
        assert_eq!(read(response).await, (events(1..=last), is_complete));
    });
}

// The first target breaks off after three events.
#[parameterized(
    server_error = { || TargetBehavior::Whole(500, "broken") },
    not_found = { || TargetBehavior::Whole(404, "unknown") },
    no_stream = { || TargetBehavior::Whole(200, "whole") },
    repeated_event = { || TargetBehavior::Stream(events(3..=6)) },
    skipped_event = { || TargetBehavior::Stream(events(5..=6)) },
    event_without_id = { || TargetBehavior::Stream("data: piece 4\n\n".to_owned()) },
    foreign = { || TargetBehavior::Foreign },
    ends_at_once = { || TargetBehavior::EndsAtOnce },
    ends_within_first_event = { || TargetBehavior::EndsWithinEvent(0) },
    broken_connection = { || lost() },
)]
fn resumed_stream_contains_no_other_answer_and_does_not_look_complete(
    next: fn() -> TargetBehavior,
) {
    run(async move {
        let site = FakeSite::open(FakeTargets::open(move |_, before| match before {
            0 => TargetBehavior::Events(3, false),
            _ => next(),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/resumed/1")).await;
        assert_eq!(read(response).await, (events(1..=3), false));
    });
}

#[test]
fn stream_without_event_ids_is_not_resumed() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::Stream("data: a\n\ndata:".to_owned()),
            _ => TargetBehavior::Stream("data: a\n\ndata: b\n\n".to_owned()),
        }));
        let gateway = site.gateway("vm1").await;
        let response = gateway.forward(request("r1", "/resumed/1")).await;
        assert_eq!(read(response).await, ("data: a\n\n".to_owned(), false));
    });
}

/// Sends enough requests to reach each of three usable targets (one of 10^10 such groups misses one) and
/// returns the targets that they reached.
async fn reached_targets(site: &FakeSite, gateway: &Gateway, name: &str) -> BTreeSet<String> {
    let before = site.targets.seen.borrow().len();
    for id in 0..60 {
        let _ = gateway.forward(request(&format!("{name}{id}"), "/safe/1")).await;
    }
    let seen = site.targets.seen.borrow();
    seen[before..].iter().map(|attempt| attempt.target.clone()).collect()
}

#[parameterized(
    success = { 200 },
    error = { 500 },
    refusal = { 503 },
)]
fn target_that_announced_leaving_gets_no_more_requests(status: u16) {
    run(async move {
        let site = FakeSite::open(FakeTargets::open(move |seen, _| match seen.target.as_str() {
            "t1" => TargetBehavior::Leaving(status),
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        assert!(reached_targets(&site, &gateway, "a").await.contains("t1"));
        assert!(!reached_targets(&site, &gateway, "b").await.contains("t1"));
        // Its entry still says that it is ready, and disappears for a while.
        site.store.put("targets", "t1", b"ready");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!reached_targets(&site, &gateway, "c").await.contains("t1"));
        site.store.remove("targets", "t1");
        tokio::time::sleep(Duration::from_secs(3)).await;
        site.store.put("targets", "t1", b"ready");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!reached_targets(&site, &gateway, "d").await.contains("t1"));
        site.store.refuses.set(true);
        assert!(!reached_targets(&site, &gateway, "e").await.contains("t1"));
        // It starts again under its id.
        site.store.refuses.set(false);
        site.store.put("targets", "t1", b"restarted");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(reached_targets(&site, &gateway, "f").await.contains("t1"));
    });
}

// Another target responds at the address of one that is gone.
#[test]
fn leaving_is_not_taken_from_misdirected_response() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::Leaving(421),
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        read(gateway.forward(request("r1", "/safe/1")).await).await;
        let first = site.targets.seen.borrow()[0].target.clone();
        // Until it is listed anew.
        site.store.remove("targets", &first);
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.store.put("targets", &first, b"ready");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(reached_targets(&site, &gateway, "a").await.contains(&first));
    });
}

#[test]
fn request_is_refused_at_once_when_all_targets_announced_leaving() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Leaving(200)));
        let gateway = site.gateway("vm1").await;
        for id in 0..3 {
            read(gateway.forward(request(&format!("r{id}"), "/safe/1")).await).await;
        }
        let began = tokio::time::Instant::now();
        let refusal = gateway.forward(request("r4", "/safe/1")).await.err().unwrap();
        assert_eq!(refusal.reason, RefusalReason::NoTarget);
        assert!(began.elapsed() < Duration::from_millis(50));
    });
}

/// A target that lacked the weights that one request required got no other requests either.
#[test]
fn target_with_other_weights_stays_in_service() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, before| match before {
            0 => TargetBehavior::OtherVersion,
            _ => TargetBehavior::Whole(200, "sent"),
        }));
        let gateway = site.gateway("vm1").await;
        // Not idempotent: it may be sent elsewhere because it has not run.
        let response = gateway.forward(request("r1", "/notice/1")).await;
        assert_eq!(read(response).await, ("sent".to_owned(), true));
        let seen = site.targets.seen.borrow().clone();
        assert_eq!(seen.len(), 2);
        assert_ne!(seen[0].target, seen[1].target);
        assert!(reached_targets(&site, &gateway, "a").await.contains(&seen[0].target));
    });
}

/// No target has the weights that the request requires.
#[test]
fn request_refused_for_its_version_by_all_targets_has_not_run() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::OtherVersion));
        let gateway = site.gateway("vm1").await;
        let refusal = gateway.forward(request("r1", "/notice/1")).await.err().unwrap();
        assert!(refusal.reason.is_not_run(), "{refusal:?}");
        assert_eq!(site.targets.seen.borrow().len(), 3, "each target refuses once");
    });
}
