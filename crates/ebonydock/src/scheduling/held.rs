//! The leases that a VM holds.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use crate::ids::{LeaseId, ModelName};
use crate::scheduling::messages::{HeldLease, HeldLeasesReply};

/// A lease that this VM holds.
#[derive(Debug)]
pub(crate) struct LeaseEntry {
    model: ModelName,
    record: HeldLease,
    revoked: watch::Sender<bool>,
}

/// The leases that a VM holds.
#[derive(Debug, Default)]
pub(crate) struct HeldLeases {
    held: Mutex<HashMap<LeaseId, LeaseEntry>>,
}

impl HeldLeases {
    /// Notes a lease; the receiver turns `true` when it is taken back.
    pub(crate) fn insert(&self, model: &ModelName, record: HeldLease) -> watch::Receiver<bool> {
        let (revoked, receiver) = watch::channel(false);
        let held = LeaseEntry { model: model.clone(), record, revoked };
        self.lock().insert(held.record.lease, held);
        receiver
    }

    /// Forgets a lease that was returned.
    pub(crate) fn remove(&self, lease: LeaseId) {
        self.lock().remove(&lease);
    }

    /// Tells the user of a lease that it is taken back.
    pub(crate) fn revoke(&self, lease: LeaseId) {
        if let Some(held) = self.lock().get(&lease) {
            held.revoked.send_replace(true);
        }
    }

    /// The leases on targets of a pool.
    pub(crate) fn list(&self, model: &ModelName) -> HeldLeasesReply {
        let held = self.lock();
        let listed = held.values().filter(|lease| lease.model == *model);
        HeldLeasesReply { held: listed.map(|lease| lease.record.clone()).collect() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<LeaseId, LeaseEntry>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
