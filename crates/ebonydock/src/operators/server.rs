//! HTTP routes of the operator API.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Serialize;

use crate::clock::{monotonic, unix_seconds};
use crate::configuration::messages::ChangeReply;
use crate::configuration::{ConfigDocument, ConfigStore, EditError};
use crate::entry::{Refusal, RefusalCode, check_before_body, parse_json, read_body, respond_json};
use crate::jobs::{JobRow, JobState, ProgressRow};
use crate::operators::messages::{EditBody, EditReply};
use crate::operators::{announce, apply_reply, status};
use crate::platform::durable::decode_row;
use crate::vm::VmContext;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const OPERATOR_KEY_HEADER: &str = "x-operator-key";
/// Time that an edit waits for other VMs to activate the new version before the response is sent.
const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(1500);
const ACTIVATION_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_LISTED_JOBS: usize = 1000;

/// Adds the routes of the operator API.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/operator/v1/config", web::get().to(show_config))
        .route("/operator/v1/changes", web::post().to(edit))
        .route("/operator/v1/status", web::get().to(show_status))
        .route("/operator/v1/jobs", web::get().to(show_jobs));
}

fn authorize(context: &VmContext, request: &HttpRequest) -> Result<(), Refusal> {
    let key = request.headers().get(OPERATOR_KEY_HEADER).and_then(|value| value.to_str().ok());
    let hash = key.map(crate::configuration::KeyHash::of);
    if hash == Some(context.settings().operator_key) {
        return Ok(());
    }
    let message = format!("send the operators' key as `{OPERATOR_KEY_HEADER}`");
    Err(Refusal::new(RefusalCode::InvalidKey, message))
}

async fn show_config(context: State<Rc<VmContext>>, request: HttpRequest) -> HttpResponse {
    match authorize(&context, &request) {
        Ok(()) => respond_json(StatusCode::OK, &status::config(&context.shared)),
        Err(refusal) => refusal.response(),
    }
}

async fn show_status(context: State<Rc<VmContext>>, request: HttpRequest) -> HttpResponse {
    match authorize(&context, &request) {
        Ok(()) => respond_json(StatusCode::OK, &status::status(&context.shared)),
        Err(refusal) => refusal.response(),
    }
}

async fn edit(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let result = async {
        check_before_body(authorize(&context, &request), &mut payload).await?;
        let (body, _memory) = read_body(&context, &request, payload, MAX_BODY_BYTES).await?;
        apply_edit(&context, parse_json(&body)?).await
    };
    match result.await {
        Ok(reply) => respond_json(StatusCode::OK, &reply),
        Err(refusal) => refusal.response(),
    }
}

/// Stores an edit, activates it on this VM, and waits a limited time until other VMs have activated it.
async fn apply_edit(context: &Rc<VmContext>, edit: EditBody) -> Result<EditReply, Refusal> {
    let store = ConfigStore::open(Rc::clone(&context.table), Rc::clone(&context.objects));
    catch_up(context, &store).await?;
    let document: ConfigDocument = context.shared.with_config(Clone::clone);
    if document.version != edit.base_version {
        return Err(refusal_of(EditError::Conflict(document.version)));
    }
    let batch = store.edit(&document, edit.changes).await.map_err(refusal_of)?;
    let version = batch.version;
    let batches = vec![batch];
    apply_reply(context, ChangeReply::Batches(batches.clone()));
    announce(context, &batches, true);
    let deadline = monotonic() + ACTIVATION_TIMEOUT;
    loop {
        let not_yet_in_force = status::pending_activation(&context.shared, version);
        if not_yet_in_force.is_empty() || monotonic() >= deadline {
            return Ok(EditReply { version, not_yet_in_force });
        }
        tokio::time::sleep(ACTIVATION_POLL_INTERVAL).await;
    }
}

async fn catch_up(context: &VmContext, store: &ConfigStore) -> Result<(), Refusal> {
    loop {
        let version = context.shared.with_config(|config| config.version);
        let Some(reply) = store.read_after(version).await? else { return Ok(()) };
        apply_reply(context, reply);
        if context.shared.with_config(|config| config.version) == version {
            return Ok(());
        }
    }
}

fn refusal_of(error: EditError) -> Refusal {
    let message = error.to_string();
    match error {
        EditError::Conflict(_) => Refusal::new(RefusalCode::Conflict, message),
        EditError::Invalid(_) => Refusal::new(RefusalCode::BadRequest, message),
        EditError::Platform(error) => Refusal::from(error).maybe_run(),
    }
}

#[derive(Serialize)]
struct JobList {
    jobs: Vec<JobEntry>,
}

#[derive(Serialize)]
struct JobEntry {
    job: String,
    status: JobState,
    items: u64,
    completed: u64,
    failed: u64,
    lead: Option<String>,
    due_in_s: i64,
}

async fn show_jobs(context: State<Rc<VmContext>>, request: HttpRequest) -> HttpResponse {
    let result = async {
        authorize(&context, &request)?;
        list_jobs(&context).await
    };
    match result.await {
        Ok(list) => respond_json(StatusCode::OK, &list),
        Err(refusal) => refusal.response(),
    }
}

async fn list_jobs(context: &VmContext) -> Result<JobList, Refusal> {
    let rows = context.table.list("job/", "", MAX_LISTED_JOBS).await?;
    let progress = context.table.list("progress/", "", MAX_LISTED_JOBS).await?;
    let mut jobs = Vec::new();
    for row in rows {
        let name = row.key.as_str().trim_start_matches("job/").to_owned();
        let job: JobRow = decode_row(&row.value)?;
        let key = format!("progress/{name}");
        let progress = progress.iter().find(|row| row.key.as_str() == key);
        let progress: ProgressRow =
            progress.map(|row| decode_row(&row.value)).transpose()?.unwrap_or_default();
        jobs.push(JobEntry {
            job: name,
            status: job.state,
            items: job.items,
            completed: progress.completed(),
            failed: progress.failed(),
            lead: progress.lead.map(|vm| vm.to_string()),
            due_in_s: job.due.cast_signed() - unix_seconds().cast_signed(),
        });
    }
    Ok(JobList { jobs })
}
