//! The calls of batch jobs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::catalog::{BatchTerms, RouteClass, RouteMiss};
use crate::gateway::job_book::{
    INPUT_TABLE, JOB_TABLE, JobEntry, JobHead, JobItem, JobName, JobProgress, JobSubmission,
    ListedResult, encode, write_chunks,
};
use crate::gateway::job_cache::first_page;
use crate::gateway::job_desk::StartingGuard;
use crate::gateway::job_lead::LeadStart;
use crate::gateway::runtime::GatewayCore;
use crate::ids::WorkspaceId;
use crate::platform::rows::{RowError, RowTransaction};

/// A call of a job tries the store for this long.
const STORE_PATIENCE: Duration = Duration::from_millis(900);
const STORE_PAUSE: Duration = Duration::from_millis(80);
/// What a VM knows of jobs may be this old when it says that a result is not there: readers see what
/// another VM has shown to one of them within a second.
const FRESH_FOR: Duration = Duration::from_millis(900);
/// Rows of one transaction.
const TRANSACTION_BYTES: usize = 700_000;

/// Why a call of a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// The VM knows no configuration yet.
    NotConfigured,
    /// No batch route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The workspace has no such job, or the job no such item.
    Unknown,
    /// The workspace has too many tokens waiting.
    TooMuchWaiting,
    /// The store cannot be asked; nothing was done.
    Unavailable,
    /// The store did not answer; the job may have been accepted or ended.
    OutcomeUnknown,
}

impl JobRefusal {
    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::Unknown => "unknown",
            Self::TooMuchWaiting => "too_much_waiting",
            Self::Unavailable => "store_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// The outcome of a call of a job.
pub type JobAnswer<T> = Result<T, JobRefusal>;

/// Results of a job from a position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobResultPage {
    /// The items of the job.
    pub total: u32,
    /// The position behind the last result of the page.
    pub next: u32,
    /// The results.
    pub results: Vec<ListedResult>,
}

impl GatewayCore {
    /// Takes a job over or in.
    pub(crate) async fn submit_job(self: &Rc<Self>, submission: JobSubmission) -> JobAnswer<()> {
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

    async fn accept_job(self: &Rc<Self>, submission: &JobSubmission) -> JobAnswer<()> {
        let (workspace, route, terms) = self.batch_route(submission)?;
        let job = JobName::of(workspace.as_ref(), &submission.id);
        if self.jobs.book.borrow().get(&job).is_some() {
            return Ok(());
        }
        if self.is_stopping() {
            return Err(JobRefusal::Unavailable);
        }
        let tokens: u64 = submission.items.iter().map(|item| item.tokens).sum();
        let waiting = self.jobs.book.borrow().waiting_tokens(workspace.as_ref(), &route);
        if terms.waiting_tokens.is_some_and(|most| waiting + tokens > most) {
            // The same job may have been accepted by a VM whose news is still on its way.
            return match self.read_job_patiently(&job).await? {
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
            due_at: now + terms.due_within,
            keep_until: now + terms.keep_for,
            items: submission.items.len() as u32,
            tokens,
            lead: self.settings.vm.as_str().to_owned(),
            lead_incarnation: self.incarnation,
            ended: false,
        };
        // The feed may tell of the job before the store's answer does; it is not to be taken over then.
        if !self.jobs.starting.borrow_mut().insert(job.clone()) {
            return Err(JobRefusal::OutcomeUnknown);
        }
        let _starting = StartingGuard { core: Rc::clone(self), job: job.clone() };
        self.write_job(&job, head, &inputs, submission.items.clone()).await
    }

    fn batch_route(
        &self,
        submission: &JobSubmission,
    ) -> JobAnswer<(Option<WorkspaceId>, String, BatchTerms)> {
        let catalog = self.catalog().ok_or(JobRefusal::NotConfigured)?;
        let found = catalog.find(&submission.host, &submission.path, submission.key.as_ref());
        let found = found.map_err(|miss| match miss {
            RouteMiss::NoRoute => JobRefusal::NoRoute,
            RouteMiss::BadKey => JobRefusal::BadKey,
        })?;
        let RouteClass::Batch(terms) = found.route.class else { return Err(JobRefusal::NoRoute) };
        let workspace = found.workspace.map(|workspace| workspace.name.clone());
        Ok((workspace, found.route.name.to_string(), terms))
    }

    async fn write_job(
        self: &Rc<Self>,
        job: &JobName,
        head: JobHead,
        inputs: &[u8],
        items: Vec<JobItem>,
    ) -> JobAnswer<()> {
        if inputs.len() > TRANSACTION_BYTES {
            log::error!(job = job.as_str(), bytes = inputs.len() as u64; "job too large");
            return Err(JobRefusal::Unavailable);
        }
        let progress = JobProgress { attempt: rand::random(), ..JobProgress::default() };
        let transaction = RowTransaction::in_partition(&job.part())
            .expect(JOB_TABLE, &job.head_key(), 0)
            .write(JOB_TABLE, &job.head_key(), encode(&head))
            .write(JOB_TABLE, &job.progress_key(), encode(&progress));
        let transaction = write_chunks(transaction, INPUT_TABLE, job, 0, inputs);
        let give_up = monotonic() + STORE_PATIENCE;
        let mut may_be_written = false;
        let version = loop {
            match self.rows.transact(&transaction).await {
                Ok(version) => break version,
                Err(RowError::Conflict) => {
                    // Another VM's job, or our own whose answer was lost: the lead is told by its row.
                    let known = self.read_job_patiently(job).await;
                    return known.map_err(|_| JobRefusal::OutcomeUnknown).map(|_| ());
                }
                Err(error) => {
                    log::warn!(job = job.as_str(), error = error.to_string(); "job not written yet");
                    may_be_written |= !matches!(error, RowError::Refused(_));
                }
            }
            if monotonic() >= give_up {
                return Err(if may_be_written {
                    JobRefusal::OutcomeUnknown
                } else {
                    JobRefusal::Unavailable
                });
            }
            tokio::time::sleep(STORE_PAUSE).await;
        };
        let entry = JobEntry { head, head_version: version, progress, progress_version: version };
        self.note_job(job, &entry);
        let start = LeadStart {
            job: job.clone(),
            entry,
            items: Rc::new(items),
            listed: HashSet::new(),
            partials: Vec::new(),
        };
        self.start_lead(start);
        Ok(())
    }

    /// Reads a job from the store, for as long as a call may take.
    async fn read_job_patiently(&self, job: &JobName) -> JobAnswer<Option<JobEntry>> {
        let give_up = monotonic() + STORE_PATIENCE;
        loop {
            match self.read_job(job).await {
                Ok(entry) => return Ok(entry),
                Err(error) if monotonic() >= give_up => {
                    log::warn!(job = job.as_str(), error = error.to_string(); "job not read");
                    return Err(JobRefusal::Unavailable);
                }
                Err(_) => tokio::time::sleep(STORE_PAUSE).await,
            }
        }
    }

    /// The job of a call. What the book says of a job that it knows is true; that it knows none is not.
    async fn find_job(&self, key: Option<&KeyHash>, id: &str) -> JobAnswer<(JobName, JobEntry)> {
        let workspace = {
            let catalog = self.catalog().ok_or(JobRefusal::NotConfigured)?;
            let workspace = catalog.workspace_of(key);
            if workspace.is_none() && catalog.needs_keys() {
                return Err(JobRefusal::BadKey);
            }
            workspace.map(|workspace| workspace.name.clone())
        };
        let job = JobName::of(workspace.as_ref(), id);
        if let Some(entry) = self.jobs.book.borrow().get(&job) {
            return Ok((job.clone(), entry.clone()));
        }
        let entry = self.read_job_patiently(&job).await?;
        entry.map(|entry| (job, entry)).ok_or(JobRefusal::Unknown)
    }

    /// Reads results from a position on, waiting up to `wait` for one.
    pub(crate) async fn job_results(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> JobAnswer<JobResultPage> {
        let wait_until = monotonic() + wait;
        loop {
            let (job, entry) = self.find_job(key, id).await?;
            let listed = entry.progress.listed;
            let total = entry.head.items;
            if after < listed {
                let cached = self.jobs.cache.borrow().page(&job, after, listed);
                let results = match cached {
                    Some(results) => results,
                    None => self.stored_page(&job, after).await?,
                };
                let next = after + results.len() as u32;
                return Ok(JobResultPage { total, next, results });
            }
            let left = wait_until.saturating_sub(monotonic());
            if left.is_zero() || entry.head.ended || listed >= total {
                return self.empty_page(&job, after, total).await;
            }
            // A notification that comes between the look and the wait costs one wait at most.
            let _ = tokio::time::timeout(left, self.jobs.changed.notified()).await;
        }
    }

    /// Nothing is at a position only if the store says so, or its jobs were heard of just now.
    async fn empty_page(&self, job: &JobName, after: u32, total: u32) -> JobAnswer<JobResultPage> {
        let empty = JobResultPage { total, next: after, results: Vec::new() };
        if self.jobs.is_current(monotonic(), FRESH_FOR) {
            return Ok(empty);
        }
        match self.read_job_patiently(job).await? {
            Some(entry) if entry.progress.listed > after => {
                let results = self.stored_page(job, after).await?;
                let next = after + results.len() as u32;
                Ok(JobResultPage { total, next, results })
            }
            Some(_) => Ok(empty),
            None => Err(JobRefusal::Unknown),
        }
    }

    async fn stored_page(&self, job: &JobName, after: u32) -> JobAnswer<Vec<ListedResult>> {
        let results = self.read_results(job, after).await.map_err(|error| {
            log::warn!(job = job.as_str(), error = error.to_string(); "results not read");
            JobRefusal::Unavailable
        })?;
        Ok(first_page(results.into_iter()))
    }

    /// The body of an item.
    pub(crate) async fn job_item(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        item: &str,
    ) -> JobAnswer<Bytes> {
        let (job, _) = self.find_job(key, id).await?;
        let items = self.read_inputs(&job).await.map_err(|error| {
            log::warn!(job = job.as_str(), error = error.to_string(); "inputs not read");
            JobRefusal::Unavailable
        })?;
        let item = items.iter().find(|entry| entry.id == item).ok_or(JobRefusal::Unknown)?;
        Ok(Bytes::from(item.body.clone()))
    }

    /// Ends a job.
    pub(crate) async fn end_job(&self, key: Option<&KeyHash>, id: &str) -> JobAnswer<()> {
        let (job, mut entry) = self.find_job(key, id).await?;
        let give_up = monotonic() + STORE_PATIENCE;
        let mut may_be_written = false;
        while !entry.head.ended {
            entry.head.ended = true;
            let transaction = RowTransaction::in_partition(&job.part())
                .expect(JOB_TABLE, &job.head_key(), entry.head_version)
                .write(JOB_TABLE, &job.head_key(), encode(&entry.head));
            match self.rows.transact(&transaction).await {
                Ok(version) => entry.head_version = version,
                Err(error) => {
                    log::info!(job = job.as_str(), error = error.to_string(); "job not ended yet");
                    may_be_written |= matches!(error, RowError::Unknown(_));
                    if monotonic() >= give_up {
                        return Err(if may_be_written {
                            JobRefusal::OutcomeUnknown
                        } else {
                            JobRefusal::Unavailable
                        });
                    }
                    if error != RowError::Conflict {
                        tokio::time::sleep(STORE_PAUSE).await;
                    }
                    entry = self.read_job_patiently(&job).await?.ok_or(JobRefusal::Unknown)?;
                }
            }
        }
        self.note_job(&job, &entry);
        self.check_own_lead(&job);
        self.jobs.changed.notify_waiters();
        log::info!(job = job.as_str(), head_version = entry.head_version; "job ended by its caller");
        Ok(())
    }
}
