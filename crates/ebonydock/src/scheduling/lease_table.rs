//! The leases that a pool has given.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::ids::{LeaseId, TargetId, VmId};
use crate::scheduling::RequestClass;
use crate::scheduling::messages::RequestDemand;

/// A lease younger than this is not missed in a holder's listing, which may have crossed its grant.
const LISTING_GRACE: Duration = Duration::from_secs(2);

/// A lease that was given and not returned.
#[derive(Debug)]
pub(crate) struct LeaseRecord {
    /// The target that it is for.
    pub(crate) target: TargetId,
    /// The VM that holds it.
    pub(crate) holder: VmId,
    /// What it was given for.
    pub(crate) demand: RequestDemand,
    /// When it was given.
    pub(crate) granted_at: Duration,
    /// The service that its workspace was charged for it.
    pub(crate) charged: f64,
    /// Whether its holder was told to give it back.
    pub(crate) revoked: bool,
    /// The start that the answer is known to come from; 0 if it did not report.
    pub(crate) witnessed_start: u64,
}

impl LeaseRecord {
    /// A lease that nothing is known of but its grant.
    pub(crate) fn open(
        target: &TargetId,
        holder: VmId,
        demand: RequestDemand,
        granted_at: Duration,
        charged: f64,
    ) -> Self {
        let target = target.clone();
        Self { target, holder, demand, granted_at, charged, revoked: false, witnessed_start: 0 }
    }
}

/// The leases of a pool.
#[derive(Debug)]
pub(crate) struct LeaseTable {
    leases: HashMap<LeaseId, LeaseRecord>,
    batch: BTreeSet<LeaseId>,
    revoking: usize,
    next: u64,
}

impl LeaseTable {
    /// An empty table whose ids start at `first`.
    pub(crate) fn open(first: u64) -> Self {
        Self { leases: HashMap::new(), batch: BTreeSet::new(), revoking: 0, next: first }
    }

    /// An id that was not given before.
    pub(crate) fn next_id(&mut self) -> LeaseId {
        let id = LeaseId(self.next);
        self.next += 1;
        id
    }

    /// The number of leases.
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    /// The number of batch leases.
    pub(crate) fn batch_len(&self) -> usize {
        self.batch.len()
    }

    /// Whether a lease is known.
    pub(crate) fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// A lease to change.
    pub(crate) fn get_mut(&mut self, id: LeaseId) -> Option<&mut LeaseRecord> {
        self.leases.get_mut(&id)
    }

    /// Takes a lease.
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
        self.revoking -= usize::from(lease.revoked);
        Some(lease)
    }

    /// Marks the newest batch leases as revoked until `wanted` are on their way back. Returns those that
    /// were marked now, with their holders.
    pub(crate) fn revoke(&mut self, wanted: usize) -> Vec<(LeaseId, VmId)> {
        let missing = wanted.saturating_sub(self.revoking);
        let mut chosen = Vec::new();
        for id in self.batch.iter().rev() {
            if chosen.len() == missing {
                break;
            }
            if let Some(lease) = self.leases.get_mut(id).filter(|lease| !lease.revoked) {
                lease.revoked = true;
                chosen.push((*id, lease.holder.clone()));
            }
        }
        self.revoking += chosen.len();
        chosen
    }

    /// Leases of a VM that are not in its listing.
    pub(crate) fn missing(
        &self,
        now: Duration,
        holder: &VmId,
        listed: &HashSet<LeaseId>,
    ) -> Vec<LeaseId> {
        let missing = |(id, lease): (&LeaseId, &LeaseRecord)| {
            let settled = now.saturating_sub(lease.granted_at) >= LISTING_GRACE;
            (lease.holder == *holder && settled && !listed.contains(id)).then_some(*id)
        };
        self.leases.iter().filter_map(missing).collect()
    }

    /// Leases of any of these VMs.
    pub(crate) fn of_holders(&self, holders: &HashSet<VmId>) -> Vec<LeaseId> {
        let held = self.leases.iter().filter(|(_, lease)| holders.contains(&lease.holder));
        held.map(|(id, _)| *id).collect()
    }
}
