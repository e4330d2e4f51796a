//! Callers and operators of a run: online requests, notices and changes of the configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock::{Change, ConfigVersion, EditBody, PlanName, WorkspaceEntry, WorkspaceId};
use ebonydock_standins::{StreamEnd, StreamedResponse, caller_key, chat_prompt, expected_text};
use ntex::http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::faults::history::NoticeRecord;
use crate::faults::{FaultRun, MODEL};

const RESPONSE_TOKENS: u32 = 24;
/// Length of responses that take longer than the deregistration delay of a stopping VM.
const LONG_RESPONSE_TOKENS: u32 = 400;
const LONG_CALLERS: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
const MAX_NOTICE_ATTEMPTS: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const EDIT_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const VERSION_TIMEOUT: Duration = Duration::from_secs(20);

impl FaultRun {
    /// Returns a random number generator for one activity of the run, seeded by the run's seed and `stream`.
    pub(crate) fn rng(&self, stream: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003) + stream)
    }

    /// Returns the caller address of a random serving VM; waits while no VM serves.
    pub(crate) async fn pick_address(&self, random: &mut SmallRng) -> SocketAddr {
        loop {
            let address = self.history.borrow().pick_address(random);
            if let Some(address) = address {
                return address;
            }
            ntex::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Returns whether any engine has received `prompt`.
    fn reached_engine(&self, prompt: &str) -> bool {
        let site = self.site.borrow();
        let mut engines = site.engines.iter().filter_map(|engine| engine.engine.as_ref());
        engines.any(|engine| engine.has_seen(prompt))
    }

    /// Returns the operator address of the VM that serves callers at `caller_address`.
    fn operator_address(&self, caller_address: SocketAddr) -> Option<SocketAddr> {
        let site = self.site.borrow();
        let index =
            (0..site.vms.len()).find(|index| site.callers(*index) == Some(caller_address))?;
        site.operators(index)
    }

    async fn config_version_at(&self, caller_address: SocketAddr) -> Option<u64> {
        let operator_address = self.operator_address(caller_address)?;
        let (status, text) =
            self.client.operate(operator_address, "/operator/v1/status", None).await;
        let status = status.is_success().then(|| serde_json::from_str::<Value>(&text).ok())??;
        status["config_version"].as_u64()
    }
}

/// Sends streamed online requests one after another and checks each response.
pub(crate) async fn run_online_caller(run: &Rc<FaultRun>, caller: usize) {
    let mut random = run.rng(caller as u64);
    let start = Instant::now();
    let tokens = if caller < LONG_CALLERS { LONG_RESPONSE_TOKENS } else { RESPONSE_TOKENS };
    let mut number = 0;
    while start.elapsed() < run.length {
        number += 1;
        let address = run.pick_address(&mut random).await;
        let question = format!("question {caller}-{number}");
        let response = run
            .client
            .stream_question(address, &caller_key("zlatnik"), MODEL, &question, tokens)
            .await;
        record_response(run, address, &question, tokens, &response);
        ntex::time::sleep(REQUEST_INTERVAL).await;
    }
}

fn record_response(
    run: &FaultRun,
    address: SocketAddr,
    question: &str,
    tokens: u32,
    response: &StreamedResponse,
) {
    let prompt = chat_prompt(question);
    let reached_engine = run.reached_engine(&prompt);
    let mut history = run.history.borrow_mut();
    match &response.end {
        StreamEnd::Done if response.text == expected_text(&prompt, tokens) => {
            history.counts.responses += 1;
        }
        StreamEnd::Done => history
            .record_violation(format!("`{question}` received a text other than the engine's")),
        StreamEnd::Refused(_, refusal) | StreamEnd::Failed(refusal) => {
            let not_run = refusal["error"]["not_run"] == true;
            history.counts.refused += u64::from(matches!(response.end, StreamEnd::Refused(..)));
            history.counts.failed += u64::from(matches!(response.end, StreamEnd::Failed(_)));
            history.counts.not_run += u64::from(not_run);
            if not_run && reached_engine {
                history.record_violation(format!(
                    "an engine received `{question}`, which was reported as not run: {refusal}"
                ));
            }
        }
        StreamEnd::Interrupted(_) if history.lost.contains(&address) => {
            history.counts.lost_with_vm += 1;
        }
        StreamEnd::Interrupted(error) => {
            history.record_violation(format!(
                "the connection for `{question}` broke at {address}, a VM that was not lost: \
                 {error}"
            ));
        }
    }
}

/// Sends notices. Two of three have an idempotency key and are retried until they are
/// acknowledged, with at most `MAX_NOTICE_ATTEMPTS` attempts.
pub(crate) async fn run_notice_caller(run: &Rc<FaultRun>, caller: usize) {
    let mut random = run.rng(100 + caller as u64);
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < run.length {
        number += 1;
        let body = format!("notice {caller}-{number}");
        let has_key = number % 3 != 0;
        let mut record = NoticeRecord { body, acknowledged: false, never_run: true };
        for _ in 0..if has_key { MAX_NOTICE_ATTEMPTS } else { 1 } {
            let is_known = send_notice(run, &mut random, &mut record, has_key).await;
            if is_known {
                break;
            }
            ntex::time::sleep(RETRY_DELAY).await;
        }
        run.history.borrow_mut().add_notice(record);
        ntex::time::sleep(3 * REQUEST_INTERVAL).await;
    }
}

/// Sends a notice once and records the response. Returns whether it was acknowledged.
async fn send_notice(
    run: &FaultRun,
    random: &mut SmallRng,
    record: &mut NoticeRecord,
    has_key: bool,
) -> bool {
    let address = run.pick_address(random).await;
    let name = record.body.replace(' ', "-");
    let mut headers = vec![("content-type", "text/plain")];
    if has_key {
        headers.push(("idempotency-key", name.as_str()));
    }
    let url = format!("http://{address}/services/notices/send/pickup");
    let key = caller_key("zlatnik");
    let body = record.body.clone();
    let (status, text) = run.client.call(Method::POST, url, Some(&key), &headers, body).await;
    let reply: Value = serde_json::from_str(&text).unwrap_or_default();
    record.acknowledged |= status == 200;
    record.never_run &= reply["error"]["not_run"] == true;
    if status == 0 && !run.history.borrow().lost.contains(&address) {
        run.history.borrow_mut().record_violation(format!(
            "the connection for `{}` broke at {address}, a VM that was not lost: {text}",
            record.body
        ));
    }
    status == 200
}

/// Sends two concurrent changes of the same base version to two VMs; at most one may be accepted.
pub(crate) async fn run_config_editor(run: &Rc<FaultRun>) {
    let mut random = run.rng(200);
    let start = Instant::now();
    while start.elapsed() < run.length {
        let first = run.pick_address(&mut random).await;
        let second = run.pick_address(&mut random).await;
        if let Some(base) = run.config_version_at(first).await {
            let weight = f64::from(random.random_range(1..10u32));
            let edits = [first, second].map(|address| submit_edit(run, address, base, weight));
            let accepted = futures_util::future::join_all(edits).await;
            let accepted: Vec<u64> = accepted.into_iter().flatten().collect();
            let mut history = run.history.borrow_mut();
            if accepted.len() > 1 {
                history
                    .record_violation(format!("two changes based on version {base} were accepted"));
            }
            for version in accepted {
                history.counts.changes += 1;
                if version <= history.accepted_version {
                    history.record_violation(format!(
                        "version {version} was accepted but is not newer than the last one"
                    ));
                }
                history.accepted_version = version;
            }
        }
        ntex::time::sleep(EDIT_INTERVAL).await;
    }
}

async fn submit_edit(
    run: &FaultRun,
    caller_address: SocketAddr,
    base: u64,
    weight: f64,
) -> Option<u64> {
    let operator_address = run.operator_address(caller_address)?;
    let entry = WorkspaceEntry {
        workspace: WorkspaceId::from("association"),
        plan: PlanName::from("standard"),
        rate: 200.0,
        burst: 400.0,
        weight,
    };
    let changes = vec![Change::SetWorkspace(entry)];
    let body = EditBody { base_version: ConfigVersion(base), changes };
    let body = serde_json::to_vec(&body).ok()?;
    let (status, text) =
        run.client.operate(operator_address, "/operator/v1/changes", Some(body)).await;
    let reply: Value = serde_json::from_str(&text).unwrap_or_default();
    if status.is_success() { reply["version"].as_u64() } else { None }
}

/// Checks during the run that no VM returns to an older configuration version.
pub(crate) async fn watch_versions(run: &Rc<FaultRun>) {
    let start = Instant::now();
    while start.elapsed() < run.length {
        let serving = run.history.borrow().serving.clone();
        for (_, address) in serving {
            let Some(version) = run.config_version_at(address).await else { continue };
            let mut history = run.history.borrow_mut();
            let last = history.versions.insert(address, version).unwrap_or(0);
            if version < last {
                history.record_violation(format!(
                    "{address} went back from version {last} to {version}"
                ));
            }
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that the last accepted version becomes active on every serving VM within `VERSION_TIMEOUT`.
pub(crate) async fn check_versions(run: &Rc<FaultRun>) {
    let accepted = run.history.borrow().accepted_version;
    let serving = run.history.borrow().serving.clone();
    let deadline = Instant::now() + VERSION_TIMEOUT;
    for (_, address) in serving {
        while run.config_version_at(address).await.is_none_or(|version| version < accepted) {
            if Instant::now() > deadline {
                let violation = format!(
                    "version {accepted} is not active at {address} after {VERSION_TIMEOUT:?}"
                );
                run.history.borrow_mut().record_violation(violation);
                break;
            }
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}
