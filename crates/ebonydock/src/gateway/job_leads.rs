//! Which VM leads which job.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::followers::{NewsUrgency, TableNews};
use crate::gateway::job_book::{
    INPUT_TABLE, JOB_TABLE, JobName, PARTIAL_TABLE, RESULT_TABLE, encode, job_parts, join_chunks,
};
use crate::gateway::job_desk::{RunningLead, StartingGuard};
use crate::gateway::job_lead::{JobLead, LeadStart, hand_on, read_partials};
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::ownership::owner_of;
use crate::platform::rows::{RowResult, RowTransaction};

/// Leads are looked after this often.
const LEAD_INTERVAL: Duration = Duration::from_millis(250);
/// A lead that was not heard for this long after its last report expired is replaced. A lead that is
/// only frozen loses its job by the version of the head, so replacing one too early costs runs only.
const LEAD_SILENCE: Duration = Duration::from_millis(800);
/// After its start a VM first hears from the others before it replaces leads.
const START_GRACE: Duration = Duration::from_millis(2500);
/// Jobs are deleted this long after the time for which their results must be kept.
const DELETE_MARGIN: Duration = Duration::from_mins(1);
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);
/// Rows that one transaction deletes.
const DELETE_ROWS: usize = 90;

impl GatewayCore {
    /// Follows the jobs and looks after their leads.
    pub(crate) fn spawn_jobs(self: &Rc<Self>) {
        let follower = self.follow(JOB_TABLE, job_parts(), NewsUrgency::Relaxed);
        *self.jobs.heard_at.borrow_mut() = follower.heard_at();
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
    pub(crate) fn check_own_lead(&self, job: &JobName) {
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

    /// Starts to lead a job.
    pub(crate) fn start_lead(self: &Rc<Self>, start: LeadStart) {
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
            let rows = self.read_rows(table, job, &job.first_key()).await?;
            for rows in rows.chunks(DELETE_ROWS) {
                let transaction = RowTransaction::in_partition(&job.part());
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
    let transaction = RowTransaction::in_partition(&job.part())
        .expect(JOB_TABLE, &job.head_key(), entry.head_version)
        .write(JOB_TABLE, &job.head_key(), encode(&entry.head));
    entry.head_version = core.rows.transact(&transaction).await?;
    core.note_job(job, &entry);
    let items = core.read_inputs(job).await?;
    // Read after the head was taken: the earlier lead can list nothing more.
    let Some(entry) = core.read_job(job).await? else { return Ok(()) };
    let results = core.read_results(job, 0).await?;
    let listed: HashSet<u32> = results.iter().map(|result| result.index).collect();
    let rows = core.read_rows(PARTIAL_TABLE, job, &job.first_key()).await?;
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
