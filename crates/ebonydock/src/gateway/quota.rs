//! Workspace quotas enforced over all VMs.
//!
//! Each VM keeps a local token bucket for every workspace and subtracts the requests that other VMs report.
//! A bucket refills at the quota's rate times the fraction of VMs that are live as seen by this VM, so
//! the sides of a network partition together admit no more than the rate.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::SpentQuota;
use crate::ids::{VmId, WorkspaceId};

/// Maximum debt of a bucket from late reports of other VMs, in seconds of the quota's rate.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// Minimum Retry-After of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct WorkspaceBucket {
    level: f64,
    updated_at: Duration,
    local_spent: u64,
    spent_at: Duration,
    /// Refunded requests not yet offset by later ones. The reported counter must not decrease, so refunds
    /// are deducted from later spending.
    refunded: u64,
    /// Incarnation and last reported counter by VM. The counter restarts with each incarnation.
    reported: HashMap<VmId, (u64, u64)>,
}

/// Local token buckets of all workspaces.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    buckets: HashMap<WorkspaceId, WorkspaceBucket>,
}

impl QuotaLedger {
    fn bucket(&mut self, workspace: &WorkspaceId, now: Duration) -> &mut WorkspaceBucket {
        // Starts empty, because the previous incarnation of the VM may have spent the burst.
        self.buckets.entry(workspace.clone()).or_insert_with(|| WorkspaceBucket {
            level: 0.0,
            updated_at: now,
            local_spent: 0,
            spent_at: Duration::ZERO,
            refunded: 0,
            reported: HashMap::new(),
        })
    }

    /// Creates a workspace's bucket when its configuration becomes active, so that the bucket fills before
    /// the first request.
    pub fn track(&mut self, now: Duration, workspace: &WorkspaceId) {
        self.bucket(workspace, now);
    }

    /// Acquires one token of a workspace's bucket. `rate` is in requests per second over all VMs, 0 means
    /// no limit; `live_fraction` is the fraction of all VMs that are live, including this one.
    ///
    /// # Errors
    ///
    /// Returns the time until a token will be available if the bucket is empty.
    pub fn admit(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        rate: f64,
        burst: f64,
        live_fraction: f64,
    ) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Ok(());
        }
        let bucket = self.bucket(workspace, now);
        let elapsed = now.saturating_sub(bucket.updated_at).as_secs_f64();
        bucket.updated_at = now;
        let capacity = (burst * live_fraction).max(1.0);
        bucket.level = (bucket.level + elapsed * rate * live_fraction).min(capacity);
        if bucket.level < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - bucket.level) / (rate * live_fraction));
            return Err(wait.max(MIN_RETRY_AFTER));
        }
        bucket.level -= 1.0;
        if bucket.refunded > 0 {
            bucket.refunded -= 1;
        } else {
            bucket.local_spent += 1;
            bucket.spent_at = now;
        }
        Ok(())
    }

    /// Refunds a request that no target ran.
    pub fn refund(&mut self, now: Duration, workspace: &WorkspaceId) {
        let bucket = self.bucket(workspace, now);
        bucket.level += 1.0;
        bucket.refunded += 1;
    }

    /// Applies the reported spending of another VM's incarnation.
    pub fn observe(
        &mut self,
        now: Duration,
        (vm, incarnation): (&VmId, u64),
        spent: &SpentQuota,
        rate: f64,
    ) {
        let bucket = self.bucket(&spent.workspace, now);
        let last_report = bucket.reported.insert(vm.clone(), (incarnation, spent.requests));
        // Spending before the first report of an incarnation may not be recent and isn't subtracted.
        let previous = last_report.filter(|(known, _)| *known == incarnation);
        let previous = previous.map_or(spent.requests, |(_, requests)| requests);
        let debt = -(rate * MAX_DEBT_SECONDS).max(1.0);
        let newly_spent = spent.requests.saturating_sub(previous) as f64;
        bucket.level = (bucket.level - newly_spent).max(debt);
    }

    /// Returns this VM's counters of the workspaces that it admitted requests for at or after `since`.
    pub fn spent(&self, since: Duration) -> Vec<SpentQuota> {
        let recent = |bucket: &WorkspaceBucket| bucket.local_spent > 0 && bucket.spent_at >= since;
        let spent = self.buckets.iter().filter(|(_, bucket)| recent(bucket));
        spent
            .map(|(workspace, bucket)| SpentQuota {
                workspace: workspace.clone(),
                requests: bucket.local_spent,
            })
            .collect()
    }
}
