//! The directory of the fleet: the listed VMs and targets, the digests of other data centres, and
//! the load of the local pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DataCentreId, ModelName, ServiceName, VmId};
use crate::membership::messages::{DataCentreDigest, PoolSummary, VmAddress};
use crate::platform::{FleetListing, TargetEntry, TargetRole};

/// A data centre without a digest for this long counts as unreachable.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct ReceivedDigest {
    digest: DataCentreDigest,
    received_at: Duration,
}

/// The VMs, targets and pool loads of all data centres, as far as this VM knows them.
#[derive(Debug, Default)]
pub(crate) struct FleetDirectory {
    listing: FleetListing,
    digests: HashMap<DataCentreId, ReceivedDigest>,
    local_pools: HashMap<ModelName, PoolSummary>,
}

impl FleetDirectory {
    /// Replaces the listing and returns whether it changed.
    pub(crate) fn set_listing(&mut self, listing: FleetListing) -> bool {
        let differs = listing != self.listing;
        self.listing = listing;
        differs
    }

    /// Returns the last listing of VMs and targets.
    pub(crate) fn listing(&self) -> &FleetListing {
        &self.listing
    }

    /// Returns the listed VMs of a data centre.
    pub(crate) fn vms_of(&self, data_centre: &DataCentreId) -> Vec<VmAddress> {
        let vms = self.listing.vms.iter().filter(|entry| entry.data_centre == *data_centre);
        vms.map(|entry| VmAddress { vm: entry.vm.clone(), address: entry.peer_address }).collect()
    }

    /// Returns the engines of a data centre that serve `model`.
    pub(crate) fn engines(
        &self,
        data_centre: &DataCentreId,
        model: &ModelName,
    ) -> Vec<TargetEntry> {
        let serves = |entry: &&TargetEntry| {
            let TargetRole::Engine(capability) = &entry.role else { return false };
            entry.data_centre == *data_centre && capability.models.contains(model)
        };
        self.listing.targets.iter().filter(serves).cloned().collect()
    }

    /// Returns the models that the engines of a data centre serve, sorted.
    pub(crate) fn models_of(&self, data_centre: &DataCentreId) -> Vec<ModelName> {
        let mut models: Vec<ModelName> = self
            .listing
            .targets
            .iter()
            .filter(|entry| entry.data_centre == *data_centre)
            .filter_map(|entry| match &entry.role {
                TargetRole::Engine(capability) => Some(&capability.models),
                TargetRole::Service(_) => None,
            })
            .flatten()
            .cloned()
            .collect();
        models.sort();
        models.dedup();
        models
    }

    /// Returns the targets of a plain service, without those that are leaving.
    pub(crate) fn services(&self, name: &ServiceName) -> Vec<&TargetEntry> {
        let matches = |entry: &&TargetEntry| {
            !entry.leaving && matches!(&entry.role, TargetRole::Service(service) if service == name)
        };
        self.listing.targets.iter().filter(matches).collect()
    }

    /// Records a digest of another data centre and returns whether it is newer than the recorded
    /// one.
    ///
    /// A recorded digest that is older than [`MAX_DIGEST_AGE`] is replaced whatever its sequence
    /// number.
    pub(crate) fn record_digest(&mut self, now: Duration, digest: DataCentreDigest) -> bool {
        let received = self.digests.get(&digest.data_centre);
        let fresh =
            received.filter(|received| now.saturating_sub(received.received_at) < MAX_DIGEST_AGE);
        if fresh.is_some_and(|received| received.digest.sequence >= digest.sequence) {
            return false;
        }
        let received = ReceivedDigest { digest, received_at: now };
        self.digests.insert(received.digest.data_centre.clone(), received);
        true
    }

    /// Returns the digest of a data centre unless it is older than [`MAX_DIGEST_AGE`].
    pub(crate) fn digest(&self, now: Duration, id: &DataCentreId) -> Option<&DataCentreDigest> {
        let received = self.digests.get(id)?;
        (now.saturating_sub(received.received_at) < MAX_DIGEST_AGE).then_some(&received.digest)
    }

    /// Returns the time since the last digest of a data centre, or `None` if there was none.
    pub(crate) fn time_since_digest(&self, now: Duration, id: &DataCentreId) -> Option<Duration> {
        self.digests.get(id).map(|received| now.saturating_sub(received.received_at))
    }

    /// Returns the peer address of a VM, from the digests or else from the listing.
    pub(crate) fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let digests = self.digests.values().flat_map(|received| &received.digest.vms);
        let from_digest =
            digests.into_iter().find(|entry| entry.vm == *vm).map(|entry| entry.address);
        from_digest.or_else(|| {
            let entry = self.listing.vms.iter().find(|entry| entry.vm == *vm);
            entry.map(|entry| entry.peer_address)
        })
    }

    /// Records the load of a pool in the local data centre.
    pub(crate) fn record_pool(&mut self, summary: PoolSummary) {
        self.local_pools.insert(summary.model.clone(), summary);
    }

    /// Returns the load of the pools in the local data centre.
    pub(crate) fn local_pools(&self) -> impl Iterator<Item = &PoolSummary> {
        self.local_pools.values()
    }
}
