//! The state of a running gateway and the tasks that update it.
//!
//! All state of a gateway belongs to one thread. Cells are borrowed for one decision at a time and never
//! across an `await`.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::monotonic;
use crate::gateway::catalog::{GatewayConfig, RouteCatalog};
use crate::gateway::connections::ConnectionPool;
use crate::gateway::followers::{
    FeedPacing, FollowerProgress, OperatorListing, RowDecoder, TableFollower, TargetListing,
};
use crate::gateway::handle::GatewaySettings;
use crate::gateway::job_service::JobService;
use crate::gateway::leases::{LeaseRegistry, advance_waiting, balance};
use crate::gateway::load::LoadReport;
use crate::gateway::member_entry::new_incarnation;
use crate::gateway::metrics::{GatewayMetrics, GaugeValues};
use crate::gateway::peering::GatewayPeering;
use crate::gateway::prompt_guard::PromptGuard;
use crate::gateway::quota::{QuotaLedger, QuotaState};
use crate::gateway::transport::{ResponseMeaning, TargetResponse, TargetTransport};
use crate::ids::{ServiceName, TargetId, VmId, WorkspaceId};
use crate::memory::MemoryLedger;
use crate::placement::SlotPlacement;
use crate::placement::dispatcher::RequestDispatcher;
use crate::placement::slots::ServingTarget;
use crate::platform::rows::RowStore;
use crate::result_pages::PageLedger;
use crate::rollouts::RolloutLeader;
use crate::rollouts::service::RolloutService;

/// Time after the last response to the feed of operators' records from which changes may have been missed. A feed that
/// works gets a response at least every 1.5 s, and a change must be in force within 2 s.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(2);
/// How often reports of other VMs and targets that did not register again are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) struct GatewayCore {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: u64,
    pub(crate) transport: Rc<dyn TargetTransport>,
    pub(crate) rows: Rc<dyn RowStore>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) dispatcher: RefCell<RequestDispatcher>,
    pub(crate) peering: GatewayPeering,
    pub(crate) jobs: JobService,
    pub(crate) leases: LeaseRegistry,
    pub(crate) memory: MemoryLedger,
    pub(crate) pages: PageLedger,
    pub(crate) prompts: PromptGuard,
    /// `None` where roll-outs are not enabled.
    pub(crate) rollouts: Option<Rc<RolloutService>>,
    pub(crate) decoder: Rc<dyn RowDecoder>,
    /// How far the operators' records have been followed.
    pub(crate) operators: Rc<FollowerProgress>,
    connections: ConnectionPool,
    catalog: RefCell<Option<Rc<RouteCatalog>>>,
    quotas: RefCell<QuotaLedger>,
    listing: RefCell<TargetListing>,
    operator_listing: RefCell<OperatorListing>,
    store_clock: Cell<Option<(Duration, Duration)>>,
    running: Cell<usize>,
    /// When a planned stop began; `None` while there is none.
    stopping_since: Cell<Option<Duration>>,
    /// Whether a planned stop has ended the calls that were still running.
    is_closed: Cell<bool>,
    closing: Notify,
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningCount(Rc<GatewayCore>);

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl GatewayCore {
    /// Creates the state of a gateway and starts its tasks on the current thread.
    pub(crate) fn open(
        settings: GatewaySettings,
        transport: Rc<dyn TargetTransport>,
        rows: Rc<dyn RowStore>,
        decoder: Rc<dyn RowDecoder>,
        connections: ConnectionPool,
    ) -> Result<Rc<Self>, String> {
        let incarnation = new_incarnation();
        let peering = GatewayPeering::bind(&settings, incarnation)?;
        let memory = MemoryLedger::open(settings.memory.clone());
        let core = Rc::new(Self {
            dispatcher: RefCell::new(RequestDispatcher::open(
                &settings.vm,
                &settings.data_centre,
                Rc::new(connections.clone()),
            )),
            jobs: JobService::open(&settings.vm),
            rollouts: settings.rollouts.map(|bounds| {
                let local = RolloutLeader { vm: settings.vm.clone(), incarnation };
                Rc::new(RolloutService::open(bounds, local))
            }),
            pages: PageLedger::open(memory.clone()),
            memory,
            settings,
            incarnation,
            transport,
            rows,
            metrics: GatewayMetrics::open(),
            peering,
            decoder,
            operators: Rc::default(),
            connections,
            catalog: RefCell::default(),
            quotas: RefCell::new(QuotaLedger::open(monotonic())),
            listing: RefCell::default(),
            operator_listing: RefCell::default(),
            leases: LeaseRegistry::default(),
            prompts: PromptGuard::default(),
            store_clock: Cell::default(),
            running: Cell::new(0),
            stopping_since: Cell::new(None),
            is_closed: Cell::new(false),
            closing: Notify::new(),
        });
        if core.settings.ejects_outliers {
            core.dispatcher.borrow_mut().eject_outliers();
        }
        core.spawn_followers();
        core.spawn_peering();
        core.spawn_jobs();
        core.spawn_prompt_guard();
        core.spawn_rollouts();
        tokio::task::spawn_local(advance_waiting(Rc::clone(&core)));
        tokio::task::spawn_local(balance(Rc::clone(&core)));
        tokio::task::spawn_local(expire(Rc::clone(&core)));
        Ok(core)
    }

    /// Returns the placement of requests, borrowed for one decision.
    pub(crate) fn placement(&self) -> RefMut<'_, dyn SlotPlacement> {
        self.dispatcher.borrow_mut()
    }

    /// Returns whether a service has any target in service.
    pub(crate) fn has_targets(&self, service: &ServiceName) -> bool {
        self.dispatcher.borrow().has_targets(service)
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.running.get()
    }

    /// Makes the gateway not ready and returns the current time.
    pub(crate) fn begin_stop(&self) -> Duration {
        let now = monotonic();
        self.stopping_since.set(Some(now));
        now
    }

    /// Returns all metrics as text.
    pub(crate) fn encode_metrics(&self) -> String {
        let dispatcher = self.dispatcher.borrow();
        let (quota_subtracted, quota_dropped) = self.quotas.borrow().totals();
        self.metrics.set_gauges(&GaugeValues {
            running: self.running(),
            targets: dispatcher.target_count(),
            ejected_targets: dispatcher.ejected_count(),
            live_peers: dispatcher.live_vm_count(),
            config_version: self.config_version(),
            connections_opened: self.connections.opened(),
            quota_subtracted,
            quota_dropped,
            quarantines: self.quarantine_count(),
            dropped_messages: self.peering.dropped_messages(),
            memory: &self.memory,
        });
        self.metrics.set_rollout_shares(&self.rollout_shares());
        self.metrics.encode()
    }

    pub(crate) fn count_running(self: &Rc<Self>) -> RunningCount {
        self.running.set(self.running.get() + 1);
        RunningCount(Rc::clone(self))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Ends all calls that still run, at the end of a planned stop.
    pub(crate) fn close_calls(&self) {
        self.is_closed.set(true);
        self.closing.notify_waiters();
    }

    /// Returns whether a planned stop has ended all calls; later ones are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Waits until a planned stop ends all calls.
    pub(crate) async fn closed(&self) {
        let closing = self.closing.notified();
        if !self.is_closed() {
            closing.await;
        }
    }

    /// Returns whether new requests are refused: the VM is stopping and the balancer no longer sends new
    /// connections. Callers on connections that are still open then retry at another VM.
    pub(crate) fn is_refusing(&self) -> bool {
        let since = self.stopping_since.get();
        self.is_closed()
            || since.is_some_and(|since| monotonic() >= since + self.settings.deregistration_delay)
    }

    pub(crate) fn catalog(&self) -> Option<Rc<RouteCatalog>> {
        self.catalog.borrow().clone()
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version())
    }

    /// Returns whether this VM follows the operators' records. Otherwise routes and keys that the configuration lacks
    /// may have been added, and other VMs may know them.
    pub(crate) fn has_current_config(&self) -> bool {
        self.operators.is_following(monotonic(), MAX_CONFIG_AGE)
    }

    /// Returns whether all operators' records up to a version of the store have been applied.
    pub(crate) fn knows_operator_records(&self, store_version: u64) -> bool {
        self.operators.version() >= store_version
    }

    /// Returns whether the configuration in force lacks a route that an earlier or the same one had. It is no
    /// evidence while a record, which may be a newer configuration, cannot be read.
    pub(crate) fn is_route_removed(&self, name: &str) -> bool {
        self.catalog().is_some_and(|catalog| catalog.route_named(name).is_none())
            && !self.operator_listing.borrow().has_unreadable()
    }

    pub(crate) fn target(&self, id: &TargetId) -> Option<ServingTarget> {
        self.dispatcher.borrow().target(id).cloned()
    }

    /// Stops sending requests to a target whose response announces that it is about to stop.
    pub(crate) fn note_leaving(&self, target: &ServingTarget, response: &TargetResponse) {
        // Another target may respond at the address of one that is gone.
        if !response.is_leaving || response.meaning == ResponseMeaning::Misdirected {
            return;
        }
        let is_new = self.dispatcher.borrow_mut().record_leaving(monotonic(), target);
        if is_new {
            self.refresh_cohorts();
            log::info!(
                target_id = target.id.as_str(), started_at_ms = target.started_at_ms;
                "target announced that it is about to stop; it gets no more requests"
            );
        }
    }

    pub(crate) fn follow(
        self: &Rc<Self>,
        table: &'static str,
        partitions: Vec<String>,
        urgency: FeedPacing,
    ) -> TableFollower {
        TableFollower::open(self, table, partitions, urgency)
    }

    /// Records the store's clock from one of its responses.
    pub(crate) fn record_store_time(&self, store_time: Duration) {
        self.store_clock.set(Some((store_time, monotonic())));
    }

    /// Returns the time by the store's clock, estimated from its last response.
    pub(crate) fn store_time(&self) -> Duration {
        let (store_time, at) = self.store_clock.get().unwrap_or_default();
        store_time + monotonic().saturating_sub(at)
    }

    /// Converts a time by the store's clock to the monotonic clock of this VM.
    pub(crate) fn local_time(&self, store_time: Duration) -> Duration {
        (monotonic() + store_time).saturating_sub(self.store_time())
    }

    fn spawn_followers(self: &Rc<Self>) {
        let root = vec![String::new()];
        let operators =
            self.follow(self.decoder.operator_table(), root.clone(), FeedPacing::Prompt);
        let operators = operators.with_progress(&self.operators);
        tokio::task::spawn_local(operators.run(|core, update, _| {
            core.apply_orders(&update);
            let latest = core.operator_listing.borrow_mut().apply(&*core.decoder, update);
            core.dispatcher
                .borrow_mut()
                .set_out_of_service(core.operator_listing.borrow().data_centres());
            if let Some(config) = latest {
                core.apply_config(config);
            }
            core.refresh_rollouts();
        }));
        let targets = self.follow(self.decoder.target_table(), root, FeedPacing::Prompt);
        tokio::task::spawn_local(targets.run(|core, update, restored_at| {
            let now = monotonic();
            core.listing.borrow_mut().apply(&*core.decoder, update, restored_at, now);
            core.refresh_targets();
        }));
    }

    fn refresh_targets(self: &Rc<Self>) {
        let targets = self.listing.borrow().targets();
        if let Some(rollouts) = &self.rollouts {
            rollouts.record_first_versions(&targets);
        }
        self.dispatcher.borrow_mut().set_targets(monotonic(), targets);
        self.refresh_cohorts();
        self.advance();
    }

    /// Activates a configuration if it is newer than the active one.
    fn apply_config(self: &Rc<Self>, config: GatewayConfig) {
        let before = self.config_version();
        if config.version <= before {
            return;
        }
        let now = monotonic();
        let rates = config.services.iter();
        let rates: HashMap<_, _> =
            rates.map(|service| (service.name.clone(), service.cold_start_rate)).collect();
        self.dispatcher.borrow_mut().set_cold_start_rates(rates);
        for workspace in config.workspaces.iter().flatten() {
            let mut quotas = self.quotas.borrow_mut();
            quotas.set_quota(now, &workspace.name, workspace.rate, workspace.burst);
        }
        log::info!(
            version = config.version, before = before, routes = config.routes.len() as u64;
            "configuration in force"
        );
        *self.catalog.borrow_mut() = Some(Rc::new(RouteCatalog::open(config)));
    }

    /// Sets the VMs that share the quotas and the capacity of targets in cold start, once they are known.
    pub(crate) fn update_members(&self) {
        if let Some(members) = self.peering.known_members() {
            let now = monotonic();
            self.quotas.borrow_mut().set_members(now, members.len());
            self.dispatcher.borrow_mut().set_members(now, &members);
        }
    }

    /// Spends one request of a workspace's quota and returns the state of its bucket.
    ///
    /// # Errors
    ///
    /// Returns the state and the time until a request will be admitted if the quota is spent.
    pub(crate) fn spend_quota(
        &self,
        workspace: &WorkspaceId,
    ) -> Result<QuotaState, (QuotaState, Duration)> {
        let mut quotas = self.quotas.borrow_mut();
        let decision = quotas.admit(monotonic(), workspace);
        let state = quotas.state(workspace);
        self.metrics.count("quota", if decision.is_ok() { "admitted" } else { "refused" });
        decision.map(|()| state).map_err(|retry_after| (state, retry_after))
    }

    pub(crate) fn refund_quota(&self, workspace: &WorkspaceId) {
        self.metrics.count("quota", "refunded");
        self.quotas.borrow_mut().refund(monotonic(), workspace);
    }

    /// Applies load reports of other VMs.
    pub(crate) fn apply_reports(self: &Rc<Self>, reports: &[(VmId, LoadReport)]) {
        let now = monotonic();
        let is_new_contact = |vm: &VmId| !self.dispatcher.borrow().is_live(vm);
        let has_new_contact = reports.iter().any(|(vm, _)| is_new_contact(vm));
        let new_reports = self.dispatcher.borrow_mut().observe(now, reports);
        if has_new_contact {
            self.repeat_quarantines();
        }
        if new_reports.is_empty() {
            return;
        }
        let mut quotas = self.quotas.borrow_mut();
        for (vm, report) in &new_reports {
            quotas.observe(now, vm, report);
        }
        drop(quotas);
        self.apply_rollout_news(&new_reports);
        for (vm, report) in &new_reports {
            if let Some(prompts) = &report.prompts {
                self.apply_prompt_report(vm, report.incarnation, prompts);
            }
        }
        self.advance();
    }

    /// Returns the load report that this VM sends to others.
    pub(crate) fn load_report(&self, incarnation: u64) -> LoadReport {
        let (targets, waiting) = self.dispatcher.borrow().report();
        LoadReport {
            incarnation,
            sequence: 0,
            targets,
            quotas: self.quotas.borrow().spent(monotonic()),
            waiting,
            prompts: self.prompt_report(monotonic()),
            rollouts: self.rollout_news(),
            outliers: self.dispatcher.borrow().report_outliers(monotonic()),
        }
    }
}

async fn expire(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = monotonic();
        let silent = core.dispatcher.borrow_mut().expire_reports(now);
        for vm in &silent {
            log::warn!(vm = vm.as_str(); "peer lost");
        }
        if core.peering.has_member_list() {
            core.dispatcher.borrow_mut().set_report_age(core.report_age());
        }
        if core.listing.borrow_mut().expire(now) {
            core.refresh_targets();
        }
        // Targets may have been taken out of service, and a VM without news falls back to the canary share.
        core.refresh_cohorts();
    }
}
