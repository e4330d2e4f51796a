//! Tests of prompt parts that crash targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::connections::SendError;
use crate::gateway::forward::ResponseBody;
use crate::gateway::request::{ForwardedRequest, PromptPart, TokenDemand};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, request, run};

const DEADLY_PART: u64 = 0xdead;
const SHARED_PART: u64 = 0x5a;

fn prompt_request(id: &str, path: &str, parts: &[u64]) -> ForwardedRequest {
    let own_part = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let parts = parts.iter().chain([&own_part]).map(|id| PromptPart { id: *id, tokens: 100 });
    let demand = TokenDemand { prompt_tokens: 300, most_output_tokens: 80, parts: parts.collect() };
    ForwardedRequest { demand: Some(demand), ..request(id, path) }
}

/// Targets that end without an answer when a request with the deadly part reaches them, and start again.
fn crashing_site() -> FakeSite {
    let targets = FakeTargets::open(|seen, _| {
        if seen.parts.contains(&DEADLY_PART) {
            TargetBehavior::Fails(SendError::Lost("reset".to_owned()))
        } else {
            TargetBehavior::Events(3, true)
        }
    });
    FakeSite::open(targets)
}

// Five crashes, three seconds to notice them, and three requests more.
#[test]
fn requests_with_part_that_crashes_targets_stop_reaching_targets() {
    run(async {
        let site = crashing_site();
        let gateway = site.gateway("vm1").await;
        let served = Rc::new(Cell::new(0));
        let mut fifth_crash = None;
        let mut late = 0;
        let mut seen_crashes = 0;
        for step in 0..400 {
            let is_deadly = step % 8 == 7;
            let parts: &[u64] =
                if is_deadly { &[SHARED_PART, DEADLY_PART] } else { &[SHARED_PART] };
            let request = prompt_request(&format!("r{step}"), "/chat/1", parts);
            let (gateway, served) = (gateway.clone(), Rc::clone(&served));
            tokio::task::spawn_local(async move {
                if let Ok(response) = gateway.forward(request).await
                    && let ResponseBody::Chunks(mut chunks) = response.body
                    && chunks.recv().await.is_some_and(|chunk| chunk.is_ok())
                {
                    served.set(served.get() + 1);
                    while let Some(Ok(_)) = chunks.recv().await {}
                }
            });
            tokio::time::sleep(Duration::from_millis(40)).await;
            let now = tokio::time::Instant::now();
            let crashes: Vec<_> = {
                let seen = site.targets.seen.borrow();
                let crashed = seen.iter().filter(|attempt| attempt.parts.contains(&DEADLY_PART));
                crashed.map(|attempt| attempt.target.clone()).collect()
            };
            for target in &crashes[seen_crashes..] {
                site.store.remove("targets", target);
                site.store.put("targets", &format!("s{step}"), b"ready");
                if fifth_crash.is_some_and(|at| now > at + Duration::from_secs(3)) {
                    late += 1;
                }
            }
            seen_crashes = crashes.len();
            if seen_crashes >= 5 {
                fifth_crash = fifth_crash.or(Some(now));
            }
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(late <= 3, "{late} requests with the part, {seen_crashes} crashes");
        assert!(served.get() >= 347, "{} of 350 sound requests were served", served.get());
    });
}
