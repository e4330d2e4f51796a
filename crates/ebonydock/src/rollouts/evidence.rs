//! Outcomes of the requests of one VM at old and new targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;
use crate::placement::load::service_hash;
use crate::rollouts::shares::{MAX_LISTED_ROUTES, OTHER_ROUTES, ShareTable, SlowLimits};
use crate::rollouts::versions::TargetCohort;

/// Groups of new targets by their hash. Leaving out a group leaves out a single bad target in any case; two of three
/// canary targets share a group in 1 of 8 roll-outs. With 12 groups these were 1 of 4, and the evidence that was left
/// then was too weak for rare routes.
pub(crate) const TARGET_GROUPS: u8 = 24;
/// Buckets of a histogram of times.
pub(crate) const TIME_BUCKETS: u8 = 32;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStage {
    /// Sent to the target.
    Sent,
    /// The answer has begun, this long after the request was sent.
    Began(Duration),
    /// The request was cancelled by the caller or the gateway this long after it was sent, and its answer had not
    /// begun.
    Abandoned(Duration),
    /// The request has ended otherwise.
    Ended {
        /// Whether the target failed: a status of 500 or more, a broken answer, a reset or a time-out. Requests
        /// that the caller or the gateway cancelled have not failed.
        failed: bool,
        /// Mean time between the events of the answer; the time from the first byte to the end if it has a single
        /// event. `None` if the answer is incomplete.
        pace: Option<Duration>,
    },
}

/// Stage that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Cohort of the target. Samples of `Withheld` are ignored.
    pub cohort: TargetCohort,
    /// Hash of the request's route.
    pub route: u32,
    /// Hash of the target.
    pub target: u32,
    /// Stage.
    pub stage: AnswerStage,
}

/// Counts of answers, cumulative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerTally {
    /// Requests sent.
    pub sent: u32,
    /// Requests that have ended.
    pub ended: u32,
    /// Failed ones among them.
    pub failed: u32,
    /// Complete answers among them.
    pub complete: u32,
    /// Answers that have begun while the limit for slow ones was known.
    pub began: u32,
    /// Slow ones among them.
    pub slow_first: u32,
    /// Complete answers, while the limit for slow ones was known.
    pub paced: u32,
    /// Slow ones among them.
    pub slow_pace: u32,
}

/// Counts of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Hash of the route; 0 stands for all routes that are not listed.
    pub route: u32,
    /// Counts.
    pub tally: AnswerTally,
    /// Numbers of answers by bucket of the time to the first event; empty buckets are absent. Old targets only.
    pub first: Vec<(u8, u32)>,
    /// The same by the time between events, or to the end.
    pub pace: Vec<(u8, u32)>,
}

/// Counts of the targets of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupTally {
    /// Number of the group, by the hash of the target.
    pub group: u8,
    /// Counts.
    pub tally: AnswerTally,
}

/// Counts of a cohort. The sums over the routes and over the groups are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CohortEvidence {
    /// Counts by route.
    pub routes: Vec<RouteTally>,
    /// Counts by group of targets; old targets are all in group 0.
    pub groups: Vec<GroupTally>,
}

/// Evidence of one VM on a roll-out, cumulative over the VM's incarnation and the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Revision of the order.
    pub revision: u64,
    /// Old targets.
    pub current: CohortEvidence,
    /// New targets.
    pub next: CohortEvidence,
}

impl AnswerTally {
    /// Returns the counts added since `previous`.
    pub(crate) fn since(&self, previous: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(previous.sent),
            ended: self.ended.saturating_sub(previous.ended),
            failed: self.failed.saturating_sub(previous.failed),
            complete: self.complete.saturating_sub(previous.complete),
            began: self.began.saturating_sub(previous.began),
            slow_first: self.slow_first.saturating_sub(previous.slow_first),
            paced: self.paced.saturating_sub(previous.paced),
            slow_pace: self.slow_pace.saturating_sub(previous.slow_pace),
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.ended += other.ended;
        self.failed += other.failed;
        self.complete += other.complete;
        self.began += other.began;
        self.slow_first += other.slow_first;
        self.paced += other.paced;
        self.slow_pace += other.slow_pace;
    }

    fn record(&mut self, stage: AnswerStage, limits: SlowLimits) {
        let is_slow = |limit: u8, time: Duration| u32::from(time_bucket(time) >= limit);
        let knows_first = limits.first != u8::MAX;
        let knows_pace = limits.pace != u8::MAX;
        match stage {
            AnswerStage::Sent => self.sent += 1,
            AnswerStage::Began(time) if knows_first => {
                self.began += 1;
                self.slow_first += is_slow(limits.first, time);
            }
            AnswerStage::Began(_) => {}
            AnswerStage::Abandoned(time) => {
                self.ended += 1;
                // A shorter wait says nothing of the time that the answer would have taken.
                if knows_first && time_bucket(time) >= limits.first {
                    self.began += 1;
                    self.slow_first += 1;
                }
            }
            AnswerStage::Ended { failed, pace } => {
                self.ended += 1;
                self.failed += u32::from(failed);
                self.complete += u32::from(!failed && pace.is_some());
                if let Some(pace) = pace.filter(|_| !failed && knows_pace) {
                    self.paced += 1;
                    self.slow_pace += is_slow(limits.pace, pace);
                }
            }
        }
    }
}

/// Returns the histogram bucket of a time. The bounds of the buckets are 1 ms and its multiples by powers of the
/// square root of 2, up to 46 s: with powers of 2, 2.5 times slower answers could fall into the next bucket like
/// answers that are 1.1 times slower.
pub(crate) fn time_bucket(time: Duration) -> u8 {
    let millis = (time.as_secs_f64() * 1000.0).max(1.0);
    (2.0 * millis.log2()).min(f64::from(TIME_BUCKETS - 1)) as u8
}

fn count_time(histogram: &mut Vec<(u8, u32)>, time: Duration) {
    let bucket = time_bucket(time);
    match histogram.binary_search_by_key(&bucket, |(bucket, _)| *bucket) {
        Ok(index) => histogram[index].1 += 1,
        Err(index) => histogram.insert(index, (bucket, 1)),
    }
}

impl CohortEvidence {
    fn group(&mut self, group: u8) -> &mut GroupTally {
        let index = self.groups.iter().position(|known| known.group == group);
        let index = index.unwrap_or_else(|| {
            self.groups.push(GroupTally { group, ..GroupTally::default() });
            self.groups.len() - 1
        });
        &mut self.groups[index]
    }

    fn route(&mut self, route: u32) -> &mut RouteTally {
        let index = self.routes.iter().position(|known| known.route == route);
        let index = index.unwrap_or_else(|| {
            self.routes.push(RouteTally { route, ..RouteTally::default() });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }
}

/// Evidence of this VM on a roll-out.
#[derive(Debug)]
pub struct VersionEvidence {
    report: RolloutReport,
    /// Routes that are reported by themselves.
    routes: Vec<u32>,
}

impl VersionEvidence {
    /// Opens the evidence on an order.
    pub fn open(service: &ServiceName, revision: u64) -> Self {
        let service = service_hash(service);
        let report = RolloutReport { service, revision, ..RolloutReport::default() };
        Self { report, routes: Vec::new() }
    }

    /// Records that a request has reached a stage. `shares` tell which answers are slow.
    pub fn record(&mut self, sample: &AnswerSample, shares: &ShareTable) {
        let cohort = match sample.cohort {
            TargetCohort::Current => &mut self.report.current,
            TargetCohort::Next => &mut self.report.next,
            TargetCohort::Withheld => return,
        };
        let is_listed = self.routes.contains(&sample.route);
        if !is_listed && self.routes.len() < MAX_LISTED_ROUTES {
            self.routes.push(sample.route);
        }
        let route = if self.routes.contains(&sample.route) { sample.route } else { OTHER_ROUTES };
        let limits = shares.slow_limits(sample.route);
        // A single old target hardly changes the comparison, so that their groups need not be told apart.
        let is_next = sample.cohort == TargetCohort::Next;
        let group = if is_next { (sample.target % u32::from(TARGET_GROUPS)) as u8 } else { 0 };
        cohort.group(group).tally.record(sample.stage, limits);
        let route = cohort.route(route);
        route.tally.record(sample.stage, limits);
        if sample.cohort == TargetCohort::Current {
            match sample.stage {
                AnswerStage::Began(time) => count_time(&mut route.first, time),
                AnswerStage::Ended { failed: false, pace: Some(pace) } => {
                    count_time(&mut route.pace, pace);
                }
                _ => {}
            }
        }
    }

    /// Returns the report to other VMs.
    pub fn report(&self) -> RolloutReport {
        self.report.clone()
    }
}
