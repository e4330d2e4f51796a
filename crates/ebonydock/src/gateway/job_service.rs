//! What a VM knows of jobs, and how it reads their rows.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::gateway::job_cache::ResultCache;
use crate::gateway::job_leader::SharedPartials;
use crate::gateway::job_records::{
    INPUT_TABLE, JOB_TABLE, JobEntry, JobIndex, JobItem, JobItemResult, JobName, JobProgress,
    RESULT_TABLE, decode, join_chunks,
};
use crate::gateway::runtime::GatewayCore;
use crate::platform::rows::{RowError, RowResult, StoredRow, read_all};

/// A lead that runs on this VM.
pub(crate) struct RunningLead {
    pub(crate) task: JoinHandle<()>,
    pub(crate) partials: SharedPartials,
}

/// Marks a job as being started by this VM.
pub(crate) struct StartingGuard {
    pub(crate) core: Rc<GatewayCore>,
    pub(crate) job: JobName,
}

impl Drop for StartingGuard {
    fn drop(&mut self) {
        self.core.jobs.starting.borrow_mut().remove(&self.job);
    }
}

/// The jobs of a VM.
#[derive(Default)]
pub(crate) struct JobService {
    pub(crate) book: RefCell<JobIndex>,
    pub(crate) leads: RefCell<HashMap<JobName, RunningLead>>,
    pub(crate) starting: RefCell<HashSet<JobName>>,
    pub(crate) silent_since: RefCell<HashMap<JobName, Duration>>,
    pub(crate) cache: RefCell<ResultCache>,
    pub(crate) inputs: RefCell<HashMap<JobName, Rc<Vec<JobItem>>>>,
    /// When the follower of jobs heard from the store last.
    pub(crate) heard_at: RefCell<Rc<Cell<Option<Duration>>>>,
    pace: Cell<ItemPace>,
    pub(crate) changed: Notify,
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

impl JobService {
    /// The time that an item with so many events still takes.
    pub(crate) fn item_time(&self, events: u64) -> Duration {
        let pace = self.pace.get();
        let left = (pace.events - events as f64).max(pace.events * LEAST_LEFT);
        Duration::try_from_secs_f64(left * pace.event_s).unwrap_or_default()
    }

    /// Whether what is known of jobs was the store's state within some time.
    pub(crate) fn is_current(&self, now: Duration, age: Duration) -> bool {
        self.heard_at.borrow().get().is_some_and(|at| now.saturating_sub(at) <= age)
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
    /// Reads a job's head and progress from the store; `None` if there is no such job.
    pub(crate) async fn read_job(&self, job: &JobName) -> RowResult<Option<JobEntry>> {
        let rows = self.read_rows(JOB_TABLE, job, &job.first_key()).await?;
        let find = |key: &str| rows.iter().find(|row| row.key == key);
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

    /// Takes what the store says of a job.
    pub(crate) fn note_job(&self, job: &JobName, entry: &JobEntry) {
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
        results: Vec<JobItemResult>,
    ) {
        self.jobs.cache.borrow_mut().add(job, first, results);
        self.jobs.book.borrow_mut().set_progress(job, progress, version);
        self.jobs.changed.notify_waiters();
    }

    /// Reads the rows of a job in a table from a key on.
    pub(crate) async fn read_rows(
        &self,
        table: &str,
        job: &JobName,
        from: &str,
    ) -> RowResult<Vec<StoredRow>> {
        let page = read_all(&*self.rows, table, &job.part(), from, &job.end_key()).await?;
        Ok(page.rows)
    }

    /// The items of a job.
    pub(crate) async fn read_inputs(&self, job: &JobName) -> RowResult<Rc<Vec<JobItem>>> {
        if let Some(items) = self.jobs.inputs.borrow().get(job) {
            return Ok(Rc::clone(items));
        }
        let rows = self.read_rows(INPUT_TABLE, job, &job.first_key()).await?;
        let values = join_chunks(&rows);
        let value = values.first().map(|(_, value)| value.as_slice()).unwrap_or_default();
        let items: Vec<JobItem> = decode(value).map_err(RowError::Refused)?;
        Ok(Rc::new(items))
    }

    /// Reads the results of a job from a position on.
    pub(crate) async fn read_results(
        &self,
        job: &JobName,
        from: u32,
    ) -> RowResult<Vec<JobItemResult>> {
        let rows = self.read_rows(RESULT_TABLE, job, &job.numbered_key(from as usize)).await?;
        let values = join_chunks(&rows).into_iter();
        let results = values.map(|(_, value)| decode(&value).map_err(RowError::Refused));
        let results: Vec<JobItemResult> = results.collect::<RowResult<_>>()?;
        self.jobs.cache.borrow_mut().add(job, from, results.clone());
        Ok(results)
    }
}
