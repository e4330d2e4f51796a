//! Messages of limits.

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;

/// A grant, unique at the VM that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// Asks for tokens of a workspace's bucket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The identity of the grant that answers this request.
    pub grant: GrantId,
    /// The tokens wanted.
    pub want: u32,
    /// Earlier grants that are spent or expired.
    pub closed: Vec<GrantId>,
}

/// The answer to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The tokens granted; 0 if none.
    pub tokens: u32,
    /// How long they may be spent, in milliseconds from the sending of the request.
    pub lifetime_ms: u32,
    /// When a token is expected, in milliseconds, if none was granted.
    pub retry_after_ms: u32,
    /// Whether the VM owns the bucket at all.
    pub owner: bool,
}

impl GrantReply {
    /// Whether the bucket is empty; without that, a grant may also wait for others to be spent.
    pub(crate) fn bucket_is_empty(&self) -> bool {
        self.owner && self.tokens == 0 && self.retry_after_ms > 0
    }
}

/// Buckets that a VM passes to their new owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketHandover {
    /// The buckets.
    pub buckets: Vec<BucketRecord>,
}

/// The state of one bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BucketRecord {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens not granted yet.
    pub level: f64,
    /// Tokens granted and neither spent nor expired, as far as the old owner knows.
    pub outstanding: f64,
}
