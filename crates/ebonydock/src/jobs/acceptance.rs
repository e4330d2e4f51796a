//! Accepting and cancelling jobs.

use std::collections::HashSet;
use std::rc::Rc;

use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::unix_seconds;
use crate::configuration::WorkspaceEntry;
use crate::configuration::document::hex_of;
use crate::entry::prompt::prompt_of;
use crate::ids::{AttemptId, ObjectName};
use crate::jobs::messages::JobSignal;
use crate::jobs::{ItemLine, JobKey, JobRow, JobState, ProgressRow, read_job, read_progress};
use crate::peers::messages::PeerRequest;
use crate::platform::durable::{WriteOutcome, encode_row, write_once};
use crate::platform::{PlatformError, PlatformResult, TableTransaction};
use crate::routing::broadcast;
use crate::vm::VmContext;

const WRITE_TRIES: usize = 6;
const FINDINGS_LIMIT: usize = 20;
const ITEMS_LIMIT: u64 = 1_000_000;

/// A job as its caller sends it.
pub(crate) struct JobSubmission {
    /// The job.
    pub(crate) key: JobKey,
    /// The workspace.
    pub(crate) entry: WorkspaceEntry,
    /// Seconds until it is due.
    pub(crate) due_in: u64,
}

/// Why a job was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SubmitError {
    /// Lines are not valid.
    #[error("the job is not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The name belongs to another job.
    #[error("a job of this name with other items exists")]
    Conflict,
    /// The platform does not answer; the job may have been accepted, and sending it again is safe.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Reads the items of a submission, checks them and writes them in chunks.
struct ItemIntake<'a> {
    context: &'a VmContext,
    submission: &'a JobSubmission,
    attempt: AttemptId,
    write: bool,
    digest: Sha256,
    lines: u64,
    names: HashSet<u64>,
    findings: Vec<String>,
    chunk: BytesMut,
    chunk_items: usize,
    inputs: Vec<ObjectName>,
}

impl ItemIntake<'_> {
    async fn read(&mut self, mut payload: Payload) -> Result<(), SubmitError> {
        let mut rest = BytesMut::new();
        while let Some(part) = payload.recv().await {
            let part = part.map_err(|error| {
                SubmitError::Invalid(vec![format!("the body is incomplete: {error}")])
            })?;
            rest.extend_from_slice(&part);
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = rest.split_to(end + 1);
                self.line(&line[..end]).await?;
            }
            if rest.len() > self.context.settings().jobs.item_limit {
                self.find(&"the line is too long");
                return Err(self.invalid());
            }
        }
        self.line(&rest).await?;
        self.flush().await?;
        if self.lines == 0 {
            self.findings.push("the job has no items".to_owned());
        }
        if self.findings.is_empty() { Ok(()) } else { Err(self.invalid()) }
    }

    async fn line(&mut self, line: &[u8]) -> Result<(), SubmitError> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        self.lines += 1;
        self.digest.update(line);
        self.digest.update(b"\n");
        self.check(line);
        if self.findings.len() >= FINDINGS_LIMIT || self.lines > ITEMS_LIMIT {
            return Err(self.invalid());
        }
        self.chunk.extend_from_slice(line);
        self.chunk.extend_from_slice(b"\n");
        self.chunk_items += 1;
        if self.chunk_items == self.context.settings().jobs.chunk_items {
            self.flush().await?;
        }
        Ok(())
    }

    fn check(&mut self, line: &[u8]) {
        if line.len() > self.context.settings().jobs.item_limit {
            self.find(&"the line is too long");
            return;
        }
        let item: ItemLine = match serde_json::from_slice(line) {
            Ok(item) => item,
            Err(error) => return self.find(&error),
        };
        if !self.names.insert(xxh3_64(item.custom_id.as_bytes())) {
            self.find(&format!("`custom_id` `{}` was used before", item.custom_id));
        }
        if let Err(message) = prompt_of(item.body.prompt.as_deref(), &item.body.messages) {
            self.find(&message);
        }
        let entry = &self.submission.entry;
        let model = &item.body.model;
        if !self.context.shared.with_config(|config| config.may_use_model(entry, model)) {
            self.find(&format!("plan `{}` does not cover model `{model}`", entry.plan));
        }
    }

    fn find(&mut self, message: &dyn std::fmt::Display) {
        self.findings.push(format!("line {}: {message}", self.lines));
    }

    fn invalid(&mut self) -> SubmitError {
        SubmitError::Invalid(std::mem::take(&mut self.findings))
    }

    /// Writes the lines collected so far as one object.
    async fn flush(&mut self) -> PlatformResult<()> {
        let chunk = std::mem::take(&mut self.chunk).freeze();
        let items = std::mem::take(&mut self.chunk_items);
        if items == 0 || !self.write || !self.findings.is_empty() {
            return Ok(());
        }
        let JobKey { workspace, job } = &self.submission.key;
        let (index, attempt) = (self.inputs.len(), self.attempt.as_str());
        let name = ObjectName::from(format!("jobs/{workspace}/{job}/{attempt}/in-{index}"));
        put_object(self.context, &name, chunk).await?;
        self.inputs.push(name);
        Ok(())
    }
}

/// Writes an object, trying several times: writing the same object again is harmless.
pub(crate) async fn put_object(
    context: &VmContext,
    name: &ObjectName,
    body: Bytes,
) -> PlatformResult<()> {
    let mut last = PlatformError::Unavailable("not tried".to_owned());
    for _ in 0..WRITE_TRIES {
        match context.objects.put(name, body.clone()).await {
            Ok(()) => return Ok(()),
            Err(error @ PlatformError::Unavailable(_)) => last = error,
            Err(error) => return Err(error),
        }
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    Err(last)
}

/// Accepts a job once its items and its row are durable. The same job sent again is the same job.
pub(crate) async fn submit_job(
    context: &Rc<VmContext>,
    submission: JobSubmission,
    payload: Payload,
) -> Result<(JobRow, ProgressRow), SubmitError> {
    let table = context.table.as_ref();
    let known = read_job(table, &submission.key).await?;
    let attempt = AttemptId::random();
    let mut intake = ItemIntake {
        context,
        submission: &submission,
        attempt: attempt.clone(),
        write: known.is_none(),
        digest: Sha256::new(),
        lines: 0,
        names: HashSet::new(),
        findings: Vec::new(),
        chunk: BytesMut::new(),
        chunk_items: 0,
        inputs: Vec::new(),
    };
    intake.read(payload).await?;
    let accepted = unix_seconds();
    let row = JobRow {
        digest: hex_of(&intake.digest.finalize()),
        items: intake.lines,
        inputs: intake.inputs,
        due: accepted + submission.due_in,
        accepted,
        state: JobState::Running,
    };
    let existing = match known {
        Some((row, _)) => Some(row),
        None => match insert(context, &submission.key, &row, &attempt).await? {
            WriteOutcome::Written(_) => None,
            WriteOutcome::Conflict => read_job(table, &submission.key).await?.map(|(row, _)| row),
        },
    };
    match existing {
        Some(existing) if existing.digest != row.digest => Err(SubmitError::Conflict),
        Some(existing) => {
            let progress = read_progress(table, &submission.key).await?;
            Ok((existing, progress.map(|(progress, _)| progress).unwrap_or_default()))
        }
        None => {
            log::info!("jobs: Accepted `{}` with {} items.", submission.key.job, row.items);
            signal_members(context, &submission.key, false);
            Ok((row, ProgressRow::default()))
        }
    }
}

async fn insert(
    context: &VmContext,
    key: &JobKey,
    row: &JobRow,
    attempt: &AttemptId,
) -> PlatformResult<WriteOutcome> {
    let active = key.active_row(&context.settings().data_centre);
    let progress = ProgressRow::default();
    let transaction = TableTransaction::default()
        .require(&key.job_row(), 0)
        .write(&key.job_row(), encode_row(row, attempt))
        .write(&key.progress_row(), encode_row(&progress, attempt))
        .write(&active, encode_row(&progress, attempt));
    let table = context.table.as_ref();
    write_once(table, &transaction, &key.job_row(), attempt, WRITE_TRIES).await
}

/// Cancels a job unless it has ended.
pub(crate) async fn cancel_job(context: &Rc<VmContext>, key: &JobKey) -> PlatformResult<()> {
    loop {
        let Some((mut row, version)) = read_job(context.table.as_ref(), key).await? else {
            return Ok(());
        };
        if row.state != JobState::Running {
            return Ok(());
        }
        row.state = JobState::Cancelled;
        let attempt = AttemptId::random();
        // The data centre that lists the job is not known here; its scan misses the job there.
        let mut transaction = TableTransaction::default()
            .require(&key.job_row(), version)
            .write(&key.job_row(), encode_row(&row, &attempt));
        for data_centre in &context.settings().data_centres {
            transaction = transaction.delete(&key.active_row(data_centre));
        }
        let table = context.table.as_ref();
        let witness = key.job_row();
        match write_once(table, &transaction, &witness, &attempt, WRITE_TRIES).await? {
            WriteOutcome::Written(_) => break,
            WriteOutcome::Conflict => {}
        }
    }
    signal_members(context, key, true);
    Ok(())
}

/// Tells every VM of the data centre, the VM itself included, to look at a job; if `far`, one VM of
/// each other data centre too, which relays.
pub(crate) fn signal_members(context: &Rc<VmContext>, key: &JobKey, far: bool) {
    broadcast(context, far, |relay| {
        let (workspace, job) = (key.workspace.clone(), key.job.clone());
        PeerRequest::Job(JobSignal { workspace, job, relay })
    });
    context.shared.wake_job(key.clone());
}
