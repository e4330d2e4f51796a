//! Leases granted on the targets of a pool.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::ids::{LeaseId, TargetId, VmId};
use crate::scheduling::RequestClass;
use crate::scheduling::messages::RequestDemand;

/// A holder's listing may lack a lease younger than this, because the grant may still have been
/// under way when the listing was sent.
const LISTING_GRACE: Duration = Duration::from_secs(2);

/// Lease that was granted and not yet returned.
#[derive(Debug)]
pub(crate) struct LeaseRecord {
    /// The target that the lease is on.
    pub(crate) target: TargetId,
    /// The VM that holds it.
    pub(crate) holder: VmId,
    /// Demand of the request that the lease was granted for.
    pub(crate) demand: RequestDemand,
    /// Time of the grant.
    pub(crate) granted_at: Duration,
    /// Service charged to the workspace for the lease.
    pub(crate) charged: f64,
    /// Whether the holder was asked to return the lease.
    pub(crate) revoked: bool,
    /// Incarnation of the target that the response is known to come from; 0 if not reported.
    pub(crate) confirmed_incarnation: u64,
}

impl LeaseRecord {
    /// Returns the record of a lease that was just granted or adopted.
    pub(crate) fn open(
        target: &TargetId,
        holder: VmId,
        demand: RequestDemand,
        granted_at: Duration,
        charged: f64,
    ) -> Self {
        let target = target.clone();
        Self {
            target,
            holder,
            demand,
            granted_at,
            charged,
            revoked: false,
            confirmed_incarnation: 0,
        }
    }
}

/// Granted leases of a pool, by id.
#[derive(Debug)]
pub(crate) struct LeaseTable {
    leases: HashMap<LeaseId, LeaseRecord>,
    batch: BTreeSet<LeaseId>,
    outstanding_revocations: usize,
    next_id: u64,
}

impl LeaseTable {
    /// Returns an empty table whose ids start at `first_id`.
    pub(crate) fn open(first_id: u64) -> Self {
        Self {
            leases: HashMap::new(),
            batch: BTreeSet::new(),
            outstanding_revocations: 0,
            next_id: first_id,
        }
    }

    /// Returns an unused id.
    pub(crate) fn next_id(&mut self) -> LeaseId {
        let id = LeaseId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Returns the number of leases.
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns the number of batch leases.
    pub(crate) fn batch_len(&self) -> usize {
        self.batch.len()
    }

    /// Returns whether a lease is known.
    pub(crate) fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// Returns a lease for changes.
    pub(crate) fn get_mut(&mut self, id: LeaseId) -> Option<&mut LeaseRecord> {
        self.leases.get_mut(&id)
    }

    /// Adds a lease.
    pub(crate) fn insert(&mut self, id: LeaseId, record: LeaseRecord) {
        if record.demand.class == RequestClass::Batch {
            self.batch.insert(id);
        }
        self.leases.insert(id, record);
    }

    /// Removes a lease that was returned or dropped.
    pub(crate) fn remove(&mut self, id: LeaseId) -> Option<LeaseRecord> {
        let lease = self.leases.remove(&id)?;
        self.batch.remove(&id);
        self.outstanding_revocations -= usize::from(lease.revoked);
        Some(lease)
    }

    /// Marks the newest batch leases as revoked until `wanted` revocations are outstanding. Returns the
    /// newly marked leases and their holders.
    pub(crate) fn revoke(&mut self, wanted: usize) -> Vec<(LeaseId, VmId)> {
        let count = wanted.saturating_sub(self.outstanding_revocations);
        let mut chosen = Vec::new();
        for id in self.batch.iter().rev() {
            if chosen.len() == count {
                break;
            }
            if let Some(lease) = self.leases.get_mut(id).filter(|lease| !lease.revoked) {
                lease.revoked = true;
                chosen.push((*id, lease.holder.clone()));
            }
        }
        self.outstanding_revocations += chosen.len();
        chosen
    }

    /// Returns the leases of a VM that are missing from its listing.
    pub(crate) fn missing(
        &self,
        now: Duration,
        holder: &VmId,
        listed: &HashSet<LeaseId>,
    ) -> Vec<LeaseId> {
        let missing = |(id, lease): (&LeaseId, &LeaseRecord)| {
            let past_grace = now.saturating_sub(lease.granted_at) >= LISTING_GRACE;
            (lease.holder == *holder && past_grace && !listed.contains(id)).then_some(*id)
        };
        self.leases.iter().filter_map(missing).collect()
    }

    /// Returns the leases of any of these VMs.
    pub(crate) fn of_holders(&self, holders: &HashSet<VmId>) -> Vec<LeaseId> {
        let held = self.leases.iter().filter(|(_, lease)| holders.contains(&lease.holder));
        held.map(|(id, _)| *id).collect()
    }
}
