//! `/v1/batches`: submits, shows and cancels batch jobs, and returns their results.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::clock::unix_seconds;
use crate::entry::auth::{AuthenticatedCaller, admit_caller, authenticate};
use crate::entry::body::{check_before_body, respond_json};
use crate::entry::{Refusal, RefusalCode};
use crate::ids::{JobId, ObjectName};
use crate::jobs::{
    JobKey, JobRow, JobState, JobSubmission, ProgressRow, cancel_job, read_job, read_progress,
    submit_job,
};
use crate::platform::{PlatformError, PlatformResult};
use crate::vm::VmContext;

const DEFAULT_DUE_SECONDS: u64 = 24 * 60 * 60;
const MAX_READ_ATTEMPTS: usize = 4;
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The query parameters of a submission.
#[derive(Debug, Deserialize)]
pub(crate) struct SubmitQuery {
    name: String,
    due_in_s: Option<u64>,
}

/// The state of a job as reported to callers.
#[derive(Debug, Serialize)]
struct JobReport {
    id: JobId,
    object: &'static str,
    status: JobState,
    items: u64,
    completed: u64,
    failed: u64,
    due: u64,
    late: bool,
}

impl JobReport {
    fn of(id: &JobId, row: &JobRow, progress: &ProgressRow) -> Self {
        Self {
            id: id.clone(),
            object: "batch",
            status: row.state,
            items: row.items,
            completed: progress.completed(),
            failed: progress.failed(),
            due: row.due,
            late: row.state == JobState::Running && unix_seconds() > row.due,
        }
    }
}

fn respond(context: &VmContext, result: Result<HttpResponse, Refusal>) -> HttpResponse {
    result.unwrap_or_else(|refusal| {
        context.shared.metrics.record_refusal(refusal.code.as_str(), None);
        refusal.response()
    })
}

fn job_key(caller: &AuthenticatedCaller, job: &str) -> Result<JobKey, Refusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if job.is_empty() || job.len() > 128 || !job.chars().all(is_allowed) {
        let message = "the name of a job has 1 to 128 letters, digits, `-`, `_` or `.`";
        return Err(Refusal::new(RefusalCode::BadRequest, message));
    }
    Ok(JobKey { workspace: caller.entry.workspace.clone(), job: JobId::from(job) })
}

/// Handles `POST /v1/batches?name=NAME&due_in_s=SECONDS`.
pub(crate) async fn submit(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    query: Option<Query<SubmitQuery>>,
    payload: Payload,
) -> HttpResponse {
    let _running = context.start_request();
    let result = try_submit(&context, &request, query, payload).await;
    respond(&context, result)
}

async fn try_submit(
    context: &Rc<VmContext>,
    request: &HttpRequest,
    query: Option<Query<SubmitQuery>>,
    mut payload: Payload,
) -> Result<HttpResponse, Refusal> {
    let checked = async {
        let caller = authenticate(context, request)?;
        let query = query.ok_or_else(|| {
            let message = "name the job: `POST /v1/batches?name=NAME&due_in_s=SECONDS`";
            Refusal::new(RefusalCode::BadRequest, message)
        })?;
        let key = job_key(&caller, &query.name)?;
        admit_caller(context, &caller).await?;
        Ok((caller, key, query))
    };
    let (caller, key, query) = check_before_body(checked.await, &mut payload).await?;
    let due_in = query.due_in_s.unwrap_or(DEFAULT_DUE_SECONDS);
    let submission = JobSubmission { key: key.clone(), entry: caller.entry, due_in };
    let (row, progress) = submit_job(context, submission, payload).await?;
    Ok(respond_json(StatusCode::OK, &JobReport::of(&key.job, &row, &progress)))
}

async fn find_job(context: &VmContext, key: &JobKey) -> Result<(JobRow, ProgressRow), Refusal> {
    let table = context.table.as_ref();
    let job = read_job(table, key).await?;
    let (row, _) = job.ok_or_else(|| {
        Refusal::new(RefusalCode::NotFound, format!("job `{}` does not exist", key.job))
    })?;
    let progress = read_progress(table, key).await?;
    Ok((row, progress.map(|(progress, _)| progress).unwrap_or_default()))
}

/// Handles `GET /v1/batches/{id}`.
pub(crate) async fn show(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    job: Path<String>,
) -> HttpResponse {
    let _running = context.start_request();
    let result = async {
        let caller = authenticate(&context, &request)?;
        let key = job_key(&caller, &job)?;
        let (row, progress) = find_job(&context, &key).await?;
        Ok(respond_json(StatusCode::OK, &JobReport::of(&key.job, &row, &progress)))
    };
    let result = result.await;
    respond(&context, result)
}

/// Handles `POST /v1/batches/{id}/cancel`.
pub(crate) async fn cancel(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    job: Path<String>,
) -> HttpResponse {
    let _running = context.start_request();
    let result = async {
        let caller = authenticate(&context, &request)?;
        let key = job_key(&caller, &job)?;
        find_job(&context, &key).await?;
        cancel_job(&context, &key).await?;
        let (row, progress) = find_job(&context, &key).await?;
        Ok(respond_json(StatusCode::OK, &JobReport::of(&key.job, &row, &progress)))
    };
    let result = result.await;
    respond(&context, result)
}

/// Handles `GET /v1/batches/{id}/results`: streams the results committed so far, in chunk order.
pub(crate) async fn results(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    job: Path<String>,
) -> HttpResponse {
    let result = async {
        let caller = authenticate(&context, &request)?;
        let key = job_key(&caller, &job)?;
        let (_, progress) = find_job(&context, &key).await?;
        let outputs: Vec<ObjectName> =
            progress.chunks.into_values().map(|chunk| chunk.output).collect();
        Ok(stream_objects(&context, outputs))
    };
    let result = result.await;
    respond(&context, result)
}

fn stream_objects(context: &Rc<VmContext>, outputs: Vec<ObjectName>) -> HttpResponse {
    let running = context.start_request();
    let state = (Rc::clone(context), outputs.into_iter(), running);
    let chunks = stream::unfold(state, |(context, mut outputs, running)| async move {
        let output = outputs.next()?;
        let chunk = read_object(&context, &output).await;
        Some((chunk, (context, outputs, running)))
    });
    HttpResponse::build(StatusCode::OK)
        .content_type("application/jsonl")
        .streaming(Box::pin(chunks))
}

async fn read_object(context: &VmContext, name: &ObjectName) -> PlatformResult<Bytes> {
    let mut last_error = PlatformError::Unavailable("not tried".to_owned());
    for _ in 0..MAX_READ_ATTEMPTS {
        match context.objects.get(name).await {
            Ok(body) => return Ok(body),
            Err(error) => last_error = error,
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    Err(last_error)
}
