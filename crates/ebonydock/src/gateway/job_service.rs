//! The calls of batch jobs, and which VM leads which job.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::catalog::{BatchTerms, RouteClass, RouteMiss};
use crate::gateway::followers::TableNews;
use crate::gateway::job_book::{
    INPUT_TABLE, JOB_TABLE, JobBook, JobEntry, JobHead, JobItem, JobName, JobProgress,
    JobSubmission, ListedResult, PARTIAL_TABLE, RESULT_TABLE, decode, encode, job_parts,
    join_chunks, write_chunks,
};
use crate::gateway::job_lead::{JobLead, LeadStart, SharedPartials, hand_on, read_partials};
use crate::gateway::runtime::GatewayCore;
use crate::ids::{VmId, WorkspaceId};
use crate::ownership::owner_of;
use crate::platform::rows::{RowError, RowResult, RowTransaction, StoredRow};

/// Leads are looked after this often.
const LEAD_INTERVAL: Duration = Duration::from_millis(250);
/// A lead that was not heard for this long after its last report expired is replaced. A lead that is
/// only frozen loses its job by the version of the head, so replacing one too early costs runs only.
const LEAD_SILENCE: Duration = Duration::from_millis(800);
/// After its start a VM first hears from the others before it replaces leads.
const START_GRACE: Duration = Duration::from_millis(2500);
/// A call of a job tries the store for this long.
const STORE_PATIENCE: Duration = Duration::from_millis(900);
const STORE_PAUSE: Duration = Duration::from_millis(80);
/// What a job knows of the store is current if a follower heard from it within this time; feeds answer
/// within eight seconds also without a change.
const FRESH_FOR: Duration = Duration::from_secs(10);
/// A page of results.
const PAGE_BYTES: usize = 900_000;
/// Results that a VM keeps in memory for readers, over all jobs.
const CACHE_BYTES: usize = 6 << 20;
/// Rows of one transaction.
const TRANSACTION_BYTES: usize = 700_000;
/// Jobs are deleted this long after the time for which their results must be kept.
const DELETE_MARGIN: Duration = Duration::from_mins(1);
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);
/// Rows that one transaction deletes.
const DELETE_ROWS: usize = 90;

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

struct RunningLead {
    task: JoinHandle<()>,
    partials: SharedPartials,
}

/// Marks a job as being started by this VM.
struct StartingGuard {
    core: Rc<GatewayCore>,
    job: JobName,
}

impl Drop for StartingGuard {
    fn drop(&mut self) {
        self.core.jobs.starting.borrow_mut().remove(&self.job);
    }
}

/// Committed results never change, so any part of them may be kept.
#[derive(Default)]
struct ResultCache {
    results: HashMap<JobName, Vec<ListedResult>>,
    order: VecDeque<JobName>,
    bytes: usize,
}

impl ResultCache {
    fn add(&mut self, job: &JobName, first: u32, results: Vec<ListedResult>) {
        let known = self.results.entry(job.clone()).or_insert_with(|| {
            self.order.push_back(job.clone());
            Vec::new()
        });
        // Only a gapless beginning is kept.
        if (first as usize) > known.len() {
            return;
        }
        let skip = known.len() - first as usize;
        for result in results.into_iter().skip(skip) {
            self.bytes += result.text.len();
            known.push(result);
        }
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            let dropped = self.results.remove(&oldest).unwrap_or_default();
            self.bytes -= dropped.iter().map(|result| result.text.len()).sum::<usize>();
        }
    }

    fn page(&self, job: &JobName, from: u32, to: u32) -> Option<Vec<ListedResult>> {
        let known = self.results.get(job)?;
        let page = known.get(from as usize..to as usize)?;
        let mut bytes = 0;
        let fits = page.iter().take_while(|result| {
            let first = bytes == 0;
            bytes += result.text.len() + 1;
            first || bytes <= PAGE_BYTES
        });
        Some(fits.cloned().collect())
    }
}

/// The jobs of a VM.
#[derive(Default)]
pub(crate) struct JobDesk {
    book: RefCell<JobBook>,
    leads: RefCell<HashMap<JobName, RunningLead>>,
    starting: RefCell<HashSet<JobName>>,
    silent_since: RefCell<HashMap<JobName, Duration>>,
    cache: RefCell<ResultCache>,
    inputs: RefCell<HashMap<JobName, Rc<Vec<JobItem>>>>,
    pace: Cell<ItemPace>,
    changed: Notify,
}

/// How fast items run, learned from those that did.
#[derive(Clone, Copy, Debug)]
struct ItemPace {
    events: f64,
    event_s: f64,
}

impl Default for ItemPace {
    fn default() -> Self {
        // A first guess that counts for the first few items only.
        Self { events: 150.0, event_s: 0.03 }
    }
}

/// The weight of the newest item in what is learned.
const PACE_WEIGHT: f64 = 0.1;
/// An item takes at least this part of a whole one more, since its length is not known.
const LEAST_LEFT: f64 = 0.15;

impl JobDesk {
    /// The time that an item with so many events still takes.
    pub(crate) fn item_time(&self, events: u64) -> Duration {
        let pace = self.pace.get();
        let left = (pace.events - events as f64).max(pace.events * LEAST_LEFT);
        Duration::try_from_secs_f64(left * pace.event_s).unwrap_or_default()
    }

    /// Learns from a run of an item that made `made` of its `events` events.
    pub(crate) fn learn_run(&self, events: u64, made: u64, took: Duration, complete: bool) {
        let mut pace = self.pace.get();
        if made > 0 {
            pace.event_s += PACE_WEIGHT * (took.as_secs_f64() / made as f64 - pace.event_s);
        }
        if complete {
            pace.events += PACE_WEIGHT * (events as f64 - pace.events);
        }
        self.pace.set(pace);
    }
}

impl GatewayCore {
    /// Follows the jobs and looks after their leads.
    pub(crate) fn spawn_jobs(self: &Rc<Self>) {
        let follower = self.follow(JOB_TABLE, job_parts());
        tokio::task::spawn_local(follower.run(|core, news, _| core.take_job_news(news)));
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(LEAD_INTERVAL).await;
                core.look_after_leads();
            }
        });
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                core.sweep_jobs().await;
            }
        });
    }

    fn take_job_news(self: &Rc<Self>, news: TableNews) {
        let changed = self.jobs.book.borrow_mut().apply(news);
        for job in &changed {
            self.check_own_lead(job);
        }
        self.jobs.changed.notify_waiters();
        self.look_after_leads();
    }

    /// Stops a lead whose job was ended or is led by another VM.
    fn check_own_lead(&self, job: &JobName) {
        let led = self.jobs.book.borrow().is_led_by(job, &self.settings.vm, self.incarnation);
        if !led && let Some(lead) = self.jobs.leads.borrow_mut().remove(job) {
            if !lead.task.is_finished() {
                log::info!(job = job.as_str(); "job stopped");
            }
            lead.task.abort();
            self.jobs.inputs.borrow_mut().remove(job);
        }
    }

    fn look_after_leads(self: &Rc<Self>) {
        if self.is_stopping() {
            return;
        }
        let open = self.jobs.book.borrow().open_jobs();
        self.jobs.silent_since.borrow_mut().retain(|job, _| open.contains(job));
        for job in open {
            if self.jobs.leads.borrow().contains_key(&job) || !self.should_lead(&job) {
                continue;
            }
            if self.jobs.starting.borrow_mut().insert(job.clone()) {
                tokio::task::spawn_local(take_lead(Rc::clone(self), job));
            }
        }
    }

    fn should_lead(&self, job: &JobName) -> bool {
        let now = monotonic();
        let Some(head) = self.jobs.book.borrow().get(job).map(|entry| entry.head.clone()) else {
            return false;
        };
        let lead = VmId::from(head.lead.as_str());
        let own = lead == self.settings.vm;
        if own && head.lead_incarnation == self.incarnation {
            return true;
        }
        let published = self.peering.is_member(&lead, head.lead_incarnation);
        if !own && published && self.board.borrow().hears(&lead) {
            self.jobs.silent_since.borrow_mut().remove(job);
            return false;
        }
        let since = *self.jobs.silent_since.borrow_mut().entry(job.clone()).or_insert(now);
        // A lead that handed the job on or started anew runs it no more.
        let restarted = self.peering.knows(&lead) && !published;
        let gone = head.lead.is_empty() || own || restarted;
        if !gone && (now < since + LEAD_SILENCE || now < self.started_at + START_GRACE) {
            return false;
        }
        let mut candidates = self.board.borrow().heard_vms();
        candidates.push(self.settings.vm.clone());
        owner_of(job.as_str(), &candidates) == Some(&self.settings.vm)
    }

    /// Reads a job's head and progress from the store; `None` if there is no such job.
    pub(crate) async fn read_job(&self, job: &JobName) -> RowResult<Option<JobEntry>> {
        let part = job.part();
        let from = format!("{}/", job.as_str());
        let page = self.rows.range(JOB_TABLE, &part, &from, &job.end_key()).await?;
        let find = |key: &str| page.rows.iter().find(|row| row.key == key);
        let (Some(head), Some(progress)) = (find(&job.head_key()), find(&job.progress_key()))
        else {
            return Ok(None);
        };
        let unreadable = |reason| RowError::Refused(format!("job `{}`: {reason}", job.as_str()));
        let entry = JobEntry {
            head: decode(&head.value).map_err(unreadable)?,
            head_version: head.version,
            progress: decode(&progress.value).map_err(unreadable)?,
            progress_version: progress.version,
        };
        self.note_job(job, &entry);
        Ok(Some(entry))
    }

    fn note_job(&self, job: &JobName, entry: &JobEntry) {
        let mut book = self.jobs.book.borrow_mut();
        book.set_head(job, entry.head.clone(), entry.head_version);
        book.set_progress(job, entry.progress, entry.progress_version);
    }

    /// Takes results that this VM listed.
    pub(crate) fn note_listed(
        &self,
        job: &JobName,
        progress: JobProgress,
        version: u64,
        first: u32,
        results: Vec<ListedResult>,
    ) {
        self.jobs.cache.borrow_mut().add(job, first, results);
        self.jobs.book.borrow_mut().set_progress(job, progress, version);
        self.jobs.changed.notify_waiters();
    }

    async fn read_rows(&self, table: &str, job: &JobName, from: &str) -> RowResult<Vec<StoredRow>> {
        let (part, end) = (job.part(), job.end_key());
        let mut rows: Vec<StoredRow> = Vec::new();
        let mut from = from.to_owned();
        loop {
            let page = self.rows.range(table, &part, &from, &end).await?;
            let last = page.rows.last().map(|row| row.key.clone());
            rows.extend(page.rows);
            match last.filter(|_| page.has_more) {
                Some(last) => from = format!("{last} "),
                None => return Ok(rows),
            }
        }
    }

    async fn read_inputs(&self, job: &JobName) -> RowResult<Rc<Vec<JobItem>>> {
        if let Some(items) = self.jobs.inputs.borrow().get(job) {
            return Ok(Rc::clone(items));
        }
        let rows = self.read_rows(INPUT_TABLE, job, &format!("{}/", job.as_str())).await?;
        let values = join_chunks(&rows);
        let value = values.first().map(|(_, value)| value.as_slice()).unwrap_or_default();
        let items: Vec<JobItem> = decode(value).map_err(RowError::Refused)?;
        Ok(Rc::new(items))
    }

    async fn read_results(&self, job: &JobName, from: u32) -> RowResult<Vec<ListedResult>> {
        let rows = self.read_rows(RESULT_TABLE, job, &job.numbered_key(from as usize)).await?;
        let values = join_chunks(&rows).into_iter();
        let results = values.map(|(_, value)| decode(&value).map_err(RowError::Refused));
        let results: Vec<ListedResult> = results.collect::<RowResult<_>>()?;
        self.jobs.cache.borrow_mut().add(job, from, results.clone());
        Ok(results)
    }

    fn start_lead(self: &Rc<Self>, start: LeadStart) {
        let job = start.job.clone();
        self.jobs.inputs.borrow_mut().insert(job.clone(), Rc::clone(&start.items));
        let (lead, listed) = JobLead::open(self, start);
        let partials = lead.partials();
        let core = Rc::clone(self);
        let own = job.clone();
        let task = tokio::task::spawn_local(async move {
            lead.run(listed).await;
            // Aborted leads do not come here, so the entry is this lead's own.
            core.jobs.leads.borrow_mut().remove(&own);
            core.jobs.inputs.borrow_mut().remove(&own);
        });
        let before = self.jobs.leads.borrow_mut().insert(job, RunningLead { task, partials });
        if let Some(before) = before {
            before.task.abort();
        }
    }

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
            input_chunks: inputs.len().div_ceil(TRANSACTION_BYTES) as u32,
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
        let transaction = RowTransaction::in_part(&job.part())
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

    /// Nothing is at a position only if the store says so or was heard lately.
    async fn empty_page(&self, job: &JobName, after: u32, total: u32) -> JobAnswer<JobResultPage> {
        let empty = JobResultPage { total, next: after, results: Vec::new() };
        if self.heard_store_within(FRESH_FOR) {
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
        let mut bytes = 0;
        let fits = results.into_iter().take_while(|result| {
            let first = bytes == 0;
            bytes += result.text.len() + 1;
            first || bytes <= PAGE_BYTES
        });
        Ok(fits.collect())
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
            let transaction = RowTransaction::in_part(&job.part())
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

    /// Hands all jobs on, on a planned stop.
    pub(crate) async fn hand_on_jobs(&self) {
        let leads: Vec<(JobName, RunningLead)> = self.jobs.leads.borrow_mut().drain().collect();
        for (job, lead) in leads {
            lead.task.abort();
            let Some(entry) = self.jobs.book.borrow().get(&job).cloned() else { continue };
            let transaction = hand_on(&job, &entry, &lead.partials.borrow());
            match self.rows.transact(&transaction).await {
                Ok(version) => log::info!(job = job.as_str(), version = version; "job handed on"),
                Err(error) => {
                    log::warn!(job = job.as_str(), error = error.to_string(); "job not handed on");
                }
            }
        }
    }

    /// Deletes the rows of jobs whose results were kept for long enough.
    async fn sweep_jobs(&self) {
        let kept = self.settings.results_kept + DELETE_MARGIN;
        let Some(before) = self.store_time().checked_sub(kept) else { return };
        let expired = self.jobs.book.borrow().expired(before);
        let mut candidates = self.board.borrow().heard_vms();
        candidates.push(self.settings.vm.clone());
        for job in expired {
            if owner_of(job.as_str(), &candidates) == Some(&self.settings.vm)
                && let Err(error) = self.delete_job(&job).await
            {
                log::warn!(job = job.as_str(), error = error.to_string(); "job not deleted yet");
                return;
            }
        }
    }

    async fn delete_job(&self, job: &JobName) -> RowResult<()> {
        // The head goes last: without it nobody would look for the other rows.
        for table in [INPUT_TABLE, RESULT_TABLE, PARTIAL_TABLE, JOB_TABLE] {
            let rows = self.read_rows(table, job, &format!("{}/", job.as_str())).await?;
            for rows in rows.chunks(DELETE_ROWS) {
                let transaction = RowTransaction::in_part(&job.part());
                let transaction = rows.iter().fold(transaction, |t, row| t.delete(table, &row.key));
                self.rows.transact(&transaction).await?;
            }
        }
        Ok(())
    }
}

/// Makes this VM the lead of a job and starts it.
async fn take_lead(core: Rc<GatewayCore>, job: JobName) {
    let starting = StartingGuard { core, job };
    if let Err(error) = try_lead(&starting.core, &starting.job).await {
        log::info!(job = starting.job.as_str(), error = error.to_string(); "job not taken over");
    }
}

async fn try_lead(core: &Rc<GatewayCore>, job: &JobName) -> RowResult<()> {
    let Some(mut entry) = core.read_job(job).await? else { return Ok(()) };
    if !entry.is_open() || !core.should_lead(job) {
        return Ok(());
    }
    let before = entry.head.lead.clone();
    entry.head.lead = core.settings.vm.as_str().to_owned();
    entry.head.lead_incarnation = core.incarnation;
    let transaction = RowTransaction::in_part(&job.part())
        .expect(JOB_TABLE, &job.head_key(), entry.head_version)
        .write(JOB_TABLE, &job.head_key(), encode(&entry.head));
    entry.head_version = core.rows.transact(&transaction).await?;
    core.note_job(job, &entry);
    let items = core.read_inputs(job).await?;
    // Read after the head was taken: the earlier lead can list nothing more.
    let Some(entry) = core.read_job(job).await? else { return Ok(()) };
    let results = core.read_results(job, 0).await?;
    let listed: HashSet<u32> = results.iter().map(|result| result.index).collect();
    let rows = core.read_rows(PARTIAL_TABLE, job, &format!("{}/", job.as_str())).await?;
    let partials = read_partials(&join_chunks(&rows), items.len());
    log::info!(
        job = job.as_str(), before = before, listed = listed.len() as u64,
        head_version = entry.head_version;
        "job taken over"
    );
    if entry.is_open() && !core.is_stopping() {
        core.start_lead(LeadStart { job: job.clone(), entry, items, listed, partials });
    }
    Ok(())
}
