//! Compares the answers of new targets with those of old ones, by sequential likelihood ratios.
//!
//! Answers are compared by slices of time, so that load that slows all targets explains slow answers of the new
//! ones. For each statistic a cumulative sum of the log likelihood ratio between "worse than the old targets" and
//! "as the old targets" is kept, with 0 as its floor. A long good history therefore does not hide that a version
//! turns bad. Each sum is kept for each group of targets left out; only evidence that holds whichever group is
//! left out counts against the version.

use crate::rollouts::evidence::{AnswerTally, TARGET_GROUPS};
use crate::rollouts::record::RolloutReason;
use crate::rollouts::shares::MAX_LISTED_ROUTES;

/// Routes that are judged by themselves, and one for all others.
pub(crate) const ROUTE_SLOTS: usize = MAX_LISTED_ROUTES + 1;
const GROUPS: usize = TARGET_GROUPS as usize;
/// Sum with no group left out, kept for services with a single new target.
const NO_GROUP: usize = GROUPS;
/// Effects for which evidence is summed, as additional fractions of answers: the smallest relevant one, and a larger
/// one that is noticed with fewer answers. Slow answers come in runs, so that small effects mean less there.
const FAILURE_EFFECTS: [f64; 2] = [0.05, 0.3];
/// About half of the answers that take 2.5 times as long exceed the limit for slow ones.
const SLOWNESS_EFFECTS: [f64; 2] = [0.15, 0.4];
/// Most that one slice adds to the evidence that a version is bad. Failures must be seen in at least two slices,
/// and slow answers, which come in runs when a target stalls, in at least four.
const MAX_SLICE_FAILURE: f64 = 6.0;
const MAX_SLICE_SLOWNESS: f64 = 3.0;
/// Evidence at which a version counts as bad, for roll-outs of up to [`REFERENCE_SECONDS`]. By Wald's bound, a sum of
/// a good version crosses it less than once in e^9 = 8,100 slices with answers (1.5% of the roll-outs of 12 s); the
/// cautious estimate of the old targets' fraction makes it much rarer. For a single route, the logarithm of the number
/// of routes is added.
const BAD_THRESHOLD: f64 = 9.0;
/// Roll-outs longer than this have more slices, and a threshold that grows with the logarithm.
const REFERENCE_SECONDS: f64 = 12.0;
/// Evidence at which a version counts as good: a version with 5 points more failures passes with a probability of
/// less than e^-3 = 5% at each step.
pub(crate) const GOOD_THRESHOLD: f64 = 3.0;
/// Evidence for a version is not summed beyond this, so that a version that turns bad loses it in a few answers.
const MAX_SUPPORT: f64 = 8.0;
/// Answers of a route from which its own evidence can speak against the version.
pub(crate) const MIN_ROUTE_ANSWERS: u32 = 12;

/// Statistics of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Statistic {
    Failures,
    SlowFirst,
    SlowPace,
}

const STATISTICS: [Statistic; 3] = [Statistic::Failures, Statistic::SlowFirst, Statistic::SlowPace];

impl Statistic {
    /// Returns the bad answers and all answers.
    fn of(self, tally: &AnswerTally) -> (f64, f64) {
        let (bad, all) = match self {
            Self::Failures => (tally.failed, tally.failed + tally.complete),
            Self::SlowFirst => (tally.slow_first, tally.began),
            Self::SlowPace => (tally.slow_pace, tally.paced),
        };
        (f64::from(bad), f64::from(all))
    }

    fn effects(self) -> [f64; 2] {
        match self {
            Self::Failures => FAILURE_EFFECTS,
            Self::SlowFirst | Self::SlowPace => SLOWNESS_EFFECTS,
        }
    }

    fn max_slice(self) -> f64 {
        match self {
            Self::Failures => MAX_SLICE_FAILURE,
            Self::SlowFirst | Self::SlowPace => MAX_SLICE_SLOWNESS,
        }
    }

    /// Returns what is added to the old targets' fraction at a peak when they no longer answer. Load may change
    /// meanwhile, which makes answers slow rather than fail.
    fn stale_margin(self) -> f64 {
        match self {
            Self::Failures => 0.03,
            Self::SlowFirst | Self::SlowPace => 0.25,
        }
    }

    fn reason(self) -> RolloutReason {
        match self {
            Self::Failures => RolloutReason::Failures,
            Self::SlowFirst => RolloutReason::SlowFirstEvents,
            Self::SlowPace => RolloutReason::SlowPace,
        }
    }
}

/// Counts of a cohort in a slice of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CohortSlice {
    pub(crate) routes: [AnswerTally; ROUTE_SLOTS],
    pub(crate) groups: [AnswerTally; GROUPS],
}

impl CohortSlice {
    pub(crate) fn total(&self) -> AnswerTally {
        let mut total = AnswerTally::default();
        self.routes.iter().for_each(|tally| total.add(tally));
        total
    }
}

/// Old targets' answers by route, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    bad: [f64; ROUTE_SLOTS],
    all: [f64; ROUTE_SLOTS],
}

impl Baseline {
    fn add(&mut self, kept: f64, statistic: Statistic, slice: &CohortSlice) {
        for (route, tally) in slice.routes.iter().enumerate() {
            let (bad, all) = statistic.of(tally);
            self.bad[route] = self.bad[route] * kept + bad;
            self.all[route] = self.all[route] * kept + all;
        }
    }

    fn sum(&self) -> (f64, f64) {
        (self.bad.iter().sum(), self.all.iter().sum())
    }
}

/// Weight that is left of recent old answers after a slice, and of those by which a rare route is known.
const RECENT_KEPT: f64 = 0.8;
const LONG_KEPT: f64 = 0.99;
/// Answers as which the older ones of a route count beside the recent ones.
const LONG_WEIGHT: f64 = 30.0;

/// Answers of old targets in a short time from which the fraction of bad ones counts as a peak.
const MIN_PEAK_ANSWERS: f64 = 20.0;
/// Part of the usual requests to old targets below which the comparison is with the past. The answers that still come
/// while old targets are drained belong to earlier requests.
const STALE_FRACTION: f64 = 0.3;
/// Weight that is left of the requests of a slice after the next one.
const ACTIVITY_KEPT: f64 = 0.5;
/// Answers as which the old targets' fraction on all routes counts for a single route.
const OVERALL_WEIGHT: f64 = 8.0;

/// Sums of one stratum of answers: all, or those of a route.
#[derive(Clone, Debug)]
struct StratumScores {
    /// Evidence against the version by statistic, effect and left-out group.
    against: [[[f64; GROUPS + 1]; 2]; 3],
    /// Evidence for the version by statistic and left-out group.
    support: [[f64; GROUPS + 1]; 3],
    answers: u32,
}

impl Default for StratumScores {
    fn default() -> Self {
        Self { against: [[[0.0; GROUPS + 1]; 2]; 3], support: [[0.0; GROUPS + 1]; 3], answers: 0 }
    }
}

fn log_ratio(bad: f64, all: f64, usual: f64, effect: f64) -> f64 {
    let worse = (usual + effect).min(0.98);
    bad * (worse / usual).ln() + (all - bad) * ((1.0 - worse) / (1.0 - usual)).ln()
}

impl StratumScores {
    fn open_group(&mut self, group: usize) {
        self.against.iter_mut().flatten().for_each(|scores| scores[group] = scores[NO_GROUP]);
        self.support.iter_mut().for_each(|scores| scores[group] = scores[NO_GROUP]);
    }

    /// Adds `bad` of `all` answers of a statistic, with a group left out. `usual` is the fraction that is bad at the
    /// old targets, and `bound` a cautious upper estimate of it.
    fn add(
        &mut self,
        statistic: usize,
        group: usize,
        (bad, all): (f64, f64),
        usual: f64,
        bound: f64,
    ) {
        let max_slice = STATISTICS[statistic].max_slice();
        for (index, effect) in STATISTICS[statistic].effects().into_iter().enumerate() {
            let gain = log_ratio(bad, all, bound, effect).min(max_slice);
            let score = &mut self.against[statistic][index][group];
            *score = (*score + gain).max(0.0);
        }
        let effect = STATISTICS[statistic].effects()[0];
        let loss = log_ratio(bad, all, usual, effect);
        let support = &mut self.support[statistic][group];
        *support = (*support - loss).clamp(-MAX_SUPPORT, MAX_SUPPORT);
    }

    /// Returns the evidence against the version that holds whichever group is left out, by statistic.
    fn against(&self, active: &[bool; GROUPS]) -> (f64, Statistic) {
        let by_statistic = STATISTICS.iter().enumerate().map(|(index, statistic)| {
            let by_effect = self.against[index].iter().map(|scores| least(scores, active));
            (by_effect.fold(0.0, f64::max), *statistic)
        });
        by_statistic.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, Statistic::Failures))
    }

    /// Returns the evidence for the version: the least over the statistics, with the worst group left out.
    fn support(&self, active: &[bool; GROUPS]) -> f64 {
        let by_statistic = self.support.iter().map(|scores| {
            let others = (0..GROUPS).filter(|group| active[*group]).map(|group| scores[group]);
            others.fold(scores[NO_GROUP], f64::max)
        });
        by_statistic.fold(f64::INFINITY, f64::min)
    }
}

fn least(scores: &[f64; GROUPS + 1], active: &[bool; GROUPS]) -> f64 {
    let groups = (0..GROUPS).filter(|group| active[*group]);
    // With a single target there is nothing to compare it with.
    if groups.clone().count() < 2 {
        return scores[NO_GROUP];
    }
    groups.map(|group| scores[group]).fold(f64::INFINITY, f64::min)
}

/// Evidence on a version at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionVerdict {
    /// Strongest evidence against the version, relative to its threshold; 1 or more means that it is bad.
    pub(crate) against: f64,
    /// Statistic with the strongest evidence.
    pub(crate) reason: RolloutReason,
    /// Route with the strongest evidence, `None` for all together.
    pub(crate) route: Option<usize>,
    /// Evidence for the version.
    pub(crate) support: f64,
    /// Least evidence for the version on a route with enough answers; negative if it speaks against the version.
    pub(crate) route_support: f64,
    /// Routes with too few answers for a judgement of their own.
    pub(crate) unjudged: u32,
}

/// Running comparison of the new version with the old one.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionJudge {
    overall: StratumScores,
    routes: [StratumScores; ROUTE_SLOTS],
    recent: [Baseline; 3],
    long: [Baseline; 3],
    /// Groups with answers of new targets.
    active: [bool; GROUPS],
    /// Requests to old targets: present and usual ones.
    activity: (f64, f64),
    /// Largest fraction of bad answers that the old targets had for a short time, by statistic.
    peaks: [f64; 3],
}

impl VersionJudge {
    /// Adds the answers of a slice. Slices without reports are not added.
    pub(crate) fn add(&mut self, current: &CohortSlice, next: &CohortSlice) {
        for (group, tally) in next.groups.iter().enumerate() {
            if !self.active[group] && (tally.sent > 0 || tally.ended > 0) {
                self.active[group] = true;
                // Nothing of what was summed so far came from the group.
                let strata = self.routes.iter_mut().chain([&mut self.overall]);
                strata.for_each(|scores| scores.open_group(group));
            }
        }
        for (scores, tally) in self.routes.iter_mut().zip(&next.routes) {
            scores.answers += tally.failed + tally.complete;
        }
        let (activity, usual) = &mut self.activity;
        *activity = (*activity + f64::from(current.total().sent)) * ACTIVITY_KEPT;
        *usual = (*usual * LONG_KEPT).max(*activity);
        for (index, statistic) in STATISTICS.into_iter().enumerate() {
            let has_answers = statistic.of(&current.total()).1 > 0.0;
            let kept = if has_answers { RECENT_KEPT } else { 1.0 };
            self.recent[index].add(kept, statistic, current);
            let kept = if kept < 1.0 { LONG_KEPT } else { 1.0 };
            self.long[index].add(kept, statistic, current);
            let (bad, all) = self.recent[index].sum();
            if all >= MIN_PEAK_ANSWERS {
                self.peaks[index] = self.peaks[index].max(bad / all);
            }
            self.compare(index, statistic, next);
        }
    }

    /// Returns the fraction of the old targets' answers on a route that are bad, and a cautious upper estimate.
    fn usual(&self, index: usize, route: usize) -> (f64, f64) {
        let (recent, long) = (&self.recent[index], &self.long[index]);
        let fraction = |(bad, all): (f64, f64)| (bad + 0.1) / (all + 10.0);
        // What slows all routes now also slows a route that has few answers now.
        let (activity, most) = self.activity;
        let is_stale = activity < most * STALE_FRACTION;
        let present = if is_stale { self.peaks[index] } else { fraction(recent.sum()) };
        let shift = (present - fraction(long.sum())).max(0.0);
        let weight = LONG_WEIGHT.min(long.all[route]);
        let known = (long.bad[route] / long.all[route].max(1.0)).min(1.0);
        let prior = (known + shift).min(1.0) * weight;
        let common = (fraction(long.sum()) + shift).min(1.0) * OVERALL_WEIGHT;
        let all = recent.all[route] + weight + OVERALL_WEIGHT;
        let usual = ((recent.bad[route] + prior + common) / all).clamp(0.002, 0.95);
        let error = (usual * (1.0 - usual) / all).sqrt();
        let margin = if is_stale { STATISTICS[index].stale_margin() } else { 0.0 };
        (usual, (usual + error + 0.5 / all + margin).min(0.95))
    }

    fn compare(&mut self, index: usize, statistic: Statistic, next: &CohortSlice) {
        let total = statistic.of(&next.total());
        if total.1 == 0.0 {
            return;
        }
        let mut expected = (0.0, 0.0);
        let groups = next.groups.iter().enumerate().filter(|(group, _)| self.active[*group]);
        let of_groups: Vec<_> = groups.map(|(group, tally)| (group, statistic.of(tally))).collect();
        for (route, tally) in next.routes.iter().enumerate() {
            let (bad, all) = statistic.of(tally);
            if all == 0.0 {
                continue;
            }
            let (usual, bound) = self.usual(index, route);
            expected.0 += usual * all;
            expected.1 += bound * all;
            let scores = &mut self.routes[route];
            // With few old answers on the route, the estimate itself is no reason to speak against the version.
            scores.add(index, NO_GROUP, (bad, all), bound, bound);
            for (group, (group_bad, group_all)) in of_groups.iter().copied() {
                // All bad answers of the group may have been on this route.
                let left_bad = (bad - group_bad).max(0.0);
                let left = (all * (1.0 - group_all / total.1)).max(left_bad);
                scores.add(index, group, (left_bad, left), bound, bound);
            }
        }
        let (usual, bound) = (expected.0 / total.1, expected.1 / total.1);
        self.overall.add(index, NO_GROUP, total, usual, bound);
        for (group, (bad, all)) in of_groups {
            let left = ((total.0 - bad).max(0.0), (total.1 - all).max(0.0));
            self.overall.add(index, group, left, usual, bound);
        }
    }

    /// Returns the evidence for a roll-out of a duration.
    pub(crate) fn verdict(&self, duration_seconds: f64) -> VersionVerdict {
        let threshold = BAD_THRESHOLD + (duration_seconds / REFERENCE_SECONDS).ln().max(0.0);
        let (score, statistic) = self.overall.against(&self.active);
        let support = self.overall.support(&self.active);
        let mut verdict = VersionVerdict {
            against: score / threshold,
            reason: statistic.reason(),
            route: None,
            support: if support.is_finite() { support } else { 0.0 },
            route_support: 0.0,
            unjudged: 0,
        };
        let routes = self.routes.iter().filter(|scores| scores.answers > 0).count();
        let route_threshold = threshold + (routes.max(1) as f64).ln();
        for (route, scores) in self.routes.iter().enumerate() {
            verdict.unjudged += u32::from((1..MIN_ROUTE_ANSWERS).contains(&scores.answers));
            if scores.answers >= MIN_ROUTE_ANSWERS {
                verdict.route_support = verdict.route_support.min(scores.support(&self.active));
            }
            let (score, statistic) = scores.against(&self.active);
            let against = score / route_threshold;
            if against > verdict.against {
                (verdict.against, verdict.reason) = (against, statistic.reason());
                verdict.route = Some(route);
            }
        }
        verdict
    }
}
