//! The messages between VMs. Each slice defines its own; this module joins them.

use serde::{Deserialize, Serialize};

use crate::configuration::messages::{ChangeBatch, ChangeQuery, ChangeReply};
use crate::gateway::LoadUpdate;
use crate::ids::VmId;
use crate::jobs::messages::{ChunkReport, ChunkRequest, JobSignal};
use crate::limits::messages::{BucketHandover, GrantReply, GrantRequest};
use crate::membership::messages::{DataCentreDigest, Heartbeat};
use crate::platform::FleetListing;
use crate::scheduling::messages::{
    AcquireReply, AcquireRequest, HeldLeasesReply, HeldLeasesRequest, ReleaseReport, RevokeRequest,
    StartReport,
};

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The VM that sent the message.
    pub from: VmId,
    /// The message.
    pub body: T,
}

/// A request that expects a [`PeerReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks a pool's scheduler for a lease on a target.
    Acquire(AcquireRequest),
    /// Tells that a target began to answer.
    Started(StartReport),
    /// Returns a lease.
    Release(ReleaseReport),
    /// Takes a batch lease away from its holder.
    Revoke(RevokeRequest),
    /// Asks which leases of a pool the VM holds.
    Held(HeldLeasesRequest),
    /// Asks the owner of a bucket for tokens.
    Draw(GrantRequest),
    /// Asks the owner of the same bucket in another data centre to lend tokens.
    Lend(GrantRequest),
    /// Passes buckets to their new owner.
    Handover(BucketHandover),
    /// Asks for configuration changes after a version.
    Changes(ChangeQuery),
    /// Asks for the platform's list of VMs and targets, as far as the VM knows it.
    Fleet,
    /// Announces configuration changes.
    Announce(ChangeBatch),
    /// Has a VM run a chunk of a job.
    RunChunk(ChunkRequest),
    /// Tells the lead of a job that the job was accepted or cancelled.
    Job(JobSignal),
    /// Relays the digest of another data centre.
    Digest(DataCentreDigest),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Handled; nothing to tell.
    Done,
    /// The outcome of an acquire.
    Acquire(AcquireReply),
    /// The leases held.
    Held(HeldLeasesReply),
    /// Tokens granted or lent.
    Grant(GrantReply),
    /// Configuration changes.
    Changes(ChangeReply),
    /// The platform's list of VMs and targets.
    Fleet(FleetListing),
    /// The outcome of a chunk.
    Chunk(ChunkReport),
    /// The request could not be handled.
    Rejected(String),
}

/// A message that may be lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A sign of life inside a data centre.
    Heartbeat(Heartbeat),
    /// The load that VMs put on targets and quotas.
    Load(LoadUpdate),
}
