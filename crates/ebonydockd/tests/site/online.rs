//! Tests of online requests under failure, with real daemon processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use ebonydock::{Change, DataCentreId, KeyHash};
use ebonydock_standins::{
    EngineShape, StreamEnd, caller_key, chat_body, chat_prompt, expected_text,
};
use futures_util::future::join_all;
use ntex::http::Method;
use serde_json::Value;

use crate::support::{MODEL, Site, fast_engine, workspace};

fn content_of(response: &Value) -> &str {
    response["choices"][0]["message"]["content"].as_str().unwrap_or_default()
}

/// Returns the text of a streamed response and whether the response is complete.
async fn stream(site: &Site, vm: usize, name: &str, content: &str, tokens: u32) -> (String, bool) {
    let address = site.vms[vm].callers;
    let response =
        site.client.stream_question(address, &caller_key(name), MODEL, content, tokens).await;
    (response.text, response.end == StreamEnd::Done)
}

#[ntex::test]
async fn stream_resumes_after_engine_restart() {
    let site = Site::open(&["celje"], 2, &[fast_engine(), fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 100.0, 100.0)]).await;
    let restart_engine = async {
        site.wait_until("an engine works", async || {
            site.engines.iter().any(|(_, engine)| engine.running() > 0)
        })
        .await;
        ntex::time::sleep(Duration::from_millis(150)).await;
        for (_, engine) in site.engines.iter().filter(|(_, engine)| engine.running() > 0) {
            engine.restart();
        }
    };
    let response = stream(&site, 0, "zlatnik", "resize?", 100);
    let ((text, is_complete), ()) = futures_util::future::join(response, restart_engine).await;
    assert!(is_complete);
    assert_eq!(text, expected_text(&chat_prompt("resize?"), 100));
}

/// Guards against an engine that mixes up the events of concurrent responses: a caller gets its own
/// response or an error, never another caller's text.
#[ntex::test]
async fn swapped_responses_are_not_delivered() {
    let site = Site::open(&["celje"], 1, &[fast_engine(), fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    site.engines[0].1.set_swap_responses(true);
    let questions: Vec<String> = (0..24).map(|index| format!("question {index}")).collect();
    let address = site.vms[0].callers;
    let responses = join_all(questions.iter().map(|q| site.chat(address, "zlatnik", q, 20))).await;
    for (question, (status, response)) in questions.iter().zip(responses) {
        if status == 200 {
            assert_eq!(content_of(&response), expected_text(&chat_prompt(question), 20));
        }
    }
}

#[ntex::test]
async fn withdrawn_key_is_refused_by_all_vms() {
    let site = Site::open(&["celje", "ptuj"], 2, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 100.0, 100.0), workspace("association", 100.0, 100.0)])
        .await;
    let withdraw = async {
        site.wait_until("an engine works", async || {
            site.engines.iter().any(|(_, engine)| engine.running() > 1)
        })
        .await;
        let began = Instant::now();
        site.apply_changes(0, vec![Change::WithdrawKey(KeyHash::of(&caller_key("zlatnik")))]).await;
        for vm in 0..site.vms.len() {
            site.wait_until("the key is refused", async || {
                site.get(vm, "/v1/models", "zlatnik").await.0 == 401
            })
            .await;
        }
        began.elapsed()
    };
    // Two responses that take over ten seconds: one ends when its key is withdrawn, the other goes
    // on.
    let withdrawn_stream = stream(&site, 0, "zlatnik", "long", 2000);
    let valid_stream = stream(&site, 0, "association", "long", 2000);
    let (withdrawal_time, withdrawn_stream, valid_stream) =
        futures_util::future::join3(withdraw, withdrawn_stream, valid_stream).await;
    assert!(withdrawal_time < Duration::from_secs(3), "{withdrawal_time:?}");
    assert!(!withdrawn_stream.1, "the response to the withdrawn key is complete");
    assert!(valid_stream.1 && valid_stream.0 == expected_text(&chat_prompt("long"), 2000));
    assert!(!site.logs().contains(&caller_key("zlatnik")), "a key was logged");
}

#[ntex::test]
async fn data_centre_leaves_and_reenters_service() {
    let site = Site::open(&["celje", "ptuj"], 2, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    let chat = async |vm: usize| site.chat(site.vms[vm].callers, "zlatnik", "ready?", 2).await.0;
    site.apply_changes(2, vec![Change::DataCentreOut(DataCentreId::from("celje"))]).await;
    ntex::time::sleep(Duration::from_secs(3)).await;
    let before = site.engines[0].1.counters().requests;
    for round in 0..40 {
        // VMs of the data centre that is out of service forward their requests.
        assert_eq!(chat(round % 4).await, 200);
    }
    assert_eq!(site.engines[0].1.counters().requests, before);
    let (ready, _) = site.get(0, "/readyz", "zlatnik").await;
    assert_eq!(ready, 503);
    site.apply_changes(2, vec![Change::DataCentreBack(DataCentreId::from("celje"))]).await;
    site.wait_until("the data centre serves again", async || {
        chat(0).await;
        site.engines[0].1.counters().requests > before
    })
    .await;
}

#[ntex::test]
async fn planned_stop_completes_running_requests() {
    let mut site = Site::open(&["celje"], 3, &[fast_engine(), fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 100.0, 100.0)]).await;
    let responses = join_all((0..3).map(|vm| stream(&site, vm, "zlatnik", "long", 800)));
    let stop = async {
        ntex::time::sleep(Duration::from_millis(500)).await;
        // Stopping two of three VMs is likely to stop the VM that schedules the pool.
        site.vms[0].signal("-TERM");
        site.vms[1].signal("-TERM");
    };
    let (responses, ()) = futures_util::future::join(responses, stop).await;
    for (text, is_complete) in responses {
        assert!(is_complete, "a response is incomplete");
        assert_eq!(text, expected_text(&chat_prompt("long"), 800));
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while !(site.vms[0].has_ended() && site.vms[1].has_ended()) {
        assert!(Instant::now() < deadline, "a stopped VM did not exit");
        ntex::time::sleep(Duration::from_millis(50)).await;
    }
    let (status, _) = site.chat(site.vms[2].callers, "zlatnik", "ready?", 2).await;
    assert_eq!(status, 200);
}

/// Guards against VMs that together send a cold engine more sequences than it accepts, which makes
/// it restart.
#[ntex::test]
async fn cold_start_is_not_overloaded() {
    let shape = EngineShape { starts_cold: true, cold_ms: 3000, ..fast_engine() };
    let site = Site::open(&["celje"], 2, &[shape.clone(), shape]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    for round in 0..3 {
        let address = site.vms[round % 2].callers;
        let burst = (0..30).map(|_| site.chat(address, "zlatnik", "ready?", 10));
        join_all(burst).await;
        // No response runs at the engine, so no broken response reveals this restart to the VMs.
        site.engines[round % 2].1.restart();
    }
    for (_, engine) in &site.engines {
        let counters = engine.counters();
        assert_eq!(counters.overloads, 0, "{counters:?}");
    }
}

/// Guards against VMs that together admit more than a workspace's rate and burst.
#[ntex::test]
async fn workspace_rate_is_not_exceeded() {
    let mut site = Site::open(&["celje", "ptuj"], 2, &[fast_engine(), fast_engine()]).await;
    let (rate, burst) = (20.0, 20.0);
    site.configure(&[workspace("zlatnik", rate, burst)]).await;
    // Callers at every VM send requests as fast as they can while one VM is paused.
    let began = Instant::now();
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.callers).collect();
    let paused = site.vms[1].pid().to_string();
    let shared = &site;
    let senders = addresses.iter().flat_map(|address| (0..4).map(move |_| *address)).map(
        |address| async move {
            let mut admitted = 0;
            while began.elapsed() < Duration::from_secs(8) {
                let chat = shared.chat(address, "zlatnik", "ready?", 1);
                let limited = ntex::time::timeout(Duration::from_secs(2), chat).await;
                match limited {
                    Ok((200, _)) => admitted += 1,
                    _ => ntex::time::sleep(Duration::from_millis(5)).await,
                }
            }
            admitted
        },
    );
    let faults = async {
        let signal = |name: &str| std::process::Command::new("kill").args([name, &paused]).status();
        ntex::time::sleep(Duration::from_secs(2)).await;
        signal("-STOP").unwrap();
        ntex::time::sleep(Duration::from_millis(2500)).await;
        signal("-CONT").unwrap();
    };
    let (admitted, ()) = futures_util::future::join(join_all(senders), faults).await;
    let admitted: u32 = admitted.iter().sum();
    let max_admitted = rate * began.elapsed().as_secs_f64() + burst;
    assert!(f64::from(admitted) <= max_admitted, "{admitted} of at most {max_admitted}");
    assert!(f64::from(admitted) > rate, "too few requests were admitted: {admitted}");
    site.vms[1].kill();
}

#[ntex::test]
async fn online_requests_survive_platform_outage() {
    let mut site = Site::open(&["celje"], 2, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 100.0, 100.0)]).await;
    site.platform_proxy.set_fault(ebonydock_standins::ProxyFault::Partition);
    let seeds: Vec<_> = site.vms.iter().map(|vm| (vm.name.clone(), vm.peers)).collect();
    site.start_vm("celje-new", "celje", &seeds);
    let address = site.vms[2].callers;
    site.client.wait_until_serving(address, crate::support::TIMEOUT).await.unwrap();
    for vm in 0..3 {
        site.wait_until("the VM answers", async || {
            site.chat(site.vms[vm].callers, "zlatnik", "ready?", 2).await.0 == 200
        })
        .await;
    }
    // A call that needs the table is refused and doesn't run.
    let (status, refusal) = site.send_notice(0, Some("pickup-1"), "while down").await;
    assert_eq!((status, &refusal["error"]["not_run"]), (503, &Value::Bool(true)));
    assert_eq!(site.deliveries("while down"), 0);
    let (status, _) = site.send_notice(0, None, "without a name").await;
    assert_eq!((status, site.deliveries("without a name")), (200, 1));
}

#[ntex::test]
async fn bad_input_is_rejected() {
    let site = Site::open(&["celje"], 1, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    let chat = "/v1/chat/completions";
    let large = "x".repeat(2 * 1024 * 1024);
    let question = |model: &str| String::from_utf8(chat_body(model, "hi", 2, false)).unwrap();
    let cases: Vec<(&str, &str, String, u16, &str)> = vec![
        (chat, "zlatnik", "{".to_owned(), 400, "bad_request"),
        (chat, "zlatnik", "[1, 2]".to_owned(), 400, "bad_request"),
        (chat, "zlatnik", "\u{0}\u{1}".to_owned(), 400, "bad_request"),
        (chat, "zlatnik", large, 413, "too_large"),
        (chat, "zlatnik", question("unknown"), 403, "not_allowed"),
        (chat, "nobody", question(MODEL), 401, "invalid_key"),
        ("/v1/nothing", "zlatnik", String::new(), 404, "not_found"),
        ("/v1/batches", "zlatnik", String::new(), 400, "bad_request"),
        ("/v1/batches?name=a/b", "zlatnik", String::new(), 400, "bad_request"),
        ("/v1/batches?name=a", "zlatnik", "not json\n".to_owned(), 400, "bad_request"),
        ("/v1/batches?name=a", "zlatnik", String::new(), 400, "bad_request"),
        ("/services/notices/other", "zlatnik", String::new(), 403, "not_allowed"),
        ("/services/unknown/send", "zlatnik", String::new(), 403, "not_allowed"),
    ];
    for (path, name, body, status, code) in cases {
        let (seen, text) = site.post(0, path, name, body).await;
        let refusal: Value = serde_json::from_str(&text).unwrap_or_default();
        assert_eq!(
            (seen, refusal["error"]["code"].as_str()),
            (status, Some(code)),
            "{path}: {text}"
        );
        assert_eq!(refusal["error"]["not_run"], Value::Bool(true), "{path}");
    }
    let names: Vec<String> = (0..200).map(|index| format!("x-header-{index}")).collect();
    let headers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "1")).collect();
    let url = format!("http://{}{chat}", site.vms[0].callers);
    let (status, _) = site.client.call(Method::POST, url, None, &headers, question(MODEL)).await;
    assert!(status == 0 || status >= 400, "{status}");
    // The VM closed the connection of the request with too many headers, and the client may still
    // hold it for the next request.
    site.wait_until("the VM still answers", async || {
        site.chat(site.vms[0].callers, "zlatnik", "still there?", 2).await.0 == 200
    })
    .await;
}

/// Sends a body in pieces and returns all that the VM answers, or the error of the connection.
fn send_slowly(address: SocketAddr, path: &str) -> std::io::Result<String> {
    const PIECES: usize = 8;
    let piece = vec![b'x'; 64 * 1024];
    let mut stream = TcpStream::connect(address)?;
    let length = PIECES * piece.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer unknown\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for _ in 0..PIECES {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(&piece)?;
    }
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

#[ntex::test]
async fn refusal_is_not_lost_while_body_is_sent() {
    let site = Site::open(&["celje"], 1, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    let vm = &site.vms[0];
    for (address, path) in [
        (vm.callers, "/v1/chat/completions"),
        (vm.callers, "/v1/batches?name=a"),
        (vm.callers, "/services/notices/send"),
        (vm.operators, "/operator/v1/changes"),
    ] {
        let response = send_slowly(address, path);
        let response = response.unwrap_or_else(|error| panic!("{path}: {error}"));
        assert!(response.starts_with("HTTP/1.1 401 "), "{path}: {response}");
    }
}

#[ntex::test]
async fn daemon_spawns_no_process_and_uses_no_io_uring() {
    let site = Site::open(&["celje"], 1, &[fast_engine()]).await;
    site.configure(&[workspace("zlatnik", 1000.0, 1000.0)]).await;
    let (status, _) = site.chat(site.vms[0].callers, "zlatnik", "ready?", 2).await;
    assert_eq!(status, 200);
    let process = std::path::PathBuf::from(format!("/proc/{}", site.vms[0].pid()));
    for task in std::fs::read_dir(process.join("task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children"));
        assert_eq!(children.unwrap_or_default(), "");
    }
    for file in std::fs::read_dir(process.join("fd")).unwrap() {
        let link = std::fs::read_link(file.unwrap().path()).unwrap_or_default();
        assert!(!link.to_string_lossy().contains("io_uring"), "{}", link.display());
    }
}
