//! Messages between VMs, encoded with `postcard`. Each module defines its own messages; this module
//! combines them into the enums that are sent.
//!
//! The order of fields and variants is the wire format.

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

/// Message together with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// VM that sent the message.
    pub from: VmId,
    /// Message content.
    pub body: T,
}

/// Request to another VM, which replies with a [`PeerReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests a lease on a target from the scheduler of a pool.
    Acquire(AcquireRequest),
    /// Reports that a target started to respond.
    Started(StartReport),
    /// Releases a lease.
    Release(ReleaseReport),
    /// Revokes a batch lease from its holder.
    Revoke(RevokeRequest),
    /// Requests the leases of a pool that the VM holds.
    Held(HeldLeasesRequest),
    /// Requests tokens from the owner of a bucket.
    Draw(GrantRequest),
    /// Requests a loan of tokens from the owner of the same bucket in another data centre.
    Lend(GrantRequest),
    /// Hands over buckets to their new owner.
    Handover(BucketHandover),
    /// Requests the configuration changes after a version.
    Changes(ChangeQuery),
    /// Requests the platform's list of VMs and targets as last seen by the VM.
    Fleet,
    /// Announces configuration changes.
    Announce(ChangeBatch),
    /// Requests that a VM runs a chunk of a job.
    RunChunk(ChunkRequest),
    /// Notifies the leader of a job that the job was accepted or cancelled.
    Job(JobSignal),
    /// Relays the digest of another data centre.
    Digest(DataCentreDigest),
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The request was handled and has no result.
    Done,
    /// Outcome of a lease request.
    Acquire(AcquireReply),
    /// Leases that the VM holds.
    Held(HeldLeasesReply),
    /// Tokens granted or lent.
    Grant(GrantReply),
    /// Configuration changes.
    Changes(ChangeReply),
    /// Platform's list of VMs and targets.
    Fleet(FleetListing),
    /// Outcome of a chunk.
    Chunk(ChunkReport),
    /// The request could not be handled, with the reason.
    Rejected(String),
}

/// Message sent without acknowledgement; it may be lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerDatagram<'a> {
    /// Heartbeat between VMs of a data centre.
    Heartbeat(Heartbeat),
    /// Load reports of an earlier format, from VMs that are not upgraded yet. They are dropped.
    EarlierLoad,
    /// Load that VMs place on targets and quotas.
    #[serde(borrow)]
    Load(LoadUpdate<'a>),
}
