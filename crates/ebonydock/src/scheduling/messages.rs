//! Messages between VMs about leases.

use serde::{Deserialize, Serialize};

use crate::ids::{LeaseId, ModelName, TargetId, WorkspaceId};
use crate::scheduling::RequestClass;

/// What a request needs of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestDemand {
    /// The class of the request.
    pub class: RequestClass,
    /// The workspace that is charged for the service.
    pub workspace: WorkspaceId,
    /// Weight of the workspace in fair queueing.
    pub weight: f32,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub answer_tokens: u32,
    /// Hash of the beginning of the prompt, if the prompt is long enough to be cached.
    pub prefix: Option<u64>,
    /// Order among the requests of one workspace, lowest first: 0 for online, seconds of slack for
    /// batch.
    pub order: i64,
}

impl RequestDemand {
    /// Returns the maximum number of tokens that the request occupies in a target's cache memory.
    pub fn cache_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// Requests a lease on a target from a pool's scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The model of the pool.
    pub model: ModelName,
    /// What the request needs.
    pub demand: RequestDemand,
    /// Maximum time that the request may wait, in milliseconds.
    pub wait_ms: u32,
    /// Targets that failed this request before and must not be used.
    pub excluded: Vec<TargetId>,
}

/// A lease on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// The target.
    pub target: TargetId,
    /// The address of the target, `host:port`.
    pub address: String,
    /// Last known incarnation of the target; 0 if unknown. A holder that gets a response from another
    /// incarnation reports it at once.
    pub start_id: u64,
    /// Whether the holder reports the incarnation in any case as soon as the response starts.
    pub probe: bool,
}

/// Reports that a target has started its response, before the lease is returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// The model of the pool.
    pub model: ModelName,
    /// The lease.
    pub lease: LeaseId,
    /// Incarnation of the target that responds.
    pub start_id: u64,
}

/// Reason why no lease was granted. Nothing was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireRefusal {
    /// The VM does not schedule this pool, or does not do so yet.
    NotOwner,
    /// No target of the pool can serve a request of this size.
    NoCapableTarget,
    /// All capable targets were busy for as long as the request could wait, or the queue is full.
    Busy,
    /// The data centre is out of service.
    DataCentreOut,
}

/// Reply to an [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// The lease was granted.
    Granted(LeaseGrant),
    /// No lease was granted.
    Refused(AcquireRefusal),
}

/// Outcome of the use of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The response was complete.
    Completed,
    /// The holder cancelled the request.
    Cancelled,
    /// The target was unreachable or its response broke off.
    TargetFailed,
    /// The target refused the request as overloaded.
    Overloaded,
}

/// Returns a lease and reports what its use showed about the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The model of the pool.
    pub model: ModelName,
    /// The lease.
    pub lease: LeaseId,
    /// Outcome of the use.
    pub outcome: LeaseOutcome,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Mean time between tokens, in microseconds; 0 if unknown.
    pub token_micros: u32,
    /// Incarnation of the target that responded; 0 if unknown.
    pub start_id: u64,
}

impl ReleaseReport {
    /// Returns a report for a lease without a response.
    pub(crate) fn unused(model: &ModelName, lease: LeaseId, outcome: LeaseOutcome) -> Self {
        let model = model.clone();
        Self { model, lease, outcome, tokens: 0, token_micros: 0, start_id: 0 }
    }
}

/// Revokes a batch lease; the holder has to return it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// Requests the list of leases that a VM holds on targets of a pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeldLeasesRequest {
    /// The model of the pool.
    pub model: ModelName,
}

/// Lease that a VM holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// The target.
    pub target: TargetId,
    /// What the request needs.
    pub demand: RequestDemand,
}

/// Reply to a [`HeldLeasesRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldLeasesReply {
    /// Leases that the VM holds.
    pub held: Vec<HeldLease>,
}
