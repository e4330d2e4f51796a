//! A running gateway: what it knows, and the tasks that keep it up to date.
//!
//! Everything of a gateway belongs to one thread. Cells are borrowed for one decision, never across a
//! wait.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;
use tokio::sync::{Notify, oneshot};

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::batch_balance::BATCH_INTERVAL;
use crate::gateway::board::{PlacementBoard, PlacementOutcome};
use crate::gateway::catalog::{GatewayConfig, GatewayWorkspace, RouteCatalog};
use crate::gateway::connections::{ConnectionPool, SendError};
use crate::gateway::followers::{ClosedListing, PlatformDialect, TableFollower, TargetListing};
use crate::gateway::forward::{
    AdmittedRequest, AttemptLog, ForwardAnswer, GatewayRefusal, RunningAttempt,
};
use crate::gateway::job_book::JobSubmission;
use crate::gateway::job_service::{JobAnswer, JobDesk, JobResultPage};
use crate::gateway::load::LoadReport;
use crate::gateway::metrics::{GatewayMetrics, GaugeValues};
use crate::gateway::peering::GatewayPeering;
use crate::gateway::quota::QuotaLedger;
use crate::gateway::request::ForwardedRequest;
use crate::gateway::slots::{ServingTarget, SlotUse};
use crate::gateway::transport::{TargetReply, TargetTransport};
use crate::gateway::wait_queue::{SlotNeed, SlotRefusal, SlotWaiter};
use crate::ids::{DataCentreId, ServiceName, TargetId, VmId, WorkspaceId};
use crate::platform::rows::RowStore;
use crate::scheduling::RequestClass;

/// Waiting requests are looked at this often when nothing else calls for it: time limits, cold starts
/// and suspicions end by themselves.
const WAIT_TICK: Duration = Duration::from_millis(10);
/// Reports of other VMs and lapsed targets expire by this tick.
const EXPIRY_TICK: Duration = Duration::from_millis(200);
const STOP_TICK: Duration = Duration::from_millis(50);
/// A stopping VM goes on serving until nothing has run for this long, so that the last bytes of answers
/// are on their way.
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(300);

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it takes messages of other VMs, over UDP.
    pub peers: SocketAddr,
    /// Results of jobs can be read for this long after the jobs were accepted.
    pub results_kept: Duration,
    /// A planned stop waits this long for running requests.
    pub stop_within: Duration,
    /// The balancer sends new connections for this long after a VM has turned not ready.
    pub balancer_notice: Duration,
}

/// A running gateway. Clones share it.
#[derive(Clone)]
pub struct Gateway {
    core: Rc<GatewayCore>,
}

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
    dialect: Rc<dyn PlatformDialect>,
    connections: ConnectionPool,
    catalog: RefCell<Option<Rc<RouteCatalog>>>,
    quotas: RefCell<QuotaLedger>,
    listing: RefCell<TargetListing>,
    closed: RefCell<ClosedListing>,
    waiters: RefCell<HashMap<SlotWaiter, oneshot::Sender<Result<SlotLease, SlotRefusal>>>>,
    yieldable: RefCell<BTreeMap<u64, YieldableSlot>>,
    next_lease: Cell<u64>,
    wake: Notify,
    heard_store: Rc<Cell<Option<Duration>>>,
    store_clock: Cell<Option<(Duration, Duration)>>,
    running: Cell<usize>,
    /// When a planned stop began.
    stopping_since: Cell<Option<Duration>>,
}

/// A slot of a target. Dropping it counts as a cancelled request.
pub(crate) struct SlotLease {
    core: Rc<GatewayCore>,
    target: TargetId,
    class: RequestClass,
    usage: SlotUse,
    /// Identifies a batch item's slot among those that may have to yield.
    yieldable: Option<u64>,
}

/// A slot of a batch item that may have to yield.
struct YieldableSlot {
    service: ServiceName,
    order: Duration,
    urgent_at: Option<Duration>,
    yields: oneshot::Sender<()>,
}

impl SlotLease {
    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }

    /// Lists a batch item's slot among those that may have to yield.
    fn yielding(mut self, need: &SlotNeed) -> Self {
        if self.class == RequestClass::Batch {
            let number = self.core.next_lease.get();
            self.core.next_lease.set(number + 1);
            let (yields, _) = oneshot::channel();
            let slot = YieldableSlot {
                service: need.service.clone(),
                order: need.order,
                urgent_at: need.urgent_at,
                yields,
            };
            self.core.yieldable.borrow_mut().insert(number, slot);
            self.yieldable = Some(number);
        }
        self
    }

    /// A signal that tells when the slot is needed for an online request. Online requests never yield.
    pub(crate) fn watch_yield(&self) -> Option<oneshot::Receiver<()>> {
        let number = self.yieldable?;
        let (sender, receiver) = oneshot::channel();
        self.core.yieldable.borrow_mut().get_mut(&number)?.yields = sender;
        Some(receiver)
    }

    pub(crate) fn release(mut self, usage: SlotUse) {
        self.usage = usage;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(number) = self.yieldable {
            self.core.yieldable.borrow_mut().remove(&number);
        }
        let now = monotonic();
        self.core.board.borrow_mut().release(now, &self.target, self.class, self.usage);
        self.core.advance();
    }
}

/// Takes a request out of the queue when its caller leaves.
struct WaitGuard {
    core: Rc<GatewayCore>,
    waiter: SlotWaiter,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let waiting = self.core.waiters.borrow_mut().remove(&self.waiter).is_some();
        if waiting {
            self.core.board.borrow_mut().cancel(self.waiter);
        }
    }
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningCount(Rc<GatewayCore>);

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Gateway {
    /// Opens a gateway and starts its tasks on the current thread.
    ///
    /// # Errors
    ///
    /// What could not be opened.
    pub fn open(
        settings: GatewaySettings,
        transport: Rc<dyn TargetTransport>,
        rows: Rc<dyn RowStore>,
        dialect: Rc<dyn PlatformDialect>,
        connections: ConnectionPool,
    ) -> Result<Self, String> {
        let incarnation = rand::random();
        let peering = GatewayPeering::bind(&settings.vm, incarnation, settings.peers)?;
        let core = Rc::new(GatewayCore {
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
            waiters: RefCell::default(),
            yieldable: RefCell::default(),
            next_lease: Cell::new(0),
            wake: Notify::new(),
            heard_store: Rc::default(),
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
        log::info!(vm = core.settings.vm.as_str(), incarnation = incarnation; "gateway started");
        Ok(Self { core })
    }

    /// Forwards a request. Dropping the future or the body of the answer cancels it.
    ///
    /// # Errors
    ///
    /// Why no target answered.
    pub async fn forward(
        &self,
        request: ForwardedRequest,
    ) -> Result<ForwardAnswer, GatewayRefusal> {
        let _running = self.core.count_running();
        let id = request.id.clone();
        let received_at = request.received_at;
        let answer = self.core.forward(request).await;
        if let Err(refusal) = &answer {
            let held = monotonic().saturating_sub(received_at).as_millis() as u64;
            let retry = refusal.retry_after.map_or(0, |retry| retry.as_millis() as u64);
            self.core.metrics.count("request", refusal.reason.as_str());
            log::info!(
                id = &*id, outcome = refusal.reason.as_str(), held_ms = held, retry_after_ms = retry,
                config_version = self.core.config_version();
                "request refused"
            );
        }
        answer
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Why the job was not accepted, or may not have been.
    pub async fn submit_job(&self, submission: JobSubmission) -> JobAnswer<()> {
        let _running = self.core.count_running();
        self.core.submit_job(submission).await
    }

    /// Reads results of a job from a position on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Why they cannot be read.
    pub async fn job_results(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> JobAnswer<JobResultPage> {
        let _running = self.core.count_running();
        self.core.job_results(key, id, after, wait).await
    }

    /// Reads the body of an item of a job.
    ///
    /// # Errors
    ///
    /// Why it cannot be read.
    pub async fn job_item(&self, key: Option<&KeyHash>, id: &str, item: &str) -> JobAnswer<Bytes> {
        let _running = self.core.count_running();
        self.core.job_item(key, id, item).await
    }

    /// Ends a job; ending it again changes nothing.
    ///
    /// # Errors
    ///
    /// Why it was not ended, or may not have been.
    pub async fn end_job(&self, key: Option<&KeyHash>, id: &str) -> JobAnswer<()> {
        let _running = self.core.count_running();
        self.core.end_job(key, id).await
    }

    /// Whether the balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        !self.core.is_stopping() && self.core.catalog().is_some()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    /// The largest body that a caller may send; `None` before the first configuration.
    pub fn body_limit(&self) -> Option<usize> {
        self.core.catalog().map(|catalog| catalog.limits().body_bytes)
    }

    /// Whether a request's route takes batch jobs.
    pub fn takes_jobs(&self, host: &str, path: &str) -> bool {
        self.core.catalog().is_some_and(|catalog| {
            let route = catalog.route(host, path);
            route.is_some_and(|route| matches!(route.class, crate::gateway::RouteClass::Batch(_)))
        })
    }

    /// All metrics as text.
    pub fn metrics(&self) -> String {
        let core = &self.core;
        let board = core.board.borrow();
        core.metrics.set_gauges(&GaugeValues {
            running: core.running.get(),
            targets: board.target_count(),
            peers_heard: board.heard(),
            config_version: core.config_version(),
            connections_opened: core.connections.opened(),
        });
        core.metrics.encode()
    }

    /// Stops as planned: turns not ready, hands its jobs on, and returns when no request runs or the
    /// time for stopping is over.
    pub async fn stop(&self) {
        let core = &self.core;
        let began = monotonic();
        core.stopping_since.set(Some(began));
        log::info!(running = core.running.get() as u64; "gateway stopping");
        core.hand_on_jobs().await;
        let mut busy_at = began;
        loop {
            let now = monotonic();
            if core.running.get() > 0 {
                busy_at = now;
            }
            let noticed = now >= began + core.settings.balancer_notice;
            let quiet = now >= busy_at + QUIET_BEFORE_STOP;
            if (noticed && quiet) || now >= began + core.settings.stop_within {
                break;
            }
            tokio::time::sleep(STOP_TICK).await;
        }
        core.unpublish().await;
        core.peering.close();
        log::info!(running = core.running.get() as u64; "gateway stopped");
    }
}

impl GatewayCore {
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
        since.is_some_and(|since| monotonic() >= since + self.settings.balancer_notice)
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
    ) -> TableFollower {
        TableFollower::open(self, table, parts, Rc::clone(&self.heard_store))
    }

    pub(crate) fn heard_store_within(&self, age: Duration) -> bool {
        self.heard_store.get().is_some_and(|at| monotonic().saturating_sub(at) <= age)
    }

    /// Takes the store's clock from one of its answers.
    pub(crate) fn note_store_time(&self, store_time: Duration) {
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
        let operators = self.follow(self.dialect.operator_table(), root.clone());
        tokio::task::spawn_local(operators.run(|core, news, _| {
            let newest = core.closed.borrow_mut().apply(&*core.dialect, news);
            core.board.borrow_mut().set_closed(core.closed.borrow().data_centres());
            if let Some(config) = newest {
                core.apply_config(config);
            }
        }));
        let targets = self.follow(self.dialect.target_table(), root);
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
        let heard = self.board.borrow().heard() + 1;
        let members = self.peering.member_count();
        (heard as f64 / members.max(1) as f64).min(1.0)
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

    /// Takes a slot, waiting for one if need be.
    pub(crate) async fn acquire(self: &Rc<Self>, need: SlotNeed) -> Result<SlotLease, SlotRefusal> {
        let class = need.class;
        let outcome = self.board.borrow_mut().request(monotonic(), need.clone());
        let waiter = match outcome {
            PlacementOutcome::Placed(target) => {
                return Ok(self.lease(target, class).yielding(&need));
            }
            PlacementOutcome::Refused(refusal) => return Err(refusal),
            PlacementOutcome::Waiting(waiter) => waiter,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(waiter, sender);
        self.wake.notify_one();
        let _guard = WaitGuard { core: Rc::clone(self), waiter };
        let decided = receiver.await;
        let decided = decided
            .unwrap_or_else(|_| unreachable!("waiters are decided or removed by their guard"));
        Ok(decided?.yielding(&need))
    }

    fn lease(self: &Rc<Self>, target: TargetId, class: RequestClass) -> SlotLease {
        SlotLease {
            core: Rc::clone(self),
            target,
            class,
            usage: SlotUse::Cancelled,
            yieldable: None,
        }
    }

    /// Places waiting requests.
    pub(crate) fn advance(self: &Rc<Self>) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let decided = self.board.borrow_mut().advance(monotonic());
        for (waiter, class, outcome) in decided {
            let outcome = outcome.map(|target| self.lease(target, class));
            let sender = self.waiters.borrow_mut().remove(&waiter);
            // A caller that has left meanwhile gives the slot back by dropping the lease.
            if let Some(sender) = sender {
                let _ = sender.send(outcome);
            }
        }
    }

    /// Has batch items yield to online requests, those due last first, and lets others start.
    fn balance_batch(self: &Rc<Self>) {
        let now = monotonic();
        let excesses = self.board.borrow_mut().balance_batch(now);
        for excess in excesses {
            let mut slots = self.yieldable.borrow_mut();
            let own = slots.iter().filter(|(_, slot)| slot.service == excess.service);
            let mut own: Vec<(bool, std::cmp::Reverse<Duration>, u64)> = own
                .map(|(number, slot)| {
                    let urgent = slot.urgent_at.is_some_and(|at| now >= at);
                    (urgent, std::cmp::Reverse(slot.order), *number)
                })
                .collect();
            own.sort_unstable();
            let mut urgent_left = excess.urgent;
            for (urgent, _, number) in own.into_iter().take(excess.items as usize) {
                if urgent && urgent_left == 0 {
                    break;
                }
                urgent_left -= u32::from(urgent);
                if let Some(slot) = slots.remove(&number) {
                    self.metrics.count("item", "yielded");
                    // An item that is not running yet goes on; its next one waits.
                    let _ = slot.yields.send(());
                }
            }
        }
        self.advance();
    }

    /// Takes the report of another VM.
    pub(crate) fn take_report(self: &Rc<Self>, vm: &VmId, report: &LoadReport) {
        let now = monotonic();
        if !self.board.borrow_mut().observe(now, vm, report) {
            return;
        }
        let catalog = self.catalog();
        let mut quotas = self.quotas.borrow_mut();
        for spent in &report.quotas {
            let rate = catalog.as_ref().and_then(|catalog| catalog.workspace(&spent.workspace));
            let rate = rate.map_or(0.0, |workspace| workspace.rate);
            // Counters start anew with each incarnation.
            let source = VmId::from(format!("{vm}-{:x}", report.incarnation));
            quotas.observe(now, &source, &spent.workspace, spent.requests, rate);
        }
        drop(quotas);
        self.advance();
    }

    /// What this VM tells the others.
    pub(crate) fn load_report(&self, incarnation: u64) -> LoadReport {
        let (targets, waiting) = self.board.borrow().report();
        LoadReport {
            incarnation,
            sequence: 0,
            targets,
            quotas: self.quotas.borrow().spent(),
            waiting,
            config_version: self.config_version(),
            leaving: self.is_stopping(),
        }
    }

    pub(crate) fn log_attempt(
        &self,
        admitted: &AdmittedRequest,
        target: &ServingTarget,
        log: &AttemptLog,
        sent_at: Duration,
        outcome: &Result<TargetReply, SendError>,
    ) {
        let now = monotonic();
        let (status, outcome) = match outcome {
            Ok(reply) => (reply.status.as_u16(), format!("{:?}", reply.meaning)),
            Err(error) => (0, error.to_string()),
        };
        self.metrics.count("attempt", if status == 0 { "no_answer" } else { "answered" });
        log::info!(
            id = &*admitted.request.id, route = &*admitted.route.name,
            workspace = admitted.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
            target_id = target.id.as_str(), run = log.runs, unrun = log.unrun as u64,
            waited_ms = sent_at.saturating_sub(admitted.request.received_at).as_millis() as u64,
            head_ms = now.saturating_sub(sent_at).as_millis() as u64,
            left_ms = admitted.ends_at.saturating_sub(now).as_millis() as u64,
            config_version = admitted.config_version, status = status, outcome = outcome;
            "attempt"
        );
    }

    pub(crate) fn log_break(
        &self,
        admitted: &AdmittedRequest,
        attempt: &RunningAttempt,
        reason: &str,
    ) {
        self.metrics.count("attempt", "broken_off");
        log::info!(
            id = &*admitted.request.id, target_id = attempt.lease.target().as_str(), reason = reason;
            "answer broke off"
        );
    }

    pub(crate) fn log_stream_end(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetId,
        outcome: &str,
        last_event: Option<u64>,
    ) {
        self.metrics.count("stream", outcome);
        log::info!(
            id = &*admitted.request.id, target_id = target.as_str(), outcome = outcome,
            last_event = last_event.unwrap_or(0),
            took_ms = monotonic().saturating_sub(admitted.request.received_at).as_millis() as u64;
            "stream ended"
        );
    }
}

async fn advance_waiting(core: Rc<GatewayCore>) {
    loop {
        if core.waiters.borrow().is_empty() {
            core.wake.notified().await;
        }
        tokio::time::sleep(WAIT_TICK).await;
        core.advance();
    }
}

async fn balance(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(BATCH_INTERVAL).await;
        core.balance_batch();
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
        let members = core.peering.member_count();
        core.board.borrow_mut().set_fleet_size(members);
        if core.listing.borrow_mut().expire(now) {
            core.refresh_targets();
        }
    }
}
