//! What a running gateway knows, and the tasks that keep it up to date.
//!
//! Everything of a gateway belongs to one thread. Cells are borrowed for one decision, never across a
//! wait.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::board::PlacementBoard;
use crate::gateway::catalog::{GatewayConfig, GatewayWorkspace, RouteCatalog};
use crate::gateway::connections::ConnectionPool;
use crate::gateway::followers::{
    ClosedListing, FeedPacing, RowDecoder, TableFollower, TargetListing,
};
use crate::gateway::handle::GatewaySettings;
use crate::gateway::job_desk::JobDesk;
use crate::gateway::leases::{LeaseBook, advance_waiting, balance};
use crate::gateway::load::LoadReport;
use crate::gateway::metrics::{GatewayMetrics, GaugeValues};
use crate::gateway::peering::GatewayPeering;
use crate::gateway::quota::QuotaLedger;
use crate::gateway::slots::ServingTarget;
use crate::gateway::transport::TargetTransport;
use crate::ids::{TargetId, VmId, WorkspaceId};
use crate::platform::rows::RowStore;

/// The part of each quota that a VM may spend before it knows the other VMs.
const SHARE_OF_UNKNOWN_FLEET: f64 = 0.01;
/// What was spent is reported again for this long, since reports may be lost.
const QUOTA_REPEAT: Duration = Duration::from_secs(1);
/// Reports of other VMs and lapsed targets expire by this tick.
const EXPIRY_TICK: Duration = Duration::from_millis(200);

pub(crate) struct GatewayCore {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Duration,
    pub(crate) transport: Rc<dyn TargetTransport>,
    pub(crate) rows: Rc<dyn RowStore>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) board: RefCell<PlacementBoard>,
    pub(crate) peering: GatewayPeering,
    pub(crate) jobs: JobDesk,
    pub(crate) leases: LeaseBook,
    dialect: Rc<dyn RowDecoder>,
    connections: ConnectionPool,
    catalog: RefCell<Option<Rc<RouteCatalog>>>,
    quotas: RefCell<QuotaLedger>,
    listing: RefCell<TargetListing>,
    closed: RefCell<ClosedListing>,
    store_clock: Cell<Option<(Duration, Duration)>>,
    running: Cell<usize>,
    /// When a planned stop began.
    stopping_since: Cell<Option<Duration>>,
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningCount(Rc<GatewayCore>);

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl GatewayCore {
    /// Opens the core and starts its tasks on the current thread.
    pub(crate) fn open(
        settings: GatewaySettings,
        transport: Rc<dyn TargetTransport>,
        rows: Rc<dyn RowStore>,
        dialect: Rc<dyn RowDecoder>,
        connections: ConnectionPool,
    ) -> Result<Rc<Self>, String> {
        let incarnation = rand::random();
        let peering = GatewayPeering::bind(&settings, incarnation)?;
        let core = Rc::new(Self {
            board: RefCell::new(PlacementBoard::open(&settings.data_centre)),
            settings,
            incarnation,
            started_at: monotonic(),
            transport,
            rows,
            metrics: GatewayMetrics::open(),
            peering,
            jobs: JobDesk::default(),
            dialect,
            connections,
            catalog: RefCell::default(),
            quotas: RefCell::default(),
            listing: RefCell::default(),
            closed: RefCell::default(),
            leases: LeaseBook::default(),
            store_clock: Cell::default(),
            running: Cell::new(0),
            stopping_since: Cell::new(None),
        });
        core.spawn_followers();
        core.spawn_peering();
        core.spawn_jobs();
        tokio::task::spawn_local(advance_waiting(Rc::clone(&core)));
        tokio::task::spawn_local(balance(Rc::clone(&core)));
        tokio::task::spawn_local(expire(Rc::clone(&core)));
        Ok(core)
    }

    /// The requests that run.
    pub(crate) fn running(&self) -> usize {
        self.running.get()
    }

    /// Turns not ready; returns the time.
    pub(crate) fn begin_stop(&self) -> Duration {
        let now = monotonic();
        self.stopping_since.set(Some(now));
        now
    }

    /// All metrics as text.
    pub(crate) fn encode_metrics(&self) -> String {
        let board = self.board.borrow();
        self.metrics.set_gauges(&GaugeValues {
            running: self.running(),
            targets: board.target_count(),
            peers_heard: board.heard(),
            config_version: self.config_version(),
            connections_opened: self.connections.opened(),
        });
        self.metrics.encode()
    }

    pub(crate) fn count_running(self: &Rc<Self>) -> RunningCount {
        self.running.set(self.running.get() + 1);
        RunningCount(Rc::clone(self))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether the balancer knows that this VM is stopping. Callers that come all the same, over
    /// connections that they kept, are served elsewhere.
    pub(crate) fn is_refusing(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| monotonic() >= since + self.settings.deregistration_delay)
    }

    pub(crate) fn catalog(&self) -> Option<Rc<RouteCatalog>> {
        self.catalog.borrow().clone()
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version())
    }

    pub(crate) fn target(&self, id: &TargetId) -> Option<ServingTarget> {
        self.board.borrow().target(id).cloned()
    }

    pub(crate) fn follow(
        self: &Rc<Self>,
        table: &'static str,
        parts: Vec<String>,
        urgency: FeedPacing,
    ) -> TableFollower {
        TableFollower::open(self, table, parts, urgency)
    }

    /// Takes the store's clock from one of its answers.
    pub(crate) fn record_store_time(&self, store_time: Duration) {
        self.store_clock.set(Some((store_time, monotonic())));
    }

    /// The store's clock as far as this VM knows it.
    pub(crate) fn store_time(&self) -> Duration {
        let (store_time, at) = self.store_clock.get().unwrap_or_default();
        store_time + monotonic().saturating_sub(at)
    }

    /// A time of the store's clock by the own monotonic clock.
    pub(crate) fn local_time(&self, store_time: Duration) -> Duration {
        (monotonic() + store_time).saturating_sub(self.store_time())
    }

    fn spawn_followers(self: &Rc<Self>) {
        let root = vec![String::new()];
        let operators =
            self.follow(self.dialect.operator_table(), root.clone(), FeedPacing::Prompt);
        tokio::task::spawn_local(operators.run(|core, news, _| {
            let newest = core.closed.borrow_mut().apply(&*core.dialect, news);
            core.board.borrow_mut().set_closed(core.closed.borrow().data_centres());
            if let Some(config) = newest {
                core.apply_config(config);
            }
        }));
        let targets = self.follow(self.dialect.target_table(), root, FeedPacing::Prompt);
        tokio::task::spawn_local(targets.run(|core, news, back_at| {
            let now = monotonic();
            core.listing.borrow_mut().apply(&*core.dialect, news, back_at, now);
            core.refresh_targets();
        }));
    }

    fn refresh_targets(self: &Rc<Self>) {
        let targets = self.listing.borrow().targets();
        self.board.borrow_mut().set_targets(monotonic(), targets);
        self.advance();
    }

    /// Puts a configuration in force unless a newer one is.
    fn apply_config(self: &Rc<Self>, config: GatewayConfig) {
        let before = self.config_version();
        if config.version <= before {
            return;
        }
        let now = monotonic();
        let rates = config.services.iter();
        let rates: HashMap<_, _> =
            rates.map(|service| (service.name.clone(), service.cold_per_second)).collect();
        self.board.borrow_mut().set_cold_rates(rates);
        for workspace in config.workspaces.iter().flatten() {
            self.quotas.borrow_mut().track(now, &workspace.name);
        }
        log::info!(
            version = config.version, before = before, routes = config.routes.len() as u64;
            "configuration in force"
        );
        *self.catalog.borrow_mut() = Some(Rc::new(RouteCatalog::open(config)));
    }

    /// The part of all VMs that this one hears from, itself included.
    fn heard_share(&self) -> f64 {
        let Some(members) = self.peering.known_members() else { return SHARE_OF_UNKNOWN_FLEET };
        let heard = self.board.borrow().heard() + 1;
        (heard as f64 / members as f64).min(1.0)
    }

    pub(crate) fn spend_quota(&self, workspace: &GatewayWorkspace) -> Result<(), Duration> {
        let share = self.heard_share();
        let mut quotas = self.quotas.borrow_mut();
        let now = monotonic();
        quotas.admit(now, &workspace.name, workspace.rate, workspace.burst, share)
    }

    pub(crate) fn refund_quota(&self, workspace: &WorkspaceId) {
        self.quotas.borrow_mut().refund(monotonic(), workspace);
    }

    /// Takes reports of other VMs and returns those that are new.
    pub(crate) fn apply_reports<'a>(
        self: &Rc<Self>,
        reports: &'a [(VmId, LoadReport)],
    ) -> Vec<&'a (VmId, LoadReport)> {
        let now = monotonic();
        let news = self.board.borrow_mut().observe(now, reports);
        if news.is_empty() {
            return news;
        }
        let catalog = self.catalog();
        let mut quotas = self.quotas.borrow_mut();
        for (vm, report) in &news {
            for spent in &report.quotas {
                let rate = catalog.as_ref().and_then(|catalog| catalog.workspace(&spent.workspace));
                let rate = rate.map_or(0.0, |workspace| workspace.rate);
                quotas.observe(now, (vm, report.incarnation), spent, rate);
            }
        }
        drop(quotas);
        self.advance();
        news
    }

    /// What this VM tells the others.
    pub(crate) fn load_report(&self, incarnation: u64) -> LoadReport {
        let (targets, waiting) = self.board.borrow().report();
        LoadReport {
            incarnation,
            sequence: 0,
            targets,
            quotas: self.quotas.borrow().spent(monotonic().saturating_sub(QUOTA_REPEAT)),
            waiting,
        }
    }
}

async fn expire(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(EXPIRY_TICK).await;
        let now = monotonic();
        let silent = core.board.borrow_mut().expire_reports(now);
        for vm in &silent {
            log::warn!(vm = vm.as_str(); "peer lost");
        }
        if let Some(members) = core.peering.known_members() {
            let mut board = core.board.borrow_mut();
            board.set_fleet_size(members);
            board.set_report_age(core.report_age());
        }
        if core.listing.borrow_mut().expire(now) {
            core.refresh_targets();
        }
    }
}
