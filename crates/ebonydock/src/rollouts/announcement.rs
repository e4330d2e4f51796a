//! What the leader of a roll-out announces in its load reports.

use serde::{Deserialize, Serialize};

use crate::rollouts::record::RolloutPhase;
use crate::rollouts::shares::ShareTable;

/// State of a roll-out as announced by its leader, and repeated while the roll-out runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAnnouncement {
    /// Hash of the service's name.
    pub service: u32,
    /// Revision of the order.
    pub revision: u64,
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of the step.
    pub step: u32,
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Shares of the new version.
    pub shares: ShareTable,
    /// Whether the store has acknowledged this step. An increase takes effect only then.
    pub is_stored: bool,
}
