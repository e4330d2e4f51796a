//! Leading a job: handing out its chunks and committing them.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};

use crate::ids::{AttemptId, DataCentreId, Epoch, VmId};
use crate::jobs::messages::{ChunkOrder, ChunkReport};
use crate::jobs::{
    ChunkLedger, JobKey, JobRow, JobState, ProgressRow, read_job, read_progress, run_chunk,
};
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::platform::durable::{WriteOutcome, encode_row, write_once};
use crate::platform::{PlatformError, PlatformResult, TableTransaction};
use crate::vm::VmContext;

const WRITE_TRIES: usize = 3;
const CHUNK_TIMEOUT: Duration = Duration::from_hours(6);
/// Finished chunks are collected for this long before they are committed together.
const COMMIT_PAUSE: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// After this time VMs that failed a chunk are tried again, and an unanswered write is repeated.
const LEAD_PAUSE: Duration = Duration::from_secs(2);
/// No new chunk is handed out while this many are finished and not committed.
const UNCOMMITTED_LIMIT: usize = 64;

/// The jobs that a VM leads.
#[derive(Default)]
pub(crate) struct JobLeads {
    leads: RefCell<HashMap<JobKey, Rc<Notify>>>,
}

impl JobLeads {
    /// Whether the VM leads a job.
    pub(crate) fn contains(&self, key: &JobKey) -> bool {
        self.leads.borrow().contains_key(key)
    }

    /// Has the lead of a job look at the job's row.
    pub(crate) fn wake(&self, key: &JobKey) {
        if let Some(notify) = self.leads.borrow().get(key) {
            notify.notify_one();
        }
    }

    /// Has the leads of jobs that are not in `listed` look at their rows: those jobs have ended, or
    /// another VM has claimed them.
    pub(crate) fn wake_unlisted(&self, listed: &HashSet<JobKey>) {
        let leads = self.leads.borrow();
        for (_, notify) in leads.iter().filter(|(key, _)| !listed.contains(key)) {
            notify.notify_one();
        }
    }

    /// Starts to lead a job in the background.
    pub(crate) fn spawn(self: &Rc<Self>, context: &Rc<VmContext>, key: JobKey, home: DataCentreId) {
        let notify = Rc::new(Notify::new());
        self.leads.borrow_mut().insert(key.clone(), Rc::clone(&notify));
        let leads = Rc::clone(self);
        let context = Rc::clone(context);
        ntex::rt::spawn(async move {
            if let Err(error) = lead_job(&context, &key, &home, &notify).await {
                log::warn!("jobs: Stopped leading `{}`: {error}.", key.job);
            }
            leads.leads.borrow_mut().remove(&key);
        });
    }
}

/// A job with the versions that its lead's writes depend on.
struct JobLead<'a> {
    context: &'a Rc<VmContext>,
    key: &'a JobKey,
    home: &'a DataCentreId,
    row: JobRow,
    row_version: u64,
    progress: ProgressRow,
    progress_version: u64,
    ledger: ChunkLedger,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitOutcome {
    Committed,
    Fenced,
    Unanswered,
}

type ChunkOutcome = (u32, VmId, Option<ChunkReport>);

async fn lead_job(
    context: &Rc<VmContext>,
    key: &JobKey,
    home: &DataCentreId,
    notify: &Notify,
) -> PlatformResult<()> {
    let Some(mut lead) = JobLead::claim(context, key, home).await? else { return Ok(()) };
    log::info!("jobs: Leads `{}` with epoch {}.", key.job, lead.progress.epoch.0);
    lead.run(notify).await
}

impl<'a> JobLead<'a> {
    /// Claims the job: the claim's write fences every earlier lead.
    async fn claim(
        context: &'a Rc<VmContext>,
        key: &'a JobKey,
        home: &'a DataCentreId,
    ) -> PlatformResult<Option<Self>> {
        let table = context.table.as_ref();
        let Some((row, row_version)) = read_job(table, key).await? else { return Ok(None) };
        let (mut progress, version) = read_progress(table, key).await?.unwrap_or_default();
        let attempt = AttemptId::random();
        let own = &context.settings().data_centre;
        let active = key.active_row(own);
        progress.epoch = Epoch(progress.epoch.0 + 1);
        progress.lead = Some(context.settings().vm.clone());
        let marker = ProgressRow { chunks: std::collections::BTreeMap::new(), ..progress.clone() };
        // The job must not have been cancelled in between: it would be listed again.
        let mut transaction = TableTransaction::default()
            .require(&key.job_row(), row_version)
            .require(&key.progress_row(), version)
            .write(&key.progress_row(), encode_row(&progress, &attempt));
        transaction = if row.state == JobState::Running {
            transaction.write(&active, encode_row(&marker, &attempt))
        } else {
            transaction.delete(&active)
        };
        if home != own {
            transaction = transaction.delete(&key.active_row(home));
        }
        let witness = key.progress_row();
        match write_once(table, &transaction, &witness, &attempt, WRITE_TRIES).await? {
            WriteOutcome::Conflict => Ok(None),
            WriteOutcome::Written(_) if row.state != JobState::Running => Ok(None),
            WriteOutcome::Written(progress_version) => {
                let committed = progress.chunks.keys().copied();
                let ledger = ChunkLedger::open(row.inputs.len() as u32, committed);
                Ok(Some(Self {
                    context,
                    key,
                    home: own,
                    row,
                    row_version,
                    progress,
                    progress_version,
                    ledger,
                }))
            }
        }
    }

    async fn run(&mut self, notify: &Notify) -> PlatformResult<()> {
        let (sender, mut outcomes) = mpsc::unbounded_channel::<ChunkOutcome>();
        let mut tasks = Vec::new();
        let mut shunned: HashSet<VmId> = HashSet::new();
        let mut unanswered = false;
        loop {
            self.hand_out(&sender, &mut tasks, &shunned);
            let mut due = true;
            tokio::select! {
                outcome = outcomes.recv() => {
                    if let Some((chunk, vm, report)) = outcome {
                        if report.is_none() {
                            shunned.insert(vm);
                        }
                        self.ledger.finish(chunk, report);
                        self.collect(&mut outcomes).await;
                    }
                }
                () = notify.notified() => {}
                () = tokio::time::sleep(LEAD_PAUSE) => {
                    shunned.clear();
                    due = unanswered || !self.ledger.finished().is_empty();
                }
            }
            if !due {
                continue;
            }
            let outcome = self.commit().await?;
            unanswered = outcome == CommitOutcome::Unanswered;
            match outcome {
                CommitOutcome::Committed if self.ledger.is_complete() => return Ok(()),
                CommitOutcome::Committed => {}
                CommitOutcome::Unanswered => tokio::time::sleep(RETRY_PAUSE).await,
                // Dropping the tasks cancels the chunks that run.
                CommitOutcome::Fenced => return Ok(()),
            }
        }
    }

    /// Waits a moment for more chunks, so that one write commits many.
    async fn collect(&mut self, outcomes: &mut mpsc::UnboundedReceiver<ChunkOutcome>) {
        let end = tokio::time::Instant::now() + COMMIT_PAUSE;
        while !self.ledger.is_idle() {
            let Ok(Some((chunk, _, report))) = tokio::time::timeout_at(end, outcomes.recv()).await
            else {
                return;
            };
            self.ledger.finish(chunk, report);
        }
    }

    fn hand_out(
        &mut self,
        sender: &mpsc::UnboundedSender<ChunkOutcome>,
        tasks: &mut Vec<ChunkTask>,
        shunned: &HashSet<VmId>,
    ) {
        tasks.retain(|task| !task.is_finished());
        if self.ledger.finished().len() >= UNCOMMITTED_LIMIT {
            return;
        }
        let limit = self.context.settings().jobs.parallel_chunks;
        let mut vms = self.context.shared.membership().candidates(crate::clock::monotonic());
        vms.retain(|vm| !shunned.contains(vm));
        while let Some((chunk, vm)) = self.ledger.assign(&vms, limit) {
            let order = self.order(chunk);
            tasks.push(ChunkTask::spawn(self.context, vm, order, sender.clone()));
        }
    }

    fn order(&self, chunk: u32) -> ChunkOrder {
        ChunkOrder {
            workspace: self.key.workspace.clone(),
            job: self.key.job.clone(),
            epoch: self.progress.epoch,
            chunk,
            input: self.row.inputs[chunk as usize].clone(),
            due: self.row.due,
        }
    }

    /// Commits every finished chunk in one conditional write. Without any, checks that the job still
    /// runs and that this VM still leads it.
    async fn commit(&mut self) -> PlatformResult<CommitOutcome> {
        if self.ledger.finished().is_empty() {
            return self.check().await;
        }
        let mut progress = self.progress.clone();
        let chunks: Vec<u32> = self.ledger.finished().keys().copied().collect();
        progress.chunks.extend(self.ledger.finished().clone());
        let complete = progress.chunks.len() == self.row.inputs.len();
        let attempt = AttemptId::random();
        let witness = self.key.progress_row();
        let mut transaction = TableTransaction::default()
            .require(&self.key.job_row(), self.row_version)
            .require(&witness, self.progress_version)
            .write(&witness, encode_row(&progress, &attempt));
        if complete {
            let row = JobRow { state: JobState::Completed, ..self.row.clone() };
            transaction = transaction
                .write(&self.key.job_row(), encode_row(&row, &attempt))
                .delete(&self.key.active_row(self.home));
        }
        let table = self.context.table.as_ref();
        match write_once(table, &transaction, &witness, &attempt, WRITE_TRIES).await {
            Ok(WriteOutcome::Written(version)) => {
                self.progress = progress;
                self.progress_version = version;
                self.ledger.commit(chunks);
                Ok(CommitOutcome::Committed)
            }
            // After a lost answer the write may have taken effect: the rows tell.
            Ok(WriteOutcome::Conflict) | Err(PlatformError::Unavailable(_)) => self.check().await,
            Err(error) => Err(error),
        }
    }

    /// Reads both rows again.
    async fn check(&mut self) -> PlatformResult<CommitOutcome> {
        let table = self.context.table.as_ref();
        let rows = async {
            let job = read_job(table, self.key).await?;
            Ok((job, read_progress(table, self.key).await?))
        };
        let (job, progress) = match rows.await {
            Ok((Some(job), Some(progress))) => (job, progress),
            Ok(_) => return Ok(CommitOutcome::Fenced),
            Err(PlatformError::Unavailable(_)) => return Ok(CommitOutcome::Unanswered),
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
        self.ledger.commit(committed);
        if self.row.state != JobState::Running {
            return Ok(CommitOutcome::Fenced);
        }
        Ok(CommitOutcome::Committed)
    }
}

/// A chunk that runs on some VM; dropping it cancels the chunk.
struct ChunkTask {
    handle: tokio::task::JoinHandle<()>,
}

impl ChunkTask {
    fn spawn(
        context: &Rc<VmContext>,
        vm: VmId,
        order: ChunkOrder,
        sender: mpsc::UnboundedSender<ChunkOutcome>,
    ) -> Self {
        let context = Rc::clone(context);
        let handle = tokio::task::spawn_local(async move {
            let chunk = order.chunk;
            let report = run_on(&context, &vm, order).await;
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

async fn run_on(context: &Rc<VmContext>, vm: &VmId, order: ChunkOrder) -> Option<ChunkReport> {
    if *vm == context.settings().vm {
        let result = run_chunk(context, &order).await;
        return result.map_err(|error| log::warn!("jobs: A chunk failed: {error}.")).ok();
    }
    let reply = context.shared.request(vm, PeerRequest::RunChunk(order), CHUNK_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Chunk(report)) => Some(report),
        Ok(_) => None,
        Err(error) => {
            log::info!("jobs: VM `{vm}` did not finish a chunk: {error}.");
            None
        }
    }
}
