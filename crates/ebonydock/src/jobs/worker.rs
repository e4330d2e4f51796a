//! Running the items of a chunk.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use ntex::util::Bytes;

use crate::clock::{monotonic, unix_seconds};
use crate::entry::prompt::prompt_of;
use crate::ids::{AttemptId, ObjectName};
use crate::jobs::acceptance::put_object;
use crate::jobs::messages::{ChunkOrder, ChunkReport};
use crate::jobs::{ItemLine, ItemResult, ItemStatus};
use crate::platform::{PlatformError, PlatformResult};
use crate::routing::{AnswerError, AnswerRequest, AnswerSession};
use crate::scheduling::RequestClass;
use crate::targets::TokenEvent;
use crate::vm::VmContext;

const ITEM_WAIT: Duration = Duration::from_secs(30);
const READ_TRIES: usize = 10;
const PAUSE: Duration = Duration::from_millis(300);
/// How often an item without a capable target is tried again before it fails.
const NO_TARGET_TRIES: usize = 20;

/// Runs a chunk and writes its results as one object. Dropping the future cancels its items.
pub(crate) async fn run_chunk(
    context: &Rc<VmContext>,
    order: &ChunkOrder,
) -> PlatformResult<ChunkReport> {
    let input = read_input(context, &order.input).await?;
    let lines: Vec<&[u8]> = input.split(|byte| *byte == b'\n').filter(|l| !l.is_empty()).collect();
    let parallel = context.settings().jobs.parallel_items;
    let results: Vec<ItemResult> = stream::iter(lines)
        .map(|line| run_line(context, order, line))
        .buffered(parallel)
        .collect()
        .await;
    let completed = results.iter().filter(|r| r.status == ItemStatus::Completed).count();
    let mut body = Vec::new();
    for result in &results {
        body.extend(serde_json::to_vec(result).unwrap_or_default());
        body.push(b'\n');
    }
    let attempt = AttemptId::random();
    let ChunkOrder { workspace, job, chunk, .. } = order;
    let name = format!("jobs/{workspace}/{job}/out-{chunk}-{}", attempt.as_str());
    let output = ObjectName::from(name);
    put_results(context, &output, Bytes::from(body)).await?;
    let failed = (results.len() - completed) as u32;
    Ok(ChunkReport { output, completed: completed as u32, failed })
}

async fn read_input(context: &VmContext, name: &ObjectName) -> PlatformResult<Bytes> {
    let mut last = PlatformError::Unavailable("not tried".to_owned());
    for _ in 0..READ_TRIES {
        match context.objects.get(name).await {
            Ok(body) => return Ok(body),
            Err(error) => last = error,
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(last)
}

/// Keeps finished results until the object store takes them, however long it is down.
async fn put_results(context: &VmContext, name: &ObjectName, body: Bytes) -> PlatformResult<()> {
    loop {
        match put_object(context, name, body.clone()).await {
            Err(PlatformError::Unavailable(_)) => tokio::time::sleep(PAUSE).await,
            result => return result,
        }
    }
}

async fn run_line(context: &Rc<VmContext>, order: &ChunkOrder, line: &[u8]) -> ItemResult {
    let item: ItemLine = match serde_json::from_slice(line) {
        Ok(item) => item,
        Err(error) => return failed(String::new(), error.to_string()),
    };
    let prompt = match prompt_of(item.body.prompt.as_deref(), &item.body.messages) {
        Ok(prompt) => prompt,
        Err(message) => return failed(item.custom_id, message),
    };
    let request = AnswerRequest {
        class: RequestClass::Batch,
        workspace: order.workspace.clone(),
        key: None,
        model: item.body.model,
        prompt,
        max_tokens: item.body.max_tokens.unwrap_or(context.settings().online.default_tokens),
        wait: ITEM_WAIT,
        order: order.due.cast_signed(),
    };
    let started = monotonic();
    match run_item(context, &request).await {
        Ok(session) => {
            let took = monotonic().saturating_sub(started);
            let metrics = &context.shared.metrics;
            metrics.record_response(RequestClass::Batch, &order.workspace, took, session.tokens());
            ItemResult {
                custom_id: item.custom_id,
                status: ItemStatus::Completed,
                text: Some(session.text().to_owned()),
                error: None,
                tokens: session.tokens(),
            }
        }
        Err(error) => {
            let late = unix_seconds() > order.due;
            log::info!("jobs: Item `{}` failed (late: {late}): {error}.", item.custom_id);
            failed(item.custom_id, error.to_string())
        }
    }
}

fn failed(custom_id: String, error: String) -> ItemResult {
    let status = ItemStatus::Failed;
    ItemResult { custom_id, status, text: None, error: Some(error), tokens: 0 }
}

/// Runs an item to its end. Being busy is no failure: batch waits for as long as it takes.
async fn run_item(
    context: &Rc<VmContext>,
    request: &AnswerRequest,
) -> Result<AnswerSession, AnswerError> {
    let mut session = AnswerSession::open(context, request.clone());
    let mut without_target = 0;
    loop {
        match session.next().await {
            Ok(TokenEvent::Token(_)) => {}
            Ok(TokenEvent::Done(_)) => return Ok(session),
            Err(AnswerError::Busy) => tokio::time::sleep(PAUSE).await,
            Err(AnswerError::NoTarget) if without_target < NO_TARGET_TRIES => {
                without_target += 1;
                tokio::time::sleep(PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
}
