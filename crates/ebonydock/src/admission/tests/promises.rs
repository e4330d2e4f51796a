//! Tests of promised tokens on emulated fleets without a clock or a network.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use crate::admission::tests::limits::{BURST, EXCESS_MS, FOLLOWED_MS, RATE, requests_per_s};
use crate::admission::{
    PromiseBook, PromiseRequest, QuotaArrival, ReportedPromises, RequestDigest,
};
use crate::configuration::KeyHash;
use crate::gateway::load::EncodedReport;
use crate::gateway::{ForwardedRequest, LoadReport, PromptPart, QuotaLedger, TokenDemand};
use crate::ids::{VmId, WorkspaceId};
use crate::placement::fleet_load::FleetLoad;

const TICK_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 400;
/// Time until the buckets of VMs that all started at once are full.
const WARM_UP_MS: u64 = 4000;
/// Time of a caller to open a connection to another VM.
const RETURN_MS: std::ops::Range<u64> = 5..30;

/// When promised callers return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnHabit {
    /// At the promised time.
    Punctual,
    Never,
    /// All at the next full multiple of 1.5 s after the promised time.
    Together,
}

#[derive(Clone, Debug)]
struct PromiseScenario {
    vms: usize,
    makes_promises: bool,
    returns: ReturnHabit,
    loss: f64,
    repeats: f64,
    /// Time of a partition into halves.
    partition_ms: std::ops::Range<u64>,
    /// Time of a restart of half of the VMs.
    restart_ms: Option<u64>,
    report_interval_ms: u64,
    report_delay_ms: std::ops::Range<u64>,
    rate: f64,
    burst: f64,
    phase_ms: u64,
    seed: u64,
}

impl Default for PromiseScenario {
    fn default() -> Self {
        Self {
            vms: 85,
            makes_promises: true,
            returns: ReturnHabit::Punctual,
            loss: 0.0,
            repeats: 0.0,
            partition_ms: 0..0,
            restart_ms: None,
            report_interval_ms: 15,
            report_delay_ms: 20..60,
            rate: RATE,
            burst: BURST,
            phase_ms: 3200,
            seed: 1,
        }
    }
}

#[derive(Debug, Default)]
struct PromiseOutcome {
    admitted_ms: Vec<u64>,
    sent: u32,
    at_once: u32,
    on_return: u32,
    promised_ms: Vec<u64>,
    refused_again: u32,
    plain: u32,
    /// Tokens that became free, and requests admitted, from the first caller that was not served in the end
    /// until 99 of 100 of them could have returned.
    tokens: f64,
    used: u32,
}

impl PromiseOutcome {
    fn refused_again_fraction(&self) -> f64 {
        f64::from(self.refused_again) / f64::from(self.refused_again + self.on_return).max(1.0)
    }

    fn served(&self) -> f64 {
        f64::from(self.at_once + self.on_return)
    }

    fn used_fraction(&self) -> f64 {
        f64::from(self.used) / self.tokens.max(1.0)
    }
}

/// Returns the most events within any window.
fn max_in_window(at_ms: &[u64], window_ms: u64) -> usize {
    let starts = at_ms.iter().enumerate();
    let counts =
        starts.map(|(first, start)| at_ms[first..].partition_point(|at| *at <= start + window_ms));
    counts.max().unwrap_or(0)
}

impl PromiseScenario {
    fn run(&self) -> PromiseOutcome {
        PromiseFleet::open(self.clone()).play()
    }
}

impl std::fmt::Display for PromiseOutcome {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} sent, {} admitted at once, {} on return, {} refused again, {} refused plainly, {:.3} of \
             the tokens used, at most {} in 5 s",
            self.sent,
            self.at_once,
            self.on_return,
            self.refused_again,
            self.plain,
            self.used_fraction(),
            max_in_window(&self.admitted_ms, 5000),
        )
    }
}

struct EmulatedVm {
    name: VmId,
    incarnation: u64,
    ledger: QuotaLedger,
    book: PromiseBook,
    fleet: FleetLoad,
    sequence: u64,
    last: LoadReport,
    last_ms: u64,
}

impl EmulatedVm {
    fn open(vm: usize, incarnation: u64, scenario: &PromiseScenario, now_ms: u64) -> Self {
        let now = Duration::from_millis(now_ms);
        let workspace = WorkspaceId::from("hot");
        let mut ledger = QuotaLedger::open(now);
        ledger.set_members(now, scenario.vms);
        ledger.set_quota(now, &workspace, scenario.rate, scenario.burst);
        let members: Vec<VmId> =
            (0..scenario.vms).map(|vm| VmId::from(format!("vm{vm}"))).collect();
        let name = members[vm].clone();
        let mut book = PromiseBook::open(now, &name);
        book.set_members(&members);
        Self {
            fleet: FleetLoad::open(&name),
            name,
            incarnation,
            ledger,
            book,
            sequence: 0,
            last: LoadReport::default(),
            last_ms: 0,
        }
    }

    fn report(&mut self, now_ms: u64) -> Option<LoadReport> {
        let now = Duration::from_millis(now_ms);
        let report = LoadReport {
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
            quotas: self.ledger.spent(now),
            promises: self.book.report(now),
            ..LoadReport::default()
        };
        let is_known = report
            .quotas
            .iter()
            .all(|spent| self.last.quotas.iter().any(|known| known.requests == spent.requests));
        if is_known && now_ms < self.last_ms + HEARTBEAT_MS {
            return None;
        }
        self.sequence += 1;
        self.last = report.clone();
        self.last_ms = now_ms;
        Some(report)
    }
}

/// Caller that repeats its refused request at another VM.
struct ReturningCaller {
    left: usize,
    digest: RequestDigest,
}

struct PromiseFleet {
    scenario: PromiseScenario,
    workspace: WorkspaceId,
    random: StdRng,
    vms: Vec<EmulatedVm>,
    returning: BTreeMap<u64, Vec<ReturningCaller>>,
    reports: BTreeMap<u64, Vec<(usize, usize, Rc<LoadReport>)>>,
    outcome: PromiseOutcome,
    unserved_ms: Vec<u64>,
}

impl PromiseFleet {
    fn open(scenario: PromiseScenario) -> Self {
        Self {
            workspace: WorkspaceId::from("hot"),
            random: StdRng::seed_from_u64(scenario.seed),
            vms: (0..scenario.vms).map(|vm| EmulatedVm::open(vm, 1, &scenario, 0)).collect(),
            returning: BTreeMap::new(),
            reports: BTreeMap::new(),
            outcome: PromiseOutcome::default(),
            unserved_ms: Vec::new(),
            scenario,
        }
    }

    fn submit(&mut self, now_ms: u64, vm: usize, returning: Option<RequestDigest>) {
        let now = Duration::from_millis(now_ms);
        let is_return = returning.is_some();
        let digest = returning.unwrap_or_else(|| RequestDigest(self.random.random()));
        let EmulatedVm { ledger, book, .. } = &mut self.vms[vm];
        let state = ledger.state(&self.workspace);
        let makes_promises = self.scenario.makes_promises;
        let arrival = QuotaArrival {
            workspace: &self.workspace,
            digest: book.is_promising(now, &self.workspace).then_some(digest),
            refill: state.rate * state.live_fraction,
            burst: state.burst,
            random: self.random.random(),
        };
        let reserved = if makes_promises { book.reserved(now, &arrival) } else { 0.0 };
        let decision = ledger.admit_above(now, &self.workspace, reserved);
        if decision.is_ok() {
            book.record_admitted(now, &arrival);
            self.outcome.admitted_ms.push(now_ms);
            self.outcome.on_return += u32::from(is_return);
            self.outcome.at_once += u32::from(!is_return);
            return;
        }
        if is_return {
            self.unserved_ms.push(now_ms);
            self.outcome.refused_again += 1;
            return;
        }
        let state = ledger.state(&self.workspace);
        let refill = arrival.refill;
        let request = PromiseRequest {
            workspace: &self.workspace,
            digest,
            rate: state.rate,
            burst: state.burst,
            level: state.level,
            refill,
            max_delay: Duration::from_millis(FOLLOWED_MS),
            random: self.random.random(),
        };
        let delay = if makes_promises { book.promise(now, &request) } else { decision.err() };
        let Some(delay) = delay else {
            self.outcome.plain += 1;
            self.unserved_ms.push(now_ms);
            return;
        };
        let due_ms = now_ms + delay.as_millis() as u64;
        self.outcome.promised_ms.push(due_ms);
        let returns_ms = match self.scenario.returns {
            ReturnHabit::Punctual => due_ms,
            ReturnHabit::Never => return,
            ReturnHabit::Together => due_ms.next_multiple_of(1500),
        };
        let at_ms = returns_ms + self.random.random_range(RETURN_MS);
        self.returning.entry(at_ms).or_default().push(ReturningCaller { left: vm, digest });
    }

    fn exchange(&mut self, now_ms: u64) {
        let scenario = &self.scenario;
        for from in 0..self.vms.len() {
            if !(now_ms + from as u64 * TICK_MS).is_multiple_of(scenario.report_interval_ms) {
                continue;
            }
            let Some(report) = self.vms[from].report(now_ms) else { continue };
            let report = Rc::new(report);
            for to in (0..self.vms.len()).filter(|to| *to != from) {
                let is_cut = scenario.partition_ms.contains(&now_ms) && from % 2 != to % 2;
                let is_lost = self.random.random::<f64>() < scenario.loss;
                let copies = 1 + u32::from(self.random.random::<f64>() < scenario.repeats);
                for _ in 0..copies {
                    if !is_cut && !is_lost {
                        let at =
                            now_ms + self.random.random_range(scenario.report_delay_ms.clone());
                        self.reports.entry(at).or_default().push((from, to, Rc::clone(&report)));
                    }
                }
            }
        }
        while let Some(entry) = self.reports.first_entry().filter(|entry| *entry.key() <= now_ms) {
            let now = Duration::from_millis(now_ms);
            for (from, to, report) in entry.remove() {
                let name = self.vms[from].name.clone();
                let vm = &mut self.vms[to];
                if vm.fleet.observe(now, &name, &*report) {
                    vm.ledger.observe(now, &name, &report);
                    vm.book.observe(now, &name, &report.promises);
                }
            }
        }
    }

    fn play(mut self) -> PromiseOutcome {
        let end_ms = EXCESS_MS.end + 4000;
        for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
            if now_ms == WARM_UP_MS {
                self.outcome = PromiseOutcome::default();
                self.unserved_ms.clear();
            }
            if self.scenario.restart_ms == Some(now_ms) {
                for vm in (0..self.vms.len()).step_by(2) {
                    self.vms[vm] = EmulatedVm::open(vm, 2, &self.scenario, now_ms);
                }
            }
            self.exchange(now_ms);
            while let Some(entry) =
                self.returning.first_entry().filter(|entry| *entry.key() <= now_ms)
            {
                for ReturningCaller { left, digest } in entry.remove() {
                    let other = self.random.random_range(1..self.vms.len());
                    self.submit(now_ms, (left + other) % self.vms.len(), Some(digest));
                }
            }
            let scale = self.scenario.rate / RATE;
            let mean = requests_per_s(now_ms, self.scenario.phase_ms) * scale;
            let mean = mean * TICK_MS as f64 / 1000.0;
            let requests =
                mean.floor() as u32 + u32::from(self.random.random::<f64>() < mean.fract());
            for _ in 0..requests {
                self.outcome.sent += 1;
                let vm = self.random.random_range(0..self.vms.len());
                self.submit(now_ms, vm, None);
            }
        }
        let unserved = &self.unserved_ms;
        if let (Some(first_ms), Some(last_ms)) =
            (unserved.first(), unserved.get(unserved.len() * 99 / 100))
        {
            let window = *first_ms..last_ms + FOLLOWED_MS;
            let admitted = self.outcome.admitted_ms.iter().filter(|at| window.contains(*at));
            self.outcome.used = admitted.count() as u32;
            self.outcome.tokens = self.scenario.rate * (window.end - window.start) as f64 / 1000.0;
        }
        self.outcome
    }
}

#[parameterized(
    twelve_vms = { 12, 3200 },
    twelve_vms_from_trough = { 12, 5400 },
    large_fleet = { 85, 3200 },
    large_fleet_from_trough = { 85, 5400 },
)]
fn promised_callers_are_served_when_they_return(vms: usize, phase_ms: u64) {
    let scenario = PromiseScenario { vms, phase_ms, ..PromiseScenario::default() };
    let outcome = scenario.run();
    let again = outcome.refused_again_fraction();
    assert!(again <= 0.10, "{again:.3} of the returning callers refused again: {outcome}");
    println!("{vms} VMs from {phase_ms} ms, {again:.3} refused again: {outcome}");
    assert_quota_holds(&scenario, &outcome);
}

/// Tokens that are kept for callers that do not return, or that nobody may take in time, must not be lost.
#[parameterized(
    twelve_vms = { 12, 3200 },
    twelve_vms_from_trough = { 12, 5400 },
    large_fleet = { 85, 3200 },
    large_fleet_from_trough = { 85, 5400 },
)]
fn tokens_are_used_while_callers_are_not_served(vms: usize, phase_ms: u64) {
    let outcome = PromiseScenario { vms, phase_ms, ..PromiseScenario::default() }.run();
    let used = outcome.used_fraction();
    assert!(used >= 0.95, "{used:.3} of the tokens used: {outcome}");
}

/// The load without promises, for comparison: each refused caller returns when the bucket was expected to
/// have a token, as all others do.
#[parameterized(
    from_peak = { 3200 },
    from_trough = { 5400 },
)]
fn most_callers_are_refused_again_without_promises(phase_ms: u64) {
    let scenario = PromiseScenario { phase_ms, makes_promises: false, ..small_fleet() };
    let outcome = scenario.run();
    let again = outcome.refused_again_fraction();
    println!("{} VMs from {phase_ms} ms, {again:.3} refused again: {outcome}", scenario.vms);
    assert!(again >= 0.75, "{again:.3} of the returning callers refused again: {outcome}");
}

/// Guards against a rule that recognizes returning callers by their connections: here each request opens one,
/// at a VM of the caller's choice, so that nothing but its content tells a returning caller from the others.
#[test]
fn promises_are_kept_if_all_requests_open_connections() {
    let scenario = small_fleet();
    let outcome = scenario.run();
    let before = PromiseScenario { makes_promises: false, ..scenario }.run();
    let again = outcome.refused_again_fraction();
    // At least what becomes free while the last callers of the excess wait to return.
    let least = RATE * FOLLOWED_MS as f64 / 1000.0;
    assert!(outcome.promised_ms.len() as f64 >= least, "too few promises: {outcome}");
    assert!(again <= 0.10, "{again:.3} of the returning callers refused again: {outcome}");
    let (served, served_before) = (outcome.served(), before.served());
    assert!(served >= served_before * 0.97, "{served} of {served_before} served: {outcome}");
}

#[parameterized(
    never_claimed = { PromiseScenario { returns: ReturnHabit::Never, ..small_fleet() } },
    claimed_together = { PromiseScenario { returns: ReturnHabit::Together, ..small_fleet() } },
    lost_and_repeated_reports = { PromiseScenario { loss: 0.2, repeats: 0.2, ..small_fleet() } },
    late_reports = { PromiseScenario { report_delay_ms: 100..300, ..small_fleet() } },
    partition = { PromiseScenario { partition_ms: 7000..12_000, ..small_fleet() } },
    restart = { PromiseScenario { restart_ms: Some(9000), ..small_fleet() } },
    large_fleet_claimed_together = {
        PromiseScenario { returns: ReturnHabit::Together, ..PromiseScenario::default() }
    },
)]
fn quota_holds_however_promises_are_claimed(scenario: PromiseScenario) {
    let outcome = scenario.run();
    assert_quota_holds(&scenario, &outcome);
    assert!(!outcome.promised_ms.is_empty(), "no promises: {outcome}");
    assert_within_rate(&scenario, &outcome);
}

/// A VM that does not know the promises of the others, or a caller that finds it, must not break most
/// promises.
#[parameterized(
    lost_and_repeated_reports = { PromiseScenario { loss: 0.2, repeats: 0.2, ..small_fleet() } },
    restart = { PromiseScenario { restart_ms: Some(9000), ..small_fleet() } },
)]
fn promises_outlast_faults(scenario: PromiseScenario) {
    let outcome = scenario.run();
    let again = outcome.refused_again_fraction();
    assert!(again <= 0.10, "{again:.3} of the returning callers refused again: {outcome}");
}

/// A caller that repeats a request over and over must not take more than the one promised token.
#[test]
fn promise_is_taken_up_once() {
    let (workspace, now) = (WorkspaceId::from("hot"), Duration::from_secs(10));
    let members = [VmId::from("vm0"), VmId::from("vm1")];
    let mut books = members.clone().map(|vm| PromiseBook::open(Duration::ZERO, &vm));
    for book in &mut books {
        book.set_members(&members);
    }
    let digest = RequestDigest(7);
    let request = PromiseRequest {
        workspace: &workspace,
        digest,
        rate: 10.0,
        burst: 10.0,
        level: 0.0,
        refill: 10.0,
        max_delay: Duration::from_millis(FOLLOWED_MS),
        random: 0.5,
    };
    let delay = books[0].promise(now, &request).unwrap();
    let report = books[0].report(now);
    let (refill, burst, random) = (request.refill, request.burst, 0.0);
    let arrival =
        QuotaArrival { workspace: &workspace, digest: Some(digest), refill, burst, random };
    let due = now + delay;
    for (vm, book) in books.iter_mut().enumerate() {
        if vm == 1 {
            book.observe(now, &members[0], &report);
        }
        let stranger = QuotaArrival { digest: Some(RequestDigest(8)), ..arrival };
        assert!(book.reserved(due, &stranger) > 0.0, "token of VM {vm} left to others");
        assert!(book.reserved(due, &arrival) <= 0.0, "promise unknown to VM {vm}");
        book.record_admitted(due, &arrival);
        book.record_admitted(due, &arrival);
        assert_eq!(book.state().taken_up, 1, "VM {vm}");
    }
}

/// A caller that returns has a new id and less time left. Any other difference is another request.
#[test]
fn digest_covers_what_callers_repeat() {
    let part = PromptPart { id: 5, tokens: 10 };
    let demand = TokenDemand { parts: vec![part], ..TokenDemand::default() };
    let first = ForwardedRequest {
        memory: None,
        id: "r1".into(),
        method: http::Method::POST,
        path: "/ask".to_owned(),
        host: "shop.example".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"question"),
        key: Some(KeyHash::of("secret")),
        caller_timeout: Some(Duration::from_secs(5)),
        received_at: Duration::ZERO,
        demand: Some(demand),
        last_event: None,
    };
    let digest = RequestDigest::of(&first);
    let timeout = Some(Duration::from_secs(3));
    let again = ForwardedRequest { id: "r2".into(), caller_timeout: timeout, ..first.clone() };
    assert_eq!(RequestDigest::of(&again), digest);
    let others = [
        ForwardedRequest { method: http::Method::PUT, ..first.clone() },
        ForwardedRequest { path: "/as".to_owned(), body: "kquestion".into(), ..first.clone() },
        ForwardedRequest { host: "other.example".to_owned(), ..first.clone() },
        ForwardedRequest { body: Bytes::from_static(b"questions"), ..first.clone() },
        ForwardedRequest { key: Some(KeyHash::of("other")), ..first.clone() },
        ForwardedRequest { demand: None, ..first.clone() },
    ];
    for other in &others {
        assert_ne!(RequestDigest::of(other), digest, "{other:?}");
    }
}

/// Promises are sent after the rest of the report, and cost nothing without any.
#[test]
fn promises_are_sent_after_report() {
    let vm = VmId::from("vm1");
    let due = vec![(3, 2), (7, 1)];
    let digests = vec![RequestDigest(1), RequestDigest(2), RequestDigest(u32::MAX)];
    let promised = ReportedPromises { workspace: 7, made: 3, due, digests };
    let report = LoadReport {
        incarnation: 1,
        sequence: 2,
        promises: vec![promised],
        ..LoadReport::default()
    };
    let encoded = EncodedReport::encode(&vm, &report);
    assert_eq!(encoded.frame().decode(), Ok(report));
    let none = LoadReport { incarnation: 1, sequence: 3, ..LoadReport::default() };
    let encoded = EncodedReport::encode(&vm, &none);
    assert_eq!(encoded.frame().content.len(), 4);
    assert_eq!(encoded.frame().decode(), Ok(none));
}

/// Run by hand: 980 VMs of 396 tokens, of which only some make promises.
#[test]
#[ignore = "takes minutes"]
fn very_large_fleet_keeps_promises() {
    let scenario = PromiseScenario {
        vms: 980,
        report_interval_ms: 150,
        report_delay_ms: 80..250,
        ..PromiseScenario::default()
    };
    let outcome = scenario.run();
    println!("{outcome}");
    assert_within_rate(&scenario, &outcome);
}

fn small_fleet() -> PromiseScenario {
    PromiseScenario { vms: 12, ..PromiseScenario::default() }
}

fn assert_quota_holds(scenario: &PromiseScenario, outcome: &PromiseOutcome) {
    let allowed = (scenario.rate * 5.0 + scenario.burst) * 1.1 + 20.0;
    let most = max_in_window(&outcome.admitted_ms, 5000);
    assert!(most as f64 <= allowed, "{most} requests in 5 s of {allowed}: {scenario:?}");
}

/// Checks that the promises due in any time add up to no more than rate and burst.
fn assert_within_rate(scenario: &PromiseScenario, outcome: &PromiseOutcome) {
    let mut due_ms = outcome.promised_ms.clone();
    due_ms.sort_unstable();
    for window_ms in [100, 500, 1000, 5000] {
        let allowed = scenario.rate * window_ms as f64 / 1000.0 + scenario.burst;
        let most = max_in_window(&due_ms, window_ms);
        assert!(most as f64 <= allowed, "{most} promises in {window_ms} ms of {allowed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// Guards against VMs that together promise more than there is because each knows too little.
    #[test]
    fn promises_never_add_up_to_more_than_rate_and_burst(
        vms in 1_usize..40,
        rate in 0.5_f64..200.0,
        burst in 0.5_f64..200.0,
        heard in 0.0_f64..1.0,
        refusals_per_ms in 0.05_f64..2.0,
        restart_ms in 0_u64..4000,
        seed in 0_u64..1000,
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let workspace = WorkspaceId::from("hot");
        let members: Vec<VmId> = (0..vms).map(|vm| VmId::from(format!("vm{vm}"))).collect();
        let open = |now_ms, vm: &VmId| {
            let mut book = PromiseBook::open(Duration::from_millis(now_ms), vm);
            book.set_members(&members);
            book
        };
        let mut books: Vec<_> = members.iter().map(|vm| open(0, vm)).collect();
        let mut due_ms = Vec::new();
        for now_ms in 0..6000_u64 {
            let now = Duration::from_millis(now_ms);
            if now_ms == restart_ms {
                books = members.iter().map(|vm| open(now_ms, vm)).collect();
            }
            let refusals = refusals_per_ms.floor() as u32
                + u32::from(random.random::<f64>() < refusals_per_ms.fract());
            for _ in 0..refusals {
                let request = PromiseRequest {
                    workspace: &workspace,
                    digest: RequestDigest(random.random()),
                    rate,
                    burst,
                    level: 0.0,
                    refill: rate,
                    max_delay: Duration::from_secs(5),
                    random: random.random(),
                };
                let vm = random.random_range(0..vms);
                if let Some(delay) = books[vm].promise(now, &request) {
                    due_ms.push((now + delay).as_millis() as u64);
                }
            }
            if now_ms % 40 == 0 {
                let from = random.random_range(0..vms);
                let report = books[from].report(now);
                for to in (0..vms).filter(|to| *to != from) {
                    if random.random::<f64>() < heard {
                        books[to].observe(now, &members[from], &report);
                    }
                }
            }
        }
        due_ms.sort_unstable();
        for window_ms in [50, 300, 1000, 4000] {
            // A window includes the times at both of its ends, which are rounded to whole milliseconds.
            let allowed = rate * (window_ms + 2) as f64 / 1000.0 + burst;
            let most = max_in_window(&due_ms, window_ms);
            prop_assert!(most as f64 <= allowed, "{most} promises in {window_ms} ms of {allowed}");
        }
    }
}
