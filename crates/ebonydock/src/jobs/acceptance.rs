//! Accepts and cancels jobs.

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

const MAX_WRITE_ATTEMPTS: usize = 6;
const MAX_REPORTED_ERRORS: usize = 20;
const MAX_ITEMS: u64 = 1_000_000;

/// A job as submitted by its caller.
pub(crate) struct JobSubmission {
    /// Workspace and name of the job.
    pub(crate) key: JobKey,
    /// Configuration of the workspace.
    pub(crate) entry: WorkspaceEntry,
    /// Seconds until the job is due.
    pub(crate) due_in: u64,
}

/// Why a job was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SubmitError {
    /// Some lines are not valid; the messages name them.
    #[error("the job is not valid: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// A job of this name with other items exists.
    #[error("a job of this name with other items exists")]
    Conflict,
    /// The platform failed; the job may have been accepted, and submitting it again is safe.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Reads the items of a submission, validates them and writes them to objects in chunks.
struct SubmissionReader<'a> {
    context: &'a VmContext,
    submission: &'a JobSubmission,
    attempt: AttemptId,
    should_write: bool,
    digest: Sha256,
    lines: u64,
    /// Hashes of the `custom_id`s seen so far.
    names: HashSet<u64>,
    errors: Vec<String>,
    chunk: BytesMut,
    chunk_items: usize,
    inputs: Vec<ObjectName>,
}

impl SubmissionReader<'_> {
    async fn read(&mut self, mut payload: Payload) -> Result<(), SubmitError> {
        let mut rest = BytesMut::new();
        while let Some(part) = payload.recv().await {
            let part = part.map_err(|error| {
                SubmitError::Invalid(vec![format!("the body is incomplete: {error}")])
            })?;
            rest.extend_from_slice(&part);
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = rest.split_to(end + 1);
                self.read_line(&line[..end]).await?;
            }
            if rest.len() > self.context.settings().jobs.item_limit {
                self.add_error(&"the line is too long");
                return Err(self.take_errors());
            }
        }
        self.read_line(&rest).await?;
        self.flush().await?;
        if self.lines == 0 {
            self.errors.push("the job has no items".to_owned());
        }
        if self.errors.is_empty() { Ok(()) } else { Err(self.take_errors()) }
    }

    async fn read_line(&mut self, line: &[u8]) -> Result<(), SubmitError> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        self.lines += 1;
        self.digest.update(line);
        self.digest.update(b"\n");
        self.check(line);
        if self.errors.len() >= MAX_REPORTED_ERRORS || self.lines > MAX_ITEMS {
            return Err(self.take_errors());
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
            self.add_error(&"the line is too long");
            return;
        }
        let item: ItemLine = match serde_json::from_slice(line) {
            Ok(item) => item,
            Err(error) => return self.add_error(&error),
        };
        if !self.names.insert(xxh3_64(item.custom_id.as_bytes())) {
            self.add_error(&format!("`custom_id` `{}` was used before", item.custom_id));
        }
        if let Err(message) = prompt_of(item.body.prompt.as_deref(), &item.body.messages) {
            self.add_error(&message);
        }
        let entry = &self.submission.entry;
        let model = &item.body.model;
        if !self.context.shared.with_config(|config| config.may_use_model(entry, model)) {
            self.add_error(&format!("plan `{}` does not cover model `{model}`", entry.plan));
        }
    }

    fn add_error(&mut self, message: &dyn std::fmt::Display) {
        self.errors.push(format!("line {}: {message}", self.lines));
    }

    fn take_errors(&mut self) -> SubmitError {
        SubmitError::Invalid(std::mem::take(&mut self.errors))
    }

    /// Writes the collected lines as one object, unless the job is stored already or has errors.
    async fn flush(&mut self) -> PlatformResult<()> {
        let chunk = std::mem::take(&mut self.chunk).freeze();
        let items = std::mem::take(&mut self.chunk_items);
        if items == 0 || !self.should_write || !self.errors.is_empty() {
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

/// Writes an object with retries; repeating the write is harmless, since the content is the same.
pub(crate) async fn put_object(
    context: &VmContext,
    name: &ObjectName,
    body: Bytes,
) -> PlatformResult<()> {
    let mut last_error = PlatformError::Unavailable("not tried".to_owned());
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match context.objects.put(name, body.clone()).await {
            Ok(()) => return Ok(()),
            Err(error @ PlatformError::Unavailable(_)) => last_error = error,
            Err(error) => return Err(error),
        }
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    Err(last_error)
}

/// Accepts a job and returns once its items and its row are durable. Resubmitting the same items under
/// the same name returns the existing job.
pub(crate) async fn submit_job(
    context: &Rc<VmContext>,
    submission: JobSubmission,
    payload: Payload,
) -> Result<(JobRow, ProgressRow), SubmitError> {
    let table = context.table.as_ref();
    let stored = read_job(table, &submission.key).await?;
    let attempt = AttemptId::random();
    let mut reader = SubmissionReader {
        context,
        submission: &submission,
        attempt: attempt.clone(),
        should_write: stored.is_none(),
        digest: Sha256::new(),
        lines: 0,
        names: HashSet::new(),
        errors: Vec::new(),
        chunk: BytesMut::new(),
        chunk_items: 0,
        inputs: Vec::new(),
    };
    reader.read(payload).await?;
    let accepted = unix_seconds();
    let row = JobRow {
        digest: hex_of(&reader.digest.finalize()),
        items: reader.lines,
        inputs: reader.inputs,
        due: accepted + submission.due_in,
        accepted,
        state: JobState::Running,
    };
    let existing = match stored {
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
            notify_members(context, &submission.key, false);
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
    write_once(table, &transaction, &key.job_row(), attempt, MAX_WRITE_ATTEMPTS).await
}

/// Cancels a job; a job that is unknown or has ended stays as it is.
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
        // This VM does not know which data centre lists the job, so the row of each one is deleted. The
        // scan of the leader's data centre then no longer finds the job, and wakes the leader.
        let mut transaction = TableTransaction::default()
            .require(&key.job_row(), version)
            .write(&key.job_row(), encode_row(&row, &attempt));
        for data_centre in &context.settings().data_centres {
            transaction = transaction.delete(&key.active_row(data_centre));
        }
        let table = context.table.as_ref();
        let job_row = key.job_row();
        match write_once(table, &transaction, &job_row, &attempt, MAX_WRITE_ATTEMPTS).await? {
            WriteOutcome::Written(_) => break,
            WriteOutcome::Conflict => {}
        }
    }
    notify_members(context, key, true);
    Ok(())
}

/// Notifies all VMs of the data centre, including this one, that a job changed. With
/// `other_data_centres`, also notifies one VM of each other data centre, which relays the message.
pub(crate) fn notify_members(context: &Rc<VmContext>, key: &JobKey, other_data_centres: bool) {
    broadcast(context, other_data_centres, |relay| {
        let (workspace, job) = (key.workspace.clone(), key.job.clone());
        PeerRequest::Job(JobSignal { workspace, job, relay })
    });
    context.shared.wake_job(key.clone());
}
