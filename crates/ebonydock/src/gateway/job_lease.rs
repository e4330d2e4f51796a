//! Decides when the leader of a batch job may be replaced, without I/O. Times are by the store's clock.
//!
//! A leader holds its jobs by a lease in the store: one row of its VM, renewed for all of its jobs together.
//! Which VMs hear each other decides nothing; it only tells which leases are worth reading.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::job_records::JobHead;

/// Leases of VMs that lead jobs. Each VM has its own partition and one row in it.
pub(crate) const LEASE_TABLE: &str = "vm_leases";
/// How jobs got their leaders, in the partition of the job. Rows are read only by VMs that claim the job.
pub(crate) const LEAD_TABLE: &str = "job_leads";
/// Interval at which a VM that leads jobs renews its lease.
pub(crate) const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A lease ends this long after its last renewal; one renewal may be lost.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Shortest and longest time that a job stays with a leader that took it over, unless the leader hands it on.
/// The time doubles with each takeover without a committed result in between.
const TAKEOVER_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(16));

/// Lease of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VmLease {
    /// Incarnation that renewed the lease.
    pub(crate) incarnation: u64,
    pub(crate) renewed_at: Duration,
}

/// How a job got its leader. Absent until the first claim: the VM that accepts a job leads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeadRecord {
    pub(crate) claimed_at: Duration,
    /// Results of the job that were committed before the claim.
    pub(crate) listed: u32,
    /// Takeovers since a result was last committed.
    pub(crate) takeovers: u32,
}

/// What the store says of a job's leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadState<'a> {
    pub(crate) head: &'a JobHead,
    /// Number of committed results.
    pub(crate) listed: u32,
    pub(crate) record: Option<LeadRecord>,
    /// Lease of the VM that the head names.
    pub(crate) lease: Option<VmLease>,
}

/// Why a VM claims a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimReason {
    /// The last leader has handed the job on.
    HandedOver,
    /// An earlier incarnation of the same VM led the job.
    Restarted,
    /// This incarnation has claimed the job before and does not run it, for example because the response to
    /// the claim was lost.
    Resumed,
    /// The leader's lease has ended.
    LeaseEnded,
}

impl ClaimReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::HandedOver => "handed_over",
            Self::Restarted => "restarted",
            Self::Resumed => "resumed",
            Self::LeaseEnded => "lease_ended",
        }
    }
}

/// Whether a job may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// Claim the job and write this record with the head.
    Claim(ClaimReason, LeadRecord),
    /// The leader keeps the job at least until this time.
    Wait(Duration),
}

/// Returns the end of a VM's lease, `None` if it is not held by this incarnation. A renewal far in the future was
/// written by a clock that cannot be trusted, and would otherwise hold the jobs for ever.
pub(crate) fn lease_end(
    lease: Option<VmLease>,
    incarnation: u64,
    now: Duration,
) -> Option<Duration> {
    let lease = lease.filter(|lease| lease.incarnation == incarnation)?;
    (lease.renewed_at <= now + LEASE_DURATION).then_some(lease.renewed_at + LEASE_DURATION)
}

impl LeadState<'_> {
    /// Decides whether an incarnation of the VM `vm` may claim the job now.
    pub(crate) fn decide(&self, vm: &str, incarnation: u64, now: Duration) -> ClaimDecision {
        let record = self.record.unwrap_or_default();
        let takeovers = if self.listed > record.listed { 0 } else { record.takeovers };
        let reason = if self.head.lead.is_empty() {
            ClaimReason::HandedOver
        } else if self.head.lead == vm && self.head.lead_incarnation == incarnation {
            ClaimReason::Resumed
        } else if self.head.lead == vm {
            ClaimReason::Restarted
        } else {
            ClaimReason::LeaseEnded
        };
        let claimed_at = self.record.map_or(self.head.accepted_at, |record| record.claimed_at);
        let backoff_end = claimed_at + takeover_backoff(takeovers);
        // A claim counts as a renewal, because the claimant may have had no lease before.
        let lease_end = lease_end(self.lease, self.head.lead_incarnation, now);
        let lease_end = (claimed_at + LEASE_DURATION).max(lease_end.unwrap_or_default());
        let claimable_at = match reason {
            ClaimReason::HandedOver | ClaimReason::Resumed => Duration::ZERO,
            ClaimReason::Restarted => backoff_end,
            ClaimReason::LeaseEnded => backoff_end.max(lease_end),
        };
        // No claim is protected for longer. One that is was recorded by a clock that cannot be trusted.
        let latest = now + LEASE_DURATION.max(TAKEOVER_BACKOFF.1);
        if now < claimable_at && claimable_at <= latest {
            return ClaimDecision::Wait(claimable_at);
        }
        let is_takeover = matches!(reason, ClaimReason::Restarted | ClaimReason::LeaseEnded);
        let takeovers = takeovers.saturating_add(u32::from(is_takeover));
        ClaimDecision::Claim(reason, LeadRecord { claimed_at: now, listed: self.listed, takeovers })
    }
}

/// Returns how long a leader keeps a job after this many takeovers without a committed result.
fn takeover_backoff(takeovers: u32) -> Duration {
    let Some(doublings) = takeovers.checked_sub(1) else { return Duration::ZERO };
    let factor = 2_u32.saturating_pow(doublings);
    TAKEOVER_BACKOFF.0.saturating_mul(factor).min(TAKEOVER_BACKOFF.1)
}
