//! Leads jobs: assigns their chunks to VMs and commits the results.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};

use crate::ids::{AttemptId, DataCentreId, Epoch, VmId};
use crate::jobs::messages::{ChunkReport, ChunkRequest};
use crate::jobs::{
    ChunkTracker, JobKey, JobRow, JobState, ProgressRow, read_job, read_progress, run_chunk,
};
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::platform::durable::{WriteOutcome, encode_row, write_once};
use crate::platform::{PlatformError, PlatformResult, TableTransaction};
use crate::vm::VmContext;

const MAX_WRITE_ATTEMPTS: usize = 3;
const CHUNK_TIMEOUT: Duration = Duration::from_hours(6);
/// Finished chunks are collected for this long and committed in one write.
const COMMIT_BATCH_DELAY: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// After this long without an event, VMs that failed a chunk are used again, and a write without a known
/// outcome is retried.
const LEADER_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// No new chunk is assigned while this many chunks are finished but not committed.
const MAX_UNCOMMITTED_CHUNKS: usize = 64;

/// Jobs that a VM leads.
#[derive(Default)]
pub(crate) struct JobLeaders {
    leaders: RefCell<HashMap<JobKey, Rc<Notify>>>,
}

impl JobLeaders {
    /// Whether the VM leads a job.
    pub(crate) fn contains(&self, key: &JobKey) -> bool {
        self.leaders.borrow().contains_key(key)
    }

    /// Makes the leader of a job re-read the job's rows.
    pub(crate) fn wake(&self, key: &JobKey) {
        if let Some(notify) = self.leaders.borrow().get(key) {
            notify.notify_one();
        }
    }

    /// Makes the leaders of jobs that are not in `listed` re-read their rows: those jobs have ended or
    /// another VM has claimed them.
    pub(crate) fn wake_unlisted(&self, listed: &HashSet<JobKey>) {
        let leaders = self.leaders.borrow();
        for (_, notify) in leaders.iter().filter(|(key, _)| !listed.contains(key)) {
            notify.notify_one();
        }
    }

    /// Starts a task that leads a job. `home` is the data centre that lists the job.
    pub(crate) fn spawn(self: &Rc<Self>, context: &Rc<VmContext>, key: JobKey, home: DataCentreId) {
        let notify = Rc::new(Notify::new());
        self.leaders.borrow_mut().insert(key.clone(), Rc::clone(&notify));
        let leaders = Rc::clone(self);
        let context = Rc::clone(context);
        ntex::rt::spawn(async move {
            if let Err(error) = lead_job(&context, &key, &home, &notify).await {
                log::warn!("jobs: Stopped leading `{}`: {error}.", key.job);
            }
            leaders.leaders.borrow_mut().remove(&key);
        });
    }
}

/// A led job, with the row versions that the leader's writes require.
struct JobLeader<'a> {
    context: &'a Rc<VmContext>,
    key: &'a JobKey,
    home: &'a DataCentreId,
    row: JobRow,
    row_version: u64,
    progress: ProgressRow,
    progress_version: u64,
    tracker: ChunkTracker,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitOutcome {
    /// The write took effect or the rows were re-read, and this VM still leads the running job.
    Committed,
    /// Another VM leads the job, or the job has ended.
    Fenced,
    /// The table did not respond, so the outcome is unknown.
    Unconfirmed,
}

type ChunkOutcome = (u32, VmId, Option<ChunkReport>);

async fn lead_job(
    context: &Rc<VmContext>,
    key: &JobKey,
    home: &DataCentreId,
    notify: &Notify,
) -> PlatformResult<()> {
    let Some(mut leader) = JobLeader::claim(context, key, home).await? else { return Ok(()) };
    log::info!("jobs: Leading `{}` with epoch {}.", key.job, leader.progress.epoch.0);
    leader.run(notify).await
}

impl<'a> JobLeader<'a> {
    /// Claims the job by a write that fences every earlier leader. Returns `None` if another VM wrote
    /// first or the job has ended.
    async fn claim(
        context: &'a Rc<VmContext>,
        key: &'a JobKey,
        home: &'a DataCentreId,
    ) -> PlatformResult<Option<Self>> {
        let table = context.table.as_ref();
        let Some((row, row_version)) = read_job(table, key).await? else { return Ok(None) };
        let (mut progress, version) = read_progress(table, key).await?.unwrap_or_default();
        let attempt = AttemptId::random();
        let local_data_centre = &context.settings().data_centre;
        let active = key.active_row(local_data_centre);
        progress.epoch = Epoch(progress.epoch.0 + 1);
        progress.lead = Some(context.settings().vm.clone());
        let marker = ProgressRow { chunks: std::collections::BTreeMap::new(), ..progress.clone() };
        // Requires the job row's version: a job cancelled in between would be listed as active again.
        let mut transaction = TableTransaction::default()
            .require(&key.job_row(), row_version)
            .require(&key.progress_row(), version)
            .write(&key.progress_row(), encode_row(&progress, &attempt));
        transaction = if row.state == JobState::Running {
            transaction.write(&active, encode_row(&marker, &attempt))
        } else {
            transaction.delete(&active)
        };
        if home != local_data_centre {
            transaction = transaction.delete(&key.active_row(home));
        }
        let progress_row = key.progress_row();
        match write_once(table, &transaction, &progress_row, &attempt, MAX_WRITE_ATTEMPTS).await? {
            WriteOutcome::Conflict => Ok(None),
            WriteOutcome::Written(_) if row.state != JobState::Running => Ok(None),
            WriteOutcome::Written(progress_version) => {
                let committed = progress.chunks.keys().copied();
                let tracker = ChunkTracker::open(row.inputs.len() as u32, committed);
                Ok(Some(Self {
                    context,
                    key,
                    home: local_data_centre,
                    row,
                    row_version,
                    progress,
                    progress_version,
                    tracker,
                }))
            }
        }
    }

    async fn run(&mut self, notify: &Notify) -> PlatformResult<()> {
        let (sender, mut outcomes) = mpsc::unbounded_channel::<ChunkOutcome>();
        let mut tasks = Vec::new();
        let mut excluded: HashSet<VmId> = HashSet::new();
        let mut unconfirmed = false;
        loop {
            self.assign_chunks(&sender, &mut tasks, &excluded);
            let mut should_commit = true;
            tokio::select! {
                outcome = outcomes.recv() => {
                    if let Some((chunk, vm, report)) = outcome {
                        if report.is_none() {
                            excluded.insert(vm);
                        }
                        self.tracker.finish(chunk, report);
                        self.collect_outcomes(&mut outcomes).await;
                    }
                }
                () = notify.notified() => {}
                () = tokio::time::sleep(LEADER_POLL_INTERVAL) => {
                    excluded.clear();
                    should_commit = unconfirmed || !self.tracker.finished().is_empty();
                }
            }
            if !should_commit {
                continue;
            }
            let outcome = self.commit().await?;
            unconfirmed = outcome == CommitOutcome::Unconfirmed;
            match outcome {
                CommitOutcome::Committed if self.tracker.is_complete() => return Ok(()),
                CommitOutcome::Committed => {}
                CommitOutcome::Unconfirmed => tokio::time::sleep(RETRY_DELAY).await,
                // Dropping the tasks cancels the running chunks.
                CommitOutcome::Fenced => return Ok(()),
            }
        }
    }

    /// Collects further outcomes for a short time, so that one write commits many chunks.
    async fn collect_outcomes(&mut self, outcomes: &mut mpsc::UnboundedReceiver<ChunkOutcome>) {
        let deadline = tokio::time::Instant::now() + COMMIT_BATCH_DELAY;
        while !self.tracker.is_idle() {
            let Ok(Some((chunk, _, report))) =
                tokio::time::timeout_at(deadline, outcomes.recv()).await
            else {
                return;
            };
            self.tracker.finish(chunk, report);
        }
    }

    fn assign_chunks(
        &mut self,
        sender: &mpsc::UnboundedSender<ChunkOutcome>,
        tasks: &mut Vec<ChunkTask>,
        excluded: &HashSet<VmId>,
    ) {
        tasks.retain(|task| !task.is_finished());
        if self.tracker.finished().len() >= MAX_UNCOMMITTED_CHUNKS {
            return;
        }
        let limit = self.context.settings().jobs.parallel_chunks;
        let mut vms = self.context.shared.membership().candidates(crate::clock::monotonic());
        vms.retain(|vm| !excluded.contains(vm));
        while let Some((chunk, vm)) = self.tracker.assign(&vms, limit) {
            let request = self.request(chunk);
            tasks.push(ChunkTask::spawn(self.context, vm, request, sender.clone()));
        }
    }

    fn request(&self, chunk: u32) -> ChunkRequest {
        ChunkRequest {
            workspace: self.key.workspace.clone(),
            job: self.key.job.clone(),
            epoch: self.progress.epoch,
            chunk,
            input: self.row.inputs[chunk as usize].clone(),
            due: self.row.due,
        }
    }

    /// Commits all finished chunks in one conditional write. If there are none, checks that the job is
    /// still running and that this VM still leads it.
    async fn commit(&mut self) -> PlatformResult<CommitOutcome> {
        if self.tracker.finished().is_empty() {
            return self.refresh().await;
        }
        let mut progress = self.progress.clone();
        let chunks: Vec<u32> = self.tracker.finished().keys().copied().collect();
        progress.chunks.extend(self.tracker.finished().clone());
        let complete = progress.chunks.len() == self.row.inputs.len();
        let attempt = AttemptId::random();
        let progress_row = self.key.progress_row();
        let mut transaction = TableTransaction::default()
            .require(&self.key.job_row(), self.row_version)
            .require(&progress_row, self.progress_version)
            .write(&progress_row, encode_row(&progress, &attempt));
        if complete {
            let row = JobRow { state: JobState::Completed, ..self.row.clone() };
            transaction = transaction
                .write(&self.key.job_row(), encode_row(&row, &attempt))
                .delete(&self.key.active_row(self.home));
        }
        let table = self.context.table.as_ref();
        match write_once(table, &transaction, &progress_row, &attempt, MAX_WRITE_ATTEMPTS).await {
            Ok(WriteOutcome::Written(version)) => {
                self.progress = progress;
                self.progress_version = version;
                self.tracker.commit(chunks);
                Ok(CommitOutcome::Committed)
            }
            // The write may have taken effect although its response was lost; the rows show it.
            Ok(WriteOutcome::Conflict) | Err(PlatformError::Unavailable(_)) => self.refresh().await,
            Err(error) => Err(error),
        }
    }

    /// Re-reads both rows and updates the state from them.
    async fn refresh(&mut self) -> PlatformResult<CommitOutcome> {
        let table = self.context.table.as_ref();
        let rows = async {
            let job = read_job(table, self.key).await?;
            Ok((job, read_progress(table, self.key).await?))
        };
        let (job, progress) = match rows.await {
            Ok((Some(job), Some(progress))) => (job, progress),
            Ok(_) => return Ok(CommitOutcome::Fenced),
            Err(PlatformError::Unavailable(_)) => return Ok(CommitOutcome::Unconfirmed),
            Err(error) => return Err(error),
        };
        (self.row, self.row_version) = job;
        let (progress, version) = progress;
        if progress.epoch != self.progress.epoch {
            return Ok(CommitOutcome::Fenced);
        }
        let committed: Vec<u32> = progress.chunks.keys().copied().collect();
        self.progress = progress;
        self.progress_version = version;
        self.tracker.commit(committed);
        if self.row.state != JobState::Running {
            return Ok(CommitOutcome::Fenced);
        }
        Ok(CommitOutcome::Committed)
    }
}

/// Task of a chunk that runs on a VM; dropping it cancels the chunk.
struct ChunkTask {
    handle: tokio::task::JoinHandle<()>,
}

impl ChunkTask {
    fn spawn(
        context: &Rc<VmContext>,
        vm: VmId,
        request: ChunkRequest,
        sender: mpsc::UnboundedSender<ChunkOutcome>,
    ) -> Self {
        let context = Rc::clone(context);
        let handle = tokio::task::spawn_local(async move {
            let chunk = request.chunk;
            let report = run_chunk_on(&context, &vm, request).await;
            let _ = sender.send((chunk, vm, report));
        });
        Self { handle }
    }

    fn is_finished(&self) -> bool {
        self.handle.is_finished()
    }
}

impl Drop for ChunkTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

async fn run_chunk_on(
    context: &Rc<VmContext>,
    vm: &VmId,
    request: ChunkRequest,
) -> Option<ChunkReport> {
    if *vm == context.settings().vm {
        let result = run_chunk(context, &request).await;
        return result.map_err(|error| log::warn!("jobs: A local chunk failed: {error}.")).ok();
    }
    let reply = context.shared.request(vm, PeerRequest::RunChunk(request), CHUNK_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Chunk(report)) => Some(report),
        Ok(_) => None,
        Err(error) => {
            log::info!("jobs: VM `{vm}` did not finish a chunk: {error}.");
            None
        }
    }
}
