//! Messages of scheduling.

use serde::{Deserialize, Serialize};

use crate::ids::{LeaseId, ModelName, TargetId, WorkspaceId};
use crate::scheduling::RequestClass;

/// What a request needs of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestDemand {
    /// The class.
    pub class: RequestClass,
    /// The workspace that is charged.
    pub workspace: WorkspaceId,
    /// The workspace's weight.
    pub weight: f32,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub answer_tokens: u32,
    /// The hash of the start of the prompt, if it is long enough to be cached.
    pub prefix: Option<u64>,
    /// Order among one workspace's requests, lowest first: 0 for online, seconds of slack for batch.
    pub order: i64,
}

impl RequestDemand {
    /// Tokens that the request may occupy in a target's cache memory.
    pub fn cache_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// Asks a pool's scheduler for a lease on a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The model of the pool.
    pub model: ModelName,
    /// What the request needs.
    pub demand: RequestDemand,
    /// How long the request may wait, in milliseconds.
    pub wait_ms: u32,
    /// Targets that failed this request before.
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
    /// The start of the target that the scheduler knows; 0 if unknown. A holder that sees another one
    /// reports it at once.
    pub start_id: u64,
    /// Whether the scheduler wants to hear of the start of the answer in any case.
    pub probe: bool,
}

/// Tells that a target began to answer, before the lease is returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// The model of the pool.
    pub model: ModelName,
    /// The lease.
    pub lease: LeaseId,
    /// The start of the target that answers.
    pub start_id: u64,
}

/// Why no lease was given. Nothing was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireRefusal {
    /// The VM does not schedule this pool, or not yet.
    NotOwner,
    /// No target of the pool can serve such a request.
    NoCapableTarget,
    /// Capable targets stayed busy for as long as the request could wait, or the queue is full.
    Busy,
    /// The data centre is out of service.
    DataCentreOut,
}

/// The answer to an [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// A lease.
    Granted(LeaseGrant),
    /// No lease.
    Refused(AcquireRefusal),
}

/// How the use of a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The answer was complete.
    Completed,
    /// The holder cancelled the request.
    Cancelled,
    /// The target could not be reached or broke the answer off.
    TargetFailed,
    /// The target refused the request as overloaded.
    Overloaded,
}

/// Returns a lease with what its use showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The model of the pool.
    pub model: ModelName,
    /// The lease.
    pub lease: LeaseId,
    /// How the use ended.
    pub outcome: LeaseOutcome,
    /// Tokens generated.
    pub tokens: u32,
    /// Mean time between tokens, in microseconds; 0 if unknown.
    pub token_micros: u32,
    /// The start of the target that answered; 0 if unknown.
    pub start_id: u64,
}

impl ReleaseReport {
    /// A report without an answer.
    pub(crate) fn unused(model: &ModelName, lease: LeaseId, outcome: LeaseOutcome) -> Self {
        let model = model.clone();
        Self { model, lease, outcome, tokens: 0, token_micros: 0, start_id: 0 }
    }
}

/// Takes a batch lease away from its holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// Asks which leases of a pool a VM holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeldLeasesRequest {
    /// The model of the pool.
    pub model: ModelName,
}

/// A lease that a VM holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// The target.
    pub target: TargetId,
    /// What the request needs.
    pub demand: RequestDemand,
}

/// The answer to a [`HeldLeasesRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldLeasesReply {
    /// The leases.
    pub held: Vec<HeldLease>,
}
