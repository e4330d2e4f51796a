//! Emulated roll-outs without a clock or a network: VMs that select versions by their own views, delayed and lost
//! load reports, a store with delays, and targets that answer as a scenario says. Time advances in ticks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{ServiceName, TargetId, VersionName, VmId};
use crate::placement::load::target_hash;
use crate::rollouts::{
    AnswerSample, AnswerStage, CohortLoad, FleetEvidence, LEASE_RENEWAL_INTERVAL,
    RolloutAnnouncement, RolloutController, RolloutLeader, RolloutLoad, RolloutOrder, RolloutPhase,
    RolloutReason, RolloutRecord, RolloutReport, RolloutSettings, RolloutStep, RolloutView,
    TargetCohort, VersionEvidence, rank_canary_targets, route_hash,
};

const TICK_MS: u64 = 10;
const REVISION: u64 = 7;
/// Longest answer, within the time-out of the routes of 2 s.
const MAX_ANSWER_MS: f64 = 1900.0;
pub(super) const SETTINGS: RolloutSettings = RolloutSettings {
    exposure_share: 0.1,
    exposure_slack: 50,
    rollback_time: Duration::from_secs(5),
};

/// Request as the scenario sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EmulatedRequest {
    pub(super) at_ms: u64,
    pub(super) is_next: bool,
    pub(super) target: usize,
    pub(super) route: usize,
    /// Requests that run at the target.
    pub(super) running: u32,
}

/// How a target answers: probability of a failure, and factor of the time.
pub(super) type Behaviour = fn(EmulatedRequest) -> (f64, f64);

/// Roll-out and its site.
#[derive(Clone)]
pub(super) struct EmulatedRollout {
    pub(super) vms: usize,
    pub(super) old_targets: usize,
    pub(super) new_targets: usize,
    pub(super) rate: f64,
    /// Weight and mean time of an answer, by route.
    pub(super) routes: Vec<(f64, f64)>,
    pub(super) duration_ms: u64,
    pub(super) report_every_ms: u64,
    pub(super) behaviour: Behaviour,
    /// When the leader stops, and when the store is unavailable.
    pub(super) leader_stops_ms: Option<u64>,
    pub(super) store_down_ms: std::ops::Range<u64>,
    pub(super) report_loss: f64,
}

impl Default for EmulatedRollout {
    fn default() -> Self {
        Self {
            vms: 12,
            old_targets: 16,
            new_targets: 16,
            rate: 400.0,
            routes: vec![(0.68, 150.0), (0.3, 400.0), (0.02, 200.0)],
            duration_ms: 12_000,
            report_every_ms: 50,
            behaviour: |_| (0.002, 1.0),
            leader_stops_ms: None,
            store_down_ms: 0..0,
            report_loss: 0.02,
        }
    }
}

/// What became of a roll-out. Requests are counted from the order to the deadline.
#[derive(Clone, Debug)]
pub(super) struct RolloutOutcome {
    pub(super) phase: RolloutPhase,
    pub(super) reason: RolloutReason,
    pub(super) ended_ms: u64,
    pub(super) sent: [u32; 2],
    /// Requests to the new version by route, and all requests by route.
    pub(super) by_route: Vec<[u32; 2]>,
    /// Requests to the new version later than the roll-back time after its 50th bad answer.
    pub(super) too_late: u32,
    /// Requests to old targets after the end as `Completed`, and requests that ran there then.
    pub(super) old_after_end: u32,
    pub(super) old_running_at_end: u32,
    pub(super) steps: Vec<(u64, RolloutRecord)>,
}

impl RolloutOutcome {
    pub(super) fn bound(&self) -> f64 {
        let all = f64::from(self.sent[0] + self.sent[1]);
        SETTINGS.exposure_share * all + f64::from(SETTINGS.exposure_slack)
    }

    pub(super) fn is_within_bound(&self) -> bool {
        f64::from(self.sent[1]) <= self.bound() && self.too_late == 0
    }

    /// Describes the roll-out for the message of a failed test.
    pub(super) fn describe(&self) -> String {
        let steps = self.steps.iter().map(|(at, record)| {
            let (evidence, share) = (&record.evidence, record.shares.share());
            let phase = record.phase.as_str();
            let reason = record.reason.as_str();
            format!(
                "{at} ms {phase} {reason} share {share:.3} canaries {} against {:.2} support {:.1} sent {:?}\n",
                record.shares.canary_targets, evidence.against, evidence.support, evidence.sent
            )
        });
        let counts = (self.sent, self.bound(), self.too_late, self.old_after_end);
        let counts = (counts, self.old_running_at_end, &self.by_route);
        format!("{counts:?}\n{}", steps.collect::<String>())
    }
}

struct EmulatedVm {
    name: VmId,
    view: RolloutView,
    evidence: VersionEvidence,
    sequence: u64,
}

struct Leader {
    vm: usize,
    controller: RolloutController,
    renewed_ms: u64,
}

enum Event {
    Began { vm: usize, sample: AnswerSample },
    Ended { vm: usize, sample: AnswerSample, is_next: bool, target: usize, is_bad: bool },
    Report { vm: usize, sequence: u64, report: Box<RolloutReport> },
    Announcement { vm: usize, announcement: RolloutAnnouncement },
    Feed { record: Box<RolloutRecord> },
    Write { expected: u64, record: Box<RolloutRecord> },
}

struct Emulation {
    site: EmulatedRollout,
    random: StdRng,
    now_ms: u64,
    vms: Vec<EmulatedVm>,
    /// Evidence of the leader and of the VM that takes over.
    fleet: Vec<FleetEvidence>,
    leader: Option<Leader>,
    record: RolloutRecord,
    record_version: u64,
    is_writing: bool,
    events: BTreeMap<u64, VecDeque<Event>>,
    running: [Vec<u32>; 2],
    ranked: Vec<usize>,
    bad_answers: u32,
    bad_limit_ms: Option<u64>,
    outcome: RolloutOutcome,
}

fn target_name(is_next: bool, target: usize) -> TargetId {
    TargetId::from(format!("target-{}-{target}", u8::from(is_next)))
}

impl EmulatedRollout {
    /// Runs the roll-out until two seconds after its deadline.
    pub(super) fn run(&self, seed: u64) -> RolloutOutcome {
        let service = ServiceName::from("service");
        let order = RolloutOrder {
            service: service.clone(),
            to: VersionName::from("v2"),
            duration: Duration::from_millis(self.duration_ms),
            revision: REVISION,
        };
        let vms = (0..self.vms).map(|number| EmulatedVm {
            name: VmId::from(format!("vm-{number}")),
            view: RolloutView::open(),
            evidence: VersionEvidence::open(&service, REVISION),
            sequence: 0,
        });
        let vms: Vec<_> = vms.collect();
        let leader = RolloutLeader { vm: vms[0].name.clone(), incarnation: 1 };
        let record =
            RolloutRecord::open(&order, VersionName::from("v1"), None, Duration::ZERO, leader);
        let names: Vec<TargetId> =
            (0..self.new_targets).map(|target| target_name(true, target)).collect();
        let ranked = rank_canary_targets(REVISION, &names.iter().collect::<Vec<_>>());
        let ranked = ranked.into_iter().filter_map(|id| names.iter().position(|name| name == id));
        let emulation = Emulation {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            fleet: vec![FleetEvidence::open(REVISION), FleetEvidence::open(REVISION)],
            leader: Some(Leader {
                vm: 0,
                controller: RolloutController::open(
                    SETTINGS,
                    record.clone(),
                    Duration::ZERO,
                    Duration::ZERO,
                ),
                renewed_ms: 0,
            }),
            record_version: 1,
            is_writing: false,
            events: BTreeMap::new(),
            running: [vec![0; self.old_targets], vec![0; self.new_targets]],
            ranked: ranked.collect(),
            bad_answers: 0,
            bad_limit_ms: None,
            outcome: RolloutOutcome {
                phase: record.phase,
                reason: record.reason,
                ended_ms: u64::MAX,
                sent: [0; 2],
                by_route: vec![[0; 2]; self.routes.len()],
                too_late: 0,
                old_after_end: 0,
                old_running_at_end: 0,
                steps: Vec::new(),
            },
            record,
            vms,
            site: self.clone(),
        };
        emulation.run()
    }
}

impl Emulation {
    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.entry(self.now_ms + delay_ms.max(1)).or_default().push_back(event);
    }

    fn run(mut self) -> RolloutOutcome {
        while self.now_ms < self.site.duration_ms + 2000 {
            while let Some(entry) = self.events.first_entry()
                && *entry.key() <= self.now_ms
            {
                for event in entry.remove() {
                    self.apply(event);
                }
            }
            let expected = self.site.rate * TICK_MS as f64 / 1000.0;
            let arrivals = (expected + self.random.random::<f64>()).floor() as usize;
            for _ in 0..arrivals {
                self.send();
            }
            if self.now_ms.is_multiple_of(self.site.report_every_ms) {
                self.exchange_reports();
            }
            if self.now_ms.is_multiple_of(50) {
                self.lead();
            }
            self.now_ms += TICK_MS;
        }
        self.outcome.phase = self.record.phase;
        self.outcome.reason = self.record.reason;
        self.outcome
    }

    fn choose_route(&mut self) -> usize {
        let mut random = self.random.random::<f64>();
        for (route, (weight, _)) in self.site.routes.iter().enumerate() {
            random -= weight;
            if random < 0.0 {
                return route;
            }
        }
        0
    }

    fn send(&mut self) {
        let now = self.now();
        let vm = self.random.random_range(0..self.vms.len());
        let route = self.choose_route();
        let hash = route_hash(&format!("/route-{route}"));
        let view = &self.vms[vm].view;
        let random = self.random.random::<f64>();
        let is_next = view.select(now, hash, random) == TargetCohort::Next;
        let is_completed = view.phase() == Some(RolloutPhase::Completed);
        let is_next = is_next || is_completed;
        let target = if is_next {
            let canaries = view.canary_targets(now).unwrap_or(self.site.new_targets);
            self.ranked[self.random.random_range(0..canaries)]
        } else {
            self.random.random_range(0..self.site.old_targets)
        };
        if self.now_ms < self.site.duration_ms {
            self.outcome.sent[usize::from(is_next)] += 1;
            self.outcome.by_route[route][1] += 1;
            self.outcome.by_route[route][0] += u32::from(is_next);
            let is_late = self.bad_limit_ms.is_some_and(|limit| self.now_ms > limit);
            self.outcome.too_late += u32::from(is_next && is_late);
        }
        self.outcome.old_after_end +=
            u32::from(!is_next && self.record.phase == RolloutPhase::Completed);
        let running = &mut self.running[usize::from(is_next)][target];
        *running += 1;
        let request =
            EmulatedRequest { at_ms: self.now_ms, is_next, target, route, running: *running };
        let (failure, factor) = (self.site.behaviour)(request);
        let spread = 0.6 - 0.4 * (1.0 - self.random.random::<f64>()).ln();
        let time_ms = self.site.routes[route].1 * spread * factor;
        // Answers end within the time-out of the routes, unless the target does not answer at all.
        let time_ms = if factor < 100.0 { time_ms.min(MAX_ANSWER_MS) } else { time_ms };
        let failed = self.random.random::<f64>() < failure;
        let is_bad = is_next && (failed || factor > 2.0);
        let first_ms = time_ms * 0.3;
        let pace = Duration::from_secs_f64((time_ms - first_ms) / 10_000.0);
        let pace = (!failed).then_some(pace);
        let cohort = if is_next { TargetCohort::Next } else { TargetCohort::Current };
        let sample = |stage| AnswerSample {
            cohort,
            route: hash,
            target: target_hash(&target_name(is_next, target)),
            stage,
        };
        self.record_sample(vm, sample(AnswerStage::Sent));
        if !failed {
            let began = AnswerStage::Began(Duration::from_secs_f64(first_ms / 1000.0));
            self.schedule(first_ms as u64, Event::Began { vm, sample: sample(began) });
        }
        let sample = sample(AnswerStage::Ended { failed, pace });
        let end_ms = if failed { first_ms } else { time_ms };
        self.schedule(end_ms as u64, Event::Ended { vm, sample, is_next, target, is_bad });
    }

    fn record_sample(&mut self, vm: usize, sample: AnswerSample) {
        let now = self.now();
        let vm = &mut self.vms[vm];
        vm.evidence.record(&sample, vm.view.shares(now));
    }

    fn exchange_reports(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].sequence += 1;
            let sequence = self.vms[vm].sequence;
            if self.random.random::<f64>() < self.site.report_loss {
                continue;
            }
            let report = Box::new(self.vms[vm].evidence.report());
            let delay_ms = self.random.random_range(5..45);
            self.schedule(delay_ms, Event::Report { vm, sequence, report });
        }
        let Some(leader) = &self.leader else { return };
        let announcement = leader.controller.announcement();
        for vm in 0..self.vms.len() {
            if self.random.random::<f64>() >= self.site.report_loss {
                let delay_ms = self.random.random_range(5..45);
                let announcement = announcement.clone();
                self.schedule(delay_ms, Event::Announcement { vm, announcement });
            }
        }
    }

    fn lead(&mut self) {
        if self.site.leader_stops_ms.is_some_and(|at| self.now_ms >= at)
            && self.leader.as_ref().is_some_and(|leader| leader.vm == 0)
        {
            self.leader = None;
            self.is_writing = false;
        }
        if self.is_writing {
            return;
        }
        let now = self.now();
        let Some(leader) = &mut self.leader else {
            let claimant = RolloutLeader { vm: self.vms[1].name.clone(), incarnation: 1 };
            if let Ok(record) = self.record.claim(now, &claimant) {
                self.write(record);
            }
            return;
        };
        let load = RolloutLoad {
            current: CohortLoad {
                targets: self.site.old_targets as u32,
                slots: self.site.old_targets as u32 * 8,
                running: self.running[0].iter().sum(),
            },
            next: CohortLoad {
                targets: self.site.new_targets as u32,
                slots: self.site.new_targets as u32 * 8,
                running: self.running[1].iter().sum(),
            },
            vms: self.site.vms as u32,
            longest_timeout: Duration::from_secs(2),
        };
        let evidence = &self.fleet[leader.vm];
        let is_renewal_due =
            self.now_ms >= leader.renewed_ms + LEASE_RENEWAL_INTERVAL.as_millis() as u64;
        let write = match leader.controller.decide(now, evidence, &load) {
            RolloutStep::Advance(record) | RolloutStep::Stop(record) => Some(record),
            RolloutStep::Keep if is_renewal_due && !self.record.phase.is_final() => {
                Some(leader.controller.renewal(now, evidence))
            }
            RolloutStep::Keep => None,
        };
        if let Some(record) = write {
            self.write(record);
        }
    }

    fn write(&mut self, record: RolloutRecord) {
        self.is_writing = true;
        let delay_ms = self.random.random_range(6..20);
        let write = Event::Write { expected: self.record_version, record: Box::new(record) };
        self.schedule(delay_ms, write);
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Began { vm, sample } => self.record_sample(vm, sample),
            Event::Ended { vm, sample, is_next, target, is_bad } => {
                self.record_sample(vm, sample);
                self.running[usize::from(is_next)][target] -= 1;
                self.bad_answers += u32::from(is_bad);
                if is_bad && self.bad_answers == 50 {
                    let limit_ms = SETTINGS.rollback_time.as_millis() as u64;
                    self.bad_limit_ms = Some(self.now_ms + limit_ms);
                }
            }
            Event::Report { vm, sequence, report } => {
                let name = self.vms[vm].name.clone();
                for evidence in &mut self.fleet {
                    evidence.observe(now, (&name, 1, sequence), &report);
                }
            }
            Event::Announcement { vm, announcement } => {
                self.vms[vm].view.apply(now, &announcement);
            }
            Event::Feed { record } => {
                for vm in &mut self.vms {
                    vm.view.apply_record(now, &record);
                }
            }
            Event::Write { expected, record } => self.finish_write(expected, *record),
        }
    }

    fn finish_write(&mut self, expected: u64, record: RolloutRecord) {
        let now = self.now();
        self.is_writing = false;
        if self.site.store_down_ms.contains(&self.now_ms) || expected != self.record_version {
            return;
        }
        if record.step != self.record.step {
            self.outcome.steps.push((self.now_ms, record.clone()));
            if record.phase.is_final() {
                self.outcome.ended_ms = self.now_ms;
                self.outcome.old_running_at_end = self.running[0].iter().sum();
            }
        }
        self.record_version += 1;
        self.record = record.clone();
        match &mut self.leader {
            Some(leader) => {
                leader.renewed_ms = self.now_ms;
                leader.controller.confirm(&record);
            }
            None if record.leader.vm == self.vms[1].name => {
                let controller = RolloutController::open(SETTINGS, record.clone(), now, now);
                self.leader = Some(Leader { vm: 1, controller, renewed_ms: self.now_ms });
            }
            None => {}
        }
        self.schedule(25, Event::Feed { record: Box::new(record) });
    }
}
