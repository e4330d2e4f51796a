//! Decides when the leader of a batch job may be replaced, without I/O. Times are by the store's clock unless
//! they are said to be by the monotonic clock.
//!
//! A leader holds its jobs by a lease in the store: one row of its VM, renewed for all of its jobs together.
//! Which VMs hear each other decides nothing; it only tells which leases are worth reading.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::job_records::{JobHead, JobName};
use crate::ids::VmId;

/// Leases of VMs that lead jobs. Each VM has its own partition and one row in it.
pub(crate) const LEASE_TABLE: &str = "vm_leases";
/// How jobs got their leaders, in the partition of the job. Rows are read only by VMs that claim the job.
pub(crate) const LEAD_TABLE: &str = "job_leads";
/// Interval at which a VM that leads jobs renews its lease.
pub(crate) const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A lease ends this long after its last renewal; one renewal may be lost.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// An ended lease is read again after this time, since its VM may have renewed it.
const MAX_LEASE_AGE: Duration = Duration::from_millis(500);
/// The lease of a leader is read when its last report expired this long ago.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);
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
fn lease_end(lease: Option<VmLease>, incarnation: u64, now: Duration) -> Option<Duration> {
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

/// What is known of the lease of a job's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseStatus {
    /// The leader holds its lease.
    Held,
    /// The leader had no valid lease when it was last read.
    Ended,
    /// The lease has to be read first.
    Unknown,
}

/// The leases of other VMs as they were last read.
#[derive(Debug, Default)]
pub(crate) struct LeaseCache {
    /// Lease and time of the read by the monotonic clock, by VM.
    read: HashMap<VmId, (Option<VmLease>, Duration)>,
}

impl LeaseCache {
    /// Records the lease that was read at `now` by the monotonic clock.
    pub(crate) fn record(&mut self, vm: VmId, lease: Option<VmLease>, now: Duration) {
        self.read.insert(vm, (lease, now));
    }

    /// Returns the lease of a VM as it was last read.
    pub(crate) fn last_read(&self, vm: &VmId) -> Option<VmLease> {
        self.read.get(vm).and_then(|(lease, _)| *lease)
    }

    fn status(&self, vm: &VmId, incarnation: u64, clock: LeadClock) -> LeaseStatus {
        let Some((lease, read_at)) = self.read.get(vm) else { return LeaseStatus::Unknown };
        if lease_end(*lease, incarnation, clock.store).is_some_and(|end| clock.store < end) {
            LeaseStatus::Held
        } else if clock.monotonic < *read_at + MAX_LEASE_AGE {
            LeaseStatus::Ended
        } else {
            LeaseStatus::Unknown
        }
    }
}

/// The current time by both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadClock {
    pub(crate) store: Duration,
    pub(crate) monotonic: Duration,
}

/// What a VM does about a job that it does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeadStep {
    /// Leave the job with its leader or to another VM.
    Leave,
    /// Read the lease of this VM, which leads the job and is silent.
    ReadLease(VmId),
    /// Claim the job if [`LeadState::decide`] agrees.
    Claim,
}

/// Decides which jobs a VM tries to claim.
#[derive(Debug)]
pub(crate) struct ClaimPlanner {
    vm: VmId,
    pub(crate) leases: LeaseCache,
    /// Incarnations of silent leaders, and when they were first seen silent, by the monotonic clock.
    silent_leaders: HashMap<JobName, (u64, Duration)>,
    /// Incarnations of leaders, and times before which jobs are not claimed from them, by the monotonic clock.
    claim_after: HashMap<JobName, (u64, Duration)>,
}

impl ClaimPlanner {
    /// Opens the planner of a VM.
    pub(crate) fn open(vm: &VmId) -> Self {
        Self {
            vm: vm.clone(),
            leases: LeaseCache::default(),
            silent_leaders: HashMap::default(),
            claim_after: HashMap::default(),
        }
    }

    /// Forgets jobs that are not open any more.
    pub(crate) fn retain(&mut self, open: &[JobName]) {
        self.silent_leaders.retain(|job, _| open.contains(job));
        self.claim_after.retain(|job, _| open.contains(job));
    }

    /// Claims a job from the leader that its head names not before `at` by the monotonic clock.
    pub(crate) fn defer(&mut self, job: &JobName, head: &JobHead, at: Duration) {
        self.claim_after.insert(job.clone(), (head.lead_incarnation, at));
    }

    /// Returns how long the leader of a job has been silent.
    pub(crate) fn silent_for(&self, job: &JobName, now: Duration) -> Duration {
        let silent = self.silent_leaders.get(job);
        silent.map_or(Duration::ZERO, |(_, since)| now.saturating_sub(*since))
    }

    /// Returns whether a job waits for a later claim. It does not once it has changed hands.
    fn is_deferred(&self, job: &JobName, head: &JobHead, now: Duration) -> bool {
        let deferral = self.claim_after.get(job);
        deferral.is_some_and(|(leader, at)| *leader == head.lead_incarnation && now < *at)
    }

    /// Returns what the VM does about an open job that it does not run. It claims a job that the head gives to it or
    /// to an earlier incarnation of it, and one without a leader if it is the job's owner.
    ///
    /// `is_reporting` is whether the leader is published and its reports arrive. `is_owner` returns whether the
    /// VM is the job's owner among the VMs whose reports arrive, which takes a hash for each of them.
    pub(crate) fn step(
        &mut self,
        job: &JobName,
        head: &JobHead,
        is_reporting: bool,
        is_owner: impl FnOnce() -> bool,
        clock: LeadClock,
    ) -> LeadStep {
        if self.is_deferred(job, head, clock.monotonic) {
            return LeadStep::Leave;
        }
        // Its own jobs, also those of an earlier incarnation, which has ended.
        if head.lead == self.vm.as_str() {
            return LeadStep::Claim;
        }
        let is_silent = !head.lead.is_empty();
        if is_silent {
            if is_reporting {
                self.silent_leaders.remove(job);
                return LeadStep::Leave;
            }
            let first_seen = (head.lead_incarnation, clock.monotonic);
            let since = self.silent_leaders.entry(job.clone()).or_insert(first_seen);
            if since.0 != head.lead_incarnation {
                *since = first_seen;
            }
            if clock.monotonic < since.1 + LEADER_TIMEOUT {
                return LeadStep::Leave;
            }
        }
        if !is_owner() {
            return LeadStep::Leave;
        }
        if !is_silent {
            return LeadStep::Claim;
        }
        let leader = VmId::from(head.lead.as_str());
        match self.leases.status(&leader, head.lead_incarnation, clock) {
            LeaseStatus::Held => LeadStep::Leave,
            LeaseStatus::Ended => LeadStep::Claim,
            LeaseStatus::Unknown => LeadStep::ReadLease(leader),
        }
    }
}
