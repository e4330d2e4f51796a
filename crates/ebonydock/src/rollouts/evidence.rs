//! Outcomes of the requests of one VM at old and new targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;
use crate::rollouts::shares::ShareTable;
use crate::rollouts::versions::TargetCohort;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStage {
    /// Sent to the target.
    Sent,
    /// The answer has begun, this long after the request was sent.
    Began(Duration),
    /// The request has ended.
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
    /// Counts by group of targets.
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

/// Evidence of this VM on a roll-out.
#[derive(Debug)]
pub struct VersionEvidence {
    report: RolloutReport,
}

impl VersionEvidence {
    /// Opens the evidence on an order.
    pub fn open(service: &ServiceName, revision: u64) -> Self {
        let service = crate::placement::load::service_hash(service);
        Self { report: RolloutReport { service, revision, ..RolloutReport::default() } }
    }

    /// Records that a request has reached a stage. `shares` tell which answers are slow.
    pub fn record(&mut self, sample: &AnswerSample, shares: &ShareTable) {
        todo!("{sample:?} {shares:?}")
    }

    /// Returns the report to other VMs.
    pub fn report(&self) -> RolloutReport {
        self.report.clone()
    }
}
