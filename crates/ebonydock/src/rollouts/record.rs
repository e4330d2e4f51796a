//! Stored state of a roll-out: progress, evidence, verdict and the lease of the leader. Times are by the store's
//! clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, ServiceName, VersionName, VmId};
use crate::rollouts::order::RolloutOrder;
use crate::rollouts::shares::ShareTable;

/// Phase of a roll-out. A later phase never returns to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// There are no targets of the new version yet, or no answers of the old one to compare with.
    Waiting,
    /// The new version gets a small share.
    Canary,
    /// The share grows to all requests in a few steps.
    Shifting,
    /// The old targets get no new requests and finish what they run.
    Draining,
    /// The new version has taken over.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the name of the phase in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Canary => "canary",
            Self::Shifting => "shifting",
            Self::Draining => "draining",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Why the last step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutReason {
    /// The order was accepted.
    Ordered,
    /// The new version has targets and there are answers to compare with.
    Ready,
    /// The requests by route have changed, or the number of targets.
    Redistributed,
    /// The evidence is clear and the planned time has come.
    Planned,
    /// The evidence is not complete, speaks for the version, and there is no more time to wait.
    Overdue,
    /// The old targets run nothing, or there is no more time to wait for them.
    Drained,
    /// More answers fail than at the old targets.
    Failures,
    /// Answers begin later than at the old targets.
    SlowFirstEvents,
    /// Answers proceed more slowly than at the old targets.
    SlowPace,
    /// Requests are not answered.
    Stalled,
    /// The deadline has passed without enough evidence for the version.
    Undecided,
    /// There were no targets of the version until the deadline.
    NoTargets,
    /// Another order has replaced this one.
    Superseded,
    /// The order was deleted.
    Withdrawn,
}

impl RolloutReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Ready => "ready",
            Self::Redistributed => "redistributed",
            Self::Planned => "planned",
            Self::Overdue => "overdue",
            Self::Drained => "drained",
            Self::Failures => "failures",
            Self::SlowFirstEvents => "slow_first_events",
            Self::SlowPace => "slow_pace",
            Self::Stalled => "stalled",
            Self::Undecided => "undecided",
            Self::NoTargets => "no_targets",
            Self::Superseded => "superseded",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Evidence at the time of a step, for logs and for a leader that takes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// Requests sent to the old and the new targets since the order.
    pub sent: [u64; 2],
    /// Answers of the old and the new targets since the order.
    pub answers: [u64; 2],
    /// Failed ones among them.
    pub failures: [u64; 2],
    /// Strongest evidence that the version is bad, as a natural logarithm of the odds.
    pub against: f64,
    /// Evidence that the version is good, as a natural logarithm of the odds.
    pub support: f64,
    /// Hash of the route with the strongest evidence that the version is bad; 0 for all routes together.
    pub worst_route: u32,
    /// Routes with too few answers for a judgement of their own.
    pub unjudged_routes: u32,
}

/// VM that leads a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutLeader {
    /// VM.
    pub vm: VmId,
    /// Incarnation of the VM.
    pub incarnation: u64,
}

/// Stored state of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Service.
    pub service: ServiceName,
    /// Revision of the order.
    pub revision: u64,
    /// Version that served the service when the order was accepted.
    pub from: VersionName,
    /// New version.
    pub to: VersionName,
    /// When the order was accepted.
    pub started_at: Duration,
    /// When the order ends.
    pub deadline: Duration,
    /// Phase.
    pub phase: RolloutPhase,
    /// Shares of the new version.
    pub shares: ShareTable,
    /// Number of the step; increases with each change of the phase or the shares.
    pub step: u32,
    /// Why the last step was taken.
    pub reason: RolloutReason,
    /// Evidence at the last write.
    pub evidence: EvidenceSummary,
    /// Leader.
    pub leader: RolloutLeader,
    /// Increases with each leader.
    pub epoch: Epoch,
    /// When the leader last renewed its lease.
    pub renewed_at: Duration,
    /// Versions that were rolled back, the newest last.
    pub rejected: Vec<VersionName>,
}

/// The leader keeps the roll-out at least until this time by the store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimWait(pub Duration);

impl RolloutRecord {
    /// Opens the record of an accepted order. `from` is the current version. `previous` is the stored record of
    /// the service, whose roll-out must have ended.
    pub fn open(
        order: &RolloutOrder,
        from: VersionName,
        previous: Option<&Self>,
        store_now: Duration,
        leader: RolloutLeader,
    ) -> Self {
        Self {
            service: order.service.clone(),
            revision: order.revision,
            from,
            to: order.to.clone(),
            started_at: store_now,
            deadline: store_now + order.duration,
            phase: RolloutPhase::Waiting,
            shares: ShareTable::default(),
            step: 0,
            reason: RolloutReason::Ordered,
            evidence: EvidenceSummary::default(),
            leader,
            epoch: Epoch(previous.map_or(1, |previous| previous.epoch.0 + 1)),
            renewed_at: store_now,
            rejected: previous.map(|previous| previous.rejected.clone()).unwrap_or_default(),
        }
    }

    /// Returns the version that serves the service.
    pub fn current_version(&self) -> &VersionName {
        if self.phase == RolloutPhase::Completed { &self.to } else { &self.from }
    }

    /// Returns whether an order differs from the one of this record, so that it ends the running roll-out. The
    /// same order written again does not while the roll-out runs.
    pub fn is_replaced_by(&self, order: &RolloutOrder) -> bool {
        todo!("{order:?}")
    }

    /// Returns the record with `leader` as the new leader.
    ///
    /// # Errors
    ///
    /// Returns how long the lease of the present leader holds.
    pub fn claim(&self, store_now: Duration, leader: &RolloutLeader) -> Result<Self, ClaimWait> {
        todo!("{store_now:?} {leader:?}")
    }

    /// Returns the record with a renewed lease and newer evidence.
    #[must_use]
    pub fn renew(&self, store_now: Duration, evidence: EvidenceSummary) -> Self {
        todo!("{store_now:?} {evidence:?}")
    }

    /// Returns the record after a step; `None` if the step would go back, or the roll-out has ended.
    pub fn advance(
        &self,
        phase: RolloutPhase,
        shares: ShareTable,
        reason: RolloutReason,
        evidence: EvidenceSummary,
    ) -> Option<Self> {
        todo!("{phase:?} {shares:?} {reason:?} {evidence:?}")
    }

    /// Returns the record of a roll-out that ends because its order was replaced or deleted.
    pub fn stop(&self, reason: RolloutReason) -> Option<Self> {
        self.advance(RolloutPhase::RolledBack, ShareTable::default(), reason, self.evidence)
    }
}

/// Returns how long a VM waits after the end of a lease before it claims the roll-out. `vms` are the live VMs
/// including `vm`; their delays are spread so that usually one attempt is made.
pub fn claim_delay(revision: u64, epoch: Epoch, vm: &VmId, vms: &[VmId]) -> Duration {
    todo!("{revision} {epoch:?} {vm} {vms:?}")
}
