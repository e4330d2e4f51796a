//! Rows of batch jobs in the platform's store, and the in-memory index of all jobs.
//!
//! The rows of a job share one partition: a head that names its leader, its progress, its inputs in
//! chunks and one or more rows for each result. Every write of the leader requires the current version
//! of the head, so a replaced leader cannot write any more. Head and progress are small and followed by
//! every VM; inputs and results are read on demand.

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
/// Items as submitted.
pub(crate) const INPUT_TABLE: &str = "job_inputs";
/// Results of items, by position in the order of commits.
pub(crate) const RESULT_TABLE: &str = "job_results";
/// Partial output of items: checkpoints of a running leader and the handover of a stopping one.
pub(crate) const PARTIAL_TABLE: &str = "job_partials";
/// Number of partitions of the job tables. Transactions of one partition run one after the other;
/// partitions also bound how many rows of a job table have to be listed at start-up.
const JOB_PARTITIONS: u64 = 16;
/// A stored row holds at most 64 KiB.
const MAX_CHUNK_BYTES: usize = 60_000;

/// One request of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id of the item, unique in the job.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Prompt and output tokens for which the item counts against the limit of waiting tokens.
    pub tokens: u64,
    /// Demand of the item at a model engine.
    pub demand: TokenDemand,
}

/// A job as submitted by its caller.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Id chosen by the caller.
    pub id: String,
    /// Host of the caller's request; selects the route together with the path.
    pub host: String,
    /// Path of the caller's request.
    pub path: String,
    /// Hash of the caller's key.
    pub key: Option<crate::configuration::KeyHash>,
    /// Requests of the job.
    pub items: Vec<JobItem>,
}

/// Committed result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItemResult {
    /// Index of the item in the job.
    pub index: u32,
    /// Id of the item.
    pub id: String,
    /// Whether the item completed; otherwise it was given up.
    pub completed: bool,
    /// Output of the item; empty if it was given up.
    pub text: Vec<u8>,
}

/// Head row of a job: its terms and its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobHead {
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) route: String,
    pub(crate) host: String,
    /// Time of acceptance, by the store's clock.
    pub(crate) accepted_at: Duration,
    /// Time when the results are due, by the store's clock.
    pub(crate) due_at: Duration,
    /// Time after which unfinished items are given up, by the store's clock.
    pub(crate) keep_until: Duration,
    pub(crate) items: u32,
    pub(crate) tokens: u64,
    /// VM that leads the job; empty after a handover.
    pub(crate) lead: String,
    pub(crate) lead_incarnation: u64,
    /// Whether the caller has ended the job.
    pub(crate) ended: bool,
}

/// Progress row of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobProgress {
    /// Number of committed results.
    pub(crate) listed: u32,
    /// Tokens of the items whose results are committed.
    pub(crate) listed_tokens: u64,
    /// Random id of the last write; lets a leader recognise its own write after a lost response.
    pub(crate) attempt: u64,
}

/// Partial output of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartialOutput {
    /// Data of the events received, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// Id of the last event received.
    pub(crate) last_event: Option<u64>,
    /// Attempts that the target itself failed, as opposed to lost or preempted ones.
    pub(crate) failures: u32,
}

/// Last event and failures of a partial output, by which a leader tells whether it changed since its last
/// checkpoint.
pub(crate) type SavedProgress = (Option<u64>, u32);

impl PartialOutput {
    /// Returns the progress that a checkpoint saves.
    pub(crate) fn progress(&self) -> SavedProgress {
        (self.last_event, self.failures)
    }
}

/// Key prefix of a job's rows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct JobName(String);

impl JobName {
    /// Returns the name of a job; it contains the workspace, since ids are unique only within one.
    pub(crate) fn of(workspace: Option<&WorkspaceId>, id: &str) -> Self {
        Self(format!("{}:{id}", workspace.map_or("", |workspace| workspace.as_str())))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn partition(&self) -> String {
        format!("{:02}", xxh3_64(self.0.as_bytes()) % JOB_PARTITIONS)
    }

    pub(crate) fn head_key(&self) -> String {
        format!("{}/head", self.0)
    }

    pub(crate) fn progress_key(&self) -> String {
        format!("{}/progress", self.0)
    }

    pub(crate) fn lead_key(&self) -> String {
        format!("{}/lead", self.0)
    }

    pub(crate) fn numbered_key(&self, number: usize) -> String {
        format!("{}/{number:06}", self.0)
    }

    fn chunk_key(&self, number: usize, chunk: usize) -> String {
        format!("{}/{number:06}.{chunk:03}", self.0)
    }

    /// Returns the start of the key range of the job.
    pub(crate) fn range_start(&self) -> String {
        format!("{}/", self.0)
    }

    /// Returns the end of the key range of the job.
    pub(crate) fn range_end(&self) -> String {
        // `0` follows `/` in ASCII.
        format!("{}0", self.0)
    }
}

/// Returns all partitions of the job tables.
pub(crate) fn job_partitions() -> Vec<String> {
    (0..JOB_PARTITIONS).map(|part| format!("{part:02}")).collect()
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value)
        .unwrap_or_else(|error| unreachable!("row encoding cannot fail: {error}"))
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    postcard::from_bytes(value).map_err(|error| format!("row cannot be decoded: {error}"))
}

/// Adds a value to a transaction, split into as many rows as it needs.
pub(crate) fn write_chunks(
    transaction: RowTransaction,
    table: &'static str,
    job: &JobName,
    number: usize,
    value: &[u8],
) -> RowTransaction {
    let chunks = value.chunks(MAX_CHUNK_BYTES).enumerate();
    chunks.fold(transaction, |transaction, (chunk, bytes)| {
        transaction.write(table, &job.chunk_key(number, chunk), bytes.to_vec())
    })
}

/// Joins the rows of values written by [`write_chunks`] and returns them with their numbers. Rows must
/// be sorted by key.
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

/// Head and progress of a job with their row versions.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) head: JobHead,
    pub(crate) head_version: u64,
    pub(crate) progress: JobProgress,
    pub(crate) progress_version: u64,
}

impl JobEntry {
    /// Whether the job has items left to run.
    pub(crate) fn is_open(&self) -> bool {
        !self.head.ended && self.progress.listed < self.head.items
    }
}

/// Index of all jobs, kept up to date from changes of the job table.
#[derive(Debug, Default)]
pub(crate) struct JobIndex {
    entries: HashMap<JobName, JobEntry>,
    /// Progress rows that arrived before their head.
    pending_progress: HashMap<JobName, (JobProgress, u64)>,
}

impl JobIndex {
    /// Applies an update of the job table and returns the jobs that changed.
    pub(crate) fn apply(&mut self, update: TableUpdate) -> Vec<JobName> {
        let rows = match update {
            TableUpdate::Snapshot(rows) => {
                self.entries.clear();
                self.pending_progress.clear();
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
        let (name, kind) = row.key.rsplit_once('/').ok_or("row key contains no job name")?;
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

    /// Applies a head row unless a newer version is known.
    pub(crate) fn set_head(&mut self, job: &JobName, head: JobHead, version: u64) {
        if let Some(entry) = self.entries.get_mut(job) {
            if version > entry.head_version {
                entry.head = head;
                entry.head_version = version;
            }
            return;
        }
        let (progress, progress_version) = self.pending_progress.remove(job).unwrap_or_default();
        let entry = JobEntry { head, head_version: version, progress, progress_version };
        self.entries.insert(job.clone(), entry);
    }

    /// Applies a progress row unless a newer version is known.
    pub(crate) fn set_progress(&mut self, job: &JobName, progress: JobProgress, version: u64) {
        let Some(entry) = self.entries.get_mut(job) else {
            self.pending_progress.insert(job.clone(), (progress, version));
            return;
        };
        if version > entry.progress_version {
            entry.progress = progress;
            entry.progress_version = version;
        }
    }

    pub(crate) fn get(&self, job: &JobName) -> Option<&JobEntry> {
        self.entries.get(job)
    }

    /// Returns the jobs that have items left to run.
    pub(crate) fn open_jobs(&self) -> Vec<JobName> {
        let open = self.entries.iter().filter(|(_, entry)| entry.is_open());
        open.map(|(job, _)| job.clone()).collect()
    }

    /// Returns the finished jobs accepted before the given time of the store's clock, with the versions of
    /// their heads; their rows may be deleted.
    pub(crate) fn expired(&self, accepted_before: Duration) -> Vec<(JobName, u64)> {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_open() && entry.head.accepted_at < accepted_before);
        expired.map(|(job, entry)| (job.clone(), entry.head_version)).collect()
    }

    /// Returns the tokens of a workspace's unfinished items on a route.
    pub(crate) fn waiting_tokens(&self, workspace: Option<&WorkspaceId>, route: &str) -> u64 {
        let jobs = self.entries.values().filter(|entry| {
            entry.is_open()
                && entry.head.workspace.as_ref() == workspace
                && entry.head.route == route
        });
        let waiting =
            jobs.map(|entry| entry.head.tokens.saturating_sub(entry.progress.listed_tokens));
        waiting.fold(0, u64::saturating_add)
    }

    /// Whether the given incarnation of a VM leads the job and the job is unfinished.
    pub(crate) fn is_led_by(&self, job: &JobName, vm: &VmId, incarnation: u64) -> bool {
        self.entries.get(job).is_some_and(|entry| {
            entry.is_open()
                && entry.head.lead == vm.as_str()
                && entry.head.lead_incarnation == incarnation
        })
    }
}
