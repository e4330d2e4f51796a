//! Messages between VMs about rate limits.

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;

/// ID of a grant, unique at the VM that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// Request for tokens of a workspace's bucket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// ID of the grant that results from this request.
    pub grant: GrantId,
    /// Number of tokens wanted.
    pub want: u32,
    /// Earlier grants that are spent or expired.
    pub closed: Vec<GrantId>,
}

/// Reply to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Number of tokens granted; 0 if none.
    pub tokens: u32,
    /// Lifetime of the tokens in milliseconds, counted from the sending of the request.
    pub lifetime_ms: u32,
    /// Milliseconds until a token is expected, if none was granted.
    pub retry_after_ms: u32,
    /// Whether the replying VM owns the bucket.
    pub owner: bool,
}

impl GrantReply {
    /// Returns whether the bucket is empty.
    ///
    /// If it is not, a reply without tokens means that too many earlier grants are unspent.
    pub(crate) fn bucket_is_empty(&self) -> bool {
        self.owner && self.tokens == 0 && self.retry_after_ms > 0
    }
}

/// Buckets that a VM hands over to their new owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketHandover {
    /// The buckets.
    pub buckets: Vec<BucketRecord>,
}

/// State of one bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BucketRecord {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens not granted yet.
    pub level: f64,
    /// Tokens granted and neither spent nor expired, as far as the previous owner knows.
    pub outstanding: f64,
}
