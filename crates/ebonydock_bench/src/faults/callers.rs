//! Callers and operators of a run: online answers, notices and changes of the configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock::{Change, ConfigVersion, EditBody, PlanName, WorkspaceEntry, WorkspaceId};
use ebonydock_standins::{StreamEnd, StreamedResponse, caller_key, chat_prompt, expected_text};
use ntex::http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::faults::books::NoticeRecord;
use crate::faults::{FaultRun, MODEL};

const TOKENS: u32 = 24;
/// Some answers take longer than a stopping VM waits to be noticed.
const LONG_TOKENS: u32 = 400;
const LONG_CALLERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(30);
const NOTICE_TRIES: usize = 6;
const RESEND_PAUSE: Duration = Duration::from_millis(300);
const EDIT_PAUSE: Duration = Duration::from_secs(1);
const WATCH_PAUSE: Duration = Duration::from_millis(100);
const VERSION_LIMIT: Duration = Duration::from_secs(20);

impl FaultRun {
    pub(crate) fn random(&self, part: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003) + part)
    }

    /// A VM for the next request; waits while none serves.
    pub(crate) async fn pick(&self, random: &mut SmallRng) -> SocketAddr {
        loop {
            let picked = self.books.borrow().pick(random);
            if let Some(address) = picked {
                return address;
            }
            ntex::time::sleep(PAUSE).await;
        }
    }

    fn was_seen(&self, prompt: &str) -> bool {
        let site = self.site.borrow();
        let mut engines = site.engines.iter().filter_map(|engine| engine.engine.as_ref());
        engines.any(|engine| engine.has_seen(prompt))
    }

    /// Where the VM that serves callers at an address serves operators.
    fn operators_of(&self, callers: SocketAddr) -> Option<SocketAddr> {
        let site = self.site.borrow();
        let index = (0..site.vms.len()).find(|index| site.callers(*index) == Some(callers))?;
        site.operators(index)
    }

    async fn version_at(&self, callers: SocketAddr) -> Option<u64> {
        let operators = self.operators_of(callers)?;
        let (status, text) = self.client.operate(operators, "/operator/v1/status", None).await;
        let status = status.is_success().then(|| serde_json::from_str::<Value>(&text).ok())??;
        status["config_version"].as_u64()
    }
}

/// Asks streamed questions, one after the other.
pub(crate) async fn ask(run: &Rc<FaultRun>, caller: usize) {
    let mut random = run.random(caller as u64);
    let began = Instant::now();
    let tokens = if caller < LONG_CALLERS { LONG_TOKENS } else { TOKENS };
    let mut number = 0;
    while began.elapsed() < run.length {
        number += 1;
        let address = run.pick(&mut random).await;
        let question = format!("question {caller}-{number}");
        let answer = run
            .client
            .stream_question(address, &caller_key("zlatnik"), MODEL, &question, tokens)
            .await;
        book_answer(run, address, &question, tokens, &answer);
        ntex::time::sleep(PAUSE).await;
    }
}

fn book_answer(
    run: &FaultRun,
    address: SocketAddr,
    question: &str,
    tokens: u32,
    answer: &StreamedResponse,
) {
    let prompt = chat_prompt(question);
    let seen = run.was_seen(&prompt);
    let mut books = run.books.borrow_mut();
    match &answer.end {
        StreamEnd::Done if answer.text == expected_text(&prompt, tokens) => {
            books.counts.answers += 1;
        }
        StreamEnd::Done => books.breach(format!("`{question}` got another answer")),
        StreamEnd::Refused(_, refusal) | StreamEnd::Failed(refusal) => {
            let not_run = refusal["error"]["not_run"] == true;
            books.counts.refused += u64::from(matches!(answer.end, StreamEnd::Refused(..)));
            books.counts.failed += u64::from(matches!(answer.end, StreamEnd::Failed(_)));
            books.counts.not_run += u64::from(not_run);
            if not_run && seen {
                books.breach(format!("`{question}` was run: {refusal}"));
            }
        }
        StreamEnd::Interrupted(_) if books.lost.contains(&address) => {
            books.counts.lost_with_vm += 1;
        }
        StreamEnd::Interrupted(error) => {
            books.breach(format!("`{question}` was cut at {address}: {error}"));
        }
    }
}

/// Sends notices; most have a key and are sent again until their outcome is known.
pub(crate) async fn notify(run: &Rc<FaultRun>, caller: usize) {
    let mut random = run.random(100 + caller as u64);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < run.length {
        number += 1;
        let body = format!("notice {caller}-{number}");
        let named = number % 3 != 0;
        let mut record = NoticeRecord { body, acknowledged: false, never_run: true };
        for _ in 0..if named { NOTICE_TRIES } else { 1 } {
            let known = send(run, &mut random, &mut record, named).await;
            if known {
                break;
            }
            ntex::time::sleep(RESEND_PAUSE).await;
        }
        run.books.borrow_mut().add_notice(record);
        ntex::time::sleep(3 * PAUSE).await;
    }
}

/// Sends a notice once. Returns whether its outcome is known.
async fn send(
    run: &FaultRun,
    random: &mut SmallRng,
    record: &mut NoticeRecord,
    named: bool,
) -> bool {
    let address = run.pick(random).await;
    let name = record.body.replace(' ', "-");
    let mut headers = vec![("content-type", "text/plain")];
    if named {
        headers.push(("idempotency-key", name.as_str()));
    }
    let url = format!("http://{address}/services/notices/send/pickup");
    let key = caller_key("zlatnik");
    let body = record.body.clone();
    let (status, text) = run.client.call(Method::POST, url, Some(&key), &headers, body).await;
    let reply: Value = serde_json::from_str(&text).unwrap_or_default();
    record.acknowledged |= status == 200;
    record.never_run &= reply["error"]["not_run"] == true;
    if status == 0 && !run.books.borrow().lost.contains(&address) {
        run.books.borrow_mut().breach(format!("`{}` was cut at {address}: {text}", record.body));
    }
    status == 200
}

/// Changes the configuration, racing with itself at two VMs.
pub(crate) async fn edit(run: &Rc<FaultRun>) {
    let mut random = run.random(200);
    let began = Instant::now();
    while began.elapsed() < run.length {
        let first = run.pick(&mut random).await;
        let second = run.pick(&mut random).await;
        if let Some(base) = run.version_at(first).await {
            let weight = f64::from(random.random_range(1..10u32));
            let edits = [first, second].map(|address| edit_at(run, address, base, weight));
            let accepted = futures_util::future::join_all(edits).await;
            let accepted: Vec<u64> = accepted.into_iter().flatten().collect();
            let mut books = run.books.borrow_mut();
            if accepted.len() > 1 {
                books.breach(format!("two changes of version {base} were accepted"));
            }
            for version in accepted {
                books.counts.changes += 1;
                if version <= books.accepted_version {
                    books.breach(format!("version {version} was accepted twice"));
                }
                books.accepted_version = version;
            }
        }
        ntex::time::sleep(EDIT_PAUSE).await;
    }
}

async fn edit_at(run: &FaultRun, callers: SocketAddr, base: u64, weight: f64) -> Option<u64> {
    let operators = run.operators_of(callers)?;
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
    let (status, text) = run.client.operate(operators, "/operator/v1/changes", Some(body)).await;
    let reply: Value = serde_json::from_str(&text).unwrap_or_default();
    if status.is_success() { reply["version"].as_u64() } else { None }
}

/// Watches that no VM's configuration goes back.
pub(crate) async fn watch_versions(run: &Rc<FaultRun>) {
    let began = Instant::now();
    while began.elapsed() < run.length {
        let serving = run.books.borrow().serving.clone();
        for (_, address) in serving {
            let Some(version) = run.version_at(address).await else { continue };
            let mut books = run.books.borrow_mut();
            let last = books.versions.insert(address, version).unwrap_or(0);
            if version < last {
                books.breach(format!("{address} went back from version {last} to {version}"));
            }
        }
        ntex::time::sleep(WATCH_PAUSE).await;
    }
}

/// Checks that the last accepted version is in force everywhere in the end.
pub(crate) async fn check_versions(run: &Rc<FaultRun>) {
    let accepted = run.books.borrow().accepted_version;
    let serving = run.books.borrow().serving.clone();
    let deadline = Instant::now() + VERSION_LIMIT;
    for (_, address) in serving {
        while run.version_at(address).await.is_none_or(|version| version < accepted) {
            if Instant::now() > deadline {
                let breach = format!("version {accepted} is not in force at {address}");
                run.books.borrow_mut().breach(breach);
                break;
            }
            ntex::time::sleep(WATCH_PAUSE).await;
        }
    }
}
