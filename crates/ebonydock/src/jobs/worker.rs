//! Runs the items of a chunk.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use ntex::util::Bytes;

use crate::clock::{monotonic, unix_seconds};
use crate::entry::prompt::prompt_of;
use crate::ids::{AttemptId, ObjectName};
use crate::jobs::acceptance::put_object;
use crate::jobs::messages::{ChunkReport, ChunkRequest};
use crate::jobs::{ItemLine, ItemResult, ItemStatus};
use crate::platform::{PlatformError, PlatformResult};
use crate::routing::{InferenceError, InferenceRequest, InferenceSession};
use crate::scheduling::RequestClass;
use crate::targets::TokenEvent;
use crate::vm::VmContext;

const MAX_ITEM_WAIT: Duration = Duration::from_secs(30);
const MAX_READ_ATTEMPTS: usize = 10;
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retries of an item without a capable target before it fails.
const MAX_NO_TARGET_RETRIES: usize = 20;

/// Runs a chunk and writes its results as one object. Dropping the future cancels the items.
pub(crate) async fn run_chunk(
    context: &Rc<VmContext>,
    chunk_request: &ChunkRequest,
) -> PlatformResult<ChunkReport> {
    let input = read_input(context, &chunk_request.input).await?;
    let lines: Vec<&[u8]> = input.split(|byte| *byte == b'\n').filter(|l| !l.is_empty()).collect();
    let parallel = context.settings().jobs.parallel_items;
    let results: Vec<ItemResult> = stream::iter(lines)
        .map(|line| run_item_line(context, chunk_request, line))
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
    let ChunkRequest { workspace, job, chunk, .. } = chunk_request;
    let name = format!("jobs/{workspace}/{job}/out-{chunk}-{}", attempt.as_str());
    let output = ObjectName::from(name);
    put_results(context, &output, Bytes::from(body)).await?;
    let failed = (results.len() - completed) as u32;
    Ok(ChunkReport { output, completed: completed as u32, failed })
}

async fn read_input(context: &VmContext, name: &ObjectName) -> PlatformResult<Bytes> {
    let mut last_error = PlatformError::Unavailable("not tried".to_owned());
    for _ in 0..MAX_READ_ATTEMPTS {
        match context.objects.get(name).await {
            Ok(body) => return Ok(body),
            Err(error) => last_error = error,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}

/// Writes finished results, retrying for as long as the object store is unavailable.
async fn put_results(context: &VmContext, name: &ObjectName, body: Bytes) -> PlatformResult<()> {
    loop {
        match put_object(context, name, body.clone()).await {
            Err(PlatformError::Unavailable(_)) => tokio::time::sleep(RETRY_DELAY).await,
            result => return result,
        }
    }
}

async fn run_item_line(
    context: &Rc<VmContext>,
    chunk_request: &ChunkRequest,
    line: &[u8],
) -> ItemResult {
    let item: ItemLine = match serde_json::from_slice(line) {
        Ok(item) => item,
        Err(error) => return failed_result(String::new(), error.to_string()),
    };
    let prompt = match prompt_of(item.body.prompt.as_deref(), &item.body.messages) {
        Ok(prompt) => prompt,
        Err(message) => return failed_result(item.custom_id, message),
    };
    let request = InferenceRequest {
        class: RequestClass::Batch,
        workspace: chunk_request.workspace.clone(),
        key: None,
        model: item.body.model,
        prompt,
        max_tokens: item.body.max_tokens.unwrap_or(context.settings().online.default_tokens),
        wait: MAX_ITEM_WAIT,
        order: chunk_request.due.cast_signed(),
    };
    let started = monotonic();
    match run_item(context, &request).await {
        Ok(session) => {
            let took = monotonic().saturating_sub(started);
            let metrics = &context.shared.metrics;
            metrics.record_response(
                RequestClass::Batch,
                &chunk_request.workspace,
                took,
                session.tokens(),
            );
            ItemResult {
                custom_id: item.custom_id,
                status: ItemStatus::Completed,
                text: Some(session.text().to_owned()),
                error: None,
                tokens: session.tokens(),
            }
        }
        Err(error) => {
            let is_late = unix_seconds() > chunk_request.due;
            log::info!("jobs: Item `{}` failed (late: {is_late}): {error}.", item.custom_id);
            failed_result(item.custom_id, error.to_string())
        }
    }
}

fn failed_result(custom_id: String, error: String) -> ItemResult {
    let status = ItemStatus::Failed;
    ItemResult { custom_id, status, text: None, error: Some(error), tokens: 0 }
}

/// Runs an item until it completes or fails. Busy targets are not a failure: a batch item waits without a
/// time limit.
async fn run_item(
    context: &Rc<VmContext>,
    request: &InferenceRequest,
) -> Result<InferenceSession, InferenceError> {
    let mut session = InferenceSession::open(context, request.clone());
    let mut no_target_retries = 0;
    loop {
        match session.next().await {
            Ok(TokenEvent::Token(_)) => {}
            Ok(TokenEvent::Done(_)) => return Ok(session),
            Err(InferenceError::Busy) => tokio::time::sleep(RETRY_DELAY).await,
            Err(InferenceError::NoTarget) if no_target_retries < MAX_NO_TARGET_RETRIES => {
                no_target_retries += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
}
