//! Messages of configuration.

use serde::{Deserialize, Serialize};

use crate::configuration::{ConfigDocument, VersionedBatch};
use crate::ids::ConfigVersion;

/// Asks for everything after a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ChangeQuery {
    /// The version that the sender has.
    pub after: ConfigVersion,
}

/// Consecutive batches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The batches, in order.
    pub batches: Vec<VersionedBatch>,
    /// Whether the receiver still has to pass them on inside its data centre.
    pub relay: bool,
}

/// The answer to a [`ChangeQuery`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The batches that follow.
    Batches(Vec<VersionedBatch>),
    /// The whole document, because the batches are no longer at hand.
    Snapshot(Box<ConfigDocument>),
}
