//! Emulated fleets whose targets crash, for many reasons or because of one prompt part. VMs exchange load
//! reports that are late or lost. Time advances in ticks.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use crate::gateway::load::{LoadReport, PromptFailure, PromptReport};
use crate::gateway::prompt_failures::{FailureLedger, SETTLING_TIME};
use crate::gateway::quarantine::{PartSet, QuarantineList, QuarantineRecord, QuarantineWrite};
use crate::gateway::report_exchange::has_changes;
use crate::ids::VmId;

const TICK_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 400;
const JUDGE_MS: u64 = 50;
const SERVICE: u32 = 1;
const CRASHING_PART: u64 = 0xc4a5;
/// First id of the parts that belong to one request only.
const OWN_PARTS: u64 = 1 << 32;
/// Time after which a VM that is not heard counts as lost.
const LOST_AFTER_MS: u64 = 1500;
/// Time that VMs have to notice crashes.
const STABLE_MS: u64 = 3000;
/// Time after which a target that ended is back.
const RESTART_MS: u64 = 3000;
/// Time from the return of a service to the end of provisional quarantines: a trial, its answer, and a report.
const RECOVERY_MS: u64 = 1000;

/// What ends at one moment.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    AllTargets,
    /// A third of the targets.
    Zone,
    /// The connections of the first VM to all targets.
    LinksOfVm,
}

#[derive(Clone, Copy)]
struct PromptSite {
    vms: usize,
    targets: usize,
    requests_per_s: f64,
    /// Parts that many requests share, and parts of sessions, which few requests share.
    groups: u64,
    sessions: u64,
    /// Fraction of the requests with the crashing part.
    crashing: f64,
    /// Fraction of the targets that crash each second for other reasons.
    crashes: f64,
    /// Fraction of the requests that are reset on the way.
    resets: f64,
    /// Every so many seconds, a third of the targets crashes at once.
    mass_crash_s: u64,
    lost_reports: f64,
    /// Period in milliseconds in which the first VM hears no other one and is not heard.
    cut_ms: (u64, u64),
    /// When requests with the crashing part begin.
    crashing_from_ms: u64,
    /// What is lost, and when. VMs read the rows of quarantines, and send trials, if this is set.
    lost: Option<(Loss, u64)>,
}

const SMALL: PromptSite = PromptSite {
    vms: 12,
    targets: 9,
    requests_per_s: 40.0,
    groups: 8,
    sessions: 476,
    crashing: 0.0,
    crashes: 0.0,
    resets: 0.0,
    mass_crash_s: u64::MAX,
    lost_reports: 0.05,
    cut_ms: (0, 0),
    crashing_from_ms: 0,
    lost: None,
};
const LARGE: PromptSite =
    PromptSite { vms: 195, targets: 78, requests_per_s: 330.0, sessions: 1659, ..SMALL };

struct EmulatedRequest {
    vm: usize,
    target: usize,
    parts: Vec<u64>,
    answers_ms: u64,
    /// Set if the request is a trial of a quarantine.
    trial: Option<PartSet>,
}

struct EmulatedVm {
    name: VmId,
    ledger: FailureLedger,
    quarantines: QuarantineList,
    last: LoadReport,
    last_ms: u64,
    /// When each VM was last heard.
    heard_ms: HashMap<VmId, u64>,
}

#[derive(Debug, Default)]
struct FleetOutcome {
    sent: u32,
    answered: u32,
    sound_refused: u32,
    /// Sound requests refused more than `RECOVERY_MS` after the return of what was lost.
    sound_refused_late: u32,
    /// Trials, and targets that ended at them.
    trials: u32,
    crashed_trials: u32,
    crashing_sent: u32,
    /// Crashing requests sent more than `STABLE_MS` after the fifth crash by them.
    crashing_late: u32,
    fifth_crash_ms: Option<u64>,
}

struct PromptFleet {
    site: PromptSite,
    random: StdRng,
    now_ms: u64,
    vms: Vec<EmulatedVm>,
    /// Incarnation of each target, and when it is back.
    targets: Vec<(u32, u64)>,
    running: Vec<EmulatedRequest>,
    reports: VecDeque<(u64, usize, PromptReport)>,
    next: u32,
    crashes_by_part: u32,
    /// Rows of quarantines, with their versions.
    rows: HashMap<String, (u64, QuarantineRecord)>,
    outcome: FleetOutcome,
}

impl PromptFleet {
    fn open(site: PromptSite, seed: u64) -> Self {
        let vms = (0..site.vms).map(|number| EmulatedVm {
            name: VmId::from(format!("vm{number}")),
            ledger: FailureLedger::default(),
            quarantines: QuarantineList::default(),
            last: LoadReport::default(),
            last_ms: 0,
            heard_ms: HashMap::new(),
        });
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            vms: vms.collect(),
            targets: (0..site.targets).map(|number| (number as u32, 0)).collect(),
            running: Vec::new(),
            reports: VecDeque::new(),
            next: site.targets as u32,
            crashes_by_part: 0,
            rows: HashMap::new(),
            outcome: FleetOutcome::default(),
            site,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn next_number(&mut self) -> u32 {
        self.next += 1;
        self.next
    }

    fn submit(&mut self) {
        let vm = self.random.random_range(0..self.site.vms);
        let session = self.random.random_range(0..self.site.sessions);
        let has_begun = self.now_ms >= self.site.crashing_from_ms;
        let is_crashing = has_begun && self.random.random::<f64>() < self.site.crashing;
        // All requests with the crashing part share their other parts, as in one workspace.
        let session = if is_crashing { 7 } else { session };
        let mut parts = vec![1 + session % self.site.groups, 1000 + session];
        if is_crashing {
            parts.push(CRASHING_PART);
        }
        let trial = self.claim_trial(vm, &parts);
        if trial.is_none() && self.vms[vm].quarantines.is_quarantined(&parts) {
            self.outcome.sound_refused += u32::from(!is_crashing);
            let lost = self.site.lost.filter(|_| !is_crashing);
            let is_late = |(_, at_ms)| self.now_ms > at_ms + RESTART_MS + RECOVERY_MS;
            self.outcome.sound_refused_late += u32::from(lost.is_some_and(is_late));
            return;
        }
        let alive = self.targets.iter().enumerate().filter(|(_, (_, back))| *back <= self.now_ms);
        let alive: Vec<usize> = alive.map(|(index, _)| index).collect();
        if alive.is_empty() {
            return;
        }
        let target = alive[self.random.random_range(0..alive.len())];
        self.outcome.sent += 1;
        if is_crashing {
            self.outcome.crashing_sent += 1;
            let (_, healed_ms) = self.site.cut_ms;
            let fifth = self.outcome.fifth_crash_ms;
            let steady = fifth.map(|at| if vm == 0 { at.max(healed_ms) } else { at });
            let bound = steady.map(|at| at + STABLE_MS);
            self.outcome.crashing_late += u32::from(bound.is_some_and(|bound| self.now_ms > bound));
        }
        parts.push(OWN_PARTS + u64::from(self.next_number()));
        let answers_ms = self.now_ms + self.random.random_range(20..100);
        self.outcome.trials += u32::from(trial.is_some());
        self.running.push(EmulatedRequest { vm, target, parts, answers_ms, trial });
    }

    /// Permits a request of a VM as a trial, if one is due and there are targets.
    fn claim_trial(&mut self, vm: usize, parts: &[u64]) -> Option<PartSet> {
        self.site.lost?;
        let now = self.now();
        let quarantines = &self.vms[vm].quarantines;
        let parts = quarantines.find(parts)?.clone();
        let is_due = !quarantines.is_confirmed(&parts)
            && quarantines.time_to_trial(now, now, &parts) == Some(Duration::ZERO)
            && self.targets.iter().any(|(_, back)| *back <= self.now_ms);
        let write = quarantines.due_trial(now, &parts).filter(|_| is_due)?;
        let is_permitted = self.rows.get(&write.key).is_some_and(|row| row.0 == write.expected);
        is_permitted.then(|| {
            self.write(&write);
            parts
        })
    }

    /// Writes a row, which all VMs read.
    fn write(&mut self, write: &QuarantineWrite) {
        let version = u64::from(self.next_number());
        let now = self.now();
        self.rows.insert(write.key.clone(), (version, write.record.clone()));
        for vm in &mut self.vms {
            vm.quarantines.apply_row(now, version, write.record.clone());
        }
    }

    /// Writes the quarantines of a VM that the store lacks or has in an older revision.
    fn save(&mut self, vm: usize) {
        let now = self.now();
        for write in self.vms[vm].quarantines.unsaved(now) {
            let known = self.rows.get(&write.key).map(|(_, record)| record.revision);
            if known < Some(write.record.revision) {
                self.write(&write);
            } else if let Some((version, record)) = self.rows.get(&write.key).cloned() {
                self.vms[vm].quarantines.apply_row(now, version, record);
            }
        }
    }

    /// Lifts the quarantines that an answer at a VM refutes.
    fn lift_answered(&mut self, vm: usize, parts: &[u64]) {
        let now = self.now();
        while let Some(quarantined) = self.vms[vm].quarantines.find(parts).cloned() {
            self.vms[vm].quarantines.lift(now, &quarantined);
            self.rows.remove(&quarantined.row_key());
        }
    }

    fn fail(&mut self, request: &EmulatedRequest, incarnation: u32) {
        let failure = PromptFailure {
            target: incarnation,
            service: SERVICE,
            parts: request.parts.clone(),
            age_ms: 0,
        };
        let now = self.now();
        self.vms[request.vm].ledger.record_failure(now, failure);
    }

    fn crash(&mut self, target: usize) {
        let (incarnation, _) = self.targets[target];
        self.targets[target] = (self.next_number(), self.now_ms + RESTART_MS);
        let running = std::mem::take(&mut self.running);
        let (lost, running) = running.into_iter().partition(|request| request.target == target);
        self.running = running;
        let lost: Vec<EmulatedRequest> = lost;
        for request in lost {
            self.fail(&request, incarnation);
            if let Some(parts) = &request.trial {
                let now = self.now();
                self.outcome.crashed_trials += 1;
                self.vms[request.vm].quarantines.confirm(now, parts);
            }
        }
    }

    fn answer(&mut self) {
        let now = self.now();
        loop {
            let due = self.running.iter().position(|request| request.answers_ms <= self.now_ms);
            let Some(due) = due else { return };
            if self.running[due].parts.contains(&CRASHING_PART) {
                let target = self.running[due].target;
                self.crash(target);
                self.crashes_by_part += 1;
                if self.crashes_by_part == 5 {
                    self.outcome.fifth_crash_ms = Some(self.now_ms);
                }
                continue;
            }
            let request = self.running.swap_remove(due);
            if self.random.random::<f64>() < self.site.resets {
                let (incarnation, _) = self.targets[request.target];
                self.fail(&request, incarnation);
            } else {
                self.outcome.answered += 1;
                self.vms[request.vm].ledger.record_answer(now, SERVICE, &request.parts);
                if self.site.lost.is_some() {
                    self.lift_answered(request.vm, &request.parts);
                }
            }
        }
    }

    fn is_lost_now(&self, loss: Loss) -> bool {
        self.site.lost == Some((loss, self.now_ms))
    }

    /// Breaks the connections of a VM to all targets, which go on running.
    fn break_links(&mut self, vm: usize) {
        let running = std::mem::take(&mut self.running);
        let (lost, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|request| request.vm == vm);
        self.running = running;
        for request in lost {
            self.fail(&request, self.targets[request.target].0);
        }
    }

    fn crash_at_random(&mut self) {
        if self.is_lost_now(Loss::LinksOfVm) {
            self.break_links(0);
        }
        let is_mass_crash = self.now_ms > 0
            && self.now_ms.is_multiple_of(self.site.mass_crash_s.saturating_mul(1000));
        let probability = self.site.crashes * TICK_MS as f64 / 1000.0;
        for target in 0..self.targets.len() {
            let is_up = self.targets[target].1 <= self.now_ms;
            let is_lost = self.is_lost_now(Loss::AllTargets)
                || (self.is_lost_now(Loss::Zone) && target % 3 == 0);
            let crashes = self.random.random::<f64>() < probability || is_lost;
            if is_up && (crashes || (is_mass_crash && target % 3 == 0)) {
                self.crash(target);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now();
        for (number, vm) in self.vms.iter_mut().enumerate() {
            let mut prompts = vm.ledger.report(now);
            prompts.quarantines = vm.quarantines.report(now);
            let prompts = (prompts != PromptReport::default()).then(|| Box::new(prompts));
            let report = LoadReport { prompts, ..LoadReport::default() };
            if !has_changes(&report, &vm.last) && self.now_ms < vm.last_ms + HEARTBEAT_MS {
                continue;
            }
            let prompts = report.prompts.as_deref().cloned().unwrap_or_default();
            self.reports.push_back((self.now_ms + 40, number, prompts));
            (vm.last, vm.last_ms) = (report, self.now_ms);
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now_ms) {
            let Some((_, sender, report)) = self.reports.pop_front() else { return };
            let from = self.vms[sender].name.clone();
            let (cut_ms, healed_ms) = self.site.cut_ms;
            let is_cut = (cut_ms..healed_ms).contains(&self.now_ms);
            for (receiver, vm) in self.vms.iter_mut().enumerate() {
                let is_lost = self.random.random::<f64>() < self.site.lost_reports;
                if receiver == sender || is_lost || (is_cut && sender.min(receiver) == 0) {
                    continue;
                }
                let heard_ms = vm.heard_ms.insert(from.clone(), self.now_ms);
                if heard_ms.is_none_or(|heard_ms| self.now_ms > heard_ms + LOST_AFTER_MS) {
                    vm.quarantines.repeat(now);
                }
                vm.ledger.observe(now, (&from, 1), &report);
                for changed in &report.quarantines {
                    vm.quarantines.observe(now, changed);
                }
            }
        }
    }

    fn judge(&mut self) {
        let now = self.now();
        for vm in &mut self.vms {
            for (parts, since) in vm.quarantines.recent(now) {
                if vm.ledger.are_answered(&parts, since.saturating_sub(SETTLING_TIME)) {
                    vm.quarantines.lift(now, &parts);
                }
            }
            while vm.ledger.expire(now)
                && let Some(verdict) = vm.ledger.judge(now, &vm.quarantines)
                && if verdict.is_confirmed {
                    vm.quarantines.add(now, &verdict.parts)
                } else {
                    vm.quarantines.add_provisional(now, &verdict.parts)
                }
            {}
            for parts in vm.quarantines.unconfirmed() {
                if vm.ledger.confirms(now, &parts) {
                    vm.quarantines.confirm(now, &parts);
                }
            }
            if self.site.lost.is_none() {
                // The store has them, so they are no longer reported.
                for write in vm.quarantines.unsaved(now) {
                    vm.quarantines.apply_row(now, 1, write.record);
                }
            }
        }
        if self.site.lost.is_some() {
            (0..self.vms.len()).for_each(|vm| self.save(vm));
        }
    }

    fn run(mut self, seconds: u64) -> FleetOutcome {
        while self.now_ms < seconds * 1000 {
            let expected = self.site.requests_per_s * TICK_MS as f64 / 1000.0;
            for _ in 0..(expected + self.random.random::<f64>()).floor() as usize {
                self.submit();
            }
            self.answer();
            self.crash_at_random();
            if self.now_ms.is_multiple_of(15) {
                self.exchange_reports();
            }
            if self.now_ms.is_multiple_of(JUDGE_MS) {
                self.judge();
            }
            self.now_ms += TICK_MS;
        }
        self.outcome
    }
}

#[parameterized(
    small = { PromptSite { crashing: 0.05, ..SMALL }, 8, 30 },
    rare = { PromptSite { crashing: 0.01, ..SMALL }, 8, 30 },
    beside_crashes = { PromptSite { crashing: 0.05, crashes: 0.05, resets: 0.03, ..SMALL }, 8, 30 },
    lost_reports = { PromptSite { crashing: 0.05, lost_reports: 0.5, ..SMALL }, 8, 30 },
    vm_cut_off_during_verdict = { PromptSite { crashing: 0.005, cut_ms: (500, 60_000), ..SMALL }, 2, 600 },
    large = { PromptSite { crashing: 0.05, ..LARGE }, 1, 10 },
)]
fn part_that_crashes_targets_is_quarantined_in_time(site: PromptSite, seeds: u64, seconds: u64) {
    for seed in 0..seeds {
        let outcome = PromptFleet::open(site, seed).run(seconds);
        assert!(outcome.crashing_late <= 3, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

#[parameterized(
    crashes = { PromptSite { crashes: 0.1, ..SMALL }, 8, 30 },
    resets = { PromptSite { resets: 0.2, ..SMALL }, 8, 30 },
    crashes_and_resets = { PromptSite { crashes: 0.1, resets: 0.1, ..SMALL }, 8, 30 },
    mass_crashes = { PromptSite { mass_crash_s: 5, ..SMALL }, 8, 30 },
    few_groups = { PromptSite { crashes: 0.2, groups: 2, sessions: 20, ..SMALL }, 8, 30 },
    large = { PromptSite { crashes: 0.1, resets: 0.05, mass_crash_s: 7, ..LARGE }, 1, 10 },
)]
fn sound_parts_are_not_quarantined(site: PromptSite, seeds: u64, seconds: u64) {
    for seed in 0..seeds {
        let outcome = PromptFleet::open(site, seed).run(seconds);
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

// Guards against sound parts that stay refused after targets or connections end together, and against trials by each VM.
#[parameterized(
    small = { PromptSite { lost: Some((Loss::AllTargets, 5000)), ..SMALL }, 16, 15 },
    one_group = { PromptSite { lost: Some((Loss::AllTargets, 5000)), groups: 1, requests_per_s: 200.0, ..SMALL }, 16, 15 },
    zone = { PromptSite { lost: Some((Loss::Zone, 5000)), groups: 1, requests_per_s: 200.0, ..SMALL }, 16, 15 },
    links_of_vm = { PromptSite { lost: Some((Loss::LinksOfVm, 5000)), groups: 1, requests_per_s: 1000.0, ..SMALL }, 16, 15 },
    links_of_vm_that_is_cut_off = {
        PromptSite {
            lost: Some((Loss::LinksOfVm, 5000)),
            cut_ms: (5000, 7500),
            groups: 1,
            requests_per_s: 1000.0,
            ..SMALL
        },
        16,
        15,
    },
    one_session = { PromptSite { lost: Some((Loss::AllTargets, 5000)), groups: 1, sessions: 1, ..SMALL }, 16, 15 },
    lost_reports = { PromptSite { lost: Some((Loss::AllTargets, 5000)), groups: 1, lost_reports: 0.5, ..SMALL }, 16, 15 },
    beside_crashes = { PromptSite { lost: Some((Loss::AllTargets, 5000)), groups: 1, crashes: 0.02, ..SMALL }, 16, 15 },
    large = { PromptSite { lost: Some((Loss::AllTargets, 5000)), groups: 1, ..LARGE }, 1, 11 },
)]
fn sound_requests_are_served_after_loss_of_their_service(
    site: PromptSite,
    seeds: u64,
    seconds: u64,
) {
    let mut trials = 0;
    for seed in 0..seeds {
        let outcome = PromptFleet::open(site, seed).run(seconds);
        assert_eq!(outcome.sound_refused_late, 0, "seed {seed}: {outcome:?}");
        trials += outcome.trials;
    }
    assert!(trials <= 8 * seeds as u32, "{trials} trials");
}

// Guards against a part that really ends targets and is taken for a loss of the service.
#[parameterized(
    small = { PromptSite { lost: Some((Loss::AllTargets, 5000)), crashing: 0.05, ..SMALL }, 16, 30 },
    large = { PromptSite { lost: Some((Loss::AllTargets, 5000)), crashing: 0.4, ..LARGE }, 1, 11 },
)]
fn part_that_crashes_targets_is_quarantined_beside_loss_of_service(
    site: PromptSite,
    seeds: u64,
    seconds: u64,
) {
    for seed in 0..seeds {
        let outcome = PromptFleet::open(site, seed).run(seconds);
        assert!(outcome.crashing_late <= 3, "seed {seed}: {outcome:?}");
    }
}

// Guards against a part that ends other requests with all targets, which makes the evidence against it weak.
#[test]
fn part_that_crashes_all_targets_at_once_is_quarantined_in_time() {
    let site = PromptSite { crashing: 0.4, crashing_from_ms: 2000, requests_per_s: 200.0, ..SMALL };
    for seed in 0..8 {
        let outcome = PromptFleet::open(site, seed).run(30);
        assert!(outcome.crashing_late <= 3, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

// The same for a service that is lost later for another reason.
#[test]
fn frequent_part_that_crashes_targets_is_quarantined_beside_loss_of_service() {
    let lost = Some((Loss::AllTargets, 12_000));
    let site = PromptSite { lost, crashing: 0.4, crashing_from_ms: 2000, ..SMALL };
    for seed in 0..16 {
        let outcome = PromptFleet::open(site, seed).run(30);
        assert!(outcome.crashing_late <= 3, "seed {seed}: {outcome:?}");
    }
}
