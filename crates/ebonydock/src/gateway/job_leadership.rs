//! Decides which VM leads which batch job, and deletes expired jobs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::claim_planner::{LeadClock, LeadStep};
use crate::gateway::followers::{FeedPacing, TableUpdate};
use crate::gateway::job_leader::{JobLeader, LeaderState, handover_transaction, read_partials};
use crate::gateway::job_lease::{ClaimDecision, LEAD_TABLE, LeadState};
use crate::gateway::job_lease_rows::keep_lease;
use crate::gateway::job_records::{
    INPUT_TABLE, JOB_TABLE, JobEntry, JobHead, JobName, PARTIAL_TABLE, RESULT_TABLE, decode,
    encode, job_partitions, join_chunks,
};
use crate::gateway::job_service::{RunningLeader, StartingGuard};
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::ownership::owner_of;
use crate::platform::rows::{RowError, RowResult, RowTransaction};

/// Interval between checks for jobs without a live leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a VM that could not claim a job tries again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Jobs are deleted this long after their retention has ended.
const RETENTION_MARGIN: Duration = Duration::from_mins(1);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);
/// Rows deleted by one transaction; the store accepts at most 100.
const MAX_DELETE_ROWS: usize = 90;

/// What a VM knows of a job's recorded leader.
struct LeaderView {
    is_published: bool,
    is_live: bool,
    silent_for: Duration,
    /// Number of other VMs whose reports arrive.
    live_vms: usize,
}

impl GatewayCore {
    /// Starts the tasks that follow the job table, replace lost leaders and delete expired jobs.
    pub(crate) fn spawn_jobs(self: &Rc<Self>) {
        let follower = self.follow(JOB_TABLE, job_partitions(), FeedPacing::Relaxed);
        let follower = follower.with_progress(&self.jobs.progress);
        tokio::task::spawn_local(follower.run(|core, update, _| core.apply_job_changes(update)));
        tokio::task::spawn_local(keep_lease(Rc::clone(self)));
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
                core.check_leaders();
            }
        });
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(CLEANUP_INTERVAL).await;
                core.delete_expired_jobs().await;
            }
        });
    }

    fn apply_job_changes(self: &Rc<Self>, update: TableUpdate) {
        let changed = self.jobs.index.borrow_mut().apply(update);
        for job in &changed {
            self.stop_stale_leader(job);
        }
        self.jobs.changed.notify_waiters();
        self.check_leaders();
    }

    /// Stops the local leader of a job that has ended or is led by another VM.
    pub(crate) fn stop_stale_leader(&self, job: &JobName) {
        let is_leading =
            self.jobs.index.borrow().is_led_by(job, &self.settings.vm, self.incarnation);
        if !is_leading && let Some(leader) = self.jobs.leaders.borrow_mut().remove(job) {
            if !leader.task.is_finished() {
                log::info!(job = job.as_str(); "job stopped");
            }
            leader.task.abort();
            self.jobs.inputs.borrow_mut().remove(job);
        }
    }

    /// Claims each unfinished job that this VM should lead.
    pub(crate) fn check_leaders(self: &Rc<Self>) {
        if self.is_stopping() || self.peering.is_superseded() {
            return;
        }
        let open = self.jobs.index.borrow().open_jobs();
        self.jobs.claims.borrow_mut().retain(&open);
        for job in open {
            if self.jobs.leaders.borrow().contains_key(&job) {
                continue;
            }
            match self.lead_step(&job) {
                LeadStep::Leave => {}
                LeadStep::ReadLease(vm) => self.spawn_lease_read(vm),
                LeadStep::Claim => {
                    if self.jobs.starting.borrow_mut().insert(job.clone()) {
                        tokio::task::spawn_local(claim_leadership(Rc::clone(self), job));
                    }
                }
            }
        }
    }

    fn lead_step(&self, job: &JobName) -> LeadStep {
        let Some(head) = self.jobs.index.borrow().get(job).map(|entry| entry.head.clone()) else {
            return LeadStep::Leave;
        };
        let leader = VmId::from(head.lead.as_str());
        let dispatcher = self.dispatcher.borrow();
        let is_published = self.peering.is_member(&leader, head.lead_incarnation);
        let is_reporting = is_published && dispatcher.is_live(&leader);
        let is_owner = || {
            let mut candidates = dispatcher.live_vms();
            candidates.push(self.settings.vm.clone());
            owner_of(job.as_str(), &candidates) == Some(&self.settings.vm)
        };
        let clock = LeadClock { store: self.store_time(), monotonic: monotonic() };
        self.jobs.claims.borrow_mut().step(job, &head, is_reporting, is_owner, clock)
    }

    /// Returns what this VM knows of a job's recorded leader, for the log of a takeover.
    fn leader_view(&self, job: &JobName, entry: &JobEntry) -> LeaderView {
        let leader = VmId::from(entry.head.lead.as_str());
        let dispatcher = self.dispatcher.borrow();
        LeaderView {
            is_published: self.peering.is_member(&leader, entry.head.lead_incarnation),
            is_live: dispatcher.is_live(&leader),
            silent_for: self.jobs.claims.borrow().silent_for(job, monotonic()),
            live_vms: dispatcher.live_vm_count(),
        }
    }

    /// Starts the task that leads a job, unless the job has ended or changed hands since its head was written.
    pub(crate) fn start_leader(self: &Rc<Self>, state: LeaderState) {
        let job = state.job.clone();
        let head_version = state.entry.head_version;
        let is_current = self
            .jobs
            .index
            .borrow()
            .get(&job)
            .is_some_and(|entry| entry.is_open() && entry.head_version == head_version);
        if !is_current || self.is_stopping() {
            log::info!(
                job = job.as_str(), head_version = head_version;
                "job not started: it has ended, another VM leads it, or this one is stopping"
            );
            return;
        }
        self.jobs.inputs.borrow_mut().insert(job.clone(), state.inputs.clone());
        let (leader, committed) = JobLeader::open(self, state);
        let partials = leader.partials();
        let core = Rc::clone(self);
        let own_job = job.clone();
        let task = tokio::task::spawn_local(async move {
            leader.run(committed).await;
            // An aborted task does not get here, so the entry belongs to this leader.
            core.jobs.leaders.borrow_mut().remove(&own_job);
            core.jobs.inputs.borrow_mut().remove(&own_job);
        });
        let previous = self.jobs.leaders.borrow_mut().insert(job, RunningLeader { task, partials });
        if let Some(previous) = previous {
            previous.task.abort();
        }
    }

    /// Releases all led jobs to other VMs on a planned stop.
    pub(crate) async fn hand_over_jobs(&self) {
        let leaders: Vec<(JobName, RunningLeader)> =
            self.jobs.leaders.borrow_mut().drain().collect();
        for (job, leader) in leaders {
            leader.task.abort();
            let Some(entry) = self.jobs.index.borrow().get(&job).cloned() else { continue };
            let transaction = handover_transaction(&job, &entry, &leader.partials.borrow());
            match self.rows.transact(&transaction).await {
                Ok(version) => log::info!(job = job.as_str(), version = version; "job handed on"),
                Err(error) => {
                    log::warn!(
                        job = job.as_str(), error = error.to_string();
                        "job not handed over; other VMs take it after the leader timeout"
                    );
                }
            }
        }
    }

    /// Deletes the rows of jobs whose retention has ended.
    async fn delete_expired_jobs(&self) {
        let retention = self.settings.results_retention + RETENTION_MARGIN;
        let Some(before) = self.store_time().checked_sub(retention) else { return };
        let expired = self.jobs.index.borrow().expired(before);
        let mut candidates = self.dispatcher.borrow().live_vms();
        candidates.push(self.settings.vm.clone());
        for (job, head_version) in expired {
            if owner_of(job.as_str(), &candidates) != Some(&self.settings.vm) {
                continue;
            }
            match self.delete_job(&job, head_version).await {
                Ok(()) => {}
                Err(RowError::Conflict) => {
                    log::info!(
                        job = job.as_str(), head_version = head_version;
                        "expired job not deleted: another VM deletes it, or its head has changed"
                    );
                }
                Err(error) => {
                    log::warn!(
                        job = job.as_str(), error = error.to_string();
                        "expired job not deleted; retrying at the next cleanup"
                    );
                    return;
                }
            }
        }
    }

    /// Deletes the rows of a job whose head has this version. A call that takes effect late deletes nothing of
    /// a job that was submitted under the same name meanwhile.
    async fn delete_job(&self, job: &JobName, head_version: u64) -> RowResult<()> {
        // The head is deleted last: without it, no VM would find the remaining rows.
        for table in [INPUT_TABLE, RESULT_TABLE, PARTIAL_TABLE, LEAD_TABLE, JOB_TABLE] {
            let rows = self.read_rows(table, job, &job.range_start()).await?;
            for rows in rows.chunks(MAX_DELETE_ROWS) {
                let transaction = RowTransaction::in_partition(&job.partition()).expect(
                    JOB_TABLE,
                    &job.head_key(),
                    head_version,
                );
                let transaction = rows.iter().fold(transaction, |t, row| t.delete(table, &row.key));
                self.rows.transact(&transaction).await?;
            }
        }
        Ok(())
    }

    /// Decides whether this VM may claim a job, from the rows of the job and its leader.
    async fn decide_claim(&self, job: &JobName, entry: &JobEntry) -> RowResult<ClaimDecision> {
        let rows = self.read_rows(LEAD_TABLE, job, &job.range_start()).await?;
        let record = rows.first().map(|row| decode(&row.value)).transpose();
        let lease =
            self.jobs.claims.borrow().leases.last_read(&VmId::from(entry.head.lead.as_str()));
        let state = LeadState {
            head: &entry.head,
            listed: entry.progress.listed,
            record: record.map_err(RowError::Refused)?,
            lease,
        };
        Ok(state.decide(self.settings.vm.as_str(), self.incarnation, self.store_time()))
    }
}

/// Makes this VM the leader of a job and starts to run it.
async fn claim_leadership(core: Rc<GatewayCore>, job: JobName) {
    let starting = StartingGuard { core, job };
    if let Err(error) = try_claim_leadership(&starting.core, &starting.job).await {
        log::info!(job = starting.job.as_str(), error = error.to_string(); "job not taken over");
        let index = starting.core.jobs.index.borrow();
        if let Some(entry) = index.get(&starting.job) {
            let mut claims = starting.core.jobs.claims.borrow_mut();
            claims.defer(&starting.job, &entry.head, monotonic() + CLAIM_RETRY_DELAY);
        }
    }
}

async fn try_claim_leadership(core: &Rc<GatewayCore>, job: &JobName) -> RowResult<()> {
    let seen_head = core.jobs.index.borrow().get(job).map(|entry| entry.head.clone());
    let Some(mut entry) = core.read_job(job).await? else { return Ok(()) };
    let leader_of = |head: &JobHead| (head.lead.clone(), head.lead_incarnation);
    // The lease that was read is that of the leader in the index.
    let has_new_leader = seen_head.as_ref().map(leader_of) != Some(leader_of(&entry.head));
    if !entry.is_open() || has_new_leader || matches!(core.lead_step(job), LeadStep::Leave) {
        return Ok(());
    }
    let (reason, record) = match core.decide_claim(job, &entry).await? {
        ClaimDecision::Claim(reason, record) => (reason, record),
        ClaimDecision::Wait(until) => {
            core.jobs.claims.borrow_mut().defer(job, &entry.head, core.local_time(until));
            return Ok(());
        }
    };
    // Before the claim, because a job whose inputs cannot be read is better left as it is.
    let inputs = core.read_inputs(job).await?;
    let previous = entry.head.lead.clone();
    let seen = core.leader_view(job, &entry);
    entry.head.lead = core.settings.vm.as_str().to_owned();
    entry.head.lead_incarnation = core.incarnation;
    let transaction = RowTransaction::in_partition(&job.partition())
        .expect(JOB_TABLE, &job.head_key(), entry.head_version)
        .write(JOB_TABLE, &job.head_key(), encode(&entry.head))
        .write(LEAD_TABLE, &job.lead_key(), encode(&record));
    entry.head_version = core.rows.transact(&transaction).await?;
    core.record_job(job, &entry);
    let claimed_version = entry.head_version;
    // The progress is read after the head was written, so the earlier leader can commit nothing more.
    let Some(entry) = core.read_job(job).await? else { return Ok(()) };
    let results = core.read_results(job, 0).await?;
    let committed: HashSet<u32> = results.iter().map(|result| result.index).collect();
    let rows = core.read_rows(PARTIAL_TABLE, job, &job.range_start()).await?;
    let partials = read_partials(&join_chunks(&rows), inputs.items.len());
    log::info!(
        job = job.as_str(), before = previous, reason = reason.as_str(),
        takeovers = record.takeovers, listed = committed.len() as u64,
        claimed_version = claimed_version, head_version = entry.head_version,
        config_version = core.config_version(), operator_version = core.operators.version(),
        required_operator_version = inputs.operator_version,
        previous_is_published = seen.is_published, previous_is_live = seen.is_live,
        previous_silent_ms = seen.silent_for.as_millis() as u64, live_vms = seen.live_vms as u64;
        "job taken over"
    );
    // Another VM may have claimed the job meanwhile; its version must not become this VM's.
    let entry = JobEntry { head_version: claimed_version, ..entry };
    core.start_leader(LeaderState { job: job.clone(), entry, inputs, committed, partials });
    Ok(())
}
