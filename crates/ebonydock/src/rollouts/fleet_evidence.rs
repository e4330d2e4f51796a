//! Outcomes of the requests of all VMs at old and new targets.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ids::VmId;
use crate::rollouts::evidence::{
    AnswerTally, CohortEvidence, RolloutReport, TARGET_GROUPS, TIME_BUCKETS,
};
use crate::rollouts::judge::{CohortSlice, ROUTE_SLOTS, VersionJudge, VersionVerdict};
use crate::rollouts::record::EvidenceSummary;
use crate::rollouts::shares::{MAX_LISTED_ROUTES, OTHER_ROUTES, SlowLimits};

/// Length of the slices in which answers are compared: longer than the age of reports in small fleets, and short
/// against the time in which a bad version must be stopped.
pub(crate) const SLICE: Duration = Duration::from_millis(100);
/// Slices that are kept, to compare open requests with the ones that were sent recently.
const KEPT_SLICES: usize = 100;
/// Period over which the rate of requests is measured; covers a trough or a peak of the traffic.
const RATE_SLICES: u64 = 30;
/// Time after which a VM without a report does not count as having open requests; the lifetime of a report.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Answers of the old targets from which the limit for slow ones is known. With 30, a route with 2% of the requests
/// had no limit for half of a roll-out of 12 s; with 12, a version that was slow on it passed in 1 of 10 seeds.
const MIN_LIMIT_ANSWERS: f64 = 8.0;
/// Answers of a route from which its own spread of times is used. The largest of 8 times is a poor estimate of the
/// quantile: with it, a version that was 4 times slower on a route with 2% of the requests passed in 1 of 20 seeds.
const MIN_SPREAD_ANSWERS: f64 = 100.0;
/// Answers of the old targets that are kept for the limits; older ones count half from then on.
const MAX_LIMIT_ANSWERS: f64 = 4000.0;
/// Quantile of the old targets' times that the limit for slow answers refers to, and the factor between them. The
/// answers of a version that is 2.5 times slower exceed it, and few of the old targets' answers do.
const LIMIT_QUANTILE: f64 = 0.9;
const LIMIT_FACTOR: f64 = 1.5;
/// Requests that must be open for too long before they count as not answered.
const MIN_STALLED: u64 = 10;
/// An answer is missing after this many times the usual duration, and this additional time.
const STALL_FACTOR: f64 = 3.0;
const STALL_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct VmEvidence {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
    report: RolloutReport,
}

/// Counts of all VMs in a slice of time.
#[derive(Clone, Debug, Default)]
struct EvidenceSlice {
    number: u64,
    /// Old and new targets.
    cohorts: [CohortSlice; 2],
}

/// Histogram of the old targets' times on a route.
#[derive(Clone, Copy, Debug, Default)]
struct TimeHistogram([f64; TIME_BUCKETS as usize]);

impl TimeHistogram {
    fn add(&mut self, counts: &[(u8, u32)], previous: &[(u8, u32)]) {
        for (bucket, count) in counts {
            let known = previous.iter().find(|(known, _)| known == bucket).map_or(0, |(_, n)| *n);
            if let Some(sum) = self.0.get_mut(usize::from(*bucket)) {
                *sum += f64::from(count.saturating_sub(known));
            }
        }
        if self.count() > MAX_LIMIT_ANSWERS {
            self.0.iter_mut().for_each(|sum| *sum /= 2.0);
        }
    }

    fn count(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns a quantile in buckets.
    fn quantile(&self, fraction: f64) -> f64 {
        let wanted = self.count() * fraction;
        let mut below = 0.0;
        for (bucket, count) in self.0.iter().enumerate() {
            if *count > 0.0 && below + count >= wanted {
                return bucket as f64 + (wanted - below) / count;
            }
            below += count;
        }
        0.0
    }

    /// Returns the first bucket that is slow, 255 if it is not known. `typical` is the histogram of the route with the
    /// most answers: for a rare route, the distance of the quantiles is taken from there.
    fn slow_limit(&self, typical: &Self) -> u8 {
        if self.count() < MIN_LIMIT_ANSWERS {
            return u8::MAX;
        }
        let spread = if self.count() < MIN_SPREAD_ANSWERS { typical } else { self };
        let spread = spread.quantile(LIMIT_QUANTILE) - spread.quantile(0.5);
        let limit = self.quantile(0.5) + spread + 2.0 * LIMIT_FACTOR.log2();
        (limit.round() as u8).min(TIME_BUCKETS)
    }
}

/// Evidence of all VMs on a roll-out. Every VM keeps it while the roll-out runs, so that any of them can lead it.
#[derive(Debug)]
pub struct FleetEvidence {
    revision: u64,
    vms: FxHashMap<VmId, VmEvidence>,
    /// Hashes of the routes that are judged by themselves.
    routes: Vec<u32>,
    first: [TimeHistogram; ROUTE_SLOTS],
    pace: [TimeHistogram; ROUTE_SLOTS],
    /// Requests by route with decaying weights, for the division of the canary share.
    route_requests: [f64; ROUTE_SLOTS],
    slices: VecDeque<EvidenceSlice>,
    judge: Box<VersionJudge>,
    sent: [u64; 2],
    answers: [u64; 2],
    failures: [u64; 2],
    opened_at: Option<Duration>,
}

impl FleetEvidence {
    /// Opens the evidence on an order.
    pub fn open(revision: u64) -> Self {
        Self {
            revision,
            vms: FxHashMap::default(),
            routes: Vec::new(),
            first: Default::default(),
            pace: Default::default(),
            route_requests: [0.0; ROUTE_SLOTS],
            slices: VecDeque::new(),
            judge: Box::default(),
            sent: [0; 2],
            answers: [0; 2],
            failures: [0; 2],
            opened_at: None,
        }
    }

    /// Returns the revision of the order.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the report of a VM, also of the local one. A report on another order, or one that is not newer than
    /// the last one of its incarnation, changes nothing.
    pub fn observe(
        &mut self,
        now: Duration,
        (vm, incarnation, sequence): (&VmId, u64, u64),
        report: &RolloutReport,
    ) {
        if report.revision != self.revision {
            return;
        }
        let previous = self.vms.remove(vm);
        if let Some(known) = &previous
            && known.incarnation == incarnation
            && known.sequence >= sequence
        {
            self.vms.extend(previous.map(|known| (vm.clone(), known)));
            return;
        }
        self.opened_at.get_or_insert(now);
        self.open_slice(now);
        let counted = previous.filter(|known| known.incarnation == incarnation);
        let counted = counted.map(|known| known.report).unwrap_or_default();
        self.add(0, &report.current, &counted.current);
        self.add(1, &report.next, &counted.next);
        let report = report.clone();
        let evidence = VmEvidence { incarnation, sequence, received_at: now, report };
        self.vms.insert(vm.clone(), evidence);
    }

    /// Closes the last slice if its time is over.
    fn open_slice(&mut self, now: Duration) {
        let number = (now.as_millis() / SLICE.as_millis()) as u64;
        match self.slices.back() {
            Some(slice) if slice.number >= number => return,
            Some(slice) => {
                self.judge.add(&slice.cohorts[0], &slice.cohorts[1]);
                self.route_requests.iter_mut().for_each(|requests| *requests *= 0.98);
            }
            None => {}
        }
        self.slices.push_back(EvidenceSlice { number, ..EvidenceSlice::default() });
        if self.slices.len() > KEPT_SLICES {
            self.slices.pop_front();
        }
    }

    fn route_slot(&mut self, route: u32) -> usize {
        if route == OTHER_ROUTES {
            return MAX_LISTED_ROUTES;
        }
        if let Some(slot) = self.routes.iter().position(|known| *known == route) {
            return slot;
        }
        if self.routes.len() == MAX_LISTED_ROUTES {
            return MAX_LISTED_ROUTES;
        }
        self.routes.push(route);
        self.routes.len() - 1
    }

    fn add(&mut self, cohort: usize, report: &CohortEvidence, counted: &CohortEvidence) {
        for route in &report.routes {
            let slot = self.route_slot(route.route);
            let known = counted.routes.iter().find(|known| known.route == route.route);
            let previous = known.map(|known| known.tally).unwrap_or_default();
            let added = route.tally.since(&previous);
            self.sent[cohort] += u64::from(added.sent);
            self.answers[cohort] += u64::from(added.failed + added.complete);
            self.failures[cohort] += u64::from(added.failed);
            self.route_requests[slot] += f64::from(added.sent);
            let (first, pace) =
                known.map_or((&[][..], &[][..]), |known| (&known.first, &known.pace));
            self.first[slot].add(&route.first, first);
            self.pace[slot].add(&route.pace, pace);
            if let Some(slice) = self.slices.back_mut() {
                slice.cohorts[cohort].routes[slot].add(&added);
            }
        }
        for group in &report.groups {
            let known = counted.groups.iter().find(|known| known.group == group.group);
            let previous = known.map(|known| known.tally).unwrap_or_default();
            let index = usize::from(group.group % TARGET_GROUPS);
            if let Some(slice) = self.slices.back_mut() {
                slice.cohorts[cohort].groups[index].add(&group.tally.since(&previous));
            }
        }
    }

    /// Returns the answers of old and new targets since the order.
    pub(crate) fn answers(&self) -> [u64; 2] {
        self.answers
    }

    /// Returns the requests per second to old and new targets together.
    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let number = (now.as_millis() / SLICE.as_millis()) as u64;
        let recent = self.slices.iter().filter(|slice| slice.number + RATE_SLICES > number);
        let sent = recent.flat_map(|slice| &slice.cohorts).map(|cohort| cohort.total().sent);
        let sent: u32 = sent.sum();
        let observed = now.saturating_sub(self.opened_at.unwrap_or(now)).as_secs_f64();
        let period = (SLICE * RATE_SLICES as u32).as_secs_f64();
        f64::from(sent) / observed.clamp(0.3, period)
    }

    /// Returns the recent requests by route, with the limits for slow answers.
    pub(crate) fn route_requests(&self) -> Vec<(u32, f64, SlowLimits)> {
        let routes = self.routes.iter().copied().chain([OTHER_ROUTES]);
        let slots = (0..self.routes.len()).chain([MAX_LISTED_ROUTES]);
        let typical = |histograms: &[TimeHistogram; ROUTE_SLOTS]| {
            let largest = histograms.iter().max_by(|a, b| a.count().total_cmp(&b.count()));
            largest.copied().unwrap_or_default()
        };
        let (first, pace) = (typical(&self.first), typical(&self.pace));
        let requests = routes.zip(slots).map(|(route, slot)| {
            let limits = SlowLimits {
                first: self.first[slot].slow_limit(&first),
                pace: self.pace[slot].slow_limit(&pace),
            };
            (route, self.route_requests[slot], limits)
        });
        requests.filter(|(_, requests, _)| *requests > 0.0).collect()
    }

    /// Returns the comparison of the versions.
    pub(crate) fn verdict(&self, duration: Duration) -> VersionVerdict {
        self.judge.verdict(duration.as_secs_f64())
    }

    /// Returns the evidence for the record, the logs and a new leader. `known` is the last one that was stored: VMs
    /// that have ended are known only from there.
    pub(crate) fn summary(&self, duration: Duration, known: &EvidenceSummary) -> EvidenceSummary {
        let verdict = self.verdict(duration);
        let newest = |a: [u64; 2], b: [u64; 2]| [a[0].max(b[0]), a[1].max(b[1])];
        EvidenceSummary {
            sent: newest(self.sent, known.sent),
            answers: newest(self.answers, known.answers),
            failures: newest(self.failures, known.failures),
            against: verdict.against,
            support: verdict.support,
            worst_route: verdict
                .route
                .and_then(|slot| self.routes.get(slot).copied())
                .unwrap_or(OTHER_ROUTES),
            unjudged_routes: verdict.unjudged,
        }
    }

    /// Returns the open requests of a cohort by group.
    fn open_requests(&self, now: Duration, is_next: bool) -> [u64; TARGET_GROUPS as usize] {
        let mut open = [0; TARGET_GROUPS as usize];
        let live = self.vms.values().filter(|known| known.received_at + REPORT_LIFETIME >= now);
        for known in live {
            let cohort = if is_next { &known.report.next } else { &known.report.current };
            for group in &cohort.groups {
                let tally = &group.tally;
                open[usize::from(group.group % TARGET_GROUPS)] +=
                    u64::from(tally.sent.saturating_sub(tally.ended));
            }
        }
        open
    }

    /// Returns the mean duration of requests to the old targets, by the requests that are open (Little's law).
    pub(crate) fn usual_duration(&self, now: Duration) -> Duration {
        let open: u64 = self.open_requests(now, false).iter().sum();
        let total: u32 = self.slices.iter().map(|slice| slice.cohorts[0].total().sent).sum();
        let ends = self.slices.front().zip(self.slices.back());
        let slices = ends.map_or(1, |(first, last)| last.number - first.number + 1);
        let rate = f64::from(total) / (SLICE.as_secs_f64() * slices as f64);
        Duration::from_secs_f64((open as f64 / rate.max(0.1)).min(60.0))
    }

    /// Returns whether requests to new targets stay without an answer, also with the worst group of targets left
    /// out: more are open than were sent in the time in which they should have been answered.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        let patience = self.usual_duration(now).mul_f64(STALL_FACTOR) + STALL_MARGIN;
        let since = now.saturating_sub(patience).as_millis() / SLICE.as_millis();
        let mut overdue = self.open_requests(now, true);
        let recent = self.slices.iter().filter(|slice| u128::from(slice.number) >= since);
        for slice in recent {
            for (open, tally) in overdue.iter_mut().zip(&slice.cohorts[1].groups) {
                *open = open.saturating_sub(u64::from(tally.sent));
            }
        }
        let worst = overdue.iter().max().copied().unwrap_or_default();
        let is_alone = overdue.iter().filter(|open| **open > 0).count() == 1
            && self.open_requests(now, true).iter().filter(|open| **open > 0).count() == 1;
        let left_out = if is_alone { 0 } else { worst };
        overdue.iter().sum::<u64>() - left_out >= MIN_STALLED
    }

    /// Returns the sum of a cohort's counts since a time, at most the last ten seconds.
    pub(crate) fn new_answers_since(&self, since: Duration) -> u32 {
        let number = (since.as_millis() / SLICE.as_millis()) as u64;
        let recent = self.slices.iter().filter(|slice| slice.number > number);
        let totals = recent.map(|slice| slice.cohorts[1].total());
        totals.map(|total: AnswerTally| total.failed + total.complete).sum()
    }
}
