//! Decides which jobs a VM tries to claim, without I/O. Times are by the monotonic clock unless they are said to
//! be by the store's clock.
//!
//! Whether a VM is heard only decides which leases are worth reading. Whether a leader may be replaced is
//! decided by [`job_lease`](crate::gateway::job_lease).

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::job_lease::{VmLease, lease_end};
use crate::gateway::job_records::{JobHead, JobName};
use crate::ids::VmId;

/// An ended lease is read again after this time, since its VM may have renewed it.
const MAX_LEASE_AGE: Duration = Duration::from_millis(500);
/// The lease of a leader is read when its last report expired this long ago.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);

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
    /// Lease and time of the read, by VM.
    read: HashMap<VmId, (Option<VmLease>, Duration)>,
}

impl LeaseCache {
    /// Records the lease that was read at `now`.
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
    /// Incarnations of silent leaders, and when they were first seen silent.
    silent_leaders: HashMap<JobName, (u64, Duration)>,
    /// Incarnations of leaders, and times before which jobs are not claimed from them.
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

    /// Claims a job from the leader that its head names not before `at`.
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
