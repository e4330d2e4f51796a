//! Scheduling of requests on targets.
//!
//! A pool consists of all engines of one model in one data centre, and one VM schedules it. Engines
//! have no priorities, so requests wait in the scheduler and get a target only when it can start
//! them. Online requests wait only for other online requests. Batch requests get the capacity above
//! a reserve, and their leases are revoked when online requests need the capacity.

mod fair_queue;
mod held_leases;
mod lease_table;
mod load_index;
pub mod messages;
mod pools;
mod prefix_index;
mod reserve;
mod scheduler;
mod target_state;
#[cfg(test)]
mod tests;
mod wait_queues;

pub use fair_queue::{FairQueue, QueuePlace, WorkspaceLoad};
pub(crate) use held_leases::HeldLeases;
pub(crate) use pools::{PendingRevocation, PoolDirectory};
pub use prefix_index::{CacheReport, PrefixIndex};
pub use reserve::ReserveEstimator;
pub use scheduler::{Decision, PoolPolicy, PoolScheduler, WaiterId};
pub use target_state::{TargetState, WarmupState};

use serde::{Deserialize, Serialize};

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A caller waits for the response.
    Online,
    /// The response is due much later.
    Batch,
}

/// How online requests preempt batch work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptionPolicy {
    /// First come, first served, without regard to the class.
    None,
    /// Batch work leaves a fixed quarter of the pool free and is never preempted.
    StaticReserve,
    /// Batch work leaves a reserve that follows recent bursts, and its leases are revoked when online
    /// requests wait.
    #[default]
    Revoke,
}

/// How the prefix caches of targets are weighed against their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityPolicy {
    /// Only the load counts.
    None,
    /// Prefers the target that holds the prefix, unless its load exceeds the mean by a quarter
    /// ("Consistent Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, 2018).
    #[default]
    BoundedLoad,
    /// Uses the target that holds the prefix regardless of its load, while the workspace's ratio of
    /// waiting to running requests is below a threshold ("A Locality-Aware Scientific Workflow
    /// Engine for Fast-Evolving Spatiotemporal Sensor Data", Kachikaran Arulswamy, 2017, section
    /// 5.3).
    WaitRatio,
}
