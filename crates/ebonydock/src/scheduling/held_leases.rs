//! Leases that a VM holds.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use crate::ids::{LeaseId, ModelName};
use crate::scheduling::messages::{HeldLease, HeldLeasesReply};

/// Lease that this VM holds, with the channel that announces its revocation.
#[derive(Debug)]
pub(crate) struct LeaseEntry {
    model: ModelName,
    record: HeldLease,
    revoked: watch::Sender<bool>,
}

/// Leases that a VM holds, by id.
#[derive(Debug, Default)]
pub(crate) struct HeldLeases {
    leases: Mutex<HashMap<LeaseId, LeaseEntry>>,
}

impl HeldLeases {
    /// Adds a lease. The value of the receiver becomes `true` when the lease is revoked.
    pub(crate) fn insert(&self, model: &ModelName, record: HeldLease) -> watch::Receiver<bool> {
        let (revoked, receiver) = watch::channel(false);
        let entry = LeaseEntry { model: model.clone(), record, revoked };
        self.lock().insert(entry.record.lease, entry);
        receiver
    }

    /// Removes a lease that was returned.
    pub(crate) fn remove(&self, lease: LeaseId) {
        self.lock().remove(&lease);
    }

    /// Notifies the user of a lease that it is revoked.
    pub(crate) fn revoke(&self, lease: LeaseId) {
        if let Some(entry) = self.lock().get(&lease) {
            entry.revoked.send_replace(true);
        }
    }

    /// Returns the leases on targets of a model's pools.
    pub(crate) fn list(&self, model: &ModelName) -> HeldLeasesReply {
        let leases = self.lock();
        let listed = leases.values().filter(|lease| lease.model == *model);
        HeldLeasesReply { held: listed.map(|lease| lease.record.clone()).collect() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<LeaseId, LeaseEntry>> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
