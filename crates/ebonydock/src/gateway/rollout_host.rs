//! Connects roll-outs with requests, placement, load reports and the store.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::followers::{OperatorRecord, RolloutState, RolloutStatus, TableUpdate};
use crate::gateway::forward::AdmittedRequest;
use crate::gateway::load::LoadReport;
use crate::gateway::runtime::GatewayCore;
use crate::ids::{ServiceName, VersionName, VmId};
use crate::placement::load::target_hash;
use crate::placement::slots::{ServingTarget, SlotOutcome};
use crate::platform::rows::{RowStore, RowTransaction};
use crate::rollouts::answer_track::{AnswerSubject, AnswerTrack};
use crate::rollouts::host::RolloutHost;
use crate::rollouts::leadership::{follow_rollouts, lead_rollouts};
use crate::rollouts::news::RolloutNews;
use crate::rollouts::service::{RolloutService, ServiceCohorts};
use crate::rollouts::{
    AnswerStage, CohortLoad, RolloutLeader, RolloutPhase, RolloutRecord, TargetCohort, route_hash,
};

/// Reports for which a part of the evidence is sent. A relay may forward only every second one.
const REPORTS_PER_PART: u32 = 2;

/// A gateway that takes part in roll-outs.
struct GatewayRolloutHost {
    core: Rc<GatewayCore>,
    service: Rc<RolloutService>,
}

impl RolloutHost for GatewayRolloutHost {
    fn service(&self) -> &RolloutService {
        &self.service
    }

    fn leader(&self) -> RolloutLeader {
        RolloutLeader { vm: self.core.settings.vm.clone(), incarnation: self.core.incarnation }
    }

    fn may_lead(&self) -> bool {
        !self.core.is_stopping() && !self.core.peering.is_superseded()
    }

    fn live_vms(&self) -> Vec<VmId> {
        let mut vms = self.core.dispatcher.borrow().live_vms();
        vms.push(self.core.settings.vm.clone());
        vms
    }

    fn rows(&self) -> &dyn RowStore {
        &*self.core.rows
    }

    fn store_time(&self) -> Duration {
        self.core.store_time()
    }

    fn record_store_time(&self, store_time: Duration) {
        self.core.record_store_time(store_time);
    }

    fn has_service(&self, service: &ServiceName) -> bool {
        self.core.catalog().is_some_and(|catalog| catalog.service(service).is_some())
    }

    fn longest_timeout(&self, service: &ServiceName) -> Duration {
        self.core.catalog().map_or(Duration::ZERO, |catalog| catalog.longest_timeout(service))
    }

    fn version_load(&self, service: &ServiceName, version: &VersionName) -> CohortLoad {
        self.core.dispatcher.borrow().version_load(service, version)
    }

    fn order_key(&self, service: &ServiceName) -> String {
        self.core.decoder.rollout_key(service)
    }

    fn expect_order(&self, transaction: RowTransaction, record: &RolloutRecord) -> RowTransaction {
        let decoder = &self.core.decoder;
        let key = decoder.rollout_key(&record.service);
        transaction.expect(decoder.operator_table(), &key, record.revision)
    }

    fn write_status(&self, transaction: RowTransaction, record: &RolloutRecord) -> RowTransaction {
        let decoder = &self.core.decoder;
        let state = match record.phase {
            RolloutPhase::Completed => RolloutState::Completed,
            RolloutPhase::RolledBack => RolloutState::RolledBack,
            _ => RolloutState::Running,
        };
        let value = decoder.encode_rollout_status(&RolloutStatus { state, to: &record.to });
        transaction.write(decoder.status_table(), &decoder.rollout_key(&record.service), value)
    }

    fn refresh_cohorts(&self) {
        self.core.refresh_cohorts();
        self.core.advance();
    }
}

impl GatewayCore {
    /// Starts the tasks that follow and lead roll-outs, where they are enabled.
    pub(crate) fn spawn_rollouts(self: &Rc<Self>) {
        let Some(service) = &self.rollouts else { return };
        let host = || -> Rc<dyn RolloutHost> {
            Rc::new(GatewayRolloutHost { core: Rc::clone(self), service: Rc::clone(service) })
        };
        tokio::task::spawn_local(follow_rollouts(host()));
        tokio::task::spawn_local(lead_rollouts(host()));
    }

    /// Applies the orders among the rows of the operators' table.
    pub(crate) fn apply_orders(&self, update: &TableUpdate) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = monotonic();
        let mut orders = rollouts.orders.borrow_mut();
        let rows = match update {
            TableUpdate::Snapshot(rows) => {
                let listed: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
                orders.apply_snapshot(|key| listed.contains(key));
                rows
            }
            TableUpdate::Changed(rows) => rows,
        };
        for row in rows {
            if row.deleted {
                if orders.remove(&row.key) {
                    log::info!(key = row.key, version = row.version; "roll-out order deleted");
                }
                continue;
            }
            match self.decoder.decode_operator_record(row) {
                Ok(OperatorRecord::Rollout(order)) => orders.insert(now, &row.key, Some(order)),
                Ok(_) => {}
                // Logged with the other unreadable records. The row is present all the same.
                Err(_) => orders.insert(now, &row.key, None),
            }
        }
    }

    /// Brings roll-outs up to date after a change of orders or of the configuration.
    pub(crate) fn refresh_rollouts(&self) {
        let Some(rollouts) = &self.rollouts else { return };
        let catalog = self.catalog();
        let has_service = |service: &ServiceName| {
            catalog.as_ref().is_some_and(|catalog| catalog.service(service).is_some())
        };
        // Before the first configuration, no service is known.
        if catalog.is_some() {
            rollouts.refresh(has_service, |service| self.decoder.rollout_key(service));
        }
        rollouts.changed.notify_waiters();
        self.refresh_cohorts();
    }

    /// Assigns targets to cohorts anew.
    pub(crate) fn refresh_cohorts(&self) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = monotonic();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let versions = dispatcher.versions_in_service();
        let cohorts: BTreeMap<ServiceName, ServiceCohorts> = versions
            .into_iter()
            .map(|(service, versions)| {
                let targets_of = |version: &VersionName| dispatcher.targets_of(&service, version);
                let cohorts = rollouts.cohorts(now, &service, &versions, targets_of);
                (service, cohorts)
            })
            .collect();
        let draining = cohorts.iter().filter(|(_, cohorts)| cohorts.is_draining());
        let draining = draining.map(|(service, _)| service.clone()).collect();
        dispatcher.set_cohorts(draining, |target| {
            let cohorts = cohorts.get(&target.service);
            cohorts.map_or(TargetCohort::Current, |cohorts| cohorts.cohort(target))
        });
    }

    /// Selects the version for an attempt at a request.
    pub(crate) fn select_cohort(&self, admitted: &AdmittedRequest) -> TargetCohort {
        self.rollouts.as_ref().map_or(TargetCohort::Current, |rollouts| {
            rollouts.select(monotonic(), &admitted.service, route_hash(&admitted.route.name))
        })
    }

    /// Begins to follow a request that is sent to a target; `None` where roll-outs are not enabled.
    pub(crate) fn track_answer(
        &self,
        admitted: &AdmittedRequest,
        target: &ServingTarget,
    ) -> Option<Box<AnswerTrack>> {
        self.rollouts.as_ref()?;
        let subject = AnswerSubject {
            service: admitted.service.clone(),
            version: target.version.clone(),
            cohort: self.dispatcher.borrow().cohort(&target.id)?,
            route: route_hash(&admitted.route.name),
            target: target_hash(&target.id),
        };
        self.record_stage(&subject, AnswerStage::Sent);
        Some(Box::new(AnswerTrack::open(subject, monotonic(), admitted.ends_at)))
    }

    /// Records that a request has reached a stage.
    pub(crate) fn record_stage(&self, subject: &AnswerSubject, stage: AnswerStage) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.record_sample(monotonic(), &subject.service, &subject.sample(stage));
        }
    }

    /// Records the end of a request at its target.
    pub(crate) fn end_answer(&self, track: &AnswerTrack, outcome: SlotOutcome) {
        let stage = track.end(monotonic(), outcome);
        if let AnswerStage::Ended { failed, .. } = stage {
            self.metrics.count_version_answer(&track.subject, failed);
        }
        self.record_stage(&track.subject, stage);
    }

    /// Returns what this VM reports of roll-outs.
    pub(crate) fn rollout_news(&self) -> Option<Box<RolloutNews>> {
        let part_time = self.report_interval() * REPORTS_PER_PART;
        let news = self.rollouts.as_ref()?.news(monotonic(), part_time);
        news.map(Box::new)
    }

    /// Applies what other VMs report of roll-outs.
    pub(crate) fn apply_rollout_news(&self, reports: &[&(VmId, LoadReport)]) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = monotonic();
        let mut has_changed = false;
        for (vm, report) in reports {
            if let Some(news) = &report.rollouts {
                has_changed |= rollouts.apply_news(now, vm, report.incarnation, news);
            }
        }
        if has_changed {
            self.refresh_cohorts();
        }
    }

    /// Returns the share of the new version of each roll-out, for metrics.
    pub(crate) fn rollout_shares(&self) -> HashMap<(ServiceName, VersionName), f64> {
        let shares = self.rollouts.as_ref().map(|rollouts| rollouts.shares(monotonic()));
        let shares = shares.into_iter().flatten();
        shares.map(|(service, version, share)| ((service, version), share)).collect()
    }
}
