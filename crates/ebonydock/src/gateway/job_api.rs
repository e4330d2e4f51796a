//! API calls on batch jobs: submit, read results, read items, end.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;
use tokio::sync::SemaphorePermit;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::catalog::{BatchPolicy, RouteClass, RouteMiss};
use crate::gateway::job_leader::LeaderState;
use crate::gateway::job_records::{
    INPUT_TABLE, JOB_TABLE, JobEntry, JobHead, JobItemResult, JobName, JobProgress, JobSubmission,
    encode, write_chunks,
};
use crate::gateway::job_service::{JobInputs, StartingGuard};
use crate::gateway::runtime::GatewayCore;
use crate::ids::WorkspaceId;
use crate::memory::{MemoryKind, MemoryLease, MemoryShortage};
use crate::platform::rows::{RowError, RowTransaction};
use crate::result_pages::HeldPage;

/// Maximum time for which an API call retries a store request.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
const STORE_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Maximum age of the index when a VM reports that a position has no result yet. A result that one VM
/// has returned must be visible on all others within a second.
const MAX_STALENESS: Duration = Duration::from_millis(900);
/// Size limit of a job's encoded items, which are written in one transaction.
const MAX_INPUT_BYTES: usize = 700_000;
/// Memory of a read of a job's items for a caller: the rows, their joined value, and the items.
const INPUT_READ_BYTES: usize = 3 * MAX_INPUT_BYTES;
/// Memory of a read of a page of results for a caller: up to two pages of rows of 1 MB each, their joined values, and
/// the results.
const PAGE_READ_BYTES: usize = 4 * 1024 * 1024;

/// Why an API call on a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// The VM has no configuration yet.
    NotConfigured,
    /// No route or workspace matches, but the configuration may be older than the newest one.
    MayBeOutdated,
    /// No batch route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The workspace has no such job, or the job has no such item.
    Unknown,
    /// The job would exceed the workspace's limit of waiting tokens.
    TooMuchWaiting,
    /// The store is unavailable; nothing was changed.
    Unavailable,
    /// There is no memory for the request or its response; nothing was changed.
    NoMemory,
    /// The store did not respond; the job may or may not have been accepted or ended.
    OutcomeUnknown,
}

impl JobRefusal {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::MayBeOutdated => "may_be_outdated",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::Unknown => "unknown",
            Self::TooMuchWaiting => "too_much_waiting",
            Self::Unavailable => "store_unavailable",
            Self::NoMemory => "no_memory",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// Result of an API call on a job.
pub type JobApiResult<T> = Result<T, JobRefusal>;

/// Body of an item of a job, with the memory that it holds until it is sent.
#[derive(Debug)]
pub struct JobItemBody {
    /// The body.
    pub body: Bytes,
    /// Its memory.
    pub memory: MemoryLease,
}

/// Page of results of a job, starting at a position.
#[derive(Debug)]
pub struct JobResultPage {
    /// Number of items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results in the order of their commits; `None` if there are none.
    pub held: Option<HeldPage>,
}

impl JobResultPage {
    /// Returns the result with this index in the page; see [`HeldPage::result`].
    pub fn result(&self, index: usize) -> Option<Rc<JobItemResult>> {
        self.held.as_ref()?.result(index)
    }

    /// Returns all results.
    pub fn results(&self) -> Vec<Rc<JobItemResult>> {
        self.held.iter().flat_map(HeldPage::results).collect()
    }
}

impl GatewayCore {
    /// Accepts a job; submitting an accepted job again succeeds and changes nothing.
    pub(crate) async fn submit_job(self: &Rc<Self>, submission: JobSubmission) -> JobApiResult<()> {
        let accepted = self.accept_job(&submission).await;
        let outcome = accepted.map_or_else(JobRefusal::as_str, |()| "accepted");
        log::info!(
            job = submission.id, items = submission.items.len() as u64, outcome = outcome,
            config_version = self.config_version();
            "job handed in"
        );
        self.metrics.count("job", outcome);
        accepted
    }

    async fn accept_job(self: &Rc<Self>, submission: &JobSubmission) -> JobApiResult<()> {
        // Before the route is looked up, so that the records up to this version contain the route.
        let operator_version = self.operators.version();
        let (workspace, route, terms) = self.find_batch_route(submission)?;
        let job = JobName::of(workspace.as_ref(), &submission.id);
        if self.jobs.index.borrow().get(&job).is_some() {
            return Ok(());
        }
        if self.is_stopping() {
            return Err(JobRefusal::Unavailable);
        }
        // The caller may declare any number of tokens.
        let mut tokens = submission.items.iter().map(|item| item.tokens);
        let tokens = tokens.try_fold(0_u64, u64::checked_add).ok_or(JobRefusal::TooMuchWaiting)?;
        let waiting = self.jobs.index.borrow().waiting_tokens(workspace.as_ref(), &route);
        if terms.max_waiting_tokens.is_some_and(|max| waiting.saturating_add(tokens) > max) {
            // Another VM may have accepted the same job, and the change has not arrived here yet.
            return match self.read_job_with_retry(&job).await? {
                Some(_) => Ok(()),
                None => Err(JobRefusal::TooMuchWaiting),
            };
        }
        let inputs = encode(&submission.items);
        let now = self.store_time();
        let head = JobHead {
            workspace,
            route,
            host: submission.host.clone(),
            accepted_at: now,
            due_at: now + terms.completion_target,
            keep_until: now + terms.max_queue_time,
            items: submission.items.len() as u32,
            tokens,
            lead: self.settings.vm.as_str().to_owned(),
            lead_incarnation: self.incarnation,
            ended: false,
        };
        // The feed may deliver the new rows before the store's response arrives; this VM must not claim
        // the job then.
        if !self.jobs.starting.borrow_mut().insert(job.clone()) {
            return Err(JobRefusal::OutcomeUnknown);
        }
        let _starting = StartingGuard { core: Rc::clone(self), job: job.clone() };
        let items = Rc::new(submission.items.clone());
        self.write_job(&job, head, &inputs, JobInputs { items, operator_version }).await
    }

    fn find_batch_route(
        &self,
        submission: &JobSubmission,
    ) -> JobApiResult<(Option<WorkspaceId>, String, BatchPolicy)> {
        let catalog = self.catalog().ok_or(JobRefusal::NotConfigured)?;
        let found = catalog.find(&submission.host, &submission.path, submission.key.as_ref());
        let found = found.map_err(|miss| self.job_refusal_for(miss))?;
        let RouteClass::Batch(terms) = found.route.class else { return Err(JobRefusal::NoRoute) };
        let workspace = found.workspace.map(|workspace| workspace.name.clone());
        Ok((workspace, found.route.name.to_string(), terms))
    }

    fn job_refusal_for(&self, miss: RouteMiss) -> JobRefusal {
        match miss {
            _ if !self.has_current_config() => JobRefusal::MayBeOutdated,
            RouteMiss::NoRoute => JobRefusal::NoRoute,
            RouteMiss::BadKey => JobRefusal::BadKey,
        }
    }

    async fn write_job(
        self: &Rc<Self>,
        job: &JobName,
        head: JobHead,
        encoded_inputs: &[u8],
        inputs: JobInputs,
    ) -> JobApiResult<()> {
        if encoded_inputs.len() > MAX_INPUT_BYTES {
            log::error!(
                job = job.as_str(), bytes = encoded_inputs.len() as u64;
                "job not accepted: its encoded items exceed the transaction limit"
            );
            return Err(JobRefusal::Unavailable);
        }
        let progress = JobProgress { attempt: rand::random(), ..JobProgress::default() };
        let transaction = RowTransaction::in_partition(&job.partition())
            .expect(JOB_TABLE, &job.head_key(), 0)
            .write(JOB_TABLE, &job.head_key(), encode(&head))
            .write(JOB_TABLE, &job.progress_key(), encode(&progress));
        let transaction = write_chunks(transaction, INPUT_TABLE, job, 0, encoded_inputs);
        let deadline = monotonic() + STORE_TIMEOUT;
        let mut may_be_written = false;
        let version = loop {
            match self.rows.transact(&transaction).await {
                Ok(version) => break version,
                Err(RowError::Conflict) => {
                    // Either another VM wrote the job, or the response to an earlier attempt was lost.
                    // The leader finds the job by its rows.
                    let stored = self.read_job_with_retry(job).await;
                    return stored.map_err(|_| JobRefusal::OutcomeUnknown).map(|_| ());
                }
                Err(error) => {
                    log::warn!(
                        job = job.as_str(), error = error.to_string();
                        "job not written; retrying until the store timeout"
                    );
                    may_be_written |= !matches!(error, RowError::Refused(_));
                }
            }
            if monotonic() >= deadline {
                return Err(if may_be_written {
                    JobRefusal::OutcomeUnknown
                } else {
                    JobRefusal::Unavailable
                });
            }
            tokio::time::sleep(STORE_RETRY_DELAY).await;
        };
        let entry = JobEntry { head, head_version: version, progress, progress_version: version };
        self.record_job(job, &entry);
        let state = LeaderState {
            job: job.clone(),
            entry,
            inputs,
            committed: HashSet::new(),
            partials: Vec::new(),
        };
        self.start_leader(state);
        Ok(())
    }

    /// Reads a job from the store, with retries until the store timeout.
    async fn read_job_with_retry(&self, job: &JobName) -> JobApiResult<Option<JobEntry>> {
        let deadline = monotonic() + STORE_TIMEOUT;
        loop {
            match self.read_job(job).await {
                Ok(entry) => return Ok(entry),
                Err(error) if monotonic() >= deadline => {
                    log::warn!(
                        job = job.as_str(), error = error.to_string();
                        "job not read before the store timeout"
                    );
                    return Err(JobRefusal::Unavailable);
                }
                Err(_) => tokio::time::sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    /// Returns the job of a call. A job in the index exists; a job that is missing there may still be in
    /// the store.
    async fn find_job(&self, key: Option<&KeyHash>, id: &str) -> JobApiResult<(JobName, JobEntry)> {
        let workspace = {
            let catalog = self.catalog().ok_or(JobRefusal::NotConfigured)?;
            let workspace = catalog.workspace_of(key);
            if workspace.is_none() && catalog.needs_keys() {
                return Err(self.job_refusal_for(RouteMiss::BadKey));
            }
            workspace.map(|workspace| workspace.name.clone())
        };
        let job = JobName::of(workspace.as_ref(), id);
        if let Some(entry) = self.jobs.index.borrow().get(&job) {
            return Ok((job.clone(), entry.clone()));
        }
        let entry = self.read_job_with_retry(&job).await?;
        entry.map(|entry| (job, entry)).ok_or(JobRefusal::Unknown)
    }

    /// Returns results from a position on, waiting up to `wait` for the first one.
    pub(crate) async fn job_results(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> JobApiResult<JobResultPage> {
        let wait_until = monotonic() + wait;
        loop {
            let (job, entry) = self.find_job(key, id).await?;
            let listed = entry.progress.listed;
            let total = entry.head.items;
            if after < listed {
                let cached = self.jobs.cache.borrow().page(&job, after, listed);
                let results = match cached {
                    Some(results) => results,
                    None => self.stored_page(&job, after, listed).await?,
                };
                return self.hold_page(&job, &entry, after, results);
            }
            let remaining = wait_until.saturating_sub(monotonic());
            if remaining.is_zero() || self.is_closed() || entry.head.ended || listed >= total {
                return self.confirm_empty_page(&job, after, total).await;
            }
            // A notification between the check and the wait is missed, which delays the response by one
            // wait at most.
            tokio::select! {
                _ = tokio::time::timeout(remaining, self.jobs.changed.notified()) => {}
                () = self.closed() => {}
            }
        }
    }

    /// Returns an empty page if the index is fresh or the store confirms that the position has no result;
    /// otherwise the results found in the store.
    async fn confirm_empty_page(
        &self,
        job: &JobName,
        after: u32,
        total: u32,
    ) -> JobApiResult<JobResultPage> {
        let empty = JobResultPage { total, next: after, held: None };
        if self.jobs.progress.is_fresh(monotonic(), MAX_STALENESS) {
            return Ok(empty);
        }
        match self.read_job_with_retry(job).await? {
            Some(entry) if entry.progress.listed > after => {
                let results = self.stored_page(job, after, entry.progress.listed).await?;
                self.hold_page(job, &entry, after, results)
            }
            Some(_) => Ok(empty),
            None => Err(JobRefusal::Unknown),
        }
    }

    /// Holds a page until its response is sent. The page is smaller if there is not enough memory for all results.
    fn hold_page(
        &self,
        job: &JobName,
        entry: &JobEntry,
        after: u32,
        results: Vec<Rc<JobItemResult>>,
    ) -> JobApiResult<JobResultPage> {
        let total = entry.head.items;
        if results.is_empty() {
            return Ok(JobResultPage { total, next: after, held: None });
        }
        let workspace = entry.head.workspace.as_ref().map_or("", WorkspaceId::as_str);
        let owner = xxh3_64(workspace.as_bytes());
        let page = self.pages.hold(job.as_str(), owner, after, results);
        let page = page.map_err(|MemoryShortage| JobRefusal::NoMemory)?;
        let next = after + page.len() as u32;
        Ok(JobResultPage { total, next, held: Some(page) })
    }

    async fn stored_page(
        &self,
        job: &JobName,
        after: u32,
        listed: u32,
    ) -> JobApiResult<Vec<Rc<JobItemResult>>> {
        let _permit = self.begin_caller_read().await?;
        // Another caller may have read them meanwhile.
        let cached = self.jobs.cache.borrow().page(job, after, listed);
        if let Some(cached) = cached {
            return Ok(cached);
        }
        let _memory = self.hold_rows(PAGE_READ_BYTES)?;
        self.read_result_page(job, after).await.map_err(|error| {
            log::warn!(job = job.as_str(), error = error.to_string(); "job results not read");
            JobRefusal::Unavailable
        })
    }

    /// Waits until rows may be read for a caller, up to the store timeout.
    async fn begin_caller_read(&self) -> JobApiResult<SemaphorePermit<'_>> {
        let permit = tokio::time::timeout(STORE_TIMEOUT, self.jobs.caller_reads.acquire()).await;
        // The semaphore is never closed.
        permit.ok().and_then(Result::ok).ok_or(JobRefusal::Unavailable)
    }

    fn hold_rows(&self, bytes: usize) -> JobApiResult<MemoryLease> {
        let lease = self.memory.reserve(MemoryKind::Batch, bytes);
        lease.map_err(|MemoryShortage| JobRefusal::NoMemory)
    }

    /// Returns the body of an item.
    pub(crate) async fn job_item(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        item: &str,
    ) -> JobApiResult<JobItemBody> {
        let (job, _) = self.find_job(key, id).await?;
        let led = self.jobs.inputs.borrow().get(&job).cloned();
        if let Some(inputs) = led {
            return self.copy_item(&inputs, item);
        }
        let _permit = self.begin_caller_read().await?;
        let _memory = self.hold_rows(INPUT_READ_BYTES)?;
        let inputs = self.read_inputs(&job).await.map_err(|error| {
            log::warn!(job = job.as_str(), error = error.to_string(); "job inputs not read");
            JobRefusal::Unavailable
        })?;
        self.copy_item(&inputs, item)
    }

    fn copy_item(&self, inputs: &JobInputs, item: &str) -> JobApiResult<JobItemBody> {
        let item = inputs.items.iter().find(|entry| entry.id == item).ok_or(JobRefusal::Unknown)?;
        let memory = self.hold_rows(item.body.len())?;
        Ok(JobItemBody { body: Bytes::from(item.body.clone()), memory })
    }

    /// Ends a job: stops its items and keeps the committed results.
    pub(crate) async fn end_job(&self, key: Option<&KeyHash>, id: &str) -> JobApiResult<()> {
        let (job, mut entry) = self.find_job(key, id).await?;
        let deadline = monotonic() + STORE_TIMEOUT;
        let mut may_be_written = false;
        while !entry.head.ended {
            entry.head.ended = true;
            let transaction = RowTransaction::in_partition(&job.partition())
                .expect(JOB_TABLE, &job.head_key(), entry.head_version)
                .write(JOB_TABLE, &job.head_key(), encode(&entry.head));
            match self.rows.transact(&transaction).await {
                Ok(version) => entry.head_version = version,
                Err(error) => {
                    log::info!(
                        job = job.as_str(), error = error.to_string();
                        "job end not written; retrying until the store timeout"
                    );
                    may_be_written |= matches!(error, RowError::Unknown(_));
                    if monotonic() >= deadline {
                        return Err(if may_be_written {
                            JobRefusal::OutcomeUnknown
                        } else {
                            JobRefusal::Unavailable
                        });
                    }
                    if error != RowError::Conflict {
                        tokio::time::sleep(STORE_RETRY_DELAY).await;
                    }
                    entry = self.read_job_with_retry(&job).await?.ok_or(JobRefusal::Unknown)?;
                }
            }
        }
        self.record_job(&job, &entry);
        self.stop_stale_leader(&job);
        self.jobs.changed.notify_waiters();
        log::info!(
            job = job.as_str(), head_version = entry.head_version;
            "job ended by its caller"
        );
        Ok(())
    }
}
