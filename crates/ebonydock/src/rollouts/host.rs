//! What roll-outs need of the VM that runs them.

use std::time::Duration;

use crate::ids::{ServiceName, VersionName, VmId};
use crate::platform::rows::{RowStore, RowTransaction};
use crate::rollouts::controller::CohortLoad;
use crate::rollouts::record::{RolloutLeader, RolloutRecord};
use crate::rollouts::service::RolloutService;

/// VM that takes part in roll-outs.
pub(crate) trait RolloutHost {
    /// Returns the state of roll-outs.
    fn service(&self) -> &RolloutService;
    /// Returns this VM as a leader.
    fn leader(&self) -> RolloutLeader;
    /// Returns whether this VM may take the lead of a roll-out: it does not stop, and no later incarnation of it is
    /// known.
    fn may_lead(&self) -> bool;
    /// Returns the live VMs, with this one.
    fn live_vms(&self) -> Vec<VmId>;
    /// Returns the store.
    fn rows(&self) -> &dyn RowStore;
    /// Returns the time by the store's clock.
    fn store_time(&self) -> Duration;
    /// Records the store's clock from one of its responses.
    fn record_store_time(&self, store_time: Duration);
    /// Returns whether a service is configured.
    fn has_service(&self, service: &ServiceName) -> bool;
    /// Returns the longest time-out of the routes of a service.
    fn longest_timeout(&self, service: &ServiceName) -> Duration;
    /// Returns the load of a service's targets of one version.
    fn version_load(&self, service: &ServiceName, version: &VersionName) -> CohortLoad;
    /// Returns the key of the order of a service.
    fn order_key(&self, service: &ServiceName) -> String;
    /// Adds the condition that an order is still the one that was read.
    fn expect_order(&self, transaction: RowTransaction, record: &RolloutRecord) -> RowTransaction;
    /// Adds the status that the platform reads.
    fn write_status(&self, transaction: RowTransaction, record: &RolloutRecord) -> RowTransaction;
    /// Assigns targets to cohorts anew.
    fn refresh_cohorts(&self);
}
