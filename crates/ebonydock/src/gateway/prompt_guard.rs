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
use crate::gateway::quarantine::{
    PROVISIONAL_TRIAL_TIMEOUT, PartSet, QuarantineList, QuarantineRecord, QuarantineWrite,
};
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::ids::{ServiceName, VmId};
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
/// Pause after a trial that the store did not permit.
const TRIAL_CLAIM_PAUSE: Duration = Duration::from_millis(250);
/// Retry-After of a request with provisionally quarantined parts while their service has no targets or the store
/// does not have the quarantine.
const PROVISIONAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that a trial takes from its permission to the first event, by which Retry-After is longer than the time
/// to the trial.
const TRIAL_TIME: Duration = Duration::from_millis(250);

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
    /// Until when this VM claims no trial, because the store did not permit the last one.
    no_claim_until: Cell<Duration>,
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
    /// When another VM may send a trial instead; `None` if the quarantine is confirmed.
    send_by: Option<Duration>,
}

impl QuarantineTrial {
    /// Records that the request is sent to a target.
    pub(crate) fn record_sending(&self) {
        self.is_sent.set(true);
    }

    /// Records that the target did not run the request.
    pub(crate) fn record_not_run(&self) {
        self.is_sent.set(false);
    }

    /// Returns until when the request may be sent, at most `place_by`.
    pub(crate) fn limit_placement(&self, place_by: Duration) -> Duration {
        self.send_by.map_or(place_by, |send_by| send_by.min(place_by))
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
        if let Some(trial) = &admitted.trial {
            self.confirm_quarantine(&trial.parts, Some(&admitted.request.id));
        }
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

    /// Refuses a request with quarantined parts, unless it is due as a trial. If the quarantine is provisional, waits
    /// up to `wait_until` for the result of a trial.
    pub(crate) async fn check_quarantine(
        self: &Rc<Self>,
        admitted: &mut AdmittedRequest,
        wait_until: Duration,
    ) -> Result<(), GatewayRefusal> {
        let parts = part_ids(&admitted.request);
        loop {
            let changed = self.prompts.changed.notified();
            let quarantined = self.prompts.quarantines.borrow().find(&parts).cloned();
            let Some(quarantined) = quarantined else { return Ok(()) };
            if let Some(trial) = self.claim_trial(&quarantined, &admitted.service).await {
                log::warn!(id = &*admitted.request.id, parts = quarantined.to_string(); "quarantine trial");
                self.metrics.count("quarantine", "trial");
                admitted.trial = Some(Rc::new(trial));
                return Ok(());
            }
            let now = monotonic();
            let has_targets = self.has_targets(&admitted.service);
            let is_confirmed = self.prompts.quarantines.borrow().is_confirmed(&quarantined);
            if is_confirmed || !has_targets || now >= wait_until {
                return Err(self.quarantine_refusal(admitted, &quarantined));
            }
            let to_trial = self.time_to_trial(&quarantined).unwrap_or(TRIAL_CLAIM_PAUSE);
            let wait = to_trial.max(self.prompts.no_claim_until.get().saturating_sub(now));
            // At least the resolution of the timers, so that the loop pauses.
            let wait = wait.min(wait_until.saturating_sub(now)).max(Duration::from_millis(1));
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Returns the time until a trial of provisionally quarantined parts may be claimed; `None` if the store does not
    /// have them yet.
    fn time_to_trial(&self, parts: &PartSet) -> Option<Duration> {
        self.prompts.quarantines.borrow().time_to_trial(monotonic(), self.store_time(), parts)
    }

    /// Returns why a request with quarantined parts ends that was not sent.
    fn quarantine_refusal(&self, admitted: &AdmittedRequest, parts: &PartSet) -> GatewayRefusal {
        if self.prompts.quarantines.borrow().is_confirmed(parts) {
            return GatewayRefusal::of(RefusalReason::Quarantined);
        }
        let to_trial = self.time_to_trial(parts).filter(|_| self.has_targets(&admitted.service));
        let delay = to_trial.map_or(PROVISIONAL_RETRY_AFTER, |to_trial| to_trial + TRIAL_TIME);
        GatewayRefusal::after(RefusalReason::Suspected, delay, admitted)
    }

    /// Waits until the request contains quarantined parts and may not be sent, and returns why it ends.
    pub(crate) async fn quarantined(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> GatewayRefusal {
        let parts = part_ids(&admitted.request);
        loop {
            let changed = self.prompts.changed.notified();
            let quarantined = self.prompts.quarantines.borrow().find(&parts).cloned();
            if let Some(quarantined) = quarantined
                && !self.may_send_trial(admitted, &quarantined)
            {
                if history.runs > 0 {
                    return GatewayRefusal::of(RefusalReason::Failed);
                }
                return self.quarantine_refusal(admitted, &quarantined);
            }
            changed.await;
        }
    }

    /// Returns whether the request is a trial of the parts that nothing has overtaken.
    fn may_send_trial(&self, admitted: &AdmittedRequest, parts: &PartSet) -> bool {
        let is_confirmed = || self.prompts.quarantines.borrow().is_confirmed(parts);
        admitted.trial.as_ref().is_some_and(|trial| trial.send_by.is_none() || !is_confirmed())
    }

    /// Waits until quarantines change.
    pub(crate) async fn quarantine_change(&self) {
        self.prompts.changed.notified().await;
    }

    /// Asks the store for the permission to send one request with quarantined parts.
    async fn claim_trial(
        self: &Rc<Self>,
        parts: &PartSet,
        service: &ServiceName,
    ) -> Option<QuarantineTrial> {
        let now = monotonic();
        let write = self.prompts.quarantines.borrow().due_trial(self.store_time(), parts)?;
        let is_confirmed = self.prompts.quarantines.borrow().is_confirmed(parts);
        let is_due = is_confirmed
            || (self.has_targets(service) && self.time_to_trial(parts) == Some(Duration::ZERO));
        if !is_due
            || self.prompts.is_claiming_trial.get()
            || now < self.prompts.no_claim_until.get()
        {
            return None;
        }
        let _claim = TrialClaim::open(&self.prompts.is_claiming_trial);
        let claimed =
            tokio::time::timeout(TRIAL_CLAIM_TIMEOUT, self.write_quarantine(&write)).await;
        let reason = match claimed {
            Ok(Ok(())) => {
                return Some(QuarantineTrial {
                    core: Rc::clone(self),
                    parts: parts.clone(),
                    is_sent: Cell::new(false),
                    send_by: (!is_confirmed).then_some(now + PROVISIONAL_TRIAL_TIMEOUT),
                });
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the store did not answer in time".to_owned(),
        };
        self.prompts.no_claim_until.set(monotonic() + TRIAL_CLAIM_PAUSE);
        log::info!(parts = parts.to_string(), error = reason; "quarantine trial not permitted");
        None
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

    /// Records that parts of an unconfirmed quarantine crash targets, because the trial `id` ended one or because of
    /// the failures of several requests.
    fn confirm_quarantine(&self, parts: &PartSet, id: Option<&str>) {
        if !self.prompts.quarantines.borrow_mut().confirm(monotonic(), parts) {
            return;
        }
        self.metrics.count("quarantine", "confirmed");
        log::warn!(parts = parts.to_string(), id = id.unwrap_or_default(); "quarantine confirmed");
        self.prompts.unsaved.notify_one();
        self.prompts.changed.notify_waiters();
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
        self.prompts.unsaved.notify_one();
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
        let unconfirmed = self.prompts.quarantines.borrow().unconfirmed();
        for parts in unconfirmed {
            if self.prompts.ledger.borrow().confirms(now, &parts) {
                self.confirm_quarantine(&parts, None);
            }
        }
        loop {
            let mut quarantines = self.prompts.quarantines.borrow_mut();
            let verdict = self.prompts.ledger.borrow().judge(now, &quarantines);
            let Some(verdict) = verdict else { return };
            let is_new = if verdict.is_confirmed {
                quarantines.add(now, &verdict.parts)
            } else {
                quarantines.add_provisional(now, &verdict.parts)
            };
            if !is_new {
                return;
            }
            drop(quarantines);
            self.metrics.count("quarantine", "added");
            log::warn!(
                parts = verdict.parts.to_string(), targets = verdict.targets as u64,
                independent_failures = verdict.independent_failures as u64,
                provisional = !verdict.is_confirmed,
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
        while core.prompts.quarantines.borrow().has_unsaved() {
            core.sleep_before_save().await;
            if !core.save_unsaved().await {
                tokio::time::sleep(SAVE_RETRY_DELAY).await;
            }
        }
    }
}
