//! Decides on the steps of a roll-out, on its leader.

use std::time::Duration;

use crate::placement::load::service_hash;
use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::exposure::ExposureBudget;
use crate::rollouts::fleet_evidence::{FleetEvidence, SLICE};
use crate::rollouts::judge::{GOOD_THRESHOLD, VersionVerdict};
use crate::rollouts::order::RolloutSettings;
use crate::rollouts::record::{
    EvidenceSummary, LEASE_DURATION, RolloutPhase, RolloutReason, RolloutRecord,
};
use crate::rollouts::shares::ShareTable;

/// Shares of the final shift, in order of preference by what the exposure allows. At a quarter of the requests, the
/// canary targets have the load of old targets, so that the shares around it add the least. The last share is given
/// together with the draining of the old targets.
const SHIFT_SHARES: [&[f64]; 3] = [&[0.1, 0.25, 0.5, 1.0], &[0.25, 0.5, 1.0], &[0.25, 1.0]];
/// A step is left out if the share is not larger than the present one by this factor.
const MIN_STEP_FACTOR: f64 = 1.6;
/// Evidence against the version, as a part of its threshold, at which no step is taken.
const MAX_DOUBT: f64 = 0.35;
/// Evidence for the version that is enough if it is not complete in time.
const WEAK_SUPPORT: f64 = 1.5;
/// The same at the end of the draining. There is no comparison under the same load then: with the lower figure, 1 of
/// 200 good versions was rolled back in a burst.
const MAX_LAST_DOUBT: f64 = 0.75;
/// Evidence on a route that the version is worse there, as a logarithm of odds, from which no planned step is taken,
/// and from which none is taken at all.
const MAX_ROUTE_DOUBT: (f64, f64) = (1.0, 3.0);
/// Answers of the new version at a share before the next step; about as many as show that a third of them fail.
const MIN_STEP_ANSWERS: u32 = 20;
/// Answers of old targets to compare with before the canary phase, and the longest wait for them.
const MIN_READY_ANSWERS: u64 = 50;
const MAX_READY_WAIT: Duration = Duration::from_secs(1);
/// Time in which VMs learn a lower share: interval and age of load reports, and the leader's interval of decisions.
const LEARNING_TIME: Duration = Duration::from_millis(150);
/// Time from the decision on a step to its effect: the write to the store and an announcement.
const STORING_TIME: Duration = Duration::from_millis(100);
/// Share to which a shift falls back whose evidence does not become clear within the budget.
const RETREAT_SHARE: f64 = 0.02;
/// Shortest draining, in which VMs that have not heard of it yet still send to old targets.
const MIN_DRAINING: Duration = Duration::from_millis(300);
/// Fraction of the time for the roll-out that is kept for the take-over of a lease at most; the same for draining.
const MAX_RESERVE_FRACTION: f64 = 0.2;
const MAX_DRAINING_FRACTION: f64 = 0.2;
/// Time at a share of the final shift, as a fraction of the time for the roll-out, with its limits.
const STEP_FRACTION: f64 = 0.017;
const STEP_TIME: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));
/// Longest time at a share of the final shift, as a fraction of the time for the roll-out.
const MAX_STEP_FRACTION: f64 = 0.08;
/// Part of the duration whose requests the budget has to cover for a shift without evidence.
const MIN_COVERED_FRACTION: f64 = 0.1;
/// Time between the planned end and the deadline, for the write of the verdict and its status.
const END_FRACTION: f64 = 0.04;
const END_MARGIN: (Duration, Duration) = (Duration::from_millis(120), Duration::from_secs(1));
/// Time without any new target after which the version counts as lost; targets may restart for a moment.
const LOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two divisions of the canary share, as a fraction of the duration with its limits. Each is a
/// write to the store and a line in the log.
const DIVISION_FRACTION: f64 = 0.05;
const DIVISION_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));
/// The same while the limits for slow answers are not known for all routes.
const LIMITS_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest period over which the rest of the canary's budget is spread, as a fraction of the duration.
const MIN_CANARY_FRACTION: f64 = 0.1;
/// Relative change of the canary share from which the requests are divided again.
const DIVISION_CHANGE: f64 = 0.2;
/// Fewest new targets that get canary requests, so that one that is bad by itself can be left out.
const MIN_CANARY_TARGETS: f64 = 3.0;

/// Targets of a cohort and their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CohortLoad {
    /// Targets in service.
    pub targets: u32,
    /// Their slots.
    pub slots: u32,
    /// Requests of all VMs that run there.
    pub running: u32,
}

/// Load of old and new targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutLoad {
    /// Old targets.
    pub current: CohortLoad,
    /// New targets.
    pub next: CohortLoad,
    /// Live VMs, with the local one.
    pub vms: u32,
    /// Longest time-out of the service's routes.
    pub longest_timeout: Duration,
}

/// Decision on a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutStep {
    /// Nothing changes.
    Keep,
    /// The record is to be written; the step takes effect once it is stored.
    Advance(RolloutRecord),
    /// The step takes effect at once by announcement, and the record is to be written until the store confirms it.
    Stop(RolloutRecord),
}

/// Planned times of a roll-out, by the store's clock.
#[derive(Clone, Copy, Debug)]
struct StepPlan {
    /// Planned start of the final shift, and the latest one if only the budget speaks against it.
    shift_at: Duration,
    budget_waived_at: Duration,
    /// Start of the final shift if the evidence is not complete, and if it is weak.
    late_shift_at: Duration,
    latest_shift_at: Duration,
    /// Latest end of the draining.
    latest_end: Duration,
    /// Time at each share of the shift.
    step_time: Duration,
}

impl StepPlan {
    /// Plans backwards from the deadline: end, draining, shift, and a take-over of the lease as reserve.
    fn compute(record: &RolloutRecord, longest_timeout: Duration, notice_time: Duration) -> Self {
        let period = record.deadline.saturating_sub(record.ready_at);
        let end_margin = period.mul_f64(END_FRACTION).clamp(END_MARGIN.0, END_MARGIN.1);
        let latest_end = record.deadline.saturating_sub(end_margin);
        let max_step_time = period.mul_f64(MAX_STEP_FRACTION);
        let step_time = period.mul_f64(STEP_FRACTION).clamp(STEP_TIME.0, STEP_TIME.1);
        let step_time = step_time.max(notice_time).min(max_step_time);
        let draining = (longest_timeout + MIN_DRAINING)
            .min(period.mul_f64(MAX_DRAINING_FRACTION))
            .max(MIN_DRAINING);
        let reserve = LEASE_DURATION.min(period.mul_f64(MAX_RESERVE_FRACTION));
        let shift = step_time * 2;
        let late_shift_at = latest_end.saturating_sub(draining + shift);
        let latest_shift_at = latest_end.saturating_sub(draining / 2 + shift);
        let shift_at = latest_end.saturating_sub(draining + shift + reserve);
        let budget_waived_at = shift_at + reserve / 2;
        Self { shift_at, budget_waived_at, late_shift_at, latest_shift_at, latest_end, step_time }
    }
}

/// Decides on the steps of a roll-out. It exists on the leader for the time of its lease.
#[derive(Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    /// Last record that the store has acknowledged.
    record: RolloutRecord,
    /// Record of a decided end until the store has acknowledged it.
    stop: Option<RolloutRecord>,
    /// The same moment by the monotonic clock and by the store's.
    opened_at: (Duration, Duration),
    /// When the present step took effect, and whether one was stored since the last decision.
    step_at: Duration,
    has_new_step: bool,
    /// When a new target was last in service.
    targets_at: Duration,
}

/// Everything that a decision is based on.
struct StepContext<'a> {
    now: Duration,
    store_now: Duration,
    evidence: &'a FleetEvidence,
    load: &'a RolloutLoad,
    verdict: VersionVerdict,
    summary: EvidenceSummary,
    plan: StepPlan,
    budget: ExposureBudget,
}

/// Returns the time until a version that turns bad gets no more requests.
fn notice_time(now: Duration, evidence: &FleetEvidence) -> Duration {
    // Two slices with failures have to be complete, and the answers in them.
    SLICE * 2 + evidence.usual_duration(now).min(MAX_READY_WAIT) + LEARNING_TIME
}

impl StepContext<'_> {
    /// Returns the next shares up to all requests, and whether the budget allows them with the time that each takes.
    /// The whole shift has to fit before it begins, because no share between is held for long.
    fn next_shares(&self, share: f64) -> (Vec<f64>, bool) {
        let notice_time = notice_time(self.now, self.evidence);
        let time_at = |next: &f64| {
            let is_last = *next >= 1.0;
            (*next, if is_last { notice_time } else { self.plan.step_time + STORING_TIME })
        };
        let mut shares = Vec::new();
        for option in SHIFT_SHARES {
            let larger = option.iter().filter(|next| **next > share * MIN_STEP_FACTOR);
            let planned: Vec<_> = larger.map(time_at).collect();
            shares = planned.iter().map(|(next, _)| *next).collect();
            if self.budget.allows(&planned) {
                return (shares, true);
            }
        }
        (shares, self.store_now >= self.plan.budget_waived_at)
    }

    fn is_doubtful(&self) -> bool {
        self.verdict.against >= MAX_DOUBT || self.verdict.route_support < -MAX_ROUTE_DOUBT.1
    }
}

impl RolloutController {
    /// Opens the controller of a leader whose claim is stored. `now` and `store_now` are the same moment by the
    /// monotonic clock and by the store's.
    pub fn open(
        settings: RolloutSettings,
        record: RolloutRecord,
        now: Duration,
        store_now: Duration,
    ) -> Self {
        Self {
            settings,
            record,
            stop: None,
            opened_at: (now, store_now),
            step_at: now,
            has_new_step: false,
            targets_at: now,
        }
    }

    /// Returns the record as last stored or, after a stop, as last decided.
    pub fn record(&self) -> &RolloutRecord {
        self.stop.as_ref().unwrap_or(&self.record)
    }

    fn store_time(&self, now: Duration) -> Duration {
        self.opened_at.1 + now.saturating_sub(self.opened_at.0)
    }

    fn duration(&self) -> Duration {
        self.record.deadline.saturating_sub(self.record.started_at)
    }

    /// Decides on the next step. Called every 100 ms or more often. An end is returned again until
    /// [`Self::confirm`] is called with its record; another step as long as its reasons hold.
    pub fn decide(
        &mut self,
        now: Duration,
        evidence: &FleetEvidence,
        load: &RolloutLoad,
    ) -> RolloutStep {
        if let Some(stop) = &self.stop {
            return RolloutStep::Stop(stop.clone());
        }
        if load.next.targets > 0 {
            self.targets_at = now;
        }
        if std::mem::take(&mut self.has_new_step) {
            self.step_at = now;
        }
        let store_now = self.store_time(now);
        let summary = evidence.summary(self.duration(), &self.record.evidence);
        let elapsed = store_now.saturating_sub(self.record.started_at);
        let remaining = self.record.deadline.saturating_sub(store_now);
        let context = StepContext {
            now,
            store_now,
            evidence,
            load,
            verdict: evidence.verdict(self.duration()),
            summary,
            plan: StepPlan::compute(&self.record, load.longest_timeout, notice_time(now, evidence)),
            budget: ExposureBudget::compute(
                self.settings,
                summary.sent,
                (elapsed, remaining),
                evidence.rate(now),
            ),
        };
        match self.record.phase {
            RolloutPhase::Completed | RolloutPhase::RolledBack => RolloutStep::Keep,
            RolloutPhase::Waiting => self.decide_waiting(&context),
            phase => {
                if let Some(reason) = self.objection(&context) {
                    return self.stop(reason, context.summary);
                }
                match phase {
                    RolloutPhase::Draining => self.decide_draining(&context),
                    _ => self.decide_shift(&context),
                }
            }
        }
    }

    /// Returns why the version is bad, if it is.
    fn objection(&self, context: &StepContext<'_>) -> Option<RolloutReason> {
        if context.verdict.against >= 1.0 {
            Some(context.verdict.reason)
        } else if context.evidence.is_stalled(context.now) {
            Some(RolloutReason::Stalled)
        } else if context.now.saturating_sub(self.targets_at) > LOST_TIMEOUT {
            Some(RolloutReason::NoTargets)
        } else {
            None
        }
    }

    fn stop(&mut self, reason: RolloutReason, evidence: EvidenceSummary) -> RolloutStep {
        let phase = RolloutPhase::RolledBack;
        self.stop = self.record.advance(phase, ShareTable::default(), reason, evidence);
        self.stop.clone().map_or(RolloutStep::Keep, RolloutStep::Stop)
    }

    fn advance(
        &self,
        context: &StepContext<'_>,
        phase: RolloutPhase,
        shares: ShareTable,
        reason: RolloutReason,
    ) -> RolloutStep {
        let record = self.record.advance(phase, shares, reason, context.summary);
        let Some(mut record) = record else { return RolloutStep::Keep };
        record.renewed_at = context.store_now;
        if self.record.phase == RolloutPhase::Waiting {
            record.ready_at = context.store_now;
        }
        RolloutStep::Advance(record)
    }

    fn decide_waiting(&mut self, context: &StepContext<'_>) -> RolloutStep {
        if context.load.next.targets == 0 {
            if context.store_now >= self.record.deadline {
                return self.stop(RolloutReason::NoTargets, context.summary);
            }
            return RolloutStep::Keep;
        }
        let max_wait = self.duration().mul_f64(0.1).min(MAX_READY_WAIT);
        let has_baseline = context.evidence.answers()[0] >= MIN_READY_ANSWERS;
        if !has_baseline && context.now.saturating_sub(self.step_at) < max_wait {
            return RolloutStep::Keep;
        }
        let shares = self.canary_shares(context);
        self.advance(context, RolloutPhase::Canary, shares, RolloutReason::Ready)
    }

    fn canary_shares(&self, context: &StepContext<'_>) -> ShareTable {
        let plan = if self.record.phase == RolloutPhase::Waiting {
            let record = RolloutRecord { ready_at: context.store_now, ..self.record.clone() };
            let notice_time = notice_time(context.now, context.evidence);
            StepPlan::compute(&record, context.load.longest_timeout, notice_time)
        } else {
            context.plan
        };
        // If the shift is late, the canary phase goes on with the share that is left.
        let min_period = self.duration().mul_f64(MIN_CANARY_FRACTION);
        let period = plan.shift_at.saturating_sub(context.store_now).max(min_period);
        let share = context.budget.canary_share(period);
        let requests = context.evidence.route_requests();
        let mut shares = ShareTable::divide(share, &requests).with_limits_of(&self.record.shares);
        shares.canary_targets = canary_targets(share, context.load);
        shares
    }

    /// Decides in the canary phase and in the shift.
    fn decide_shift(&mut self, context: &StepContext<'_>) -> RolloutStep {
        let plan = &context.plan;
        let share = self.record.shares.share();
        let (next_shares, is_affordable) = context.next_shares(share);
        let next_share = next_shares.first().copied().unwrap_or(1.0);
        let steps_left = next_shares.len().saturating_sub(1) as u32;
        let at_share = context.now.saturating_sub(self.step_at);
        let is_shifting = self.record.phase == RolloutPhase::Shifting;

        let is_due =
            context.store_now >= plan.shift_at && (!is_shifting || at_share >= plan.step_time);
        let answers = context.evidence.new_answers_since(self.step_at);
        let is_clear = context.verdict.support >= GOOD_THRESHOLD
            && !context.is_doubtful()
            && context.verdict.route_support >= -MAX_ROUTE_DOUBT.0
            && (!is_shifting || answers >= MIN_STEP_ANSWERS);
        if is_due && is_clear && is_affordable {
            return self.shift(context, next_share, RolloutReason::Planned);
        }
        let until_noticed = [(share, notice_time(context.now, context.evidence))];
        if is_shifting
            && share > RETREAT_SHARE
            && !is_clear
            && !context.budget.allows(&until_noticed)
        {
            let mut shares = ShareTable::uniform(RETREAT_SHARE);
            shares.routes.clone_from(&self.record.shares.routes);
            shares.routes.iter_mut().for_each(|entry| entry.share = shares.overall);
            shares.canary_targets = canary_targets(RETREAT_SHARE, context.load);
            let reason = RolloutReason::Redistributed;
            return self.advance(context, RolloutPhase::Shifting, shares, reason);
        }

        let steps_done = 2u32.saturating_sub(steps_left);
        let has_weak_evidence = context.verdict.support < WEAK_SUPPORT;
        let latest_at = if has_weak_evidence { plan.latest_shift_at } else { plan.late_shift_at };
        let is_overdue = context.store_now >= latest_at + plan.step_time * steps_done;
        // With so few requests that the budget covers all of them, there is little to judge by.
        let remaining = self.record.deadline.saturating_sub(context.store_now);
        let last_part = self.duration().mul_f64(MIN_COVERED_FRACTION).max(remaining);
        let is_covered = context.budget.allows(&[(1.0, last_part)])
            && context.verdict.support >= 0.0
            && !context.is_doubtful();
        let is_likely_good = context.verdict.support > 0.0 && !context.is_doubtful();
        let end = context.store_now + plan.step_time * steps_left + MIN_DRAINING;
        if is_overdue && end <= plan.latest_end && (is_likely_good || is_covered) {
            let is_in_time = at_share >= plan.step_time || !is_shifting;
            let step = || self.shift(context, next_share, RolloutReason::Overdue);
            return if is_in_time { step() } else { RolloutStep::Keep };
        }
        if context.store_now >= plan.latest_end {
            return self.stop(RolloutReason::Undecided, context.summary);
        }
        if is_shifting { RolloutStep::Keep } else { self.divide_again(context) }
    }

    fn shift(&self, context: &StepContext<'_>, share: f64, reason: RolloutReason) -> RolloutStep {
        let mut shares = self.record.shares.raised(share);
        shares.update_limits(&context.evidence.route_requests());
        shares.canary_targets = canary_targets(share, context.load);
        let phase = if share < 1.0 { RolloutPhase::Shifting } else { RolloutPhase::Draining };
        self.advance(context, phase, shares, reason)
    }

    /// Divides the canary share again if requests, targets or the limits for slow answers have changed.
    fn divide_again(&self, context: &StepContext<'_>) -> RolloutStep {
        let at_share = context.now.saturating_sub(self.step_at);
        if at_share < LIMITS_INTERVAL {
            return RolloutStep::Keep;
        }
        let shares = self.canary_shares(context);
        let known = &self.record.shares;
        let change = (shares.share() - known.share()).abs() / known.share().max(0.001);
        let is_changed = change > DIVISION_CHANGE || shares.canary_targets != known.canary_targets;
        let knows_more = shares.knows_more(known);
        let interval = self.duration().mul_f64(DIVISION_FRACTION);
        let interval = interval.clamp(DIVISION_INTERVAL.0, DIVISION_INTERVAL.1);
        if knows_more || (is_changed && at_share >= interval) {
            let reason = RolloutReason::Redistributed;
            return self.advance(context, RolloutPhase::Canary, shares, reason);
        }
        RolloutStep::Keep
    }

    fn decide_draining(&mut self, context: &StepContext<'_>) -> RolloutStep {
        let is_drained = context.load.current.running == 0;
        let is_settled = context.now.saturating_sub(self.step_at) >= MIN_DRAINING;
        let is_last_moment = context.store_now >= context.plan.latest_end;
        if is_last_moment && context.verdict.against >= MAX_LAST_DOUBT {
            return self.stop(RolloutReason::Undecided, context.summary);
        }
        // Slow answers in a burst may be that of the load, so that they only delay the end.
        let is_clear = context.verdict.support >= 0.0 && !context.is_doubtful();
        if (is_drained && is_settled && is_clear) || is_last_moment {
            let shares = self.record.shares.clone();
            return self.advance(context, RolloutPhase::Completed, shares, RolloutReason::Drained);
        }
        RolloutStep::Keep
    }

    /// Records that the store has acknowledged a record, also one of a renewal, or that it was read there.
    pub fn confirm(&mut self, record: &RolloutRecord) {
        let key = |record: &RolloutRecord| (record.revision, record.epoch, record.step);
        if key(record) < key(&self.record) {
            return;
        }
        self.has_new_step |= record.step != self.record.step;
        let leads = record.revision == self.record.revision && record.epoch == self.record.epoch;
        self.record = record.clone();
        if let Some(stop) = self.stop.take().filter(|_| leads) {
            // The end may have been decided on an earlier step.
            let (reason, evidence) = (stop.reason, stop.evidence);
            let phase = RolloutPhase::RolledBack;
            self.stop = self.record.advance(phase, ShareTable::default(), reason, evidence);
        }
    }

    /// Returns the record to write to renew the lease.
    pub fn renewal(&self, store_now: Duration, evidence: &FleetEvidence) -> RolloutRecord {
        let summary = evidence.summary(self.duration(), &self.record.evidence);
        self.record().renew(store_now, summary)
    }

    /// Returns what to announce in load reports.
    pub fn announcement(&self) -> RolloutAnnouncement {
        let record = self.record();
        RolloutAnnouncement {
            service: service_hash(&record.service),
            revision: record.revision,
            epoch: record.epoch.0,
            step: record.step,
            phase: record.phase,
            shares: record.shares.clone(),
            is_stored: self.stop.is_none(),
        }
    }
}

/// Returns the number of new targets that get requests at a share, each with the load that an old target has without
/// a roll-out; 0 for all.
fn canary_targets(share: f64, load: &RolloutLoad) -> u16 {
    let slots =
        |cohort: &CohortLoad| f64::from(cohort.slots.max(1)) / f64::from(cohort.targets.max(1));
    let old_slots = f64::from(load.current.targets) * slots(&load.current);
    let targets = (share * old_slots / slots(&load.next)).ceil().max(MIN_CANARY_TARGETS);
    if targets >= f64::from(load.next.targets) { 0 } else { targets as u16 }
}
