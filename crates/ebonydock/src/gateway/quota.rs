//! Quotas of workspaces over all VMs.
//!
//! Each VM keeps its own copy of every workspace's bucket and takes the spending that other VMs report
//! out of it. A copy refills at the part of the rate that the VMs stand for from which this VM hears, so
//! the two sides of a network partition together admit no more than the whole rate.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::SpentQuota;
use crate::ids::{VmId, WorkspaceId};

/// Debt from late reports of other VMs is remembered up to this much of the burst and rate.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// A refused caller is not asked back sooner.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct WorkspaceBucket {
    level: f64,
    updated_at: Duration,
    local_spent: u64,
    spent_at: Duration,
    /// Requests given back that no later spending has made up for: what is reported never goes back.
    refunded: u64,
    /// By VM its incarnation, with which its counter starts anew, and what it last said.
    reported: HashMap<VmId, (u64, u64)>,
}

/// The buckets of all workspaces, as one VM knows them.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    buckets: HashMap<WorkspaceId, WorkspaceBucket>,
}

impl QuotaLedger {
    fn bucket(&mut self, workspace: &WorkspaceId, now: Duration) -> &mut WorkspaceBucket {
        // Starts empty: whoever ran before this start may have spent the burst.
        self.buckets.entry(workspace.clone()).or_insert_with(|| WorkspaceBucket {
            level: 0.0,
            updated_at: now,
            local_spent: 0,
            spent_at: Duration::ZERO,
            refunded: 0,
            reported: HashMap::new(),
        })
    }

    /// Starts a workspace's bucket when its configuration comes into force, so that the bucket fills
    /// before the first request.
    pub fn track(&mut self, now: Duration, workspace: &WorkspaceId) {
        self.bucket(workspace, now);
    }

    /// Takes one request out of a workspace's bucket. `share` is the part of all VMs that this one
    /// hears from, itself included.
    ///
    /// # Errors
    ///
    /// When a request will fit.
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

    /// Gives back a request that no target ran.
    pub fn refund(&mut self, now: Duration, workspace: &WorkspaceId) {
        let bucket = self.bucket(workspace, now);
        bucket.level += 1.0;
        bucket.refunded += 1;
    }

    /// Takes what a VM with an incarnation says that it has spent since its start.
    pub fn observe(
        &mut self,
        now: Duration,
        (vm, incarnation): (&VmId, u64),
        spent: &SpentQuota,
        rate: f64,
    ) {
        let bucket = self.bucket(&spent.workspace, now);
        let last_report = bucket.reported.insert(vm.clone(), (incarnation, spent.requests));
        // What a VM had spent before it was first heard is not known to be recent.
        let previous = last_report.filter(|(known, _)| *known == incarnation);
        let previous = previous.map_or(spent.requests, |(_, requests)| requests);
        let debt = -(rate * MAX_DEBT_SECONDS).max(1.0);
        let newly_spent = spent.requests.saturating_sub(previous) as f64;
        bucket.level = (bucket.level - newly_spent).max(debt);
    }

    /// What this VM has spent since its start, for the workspaces that it spent for since a time.
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
