//! Keeps requests that crash targets from reaching further ones: evidence, quarantines, and their rows.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;

use crate::clock::monotonic;
use crate::gateway::followers::{FeedPacing, TableUpdate};
use crate::gateway::forward::{AdmittedRequest, AttemptHistory, GatewayRefusal, RefusalReason};
use crate::gateway::job_records::{decode, encode};
use crate::gateway::load::{PromptFailure, PromptReport};
use crate::gateway::prompt_failures::{FailureLedger, SETTLING_TIME};
use crate::gateway::quarantine::{PartSet, QuarantineList, QuarantineRecord, QuarantineWrite};
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::placement::load::service_hash;
use crate::platform::rows::{RowError, RowResult, RowTransaction};

const QUARANTINE_TABLE: &str = "gateway_quarantines";
/// Interval between judgements while there are failures to judge.
const JUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound, for each member, of the delay before a quarantine is written. All VMs reach the same verdict,
/// and one row is enough.
const SAVE_DELAY_PER_MEMBER: Duration = Duration::from_millis(20);
/// Mean number of VMs that repeat their quarantines when a VM is heard again.
const REPEATING_VMS: f64 = 8.0;
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit for the time that a caller waits for the store to permit a trial.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Evidence and quarantines of one VM.
#[derive(Default)]
pub(crate) struct PromptGuard {
    ledger: RefCell<FailureLedger>,
    quarantines: RefCell<QuarantineList>,
    /// Wakes the task that judges failures.
    failed: Notify,
    /// Wakes the task that writes quarantines.
    unsaved: Notify,
    /// Wakes requests that wait for a target.
    changed: Notify,
    is_claiming_trial: Cell<bool>,
}

/// Marks a VM as waiting for the permission of a trial until it is dropped, also if the caller leaves.
struct TrialClaim<'a>(&'a Cell<bool>);

impl<'a> TrialClaim<'a> {
    fn open(is_claiming: &'a Cell<bool>) -> Self {
        is_claiming.set(true);
        Self(is_claiming)
    }
}

impl Drop for TrialClaim<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Permission for a trial. Dropping it before the request is sent gives the permission back to the fleet.
pub(crate) struct QuarantineTrial {
    core: Rc<GatewayCore>,
    parts: PartSet,
    is_sent: Cell<bool>,
}

impl QuarantineTrial {
    /// Records that the request is sent to a target.
    pub(crate) fn record_sending(&self) {
        self.is_sent.set(true);
    }
}

impl Drop for QuarantineTrial {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.core.return_trial(&self.parts);
        }
    }
}

/// Returns the parts of a prompt, its own one included: a single request that is repeated may crash targets too.
fn part_ids(request: &ForwardedRequest) -> Vec<u64> {
    request.demand.iter().flat_map(|demand| &demand.parts).map(|part| part.id).collect()
}

impl GatewayCore {
    /// Starts the tasks that judge failures and exchange quarantines with the store.
    pub(crate) fn spawn_prompt_guard(self: &Rc<Self>) {
        let follower = self.follow(QUARANTINE_TABLE, vec![String::new()], FeedPacing::Rare);
        tokio::task::spawn_local(
            follower.run(|core, update, _| core.apply_quarantine_rows(update)),
        );
        tokio::task::spawn_local(judge_failures(Rc::clone(self)));
        tokio::task::spawn_local(save_quarantines(Rc::clone(self)));
    }

    /// Returns the number of quarantined sets of parts.
    pub(crate) fn quarantine_count(&self) -> usize {
        self.prompts.quarantines.borrow().count()
    }

    /// Records that a target ended, or broke off, before it began to answer.
    pub(crate) fn record_prompt_failure(&self, admitted: &AdmittedRequest, target: u32) {
        let parts = part_ids(&admitted.request);
        if parts.is_empty() {
            return;
        }
        let failure =
            PromptFailure { target, service: service_hash(&admitted.service), parts, age_ms: 0 };
        self.prompts.ledger.borrow_mut().record_failure(monotonic(), failure);
        self.prompts.failed.notify_one();
    }

    /// Records that a target began to answer. Lifts the quarantine of parts that the request contains.
    pub(crate) fn record_prompt_answer(&self, admitted: &AdmittedRequest) {
        let parts = part_ids(&admitted.request);
        if parts.is_empty() {
            return;
        }
        let service = service_hash(&admitted.service);
        self.prompts.ledger.borrow_mut().record_answer(monotonic(), service, &parts);
        let quarantined = || self.prompts.quarantines.borrow().find(&parts).cloned();
        while let Some(quarantined) = quarantined() {
            self.lift_quarantine(&quarantined, Some(&admitted.request.id));
        }
    }

    /// Returns whether requests with parts of this one failed at several targets and none was answered since.
    pub(crate) fn is_suspect(&self, request: &ForwardedRequest) -> bool {
        self.prompts.ledger.borrow().is_suspect(monotonic(), &part_ids(request))
    }

    /// Refuses a request with quarantined parts, unless it is due as a trial.
    pub(crate) async fn check_quarantine(
        self: &Rc<Self>,
        admitted: &mut AdmittedRequest,
    ) -> Result<(), GatewayRefusal> {
        let parts = part_ids(&admitted.request);
        let quarantined = self.prompts.quarantines.borrow().find(&parts).cloned();
        let Some(quarantined) = quarantined else { return Ok(()) };
        if self.claim_trial(&quarantined).await {
            log::warn!(id = &*admitted.request.id, parts = quarantined.to_string(); "quarantine trial");
            self.metrics.count("quarantine", "trial");
            admitted.trial = Some(Rc::new(QuarantineTrial {
                core: Rc::clone(self),
                parts: quarantined,
                is_sent: Cell::new(false),
            }));
            return Ok(());
        }
        Err(GatewayRefusal::of(RefusalReason::Quarantined))
    }

    /// Waits until the request contains quarantined parts and may not be sent.
    pub(crate) async fn quarantined(&self, admitted: &AdmittedRequest) {
        if admitted.trial.is_some() {
            std::future::pending::<()>().await;
        }
        let parts = part_ids(&admitted.request);
        loop {
            let changed = self.prompts.changed.notified();
            if self.prompts.quarantines.borrow().is_quarantined(&parts) {
                return;
            }
            changed.await;
        }
    }

    /// Asks the store for the permission to send one request with quarantined parts.
    async fn claim_trial(&self, parts: &PartSet) -> bool {
        let due = self.prompts.quarantines.borrow().due_trial(self.store_time(), parts);
        let Some(write) = due else { return false };
        if self.prompts.is_claiming_trial.get() {
            return false;
        }
        let _claim = TrialClaim::open(&self.prompts.is_claiming_trial);
        let claimed =
            tokio::time::timeout(TRIAL_CLAIM_TIMEOUT, self.write_quarantine(&write)).await;
        match claimed {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::info!(parts = parts.to_string(), error = error.to_string(); "quarantine trial not permitted");
                false
            }
            Err(_) => {
                log::info!(parts = parts.to_string(); "quarantine trial not permitted: the store did not answer in time");
                false
            }
        }
    }

    fn return_trial(self: &Rc<Self>, parts: &PartSet) {
        let store_time = self.store_time();
        let returned = self.prompts.quarantines.borrow().returned_trial(store_time, parts);
        let Some(write) = returned else { return };
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Err(error) = core.write_quarantine(&write).await {
                log::warn!(
                    parts = write.record.parts.to_string(), error = error.to_string();
                    "quarantine trial that reached no target not given back; it counts as one that failed"
                );
            }
        });
    }

    async fn write_quarantine(&self, write: &QuarantineWrite) -> RowResult<()> {
        let transaction = RowTransaction::in_partition("")
            .expect(QUARANTINE_TABLE, &write.key, write.expected)
            .write(QUARANTINE_TABLE, &write.key, encode(&write.record));
        let version = self.rows.transact(&transaction).await?;
        let mut quarantines = self.prompts.quarantines.borrow_mut();
        quarantines.apply_row(monotonic(), version, write.record.clone());
        Ok(())
    }

    /// Lifts a quarantine because of an answer to the request `answered`, or at another VM if it is `None`.
    fn lift_quarantine(&self, parts: &PartSet, answered: Option<&str>) {
        let stored = self.prompts.quarantines.borrow_mut().lift(monotonic(), parts);
        self.prompts.changed.notify_waiters();
        self.metrics.count("quarantine", "lifted");
        log::warn!(
            parts = parts.to_string(), id = answered.unwrap_or_default(),
            row_version = stored.unwrap_or(0);
            "quarantine lifted: requests with its parts were answered"
        );
        if let Some(version) = stored {
            self.delete_quarantine(parts.row_key(), version);
        }
    }

    fn delete_quarantine(&self, key: String, version: u64) {
        let rows = Rc::clone(&self.rows);
        tokio::task::spawn_local(async move {
            let transaction = RowTransaction::in_partition("")
                .expect(QUARANTINE_TABLE, &key, version)
                .delete(QUARANTINE_TABLE, &key);
            if let Err(error) = rows.transact(&transaction).await {
                log::warn!(
                    key = key, error = error.to_string();
                    "row of lifted quarantine not deleted; VMs that start quarantine its parts again"
                );
            }
        });
    }

    fn apply_quarantine_rows(&self, update: TableUpdate) {
        let now = monotonic();
        let (rows, missing) = match update {
            TableUpdate::Snapshot(rows) => {
                let present: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
                let mut missing = self.prompts.quarantines.borrow().stored_keys();
                missing.retain(|key| !present.contains(key.as_str()));
                (rows, missing)
            }
            TableUpdate::Changed(rows) => (rows, Vec::new()),
        };
        let mut quarantines = self.prompts.quarantines.borrow_mut();
        let deleted = rows.iter().filter(|row| row.deleted).map(|row| row.key.clone());
        for key in missing.into_iter().chain(deleted) {
            if let Some(parts) = quarantines.apply_deletion(now, &key) {
                log::info!(parts = parts.to_string(); "quarantine lifted: its row was deleted");
            }
        }
        for row in rows.iter().filter(|row| !row.deleted) {
            match decode::<QuarantineRecord>(&row.value) {
                // Another VM stored it before it learned that it was lifted.
                Ok(record) if quarantines.is_obsolete(&record) => {
                    self.delete_quarantine(row.key.clone(), row.version);
                }
                Ok(record) => {
                    let parts = record.parts.to_string();
                    if quarantines.apply_row(now, row.version, record) {
                        log::warn!(parts = parts, version = row.version; "prompt parts quarantined by the store");
                    }
                }
                Err(reason) => {
                    log::error!(
                        key = row.key, version = row.version, reason = reason;
                        "quarantine row unreadable; its parts are not refused"
                    );
                }
            }
        }
        drop(quarantines);
        self.prompts.changed.notify_waiters();
    }

    /// Applies failures, answers and quarantines that another VM reports.
    pub(crate) fn apply_prompt_report(&self, vm: &VmId, incarnation: u64, report: &PromptReport) {
        let now = monotonic();
        self.prompts.ledger.borrow_mut().observe(now, (vm, incarnation), report);
        if !report.failures.is_empty() {
            self.prompts.failed.notify_one();
        }
        for reported in &report.quarantines {
            if !self.prompts.quarantines.borrow_mut().observe(now, reported) {
                continue;
            }
            log::warn!(
                parts = reported.parts.to_string(), lifted = reported.is_lifted, from = vm.as_str();
                "quarantine changed by another VM"
            );
            self.prompts.unsaved.notify_one();
            self.prompts.changed.notify_waiters();
        }
    }

    /// Reports all quarantines again if another VM may have missed them. A few VMs of the fleet do, chosen at
    /// random by each of them.
    pub(crate) fn repeat_quarantines(&self) {
        let share = REPEATING_VMS / self.peering.member_count() as f64;
        if rand::rng().random::<f64>() < share {
            self.prompts.quarantines.borrow_mut().repeat(monotonic());
        }
    }

    /// Returns what other VMs have to know of failures and quarantines; `None` if nothing.
    pub(crate) fn prompt_report(&self, now: Duration) -> Option<Box<PromptReport>> {
        let mut report = self.prompts.ledger.borrow().report(now);
        report.quarantines = self.prompts.quarantines.borrow().report(now);
        (report != PromptReport::default()).then(|| Box::new(report))
    }

    fn judge(&self) {
        let now = monotonic();
        // Answers that other VMs reported late.
        let recent = self.prompts.quarantines.borrow().recent(now);
        for (parts, since) in recent {
            let after = since.saturating_sub(SETTLING_TIME);
            if self.prompts.ledger.borrow().are_answered(&parts, after) {
                self.lift_quarantine(&parts, None);
            }
        }
        loop {
            let mut quarantines = self.prompts.quarantines.borrow_mut();
            let verdict = self.prompts.ledger.borrow().judge(now, &quarantines);
            let Some(verdict) = verdict else { return };
            if !quarantines.add(now, &verdict.parts) {
                return;
            }
            drop(quarantines);
            self.metrics.count("quarantine", "added");
            log::warn!(
                parts = verdict.parts.to_string(), targets = verdict.targets as u64,
                other_failures = verdict.other_failures as u64, answers = verdict.answers,
                log_surprise = verdict.log_surprise, failures = verdict.failure_list(),
                last_answer_ms = verdict.last_answer.map(|age| age.as_millis() as u64);
                "prompt parts quarantined: requests with them crash targets"
            );
            self.prompts.unsaved.notify_one();
            self.prompts.changed.notify_waiters();
        }
    }

    async fn sleep_before_save(&self) {
        let longest = SAVE_DELAY_PER_MEMBER * self.peering.member_count() as u32;
        tokio::time::sleep(longest.mul_f64(rand::rng().random())).await;
    }

    /// Writes the quarantines that the store lacks. Returns whether all of them are stored.
    async fn save_unsaved(&self) -> bool {
        let unsaved = self.prompts.quarantines.borrow().unsaved(self.store_time());
        let mut all_saved = true;
        for mut write in unsaved {
            let mut result = self.write_quarantine(&write).await;
            if result == Err(RowError::Conflict) {
                // Another VM wrote the row, or it is left from an earlier quarantine of the parts.
                result = self.read_quarantine(&mut write).await;
            }
            if let Err(error) = result {
                all_saved = false;
                log::info!(
                    parts = write.record.parts.to_string(), error = error.to_string();
                    "quarantine not stored; retrying"
                );
            }
        }
        all_saved
    }

    /// Reads the row that a write met. Replaces the row if it is of an earlier quarantine.
    async fn read_quarantine(&self, write: &mut QuarantineWrite) -> RowResult<()> {
        let end = format!("{} ", write.key);
        let page = self.rows.range(QUARANTINE_TABLE, "", &write.key, &end).await?;
        let Some(row) = page.rows.first() else { return Err(RowError::Conflict) };
        let record = decode::<QuarantineRecord>(&row.value).map_err(RowError::Refused)?;
        if record.revision >= write.record.revision {
            self.prompts.quarantines.borrow_mut().apply_row(monotonic(), row.version, record);
            return Ok(());
        }
        write.expected = row.version;
        self.write_quarantine(write).await
    }
}

/// Returns why a request with quarantined parts ends.
pub(crate) fn quarantine_refusal(history: &AttemptHistory) -> GatewayRefusal {
    let reason = if history.runs > 0 { RefusalReason::Failed } else { RefusalReason::Quarantined };
    GatewayRefusal::of(reason)
}

async fn judge_failures(core: Rc<GatewayCore>) {
    loop {
        core.prompts.failed.notified().await;
        while core.prompts.ledger.borrow_mut().expire(monotonic()) {
            tokio::time::sleep(JUDGE_INTERVAL).await;
            core.judge();
        }
    }
}

async fn save_quarantines(core: Rc<GatewayCore>) {
    loop {
        core.prompts.unsaved.notified().await;
        core.sleep_before_save().await;
        while !core.save_unsaved().await {
            tokio::time::sleep(SAVE_RETRY_DELAY).await;
            core.sleep_before_save().await;
        }
    }
}
