//! Tests of requests that still run when a planned stop ends.

use std::time::Duration;

use crate::gateway::catalog::RouteClass;
use crate::gateway::forward::RefusalReason;
use crate::gateway::tests::catalog::{config, route};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, request, run};

/// Longer than the planned stop.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const REQUESTS: usize = 40;

/// Requests that ran or waited at the end of a planned stop were cut without an answer.
#[test]
fn requests_at_the_end_of_a_planned_stop_are_refused_truthfully() {
    run(async {
        let site = FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs));
        let mut slow = route("notice", "/notice/", RouteClass::AtMostOnce);
        (slow.timeout, slow.latency_objective) = (LONG_TIMEOUT, LONG_TIMEOUT);
        site.configure(config(2, vec![slow]));
        let gateway = site.gateway("vm1").await;
        let forward = |number: usize| {
            let mut request = request(&format!("r{number}"), "/notice/1");
            request.caller_timeout = Some(LONG_TIMEOUT);
            gateway.forward(request)
        };
        // More than the targets take.
        let requests = futures_util::future::join_all((0..REQUESTS).map(forward));
        let (responses, ()) = futures_util::future::join(requests, gateway.stop()).await;
        let mut reasons: Vec<(String, RefusalReason)> = Vec::new();
        for (number, response) in responses.into_iter().enumerate() {
            reasons.push((format!("r{number}"), response.err().unwrap().reason));
        }
        let sent: Vec<String> = site.targets.seen.borrow().iter().map(|s| s.id.clone()).collect();
        assert!(!sent.is_empty() && sent.len() < REQUESTS, "{} sent", sent.len());
        for (id, reason) in reasons {
            let expected =
                if sent.contains(&id) { RefusalReason::Failed } else { RefusalReason::Stopping };
            assert_eq!(reason, expected, "{id}");
        }
        assert_eq!(site.targets.open.get(), 0, "a request still runs");
    });
}
