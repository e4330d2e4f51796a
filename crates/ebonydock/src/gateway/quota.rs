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
const DEBT_LIMIT_S: f64 = 1.0;
/// A refused caller is not asked back sooner.
const LEAST_RETRY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct WorkspaceBucket {
    level: f64,
    updated_at: Duration,
    own_spent: u64,
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
            own_spent: 0,
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
        share: f64,
    ) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Ok(());
        }
        let bucket = self.bucket(workspace, now);
        let elapsed = now.saturating_sub(bucket.updated_at).as_secs_f64();
        bucket.updated_at = now;
        let full = (burst * share).max(1.0);
        bucket.level = (bucket.level + elapsed * rate * share).min(full);
        if bucket.level < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - bucket.level) / (rate * share));
            return Err(wait.max(LEAST_RETRY));
        }
        bucket.level -= 1.0;
        if bucket.refunded > 0 {
            bucket.refunded -= 1;
        } else {
            bucket.own_spent += 1;
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
        let reported = bucket.reported.insert(vm.clone(), (incarnation, spent.requests));
        // What a VM had spent before it was first heard is not known to be recent.
        let before = reported.filter(|(known, _)| *known == incarnation);
        let before = before.map_or(spent.requests, |(_, requests)| requests);
        let debt = -(rate * DEBT_LIMIT_S).max(1.0);
        let news = spent.requests.saturating_sub(before) as f64;
        bucket.level = (bucket.level - news).max(debt);
    }

    /// What this VM has spent since its start, for the workspaces that it spent for since a time.
    pub fn spent(&self, since: Duration) -> Vec<SpentQuota> {
        let recent = |bucket: &WorkspaceBucket| bucket.own_spent > 0 && bucket.spent_at >= since;
        let spent = self.buckets.iter().filter(|(_, bucket)| recent(bucket));
        spent
            .map(|(workspace, bucket)| SpentQuota {
                workspace: workspace.clone(),
                requests: bucket.own_spent,
            })
            .collect()
    }
}
