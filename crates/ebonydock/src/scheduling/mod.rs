//! Which request runs on which target, and when.
//!
//! A pool is all engines of one model in one data centre; one VM schedules it. Engines know no
//! priorities, so requests wait here and are bound to a target late: online waits only for online, and
//! batch gets what is left above a reserve and gives it back when online needs it.

mod fair_queue;
mod held;
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
pub(crate) use held::HeldLeases;
pub(crate) use pools::{PendingRevoke, PoolDirectory};
pub use prefix_index::{CacheReport, PrefixIndex};
pub use reserve::ReserveEstimator;
pub use scheduler::{Decision, PoolPolicy, PoolScheduler, WaiterId};
pub use target_state::{TargetState, WarmupState};

use serde::{Deserialize, Serialize};

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Someone waits for the answer.
    Online,
    /// The answer is due much later.
    Batch,
}

/// How batch work yields to online requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptionPolicy {
    /// First come, first served, whatever the class.
    None,
    /// Batch leaves a fixed quarter of the pool free and is never interrupted.
    StaticReserve,
    /// Batch leaves a reserve that follows recent bursts and is interrupted when online waits.
    #[default]
    Revoke,
}

/// How the prefix cache of targets is weighed against their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityPolicy {
    /// Only load counts.
    None,
    /// The target that holds the prefix, unless its load exceeds the mean by a quarter ("Consistent
    /// Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, 2018).
    #[default]
    BoundedLoad,
    /// The target that holds the prefix whatever its load, while the workspace's ratio of waiting to
    /// running requests is below a threshold ("A Locality-Aware Scientific Workflow Engine for
    /// Fast-Evolving Spatiotemporal Sensor Data", Kachikaran Arulswamy, 2017, section 5.3).
    WaitRatio,
}
