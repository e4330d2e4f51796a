//! State of all roll-outs on one VM: orders, stored records, views and evidence.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use tokio::sync::Notify;

use crate::ids::{ServiceName, TargetId, VersionName, VmId};
use crate::placement::load::service_hash;
use crate::placement::slots::ServingTarget;
use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::controller::RolloutController;
use crate::rollouts::evidence::{AnswerSample, RolloutReport, VersionEvidence};
use crate::rollouts::fleet_evidence::FleetEvidence;
use crate::rollouts::news::{EvidenceReceiver, EvidenceSender, RolloutNews};
use crate::rollouts::order::{OrderFault, RolloutOrder, RolloutSettings};
use crate::rollouts::order_listing::OrderListing;
use crate::rollouts::record::{RolloutLeader, RolloutPhase, RolloutReason, RolloutRecord};
use crate::rollouts::shares::rank_canary_targets;
use crate::rollouts::versions::{TargetCohort, VersionCohorts};
use crate::rollouts::view::RolloutView;

/// How long the end of a roll-out is still announced. Until then every VM has read the record, unless the store is
/// away.
const END_REPEAT_TIME: Duration = Duration::from_secs(5);

/// Announcements in one report, in turn. Each has up to 110 bytes, and a report has to fit into a datagram of 1,000
/// bytes with the load of the VM and a part of its evidence.
const MAX_ANNOUNCEMENTS: usize = 2;

/// Roll-out of one service as known to this VM.
#[derive(Debug, Default)]
pub(crate) struct ServiceRollout {
    pub(crate) view: RolloutView,
    pub(crate) record: Option<RolloutRecord>,
    /// Version of the record's row; 0 if there is none.
    pub(crate) row_version: u64,
    evidence: Option<(u64, VersionEvidence, FleetEvidence)>,
    /// Set while this VM leads the roll-out.
    pub(crate) lead: Option<RolloutLead>,
    /// Last announcement of a roll-out that this VM led, and until when it is repeated.
    ended: Option<(RolloutAnnouncement, Duration)>,
    /// Whether the order was deleted or replaced, so that the new version gets no more requests.
    pub(crate) is_stopped: bool,
    pub(crate) write: WriteState,
    /// Row version and since when it may be claimed.
    pub(crate) claimable: Option<(u64, Duration)>,
}

/// Writes of a VM to the row of a roll-out; one at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WriteState {
    pub(crate) is_running: bool,
    /// Whether the outcome of the last write is unknown.
    pub(crate) needs_read: bool,
    /// Earliest time of the next write after a failed one.
    pub(crate) retry_at: Duration,
}

/// Lead of this VM.
#[derive(Debug)]
pub(crate) struct RolloutLead {
    pub(crate) controller: RolloutController,
    /// When the record was last written.
    pub(crate) renewed_at: Duration,
    /// Stop that this VM has decided by itself because the order was deleted.
    pub(crate) stop: Option<RolloutRecord>,
    /// Step that was logged last.
    pub(crate) logged_step: u32,
}

impl RolloutLead {
    /// Returns what to announce.
    fn announcement(&self) -> RolloutAnnouncement {
        self.stop
            .as_ref()
            .map_or_else(|| self.controller.announcement(), |stop| announcement_of(stop, false))
    }
}

/// Returns the announcement of a record.
pub(crate) fn announcement_of(record: &RolloutRecord, is_stored: bool) -> RolloutAnnouncement {
    RolloutAnnouncement {
        service: service_hash(&record.service),
        revision: record.revision,
        epoch: record.epoch.0,
        step: record.step,
        phase: record.phase,
        shares: record.shares.clone(),
        is_stored,
    }
}

impl ServiceRollout {
    /// Returns whether the stored roll-out runs.
    pub(crate) fn is_running(&self) -> bool {
        self.record.as_ref().is_some_and(|record| !record.phase.is_final())
    }

    /// Returns the evidence on the running roll-out.
    fn evidence(&mut self) -> Option<&mut (u64, VersionEvidence, FleetEvidence)> {
        let record = self.record.as_ref().filter(|record| !record.phase.is_final())?;
        let revision = record.revision;
        if self.evidence.as_ref().is_none_or(|(known, ..)| *known != revision) {
            let own = VersionEvidence::open(&record.service, revision);
            self.evidence = Some((revision, own, FleetEvidence::open(revision)));
        }
        self.evidence.as_mut()
    }

    /// Returns the controller with the evidence of all VMs.
    pub(crate) fn lead_with_evidence(&mut self) -> Option<(&mut RolloutLead, &FleetEvidence)> {
        let (_, _, fleet) = self.evidence.as_ref()?;
        Some((self.lead.as_mut()?, fleet))
    }

    /// Ends the lead of this VM. The end of the roll-out is announced for a while longer.
    fn end_lead(&mut self, now: Duration) {
        let is_final = |record: &&RolloutRecord| record.phase.is_final();
        if self.lead.take().is_some()
            && let Some(record) = self.record.as_ref().filter(is_final)
        {
            self.ended = Some((announcement_of(record, true), now + END_REPEAT_TIME));
        }
    }
}

/// Cohorts of a service's targets.
pub(crate) struct ServiceCohorts {
    versions: VersionCohorts,
    /// New targets that get requests; `None` for all of them.
    canary_targets: Option<HashSet<TargetId>>,
    /// Whether all requests go to the new version.
    is_draining: bool,
    /// Whether the current version is not known yet.
    is_unknown: bool,
}

impl ServiceCohorts {
    /// Returns the cohort of a target.
    pub(crate) fn cohort(&self, target: &ServingTarget) -> TargetCohort {
        if self.is_unknown {
            return TargetCohort::Withheld;
        }
        let cohort = self.versions.cohort(&target.version);
        let is_canary =
            || self.canary_targets.as_ref().is_none_or(|canary| canary.contains(&target.id));
        if cohort == TargetCohort::Next && !is_canary() { TargetCohort::Withheld } else { cohort }
    }

    /// Returns whether the old targets are drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining
    }
}

/// Roll-outs of one VM.
pub(crate) struct RolloutService {
    pub(crate) settings: RolloutSettings,
    /// This VM.
    local: RolloutLeader,
    /// Number of times that the evidence of this VM was added to that of all VMs.
    own_sequence: Cell<u64>,
    /// Place of the next announcement among those of this VM, if they do not all fit into a report.
    announced: Cell<usize>,
    pub(crate) orders: RefCell<OrderListing>,
    pub(crate) services: RefCell<BTreeMap<ServiceName, ServiceRollout>>,
    /// Versions of the targets that were listed first.
    first_versions: RefCell<HashMap<ServiceName, VersionName>>,
    /// Unknown services of orders that were logged, with the revision.
    unknown_services: RefCell<HashMap<ServiceName, u64>>,
    sender: RefCell<EvidenceSender>,
    receiver: RefCell<EvidenceReceiver>,
    /// Whether the stored records have been read.
    has_records: Cell<bool>,
    pub(crate) changed: Notify,
}

impl RolloutService {
    /// Opens the state of a VM that knows no roll-outs yet.
    pub(crate) fn open(settings: RolloutSettings, local: RolloutLeader) -> Self {
        Self {
            settings,
            local,
            own_sequence: Cell::new(0),
            announced: Cell::new(0),
            orders: RefCell::default(),
            services: RefCell::default(),
            first_versions: RefCell::default(),
            unknown_services: RefCell::default(),
            sender: RefCell::default(),
            receiver: RefCell::default(),
            has_records: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns whether the stored records have been read.
    pub(crate) fn has_records(&self) -> bool {
        self.has_records.get()
    }

    /// Applies all stored records.
    pub(crate) fn apply_snapshot(&self, now: Duration, rows: Vec<(u64, RolloutRecord)>) {
        let listed: HashSet<ServiceName> =
            rows.iter().map(|(_, record)| record.service.clone()).collect();
        for (version, record) in rows {
            self.apply_record(now, version, record);
        }
        self.has_records.set(true);
        let absent: Vec<ServiceName> = {
            let services = self.services.borrow();
            let stored = services.iter().filter(|(_, rollout)| rollout.record.is_some());
            stored.map(|(name, _)| name.clone()).filter(|name| !listed.contains(name)).collect()
        };
        for name in absent {
            self.remove_record(&name);
        }
    }

    /// Applies a stored record unless a later one is known.
    pub(crate) fn apply_record(&self, now: Duration, version: u64, record: RolloutRecord) {
        let mut services = self.services.borrow_mut();
        let rollout = services.entry(record.service.clone()).or_default();
        if version < rollout.row_version {
            return;
        }
        if record.leader == self.local {
            log_change(rollout.record.as_ref(), &record);
        }
        rollout.row_version = version;
        rollout.view.apply_record(now, &record);
        let is_final = record.phase.is_final();
        let leads = rollout.lead.as_ref().is_some_and(|lead| {
            let own = lead.controller.record();
            own.epoch == record.epoch && own.revision == record.revision
        });
        rollout.record = Some(record);
        if is_final || !leads {
            rollout.end_lead(now);
        }
        if is_final {
            rollout.evidence = None;
        }
    }

    /// Records that a service has no stored record.
    pub(crate) fn remove_record(&self, service: &ServiceName) {
        let mut services = self.services.borrow_mut();
        if let Some(rollout) = services.get_mut(service)
            && rollout.record.is_some()
        {
            log::warn!(service = service.as_str(); "stored state of a roll-out deleted; it starts anew if it is still ordered");
            *rollout = ServiceRollout { write: rollout.write, ..ServiceRollout::default() };
        }
    }

    /// Records that the store has confirmed the known records.
    pub(crate) fn record_contact(&self, now: Duration) {
        for rollout in self.services.borrow_mut().values_mut() {
            rollout.view.record_contact(now);
        }
    }

    /// Returns the order that starts a roll-out of its own, and when this VM first saw it.
    pub(crate) fn pending_order(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> Option<(RolloutOrder, Duration)> {
        let orders = self.orders.borrow();
        let (order, seen_at) = orders.order(key)?;
        let services = self.services.borrow();
        let record = services.get(service).and_then(|rollout| rollout.record.as_ref());
        let is_pending = record.is_none_or(|record| record.is_replaced_by(order));
        is_pending.then(|| (order.clone(), seen_at))
    }

    /// Brings the derived state up to date after a change of orders, records or the configuration. Returns the
    /// services with a roll-out that has not ended.
    pub(crate) fn refresh(
        &self,
        has_service: impl Fn(&ServiceName) -> bool,
        order_key: impl Fn(&ServiceName) -> String,
    ) -> BTreeSet<ServiceName> {
        let mut active = BTreeSet::new();
        let ordered: Vec<(ServiceName, u64)> = {
            let orders = self.orders.borrow();
            orders.orders().map(|order| (order.service.clone(), order.revision)).collect()
        };
        for (service, revision) in ordered {
            if has_service(&service) {
                if self.pending_order(&service, &order_key(&service)).is_some() {
                    active.insert(service);
                }
            } else if self.unknown_services.borrow_mut().insert(service.clone(), revision)
                != Some(revision)
            {
                let fault = OrderFault::UnknownService(service.clone()).to_string();
                log::error!(service = service.as_str(), reason = fault; "roll-out order not followed");
            }
        }
        for (service, rollout) in self.services.borrow_mut().iter_mut() {
            let key = order_key(service);
            let orders = self.orders.borrow();
            let is_replaced = rollout.record.as_ref().is_some_and(|record| {
                orders.order(&key).is_some_and(|(order, _)| record.is_replaced_by(order))
            });
            rollout.is_stopped = rollout.is_running() && (is_replaced || orders.is_absent(&key));
            if rollout.is_running() {
                active.insert(service.clone());
            }
        }
        active
    }

    /// Selects the version for a request.
    pub(crate) fn select(&self, now: Duration, service: &ServiceName, route: u32) -> TargetCohort {
        let services = self.services.borrow();
        let Some(rollout) = services.get(service) else { return TargetCohort::Current };
        if rollout.is_stopped {
            return TargetCohort::Current;
        }
        rollout.view.select(now, route, rand::random())
    }

    /// Returns the cohorts of a service. `versions` are those of its targets in service, and `targets_of` returns
    /// the targets of one of them.
    pub(crate) fn cohorts(
        &self,
        now: Duration,
        service: &ServiceName,
        versions: &BTreeSet<VersionName>,
        targets_of: impl Fn(&VersionName) -> Vec<TargetId>,
    ) -> ServiceCohorts {
        let services = self.services.borrow();
        let rollout = services.get(service);
        let record = rollout.and_then(|rollout| rollout.record.as_ref());
        let first_versions = self.first_versions.borrow();
        let first_listed = first_versions.get(service);
        let assigned =
            VersionCohorts::assign(record, first_listed, |version| versions.contains(version));
        let view = rollout.filter(|rollout| !rollout.is_stopped).map(|rollout| &rollout.view);
        let is_draining = view.is_some_and(|view| match view.phase() {
            Some(RolloutPhase::Draining) => !view.allows_current(now),
            // Announced, but the record is not known yet.
            Some(RolloutPhase::Completed) => assigned.next().is_some(),
            _ => false,
        });
        let canary_targets = view.zip(assigned.next()).and_then(|(view, next)| {
            let count = view.canary_targets(now)?;
            let targets = targets_of(next);
            let targets: Vec<&TargetId> = targets.iter().collect();
            let ranked = rank_canary_targets(view.revision().unwrap_or_default(), &targets);
            Some(ranked.into_iter().take(count).cloned().collect())
        });
        ServiceCohorts {
            versions: assigned,
            canary_targets,
            is_draining,
            is_unknown: !self.has_records.get() && versions.len() > 1,
        }
    }

    /// Records the versions of services whose targets are listed for the first time. The targets that started first
    /// count as listed first if several versions are listed at once, so that all VMs agree.
    pub(crate) fn record_first_versions(&self, targets: &[ServingTarget]) {
        let mut first_versions = self.first_versions.borrow_mut();
        let mut earliest: HashMap<&ServiceName, (u64, &VersionName)> = HashMap::new();
        for target in targets.iter().filter(|target| !first_versions.contains_key(&target.service))
        {
            let started = (target.started_at_ms, &target.version);
            let first = earliest.entry(&target.service).or_insert(started);
            *first = started.min(*first);
        }
        let earliest: Vec<_> = earliest
            .into_iter()
            .map(|(service, (_, version))| (service.clone(), version.clone()))
            .collect();
        first_versions.extend(earliest);
    }

    /// Returns the version that serves a service, if any is known.
    pub(crate) fn current_version(&self, service: &ServiceName) -> Option<VersionName> {
        let services = self.services.borrow();
        let record = services.get(service).and_then(|rollout| rollout.record.as_ref());
        record
            .map(|record| record.current_version().clone())
            .or_else(|| self.first_versions.borrow().get(service).cloned())
    }

    /// Records that a request has reached a stage.
    pub(crate) fn record_sample(
        &self,
        now: Duration,
        service: &ServiceName,
        sample: &AnswerSample,
    ) {
        let mut services = self.services.borrow_mut();
        let Some(rollout) = services.get_mut(service) else { return };
        if rollout.evidence().is_none() {
            return;
        }
        let ServiceRollout { view, evidence: Some((_, own, _)), .. } = rollout else { return };
        own.record(sample, view.shares(now));
    }

    /// Returns what this VM reports to the others; `None` if no roll-out runs.
    pub(crate) fn news(&self, now: Duration, part_time: Duration) -> Option<RolloutNews> {
        let mut announcements = Vec::new();
        let mut is_running = false;
        for rollout in self.services.borrow_mut().values_mut() {
            let ended = rollout.ended.as_ref().filter(|(_, until)| now < *until);
            let announcement = rollout.lead.as_ref().map(RolloutLead::announcement);
            announcements.extend(announcement.or_else(|| ended.map(|(last, _)| last.clone())));
            is_running |= rollout.is_running();
        }
        if announcements.len() > MAX_ANNOUNCEMENTS {
            let first = self.announced.get() % announcements.len();
            self.announced.set(first + MAX_ANNOUNCEMENTS);
            announcements.rotate_left(first);
            announcements.truncate(MAX_ANNOUNCEMENTS);
        }
        if !is_running {
            self.receiver.borrow_mut().clear();
            let news = RolloutNews { announcements, part: None };
            return (!news.announcements.is_empty()).then_some(news);
        }
        if self.sender.borrow_mut().advance(now, part_time) {
            let reports = self.observe_own(now);
            self.sender.borrow_mut().begin(now, &reports);
        }
        let part = self.sender.borrow().part();
        Some(RolloutNews { announcements, part: Some(part) })
    }

    /// Adds the evidence of this VM to that of all VMs, and returns it.
    pub(crate) fn observe_own(&self, now: Duration) -> Vec<RolloutReport> {
        let reports: Vec<RolloutReport> = {
            let mut services = self.services.borrow_mut();
            services
                .values_mut()
                .filter_map(|rollout| rollout.evidence().map(|(_, own, _)| own.report()))
                .collect()
        };
        let sequence = self.own_sequence.get() + 1;
        self.own_sequence.set(sequence);
        self.observe(now, &self.local.vm, self.local.incarnation, sequence, &reports);
        reports
    }

    fn observe(
        &self,
        now: Duration,
        vm: &VmId,
        incarnation: u64,
        sequence: u64,
        reports: &[RolloutReport],
    ) {
        let mut services = self.services.borrow_mut();
        for rollout in services.values_mut() {
            let Some((revision, _, fleet)) = rollout.evidence() else { continue };
            let matching = reports.iter().filter(|report| report.revision == *revision);
            for report in matching {
                fleet.observe(now, (vm, incarnation, sequence), report);
            }
        }
    }

    /// Applies the news of another VM. Returns whether placement has to follow.
    pub(crate) fn apply_news(
        &self,
        now: Duration,
        vm: &VmId,
        incarnation: u64,
        news: &RolloutNews,
    ) -> bool {
        let mut has_changed = false;
        for announcement in &news.announcements {
            let mut services = self.services.borrow_mut();
            let known =
                services.iter_mut().find(|(name, _)| service_hash(name) == announcement.service);
            let Some((_, rollout)) = known else { continue };
            let before = (rollout.view.phase(), rollout.view.shares(now).clone());
            rollout.view.apply(now, announcement);
            has_changed |= before != (rollout.view.phase(), rollout.view.shares(now).clone());
        }
        if let Some(part) = &news.part {
            match self.receiver.borrow_mut().add(vm, incarnation, part) {
                Ok(Some(reports)) => {
                    self.observe(now, vm, incarnation, u64::from(part.generation), &reports);
                }
                Ok(None) => {}
                Err(reason) => {
                    log::debug!(vm = vm.as_str(), reason = reason; "evidence on roll-outs dropped");
                }
            }
        }
        has_changed
    }

    /// Applies what this VM announces to itself. Returns whether placement has to follow.
    pub(crate) fn apply_own_announcement(&self, now: Duration, service: &ServiceName) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(rollout) = services.get_mut(service) else { return false };
        let Some(announcement) = rollout.lead.as_ref().map(RolloutLead::announcement) else {
            return false;
        };
        let before = (rollout.view.phase(), rollout.view.shares(now).clone());
        rollout.view.apply(now, &announcement);
        before != (rollout.view.phase(), rollout.view.shares(now).clone())
    }

    /// Returns service, version and share of each known roll-out, for metrics.
    pub(crate) fn shares(&self, now: Duration) -> Vec<(ServiceName, VersionName, f64)> {
        let services = self.services.borrow();
        let shares = services.iter().filter_map(|(service, rollout)| {
            let record = rollout.record.as_ref()?;
            let share = match record.phase {
                RolloutPhase::Completed => 1.0,
                RolloutPhase::RolledBack => 0.0,
                _ if rollout.is_stopped => 0.0,
                _ => rollout.view.shares(now).share(),
            };
            Some((service.clone(), record.to.clone(), share))
        });
        shares.collect()
    }
}

/// Logs what this VM has changed in a record. Renewals of the lease change nothing.
fn log_change(previous: Option<&RolloutRecord>, record: &RolloutRecord) {
    let key = |record: &RolloutRecord| (record.revision, record.step, record.phase);
    let previous = previous.filter(|previous| key(previous) == key(record));
    match previous {
        None => log_step(record),
        Some(previous) if previous.epoch != record.epoch => {
            log::info!(
                service = record.service.as_str(), to = record.to.as_str(), step = record.step,
                epoch = record.epoch.0, former_leader = previous.leader.vm.as_str();
                "roll-out taken over"
            );
        }
        Some(_) => {}
    }
}

/// Logs the acceptance, a step or the verdict of a roll-out.
fn log_step(record: &RolloutRecord) {
    let event = match record.phase {
        RolloutPhase::Completed | RolloutPhase::RolledBack => "roll-out ended",
        _ if record.reason == RolloutReason::Ordered => "roll-out ordered",
        _ => "roll-out step",
    };
    let evidence = &record.evidence;
    log::info!(
        service = record.service.as_str(), from = record.from.as_str(), to = record.to.as_str(),
        revision = record.revision, epoch = record.epoch.0, step = record.step,
        phase = record.phase.as_str(), reason = record.reason.as_str(),
        share = record.shares.share(), canary_targets = record.shares.canary_targets,
        duration_ms = record.deadline.saturating_sub(record.started_at).as_millis() as u64,
        old_sent = evidence.sent[0], old_answers = evidence.answers[0],
        old_failures = evidence.failures[0], new_sent = evidence.sent[1],
        new_answers = evidence.answers[1], new_failures = evidence.failures[1],
        against = evidence.against, support = evidence.support,
        worst_route = evidence.worst_route, unjudged_routes = evidence.unjudged_routes;
        "{event}"
    );
}
