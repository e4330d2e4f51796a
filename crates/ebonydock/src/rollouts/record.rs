//! Stored state of a roll-out: progress, evidence, verdict and the lease of the leader. Times are by the store's
//! clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, ServiceName, VersionName, VmId};
use crate::ownership::ranked;
use crate::rollouts::order::RolloutOrder;
use crate::rollouts::shares::ShareTable;

/// Interval at which the leader renews its lease.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A lease ends this long after its last renewal; one renewal may be lost.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Difference between the claims of two contenders; a claim is stored and seen by the others in this time.
const CLAIM_SPACING: Duration = Duration::from_millis(100);
/// Longest delay of a claim, so that a takeover does not take long if the first contenders cannot reach the store.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Rejected versions that are remembered; a row has room for many more.
const MAX_REJECTED: usize = 32;

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
    /// When the canary phase began; before that, when the order was accepted.
    pub ready_at: Duration,
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
    /// the service; if its roll-out still runs, the order ends it and its version is rejected.
    pub fn open(
        order: &RolloutOrder,
        from: VersionName,
        previous: Option<&Self>,
        store_now: Duration,
        leader: RolloutLeader,
    ) -> Self {
        let stopped = previous.and_then(|previous| previous.stop(RolloutReason::Superseded));
        let previous = stopped.as_ref().or(previous);
        Self {
            service: order.service.clone(),
            revision: order.revision,
            from,
            to: order.to.clone(),
            started_at: store_now,
            ready_at: store_now,
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

    /// Returns whether an order starts a roll-out of its own. The same order written again does not, nor does an
    /// order for a version that was found bad or has taken over in the last roll-out.
    pub fn is_replaced_by(&self, order: &RolloutOrder) -> bool {
        // Without a verdict on the version, an order after the end is a new attempt.
        let has_no_verdict = matches!(
            self.reason,
            RolloutReason::Undecided
                | RolloutReason::NoTargets
                | RolloutReason::Superseded
                | RolloutReason::Withdrawn
        );
        let is_retried = self.phase == RolloutPhase::RolledBack && has_no_verdict;
        order.revision > self.revision && (order.to != self.to || is_retried)
    }

    /// Returns the record with `leader` as the new leader.
    ///
    /// # Errors
    ///
    /// Returns how long the lease of the present leader holds; for ever if the roll-out has ended.
    pub fn claim(&self, store_now: Duration, leader: &RolloutLeader) -> Result<Self, ClaimWait> {
        if self.phase.is_final() {
            return Err(ClaimWait(Duration::MAX));
        }
        let lease_end = self.renewed_at + LEASE_DURATION;
        // A renewal far in the future was written by a clock that cannot be trusted.
        let is_trusted = self.renewed_at <= store_now + LEASE_DURATION;
        if self.leader.vm != leader.vm && is_trusted && store_now < lease_end {
            return Err(ClaimWait(lease_end));
        }
        Ok(Self {
            leader: leader.clone(),
            epoch: Epoch(self.epoch.0 + 1),
            renewed_at: store_now,
            ..self.clone()
        })
    }

    /// Returns the record with a renewed lease and newer evidence.
    #[must_use]
    pub fn renew(&self, store_now: Duration, evidence: EvidenceSummary) -> Self {
        Self { renewed_at: store_now, evidence, ..self.clone() }
    }

    /// Returns the record after a step; `None` if the step would go back, or the roll-out has ended.
    pub fn advance(
        &self,
        phase: RolloutPhase,
        shares: ShareTable,
        reason: RolloutReason,
        evidence: EvidenceSummary,
    ) -> Option<Self> {
        if self.phase.is_final() || phase < self.phase {
            return None;
        }
        let mut rejected = self.rejected.clone();
        if phase.is_final() {
            rejected.retain(|version| *version != self.to);
        }
        if phase == RolloutPhase::RolledBack {
            rejected.push(self.to.clone());
            rejected.drain(..rejected.len().saturating_sub(MAX_REJECTED));
        }
        let step = self.step + 1;
        Some(Self { phase, shares, step, reason, evidence, rejected, ..self.clone() })
    }

    /// Returns the record of a roll-out that ends because its order was replaced or deleted.
    pub fn stop(&self, reason: RolloutReason) -> Option<Self> {
        self.advance(RolloutPhase::RolledBack, ShareTable::default(), reason, self.evidence)
    }
}

/// Returns how long a VM waits after the end of a lease before it claims the roll-out. `vms` are the live VMs
/// including `vm`; their delays are spread so that usually one attempt is made.
pub fn claim_delay(revision: u64, epoch: Epoch, vm: &VmId, vms: &[VmId]) -> Duration {
    let ranked = ranked(&format!("{revision}/{}", epoch.0), vms);
    let rank = ranked.iter().position(|candidate| *candidate == vm).unwrap_or(ranked.len());
    CLAIM_SPACING.saturating_mul(rank as u32).min(MAX_CLAIM_DELAY)
}
