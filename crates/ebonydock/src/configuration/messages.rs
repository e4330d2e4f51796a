//! Messages between VMs about the configuration.

use serde::{Deserialize, Serialize};

use crate::configuration::{ConfigDocument, VersionedBatch};
use crate::ids::ConfigVersion;

/// Query for all changes after a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ChangeQuery {
    /// Active version of the sender.
    pub after: ConfigVersion,
}

/// Consecutive batches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The batches, in order.
    pub batches: Vec<VersionedBatch>,
    /// Whether the receiver must relay the batches inside its data centre.
    pub relay: bool,
}

/// Reply to a [`ChangeQuery`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The batches that follow.
    Batches(Vec<VersionedBatch>),
    /// The whole document, because the batches are no longer available.
    Snapshot(Box<ConfigDocument>),
}
