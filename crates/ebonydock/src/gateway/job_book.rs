//! Batch jobs as rows of the platform, and what a VM knows of all of them.
//!
//! A job's rows share one part: a head that names its lead, its progress, its inputs in chunks and one
//! or more rows for each result. Every write of the lead requires the version of the head, so a lead
//! that was replaced can write nothing more. The head and the progress are small and followed by every
//! VM; inputs and results are read when they are needed.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::followers::TableUpdate;
use crate::gateway::request::TokenDemand;
use crate::ids::{VmId, WorkspaceId};
use crate::platform::rows::{RowTransaction, StoredRow};

/// Heads and progress of jobs.
pub(crate) const JOB_TABLE: &str = "jobs";
/// Items as they were handed in.
pub(crate) const INPUT_TABLE: &str = "job_inputs";
/// Results by position.
pub(crate) const RESULT_TABLE: &str = "job_results";
/// Output of items that a stopping lead hands on.
pub(crate) const PARTIAL_TABLE: &str = "job_partials";
/// Transactions of one part run one after the other; parts bound how many rows of a job table have to
/// be listed at a start.
const JOB_PARTS: u64 = 16;
/// A row holds at most 64 KiB.
const ROW_BYTES: usize = 60_000;

/// One request of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// The id, unique in the job.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Tokens of prompt and output that the item counts for.
    pub tokens: u64,
    /// What it takes at a model engine.
    pub demand: TokenDemand,
}

/// A job as its caller hands it in.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// The id that the caller gave it.
    pub id: String,
    /// The host that the caller named.
    pub host: String,
    /// The path, which selects the route.
    pub path: String,
    /// The caller's key.
    pub key: Option<crate::configuration::KeyHash>,
    /// The items.
    pub items: Vec<JobItem>,
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The index of the item in the job.
    pub index: u32,
    /// The id of the item.
    pub id: String,
    /// Whether the item was completed; otherwise it was given up.
    pub completed: bool,
    /// Its output.
    pub text: Vec<u8>,
}

/// The row that holds a job together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobHead {
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) route: String,
    pub(crate) host: String,
    /// When it was accepted, by the store's clock.
    pub(crate) accepted_at: Duration,
    /// When its results are due, by the store's clock.
    pub(crate) due_at: Duration,
    /// When its items may be given up, by the store's clock.
    pub(crate) keep_until: Duration,
    pub(crate) items: u32,
    pub(crate) tokens: u64,
    /// The VM that runs it; empty if its lead has handed it on.
    pub(crate) lead: String,
    pub(crate) lead_incarnation: u64,
    /// Whether its caller has ended it.
    pub(crate) ended: bool,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobProgress {
    /// Results that are listed.
    pub(crate) listed: u32,
    /// Tokens of the items that are listed.
    pub(crate) listed_tokens: u64,
    /// Tells the write whose answer was lost from that of another lead.
    pub(crate) attempt: u64,
}

/// Output of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartialOutput {
    /// Data of the events, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// The last event.
    pub(crate) last_event: Option<u64>,
    /// Runs that the target itself failed.
    pub(crate) failures: u32,
}

/// The name of a job's rows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct JobName(String);

impl JobName {
    /// Jobs of different workspaces may have the same id.
    pub(crate) fn of(workspace: Option<&WorkspaceId>, id: &str) -> Self {
        Self(format!("{}:{id}", workspace.map_or("", |workspace| workspace.as_str())))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn part(&self) -> String {
        format!("{:02}", xxh3_64(self.0.as_bytes()) % JOB_PARTS)
    }

    pub(crate) fn head_key(&self) -> String {
        format!("{}/head", self.0)
    }

    pub(crate) fn progress_key(&self) -> String {
        format!("{}/progress", self.0)
    }

    pub(crate) fn numbered_key(&self, number: usize) -> String {
        format!("{}/{number:06}", self.0)
    }

    fn chunk_key(&self, number: usize, chunk: usize) -> String {
        format!("{}/{number:06}.{chunk:03}", self.0)
    }

    /// The key before all keys of the job.
    pub(crate) fn first_key(&self) -> String {
        format!("{}/", self.0)
    }

    /// The key behind all keys of the job.
    pub(crate) fn end_key(&self) -> String {
        // The character behind the slash.
        format!("{}0", self.0)
    }
}

/// All parts of the job tables.
pub(crate) fn job_parts() -> Vec<String> {
    (0..JOB_PARTS).map(|part| format!("{part:02}")).collect()
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_else(|error| unreachable!("rows always encode: {error}"))
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    postcard::from_bytes(value).map_err(|error| format!("unreadable row: {error}"))
}

/// Adds the rows of a value that may be larger than one row.
pub(crate) fn write_chunks(
    transaction: RowTransaction,
    table: &'static str,
    job: &JobName,
    number: usize,
    value: &[u8],
) -> RowTransaction {
    let chunks = value.chunks(ROW_BYTES).enumerate();
    chunks.fold(transaction, |transaction, (chunk, bytes)| {
        transaction.write(table, &job.chunk_key(number, chunk), bytes.to_vec())
    })
}

/// Joins the rows of numbered values.
pub(crate) fn join_chunks(rows: &[StoredRow]) -> Vec<(usize, Vec<u8>)> {
    let mut values: Vec<(usize, Vec<u8>)> = Vec::new();
    for row in rows {
        let name = row.key.rsplit('/').next().unwrap_or_default();
        let Some(number) = name.split('.').next().and_then(|number| number.parse().ok()) else {
            continue;
        };
        match values.last_mut() {
            Some((last, bytes)) if *last == number => bytes.extend_from_slice(&row.value),
            _ => values.push((number, row.value.clone())),
        }
    }
    values
}

/// A job as a VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) head: JobHead,
    pub(crate) head_version: u64,
    pub(crate) progress: JobProgress,
    pub(crate) progress_version: u64,
}

impl JobEntry {
    /// Whether items are left to run.
    pub(crate) fn is_open(&self) -> bool {
        !self.head.ended && self.progress.listed < self.head.items
    }
}

/// All jobs as a VM knows them.
#[derive(Debug, Default)]
pub(crate) struct JobBook {
    entries: HashMap<JobName, JobEntry>,
    /// Progress that arrived before its head.
    early: HashMap<JobName, (JobProgress, u64)>,
}

impl JobBook {
    /// Takes news of the job table and returns the jobs that changed.
    pub(crate) fn apply(&mut self, news: TableUpdate) -> Vec<JobName> {
        let rows = match news {
            TableUpdate::Snapshot(rows) => {
                self.entries.clear();
                self.early.clear();
                rows
            }
            TableUpdate::Changed(rows) => rows,
        };
        let mut changed = Vec::new();
        for row in &rows {
            match self.apply_row(row) {
                Ok(job) => changed.push(job),
                Err(reason) => {
                    log::error!(key = row.key, version = row.version, reason = reason; "job row unreadable");
                }
            }
        }
        changed
    }

    fn apply_row(&mut self, row: &StoredRow) -> Result<JobName, String> {
        let (name, kind) = row.key.rsplit_once('/').ok_or("the key names no job")?;
        let job = JobName(name.to_owned());
        if row.deleted {
            self.entries.remove(&job);
            return Ok(job);
        }
        if kind == "head" {
            self.set_head(&job, decode(&row.value)?, row.version);
        } else {
            self.set_progress(&job, decode(&row.value)?, row.version);
        }
        Ok(job)
    }

    /// Takes a head; older ones are ignored.
    pub(crate) fn set_head(&mut self, job: &JobName, head: JobHead, version: u64) {
        if let Some(entry) = self.entries.get_mut(job) {
            if version > entry.head_version {
                entry.head = head;
                entry.head_version = version;
            }
            return;
        }
        let (progress, progress_version) = self.early.remove(job).unwrap_or_default();
        let entry = JobEntry { head, head_version: version, progress, progress_version };
        self.entries.insert(job.clone(), entry);
    }

    /// Takes progress; older progress is ignored.
    pub(crate) fn set_progress(&mut self, job: &JobName, progress: JobProgress, version: u64) {
        let Some(entry) = self.entries.get_mut(job) else {
            self.early.insert(job.clone(), (progress, version));
            return;
        };
        if version > entry.progress_version {
            entry.progress = progress;
            entry.progress_version = version;
        }
    }

    /// A job.
    pub(crate) fn get(&self, job: &JobName) -> Option<&JobEntry> {
        self.entries.get(job)
    }

    /// The jobs that have items to run.
    pub(crate) fn open_jobs(&self) -> Vec<JobName> {
        let open = self.entries.iter().filter(|(_, entry)| entry.is_open());
        open.map(|(job, _)| job.clone()).collect()
    }

    /// The jobs whose rows may be deleted, because their results were kept for long enough.
    pub(crate) fn expired(&self, accepted_before: Duration) -> Vec<JobName> {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_open() && entry.head.accepted_at < accepted_before);
        expired.map(|(job, _)| job.clone()).collect()
    }

    /// The tokens that a workspace has waiting on a route.
    pub(crate) fn waiting_tokens(&self, workspace: Option<&WorkspaceId>, route: &str) -> u64 {
        let jobs = self.entries.values().filter(|entry| {
            entry.is_open()
                && entry.head.workspace.as_ref() == workspace
                && entry.head.route == route
        });
        jobs.map(|entry| entry.head.tokens.saturating_sub(entry.progress.listed_tokens)).sum()
    }

    /// Whether a VM still leads a job with this incarnation.
    pub(crate) fn is_led_by(&self, job: &JobName, vm: &VmId, incarnation: u64) -> bool {
        self.entries.get(job).is_some_and(|entry| {
            entry.is_open()
                && entry.head.lead == vm.as_str()
                && entry.head.lead_incarnation == incarnation
        })
    }
}
