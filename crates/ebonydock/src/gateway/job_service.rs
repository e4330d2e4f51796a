//! State that a VM holds on batch jobs, and reads of their rows.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;

use crate::gateway::claim_planner::ClaimPlanner;
use crate::gateway::followers::FollowerProgress;
use crate::gateway::job_cache::{MAX_PAGE_BYTES, ResultCache, first_page};
use crate::gateway::job_leader::SharedPartials;
use crate::gateway::job_records::{
    INPUT_TABLE, JOB_TABLE, JobEntry, JobIndex, JobItem, JobItemResult, JobName, JobProgress,
    RESULT_TABLE, decode, join_chunks,
};
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::platform::rows::{RowError, RowResult, StoredRow, read_all, row_key_after};

/// Handle of a leader that runs on this VM.
pub(crate) struct RunningLeader {
    pub(crate) task: JoinHandle<()>,
    pub(crate) partials: SharedPartials,
}

/// Items of a job as they were accepted.
#[derive(Clone, Debug)]
pub(crate) struct JobInputs {
    pub(crate) items: Rc<Vec<JobItem>>,
    /// Store version up to which a VM must have applied the operators' records to know the configuration under
    /// which the job was accepted.
    pub(crate) operator_version: u64,
}

/// Marks a job as being submitted or claimed by this VM until it is dropped.
pub(crate) struct StartingGuard {
    pub(crate) core: Rc<GatewayCore>,
    pub(crate) job: JobName,
}

impl Drop for StartingGuard {
    fn drop(&mut self) {
        self.core.jobs.starting.borrow_mut().remove(&self.job);
    }
}

/// State that a VM holds on batch jobs.
pub(crate) struct JobService {
    pub(crate) index: RefCell<JobIndex>,
    pub(crate) leaders: RefCell<HashMap<JobName, RunningLeader>>,
    /// Jobs that this VM is submitting or claiming.
    pub(crate) starting: RefCell<HashSet<JobName>>,
    pub(crate) claims: RefCell<ClaimPlanner>,
    /// VMs whose leases are being read.
    pub(crate) reading_leases: RefCell<HashSet<VmId>>,
    pub(crate) cache: RefCell<ResultCache>,
    /// Items of the jobs that this VM leads.
    pub(crate) inputs: RefCell<HashMap<JobName, JobInputs>>,
    /// How far the index has followed the job table.
    pub(crate) progress: Rc<FollowerProgress>,
    item_stats: Cell<ItemStats>,
    /// Wakes callers that wait for results.
    pub(crate) changed: Notify,
    /// Bounds the reads of rows for callers.
    pub(crate) caller_reads: Semaphore,
}

/// Moving averages over the items that ran on this VM.
#[derive(Clone, Copy, Debug)]
struct ItemStats {
    events_per_item: f64,
    seconds_per_event: f64,
}

impl Default for ItemStats {
    fn default() -> Self {
        // The initial estimate only matters for the first few items.
        Self { events_per_item: 150.0, seconds_per_event: 0.03 }
    }
}

/// Number of reads of inputs and results for callers at the same time. Each holds several copies of up to 1 MB.
const MAX_CALLER_READS: usize = 2;
/// Weight of the newest item in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Remaining fraction of an average item that an estimate never goes below, since the length of an item
/// is unknown in advance.
const MIN_REMAINING_FRACTION: f64 = 0.15;

impl JobService {
    /// Opens the state of a VM that knows no jobs yet.
    pub(crate) fn open(vm: &VmId) -> Self {
        Self {
            index: RefCell::default(),
            leaders: RefCell::default(),
            starting: RefCell::default(),
            claims: RefCell::new(ClaimPlanner::open(vm)),
            reading_leases: RefCell::default(),
            cache: RefCell::default(),
            inputs: RefCell::default(),
            progress: Rc::default(),
            item_stats: Cell::default(),
            changed: Notify::default(),
            caller_reads: Semaphore::new(MAX_CALLER_READS),
        }
    }

    /// Returns the estimated remaining run time of an item that has produced `events` events.
    pub(crate) fn remaining_item_time(&self, events: u64) -> Duration {
        let stats = self.item_stats.get();
        let remaining_events = (stats.events_per_item - events as f64)
            .max(stats.events_per_item * MIN_REMAINING_FRACTION);
        Duration::try_from_secs_f64(remaining_events * stats.seconds_per_event).unwrap_or_default()
    }

    /// Records a run that produced `new_events` of the item's `events` events so far.
    pub(crate) fn record_run(&self, events: u64, new_events: u64, took: Duration, complete: bool) {
        let mut stats = self.item_stats.get();
        if new_events > 0 {
            stats.seconds_per_event +=
                EWMA_WEIGHT * (took.as_secs_f64() / new_events as f64 - stats.seconds_per_event);
        }
        if complete {
            stats.events_per_item += EWMA_WEIGHT * (events as f64 - stats.events_per_item);
        }
        self.item_stats.set(stats);
    }
}

impl GatewayCore {
    /// Reads a job's head and progress from the store; `None` if there is no such job.
    pub(crate) async fn read_job(&self, job: &JobName) -> RowResult<Option<JobEntry>> {
        let rows = self.read_rows(JOB_TABLE, job, &job.range_start()).await?;
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
        self.record_job(job, &entry);
        Ok(Some(entry))
    }

    /// Records the head and progress of a job in the index.
    pub(crate) fn record_job(&self, job: &JobName, entry: &JobEntry) {
        let mut index = self.jobs.index.borrow_mut();
        index.set_head(job, entry.head.clone(), entry.head_version);
        index.set_progress(job, entry.progress, entry.progress_version);
    }

    /// Records results that this VM committed, and wakes waiting readers.
    pub(crate) fn record_results(
        &self,
        job: &JobName,
        progress: JobProgress,
        version: u64,
        start: u32,
        results: Vec<JobItemResult>,
    ) {
        let results: Vec<_> = results.into_iter().map(Rc::new).collect();
        self.jobs.cache.borrow_mut().add(job, start, &results);
        self.jobs.index.borrow_mut().set_progress(job, progress, version);
        self.jobs.changed.notify_waiters();
    }

    /// Reads the rows of a job in one table, starting at a key.
    pub(crate) async fn read_rows(
        &self,
        table: &str,
        job: &JobName,
        from: &str,
    ) -> RowResult<Vec<StoredRow>> {
        let page = read_all(&*self.rows, table, &job.partition(), from, &job.range_end()).await?;
        Ok(page.rows)
    }

    /// Returns the items of a job, from memory if this VM leads it.
    pub(crate) async fn read_inputs(&self, job: &JobName) -> RowResult<JobInputs> {
        if let Some(inputs) = self.jobs.inputs.borrow().get(job) {
            return Ok(inputs.clone());
        }
        let rows = self.read_rows(INPUT_TABLE, job, &job.range_start()).await?;
        // The inputs are written once, by the VM that accepted the job. The configuration that it knew is older
        // than its write.
        let operator_version = rows.first().map_or(0, |row| row.version);
        let values = join_chunks(&rows);
        let value = values.first().map(|(_, value)| value.as_slice()).unwrap_or_default();
        let items: Vec<JobItem> = decode(value).map_err(RowError::Refused)?;
        Ok(JobInputs { items: Rc::new(items), operator_version })
    }

    /// Reads the results of a job from a position on, and adds them to the cache.
    pub(crate) async fn read_results(
        &self,
        job: &JobName,
        from: u32,
    ) -> RowResult<Vec<Rc<JobItemResult>>> {
        let rows = self.read_rows(RESULT_TABLE, job, &job.numbered_key(from as usize)).await?;
        let results = decode_results(join_chunks(&rows))?;
        self.jobs.cache.borrow_mut().add(job, from, &results);
        Ok(results)
    }

    /// Reads the results of one page from a position on, and adds them to the cache.
    pub(crate) async fn read_result_page(
        &self,
        job: &JobName,
        from: u32,
    ) -> RowResult<Vec<Rc<JobItemResult>>> {
        let (partition, end) = (job.partition(), job.range_end());
        let mut start = job.numbered_key(from as usize);
        let mut rows = Vec::new();
        let mut values;
        loop {
            let page = self.rows.range(RESULT_TABLE, &partition, &start, &end).await?;
            rows.extend(page.rows);
            values = join_chunks(&rows);
            let last = rows.last().filter(|_| page.has_more);
            let Some(last) = last else { break };
            // The last result may have further rows.
            values.pop();
            if values.iter().map(|(_, value)| value.len()).sum::<usize>() > MAX_PAGE_BYTES {
                break;
            }
            start = row_key_after(&last.key);
        }
        drop(rows);
        let results = decode_results(values)?;
        self.jobs.cache.borrow_mut().add(job, from, &results);
        Ok(first_page(results.into_iter()))
    }
}

fn decode_results(values: Vec<(usize, Vec<u8>)>) -> RowResult<Vec<Rc<JobItemResult>>> {
    let results = values.into_iter().map(|(_, value)| decode(&value).map_err(RowError::Refused));
    results.map(|result| result.map(Rc::new)).collect()
}
