//! Follows the stored roll-outs, and leads those that no other VM leads.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::ids::{Epoch, ServiceName, VersionName};
use crate::platform::rows::{RowError, RowResult, RowTransaction, StoredRow, read_all};
use crate::rollouts::controller::{RolloutController, RolloutLoad, RolloutStep};
use crate::rollouts::host::RolloutHost;
use crate::rollouts::order::RolloutOrder;
use crate::rollouts::record::{
    LEASE_RENEWAL_INTERVAL, RolloutPhase, RolloutReason, RolloutRecord, claim_delay,
};
use crate::rollouts::service::{RolloutLead, ServiceRollout, WriteState};
use crate::rollouts::shares::ShareTable;

/// Records of roll-outs, one row for each service.
pub(crate) const ROLLOUT_TABLE: &str = "gateway_rollouts";
/// Time after which the store responds to a feed request even without a change; shorter than the time after which a
/// VM without news falls back to the canary share.
const FEED_WAIT: Duration = Duration::from_millis(1200);
/// Delay between a change and the next feed request, for each live VM, so that the calls of all VMs share the
/// store's rate limit.
const FEED_DELAY_PER_VM: Duration = Duration::from_micros(1200);
/// Upper bound of `FEED_DELAY_PER_VM` for all VMs.
const MAX_FEED_DELAY: Duration = Duration::from_millis(500);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between decisions on running roll-outs. Failures must stop a version within seconds.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Logarithm of odds that stands for a larger one in a stored record.
const MAX_STORED_ODDS: f64 = 1e9;

fn encode(record: &RolloutRecord) -> Vec<u8> {
    let mut record = record.clone();
    // JSON has no numbers that are not finite.
    let odds = [&mut record.evidence.against, &mut record.evidence.support];
    for value in odds.into_iter().filter(|value| !value.is_finite()) {
        *value = if value.is_nan() { 0.0 } else { MAX_STORED_ODDS.copysign(*value) };
    }
    serde_json::to_vec(&record).unwrap_or_else(|error| unreachable!("records encode: {error}"))
}

fn decode(row: &StoredRow) -> Option<RolloutRecord> {
    match serde_json::from_slice::<RolloutRecord>(&row.value) {
        Ok(record) if record.service.as_str() == row.key => Some(record),
        Ok(record) => {
            log::error!(
                key = row.key, service = record.service.as_str();
                "stored state of a roll-out names another service; it is ignored"
            );
            None
        }
        Err(error) => {
            log::error!(
                key = row.key, version = row.version, reason = error.to_string();
                "stored state of a roll-out unreadable; it is ignored"
            );
            None
        }
    }
}

fn apply_rows(host: &Rc<dyn RolloutHost>, rows: &[StoredRow]) {
    let now = monotonic();
    for row in rows {
        if row.deleted {
            host.service().remove_record(&ServiceName::from(row.key.as_str()));
        } else if let Some(record) = decode(row) {
            host.service().apply_record(now, row.version, record);
        }
    }
    host.service().record_contact(now);
    host.refresh_cohorts();
}

/// Returns the services with an order or a roll-out that has not ended.
fn active_services(host: &Rc<dyn RolloutHost>) -> Vec<ServiceName> {
    let has_service = |service: &ServiceName| host.has_service(service);
    let order_key = |service: &ServiceName| host.order_key(service);
    host.service().refresh(has_service, order_key).into_iter().collect()
}

/// Waits until an order or a roll-out has not ended.
async fn wait_until_active(host: &Rc<dyn RolloutHost>) {
    while active_services(host).is_empty() {
        host.service().changed.notified().await;
    }
}

/// Reads the stored roll-outs once, and follows them while one runs.
pub(crate) async fn follow_rollouts(host: Rc<dyn RolloutHost>) {
    let mut is_lost = false;
    let mut log_outage = move |error: Option<&RowError>| {
        if let Some(error) = error
            && !is_lost
        {
            log::warn!(table = ROLLOUT_TABLE, error = error.to_string(); "store lost");
        } else if error.is_none() && is_lost {
            log::info!(table = ROLLOUT_TABLE; "store back");
        }
        is_lost = error.is_some();
    };
    loop {
        let page = match read_all(host.rows(), ROLLOUT_TABLE, "", "", "").await {
            Ok(page) => page,
            Err(error) => {
                log_outage(Some(&error));
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        log_outage(None);
        host.record_store_time(page.store_time);
        let now = monotonic();
        let records = page.rows.iter().filter_map(|row| Some((row.version, decode(row)?)));
        host.service().apply_snapshot(now, records.collect());
        host.service().record_contact(now);
        host.refresh_cohorts();
        host.service().changed.notify_waiters();
        let mut version = page.version;
        loop {
            wait_until_active(&host).await;
            match host.rows().feed(ROLLOUT_TABLE, version, FEED_WAIT).await {
                Ok(page) => {
                    log_outage(None);
                    host.record_store_time(page.store_time);
                    version = page.version.max(version);
                    apply_rows(&host, &page.rows);
                    if !page.rows.is_empty() {
                        let vms = host.live_vms().len() as u32;
                        tokio::time::sleep((FEED_DELAY_PER_VM * vms).min(MAX_FEED_DELAY)).await;
                    }
                }
                Err(RowError::HistoryLost) => {
                    log::info!(table = ROLLOUT_TABLE, version = version; "store history lost");
                    break;
                }
                Err(error) => {
                    log_outage(Some(&error));
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Leads the roll-outs that this VM holds the lease of, and claims those without a leader.
pub(crate) async fn lead_rollouts(host: Rc<dyn RolloutHost>) {
    loop {
        wait_until_active(&host).await;
        if host.service().has_records() {
            for service in active_services(&host) {
                let attempt = LeadAttempt { host: Rc::clone(&host), service };
                attempt.advance();
            }
        }
        tokio::time::sleep(DECISION_INTERVAL).await;
    }
}

/// Why a record is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteReason {
    /// An order is accepted.
    Open,
    /// This VM takes the lead.
    Claim,
    /// The leader renews its lease or takes a step.
    Lead,
}

/// One look at the roll-out of a service.
struct LeadAttempt {
    host: Rc<dyn RolloutHost>,
    service: ServiceName,
}

impl LeadAttempt {
    fn advance(self) {
        let now = monotonic();
        let key = self.host.order_key(&self.service);
        let pending = self.host.service().pending_order(&self.service, &key);
        let (write, has_lead, is_running) = {
            let services = self.host.service().services.borrow();
            let rollout = services.get(&self.service);
            let write = rollout.map(|rollout| rollout.write).unwrap_or_default();
            let has_lead = rollout.is_some_and(|rollout| rollout.lead.is_some());
            (write, has_lead, rollout.is_some_and(ServiceRollout::is_running))
        };
        let may_write = !write.is_running && now >= write.retry_at;
        let may_lead = self.host.may_lead();
        let next = if let Some((order, seen_at)) = pending.filter(|_| may_lead) {
            self.open_record(now, &order, seen_at, has_lead).map(|r| (WriteReason::Open, r))
        } else if has_lead {
            self.lead(now).map(|record| (WriteReason::Lead, record))
        } else if is_running && may_lead {
            self.claim(now).map(|record| (WriteReason::Claim, record))
        } else {
            None
        };
        if !may_write {
            return;
        }
        if write.needs_read {
            self.spawn_read();
        } else if let Some((reason, record)) = next {
            self.spawn_write(reason, record);
        }
    }

    /// Returns the record of an accepted order, once it is this VM's turn to write it.
    fn open_record(
        &self,
        now: Duration,
        order: &RolloutOrder,
        seen_at: Duration,
        has_lead: bool,
    ) -> Option<RolloutRecord> {
        let leader = self.host.leader();
        let previous = {
            let services = self.host.service().services.borrow();
            services.get(&self.service).and_then(|rollout| rollout.record.clone())
        };
        let epoch = previous.as_ref().map_or(Epoch(0), |previous| previous.epoch);
        let delay = claim_delay(order.revision, epoch, &leader.vm, &self.host.live_vms());
        // The leader of the replaced roll-out goes first.
        if !has_lead && now < seen_at + delay {
            return None;
        }
        let from = self.host.service().current_version(&self.service);
        let from = from.unwrap_or_else(|| VersionName::from(""));
        let store_now = self.host.store_time();
        let mut record = RolloutRecord::open(order, from, previous.as_ref(), store_now, leader);
        // The time for the roll-out began when the order was written.
        let age = now.saturating_sub(seen_at).min(order.duration);
        record.started_at = record.started_at.saturating_sub(age);
        record.ready_at = record.started_at;
        record.deadline = record.deadline.saturating_sub(age);
        let has_targets = |version| self.host.version_load(&self.service, version).targets > 0;
        let is_served = record.from == record.to;
        let is_alone = !has_targets(&record.from)
            && has_targets(&record.to)
            && !record.rejected.contains(&record.to);
        if is_served || is_alone {
            let all = ShareTable::uniform(1.0);
            let evidence = record.evidence;
            return record.advance(RolloutPhase::Completed, all, RolloutReason::Drained, evidence);
        }
        Some(record)
    }

    /// Returns the record with this VM as its leader, once the lease of the last one has ended and it is this VM's
    /// turn.
    fn claim(&self, now: Duration) -> Option<RolloutRecord> {
        let leader = self.host.leader();
        let mut services = self.host.service().services.borrow_mut();
        let rollout = services.get_mut(&self.service)?;
        let record = rollout.record.as_ref()?;
        let claimed = record.claim(self.host.store_time(), &leader).ok()?;
        let key = rollout.row_version;
        let since = match rollout.claimable {
            Some((known, since)) if known == key => since,
            _ => {
                rollout.claimable = Some((key, now));
                now
            }
        };
        let vms = self.host.live_vms();
        let delay = claim_delay(record.revision, record.epoch, &leader.vm, &vms);
        if record.leader.vm != leader.vm && now < since + delay {
            return None;
        }
        // The last leader has announced a stop that it did not get to store.
        if rollout.view.phase() == Some(RolloutPhase::RolledBack) {
            return claimed.stop(RolloutReason::Failures);
        }
        Some(claimed)
    }

    /// Decides on the next step. Returns the record to write, if any.
    fn lead(&self, now: Duration) -> Option<RolloutRecord> {
        self.host.service().observe_own(now);
        let next = self.decide(now);
        if self.host.service().apply_own_announcement(now, &self.service) {
            self.host.refresh_cohorts();
        }
        next
    }

    fn decide(&self, now: Duration) -> Option<RolloutRecord> {
        let store_now = self.host.store_time();
        let rollout_load = self.rollout_load();
        let mut services = self.host.service().services.borrow_mut();
        let rollout = services.get_mut(&self.service)?;
        let is_withdrawn = rollout.is_stopped;
        let (lead, fleet) = rollout.lead_with_evidence()?;
        if is_withdrawn {
            let stop = lead.controller.record().stop(RolloutReason::Withdrawn);
            lead.stop = stop.or_else(|| lead.stop.take());
            return lead.stop.clone();
        }
        match lead.controller.decide(now, fleet, &rollout_load) {
            RolloutStep::Keep => {
                let is_due = now >= lead.renewed_at + LEASE_RENEWAL_INTERVAL;
                is_due.then(|| lead.controller.renewal(store_now, fleet))
            }
            RolloutStep::Advance(record) => Some(record),
            RolloutStep::Stop(record) => {
                if lead.logged_step < record.step {
                    lead.logged_step = record.step;
                    log::warn!(
                        service = self.service.as_str(), to = record.to.as_str(),
                        step = record.step, reason = record.reason.as_str();
                        "roll-out stopped; not stored yet"
                    );
                }
                Some(record)
            }
        }
    }

    fn rollout_load(&self) -> RolloutLoad {
        let versions = {
            let services = self.host.service().services.borrow();
            let record = services.get(&self.service).and_then(|rollout| rollout.record.as_ref());
            record.map(|record| (record.from.clone(), record.to.clone()))
        };
        let Some((from, to)) = versions else { return RolloutLoad::default() };
        RolloutLoad {
            current: self.host.version_load(&self.service, &from),
            next: self.host.version_load(&self.service, &to),
            vms: self.host.live_vms().len() as u32,
            longest_timeout: self.host.longest_timeout(&self.service),
        }
    }

    fn set_write(&self, change: impl FnOnce(&mut WriteState)) {
        let mut services = self.host.service().services.borrow_mut();
        change(&mut services.entry(self.service.clone()).or_default().write);
    }

    fn row_version(&self) -> u64 {
        let services = self.host.service().services.borrow();
        services.get(&self.service).map_or(0, |rollout| rollout.row_version)
    }

    fn spawn_read(self) {
        self.set_write(|write| write.is_running = true);
        tokio::task::spawn_local(async move {
            let is_read = self.read().await;
            self.set_write(|write| {
                write.is_running = false;
                write.needs_read = !is_read;
                write.retry_at = if is_read { Duration::ZERO } else { monotonic() + RETRY_DELAY };
            });
        });
    }

    /// Reads the row again. Returns whether that succeeded.
    async fn read(&self) -> bool {
        match self.read_row().await {
            Ok(Some(row)) => {
                if let Some(record) = decode(&row) {
                    self.adopt(row.version, &record);
                }
                true
            }
            Ok(None) => {
                self.host.service().remove_record(&self.service);
                true
            }
            Err(error) => {
                log::info!(
                    service = self.service.as_str(), error = error.to_string();
                    "state of a roll-out not read; retrying"
                );
                false
            }
        }
    }

    async fn read_row(&self) -> RowResult<Option<StoredRow>> {
        let key = self.service.as_str();
        // The smallest possible next key: keys contain no character that sorts before the space.
        let page = self.host.rows().range(ROLLOUT_TABLE, "", key, &format!("{key} ")).await?;
        self.host.record_store_time(page.store_time);
        Ok(page.rows.into_iter().find(|row| row.key == key))
    }

    fn spawn_write(self, reason: WriteReason, record: RolloutRecord) {
        self.set_write(|write| write.is_running = true);
        tokio::task::spawn_local(async move {
            let now = monotonic();
            let value = encode(&record);
            let mut transaction = RowTransaction::in_partition("")
                .expect(ROLLOUT_TABLE, self.service.as_str(), self.row_version())
                .write(ROLLOUT_TABLE, self.service.as_str(), value);
            if reason == WriteReason::Open {
                transaction = self.host.expect_order(transaction, &record);
            }
            if reason == WriteReason::Open || record.phase.is_final() {
                transaction = self.host.write_status(transaction, &record);
            }
            let outcome = self.host.rows().transact(&transaction).await;
            let mut retry_at = Duration::ZERO;
            let mut needs_read = false;
            match outcome {
                Ok(version) => {
                    self.adopt(version, &record);
                    let mut services = self.host.service().services.borrow_mut();
                    let lead = services.get_mut(&self.service).and_then(|r| r.lead.as_mut());
                    if let Some(lead) = lead {
                        lead.renewed_at = now;
                    }
                }
                Err(error) => {
                    log::info!(
                        service = self.service.as_str(), step = record.step,
                        phase = record.phase.as_str(), error = error.to_string();
                        "roll-out not stored; reading it again"
                    );
                    needs_read = !self.read().await;
                    retry_at = monotonic() + RETRY_DELAY;
                }
            }
            self.set_write(|write| {
                (write.is_running, write.needs_read) = (false, needs_read);
                write.retry_at = retry_at;
            });
        });
    }

    /// Adopts the stored record, and the lead if the record names this incarnation.
    fn adopt(&self, version: u64, record: &RolloutRecord) {
        let now = monotonic();
        let service = self.host.service();
        let is_own = record.leader == self.host.leader();
        service.apply_record(now, version, record.clone());
        {
            let mut services = service.services.borrow_mut();
            let Some(rollout) = services.get_mut(&self.service) else { return };
            if rollout.row_version != version {
                return;
            }
            if is_own && !record.phase.is_final() {
                let store_now = self.host.store_time();
                let settings = service.settings;
                let lead = rollout.lead.get_or_insert_with(|| RolloutLead {
                    controller: RolloutController::open(settings, record.clone(), now, store_now),
                    renewed_at: now,
                    stop: None,
                    logged_step: record.step,
                });
                lead.controller.confirm(record);
            }
        }
        self.host.refresh_cohorts();
        service.changed.notify_waiters();
    }
}
