//! Emulated fleets without a clock or a network: VMs that place requests with their own dispatchers and
//! delayed load reports, and model engines that run requests in order of arrival. Time advances in ticks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway::LoadReport;
use crate::ids::{DataCentreId, ServiceName, TargetId, VersionName, VmId};
use crate::placement::dispatcher::{PlacementOutcome, RequestDispatcher};
use crate::placement::idle_connections::IdleConnections;
use crate::placement::slots::{ServingTarget, SlotOutcome};
use crate::placement::wait_queue::{SlotNeed, SlotWaiter};
use crate::rollouts::TargetCohort;
use crate::scheduling::RequestClass;

const TICK_MS: u64 = 5;
/// Ticks between batch balances; the same interval as in the gateway.
const BALANCE_TICKS: u64 = 8;

/// Site and its load.
#[derive(Clone, Debug)]
pub(super) struct EmulatedSite {
    pub(super) vms: usize,
    pub(super) targets: usize,
    pub(super) data_centres: usize,
    pub(super) slots: u32,
    /// Mean rate of online requests, per second.
    pub(super) online_per_s: f64,
    /// Mean service time of an online request, and its time to the first event.
    pub(super) online_ms: u64,
    pub(super) first_event_ms: u64,
    pub(super) batch_ms: u64,
    /// Batch items that always wait at each VM.
    pub(super) batch_backlog: usize,
    pub(super) report_every_ms: u64,
    pub(super) report_delay_ms: u64,
    pub(super) latency_objective_ms: u64,
    /// Time after which an idle connection to a target is closed.
    pub(super) idle_timeout_ms: u64,
}

/// Counts of the outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EmulatedOutcome {
    pub(super) requests: u32,
    pub(super) within_objective: u32,
    pub(super) refused: u32,
    pub(super) late: u32,
    /// Slot time used by batch items, in seconds.
    pub(super) batch_s: f64,
    /// Preempted batch items.
    pub(super) preempted: u32,
    /// Requests and items sent, and the connections opened for them.
    pub(super) sent: u32,
    pub(super) connections: u32,
}

impl EmulatedOutcome {
    pub(super) fn fraction_within_objective(&self) -> f64 {
        f64::from(self.within_objective) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
struct RequestNumber(u64);

struct RunningRequest {
    vm: usize,
    target: TargetId,
    class: RequestClass,
    arrived_ms: u64,
    sent_ms: u64,
    /// Set when the target starts it.
    ends_ms: Option<u64>,
}

/// Idle connections of one VM, by the target's address and the time at which they are closed.
#[derive(Default)]
struct EmulatedConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<u64>>>,
    now_ms: Cell<u64>,
}

impl EmulatedConnections {
    /// Takes an idle connection; returns false if a new one has to be opened.
    fn take(&self, address: SocketAddr) -> bool {
        let is_open = self.has_idle(address);
        if is_open && let Some(connections) = self.idle.borrow_mut().get_mut(&address) {
            connections.pop();
        }
        is_open
    }

    fn put(&self, address: SocketAddr, closes_ms: u64) {
        self.idle.borrow_mut().entry(address).or_default().push(closes_ms);
    }
}

impl IdleConnections for EmulatedConnections {
    fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let newest = idle.get(&address).and_then(|connections| connections.last());
        newest.is_some_and(|closes_ms| *closes_ms > self.now_ms.get())
    }
}

struct EmulatedVm {
    name: VmId,
    connections: Rc<EmulatedConnections>,
    dispatcher: RequestDispatcher,
    waiting: HashMap<SlotWaiter, (RequestClass, u64)>,
    sequence: u64,
}

struct EmulatedTarget {
    running: u32,
    queue: VecDeque<RequestNumber>,
}

/// Running emulation of a site.
pub(super) struct SiteEmulator {
    site: EmulatedSite,
    random: StdRng,
    now_ms: u64,
    vms: Vec<EmulatedVm>,
    targets: BTreeMap<TargetId, EmulatedTarget>,
    requests: BTreeMap<RequestNumber, RunningRequest>,
    next_request: u64,
    reports: VecDeque<(u64, Vec<(VmId, LoadReport)>)>,
    outcome: EmulatedOutcome,
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

impl SiteEmulator {
    pub(super) fn open(site: EmulatedSite, seed: u64) -> Self {
        let data_centre =
            |number: usize| DataCentreId::from(format!("dc{}", number % site.data_centres));
        let listed: Vec<ServingTarget> = (0..site.targets)
            .map(|number| ServingTarget {
                id: TargetId::from(format!("t{number}")),
                started_at_ms: 0,
                service: service(),
                address: ([127, 0, 0, 1], 1 + number as u16).into(),
                data_centre: data_centre(number),
                version: VersionName::from("v1"),
                slots: site.slots,
                leaving: false,
                cold_for: Duration::ZERO,
            })
            .collect();
        let vms = (0..site.vms).map(|number| {
            let name = VmId::from(format!("vm{number}"));
            let connections = Rc::new(EmulatedConnections::default());
            let idle = Rc::<EmulatedConnections>::clone(&connections);
            let mut dispatcher = RequestDispatcher::open(&name, &data_centre(number), idle);
            dispatcher.set_targets(Duration::ZERO, listed.clone());
            dispatcher.set_report_age(Duration::from_millis(
                site.report_every_ms / 2 + site.report_delay_ms,
            ));
            EmulatedVm { name, connections, dispatcher, waiting: HashMap::new(), sequence: 0 }
        });
        let targets = listed.iter().map(|target| {
            (target.id.clone(), EmulatedTarget { running: 0, queue: VecDeque::new() })
        });
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            vms: vms.collect(),
            targets: targets.collect(),
            requests: BTreeMap::new(),
            next_request: 0,
            reports: VecDeque::new(),
            outcome: EmulatedOutcome::default(),
            site,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    /// Returns the online load relative to its mean: low for 3.4 s, then nearly twice the mean for 2.4 s.
    fn load_factor(&self) -> f64 {
        if self.now_ms % 5800 < 3400 { 0.383 } else { 1.87 }
    }

    fn submit(&mut self, vm: usize, class: RequestClass) {
        let now = self.now();
        let is_online = class == RequestClass::Online;
        let place_within_ms =
            if is_online { self.site.latency_objective_ms * 7 / 10 } else { 60_000 };
        let need = SlotNeed {
            service: service(),
            cohort: TargetCohort::Current,
            class,
            rank: if is_online { 0 } else { 2 },
            prefix: None,
            excluded: Vec::new(),
            order: now,
            place_by: now + Duration::from_millis(place_within_ms),
            critical_at: None,
        };
        self.outcome.requests += u32::from(is_online);
        match self.vms[vm].dispatcher.request(now, need) {
            PlacementOutcome::Placed(target) => self.send(vm, &target, class, self.now_ms),
            PlacementOutcome::Waiting(waiter) => {
                self.vms[vm].waiting.insert(waiter, (class, self.now_ms));
            }
            PlacementOutcome::Refused(_) => self.outcome.refused += u32::from(is_online),
        }
    }

    fn send(&mut self, vm: usize, target: &TargetId, class: RequestClass, arrived_ms: u64) {
        let number = RequestNumber(self.next_request);
        self.next_request += 1;
        let request = RunningRequest {
            vm,
            target: target.clone(),
            class,
            arrived_ms,
            sent_ms: self.now_ms,
            ends_ms: None,
        };
        self.requests.insert(number, request);
        let vm = &self.vms[vm];
        let address = vm.dispatcher.target(target).map(|target| target.address);
        self.outcome.sent += 1;
        self.outcome.connections +=
            u32::from(address.is_some_and(|address| !vm.connections.take(address)));
        if let Some(emulated) = self.targets.get_mut(target) {
            emulated.queue.push_back(number);
        }
        self.start_queued(target);
    }

    fn start_queued(&mut self, target: &TargetId) {
        let Some(emulated) = self.targets.get_mut(target) else { return };
        while emulated.running < self.site.slots
            && let Some(number) = emulated.queue.pop_front()
        {
            let Some(request) = self.requests.get_mut(&number) else { continue };
            emulated.running += 1;
            let mean_ms = match request.class {
                RequestClass::Online => self.site.online_ms,
                RequestClass::Batch => self.site.batch_ms,
            };
            let factor = self.random.random_range(0.7..1.3);
            request.ends_ms = Some(self.now_ms + (mean_ms as f64 * factor) as u64);
            if request.class == RequestClass::Online {
                let first = self.now_ms + self.site.first_event_ms - request.arrived_ms;
                let within_objective = first <= self.site.latency_objective_ms;
                self.outcome.within_objective += u32::from(within_objective);
                self.outcome.late += u32::from(!within_objective);
            }
        }
    }

    fn end(&mut self, number: RequestNumber, slot_outcome: SlotOutcome) {
        let Some(request) = self.requests.remove(&number) else { return };
        let now = self.now();
        let vm = &mut self.vms[request.vm];
        let address = vm.dispatcher.target(&request.target).map(|target| target.address);
        if let Some(address) = address.filter(|_| slot_outcome == SlotOutcome::Responded) {
            vm.connections.put(address, self.now_ms + self.site.idle_timeout_ms);
        }
        let dispatcher = &mut vm.dispatcher;
        dispatcher.release(now, &request.target, request.class, slot_outcome);
        if slot_outcome == SlotOutcome::Responded && request.class == RequestClass::Online {
            dispatcher.record_service_time(
                &request.target,
                Duration::from_millis(self.now_ms - request.sent_ms),
            );
        }
        if request.ends_ms.is_some()
            && let Some(target) = self.targets.get_mut(&request.target)
        {
            target.running -= 1;
        }
        self.start_queued(&request.target);
    }

    fn advance(&mut self, vm: usize) {
        let now = self.now();
        for (waiter, class, outcome) in self.vms[vm].dispatcher.advance(now) {
            let Some((_, arrived_ms)) = self.vms[vm].waiting.remove(&waiter) else { continue };
            match outcome {
                Ok(target) => self.send(vm, &target, class, arrived_ms),
                Err(_) => self.outcome.refused += u32::from(class == RequestClass::Online),
            }
        }
    }

    fn balance(&mut self, vm: usize) {
        let now = self.now();
        for preemption in self.vms[vm].dispatcher.balance_batch(now) {
            let batch_items = self
                .requests
                .iter()
                .filter(|(_, request)| request.vm == vm && request.class == RequestClass::Batch);
            let preempted: Vec<RequestNumber> =
                batch_items.map(|(number, _)| *number).take(preemption.items as usize).collect();
            self.outcome.preempted += preempted.len() as u32;
            for number in preempted {
                self.end(number, SlotOutcome::Cancelled);
            }
        }
    }

    fn refill_backlog(&mut self, vm: usize) {
        let waiting = self.vms[vm].waiting.values();
        let batch = waiting.filter(|(class, _)| *class == RequestClass::Batch).count();
        for _ in batch..self.site.batch_backlog {
            self.submit(vm, RequestClass::Batch);
        }
    }

    fn exchange_reports(&mut self) {
        if self.now_ms.is_multiple_of(self.site.report_every_ms) {
            let reports = self.vms.iter_mut().map(|vm| {
                vm.sequence += 1;
                let (targets, waiting) = vm.dispatcher.report();
                let report = LoadReport {
                    incarnation: 1,
                    sequence: vm.sequence,
                    targets,
                    waiting,
                    ..LoadReport::default()
                };
                (vm.name.clone(), report)
            });
            let reports = reports.collect();
            self.reports.push_back((self.now_ms + self.site.report_delay_ms, reports));
        }
        while self.reports.front().is_some_and(|(at, _)| *at <= self.now_ms) {
            let Some((_, reports)) = self.reports.pop_front() else { return };
            let now = self.now();
            for vm in &mut self.vms {
                let others: Vec<_> =
                    reports.iter().filter(|(name, _)| *name != vm.name).cloned().collect();
                vm.dispatcher.observe(now, &others);
            }
        }
    }

    /// Runs the emulation and returns the outcomes after the warm-up.
    pub(super) fn run(mut self, warm_up_ms: u64, duration_ms: u64) -> EmulatedOutcome {
        while self.now_ms < warm_up_ms + duration_ms {
            if self.now_ms == warm_up_ms {
                self.outcome = EmulatedOutcome::default();
            }
            self.tick();
            self.now_ms += TICK_MS;
        }
        self.outcome
    }

    fn tick(&mut self) {
        for vm in &self.vms {
            vm.connections.now_ms.set(self.now_ms);
        }
        let ended = self
            .requests
            .iter()
            .filter(|(_, request)| request.ends_ms.is_some_and(|ends_ms| ends_ms <= self.now_ms));
        let ended: Vec<RequestNumber> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            self.end(number, SlotOutcome::Responded);
        }
        self.exchange_reports();
        let expected = self.site.online_per_s * self.load_factor() * TICK_MS as f64 / 1000.0;
        let arrivals = (expected + self.random.random::<f64>()).floor() as usize;
        for _ in 0..arrivals {
            let vm = self.random.random_range(0..self.site.vms);
            self.submit(vm, RequestClass::Online);
        }
        for vm in 0..self.site.vms {
            // Staggered, because VMs do not balance at the same moment.
            if (self.now_ms / TICK_MS + vm as u64).is_multiple_of(BALANCE_TICKS) {
                self.balance(vm);
            }
            self.refill_backlog(vm);
            self.advance(vm);
        }
        let batch = self
            .requests
            .values()
            .filter(|request| request.class == RequestClass::Batch && request.ends_ms.is_some());
        self.outcome.batch_s += batch.count() as f64 * TICK_MS as f64 / 1000.0;
    }
}
