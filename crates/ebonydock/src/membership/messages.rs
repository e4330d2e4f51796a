//! Messages between VMs about membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentreId, ModelName, VmId};

/// Heartbeat, sent to one VM of the same data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address at which the sender receives messages.
    pub address: SocketAddr,
    /// Incarnation of the sender; differs after each start.
    pub incarnation: u64,
    /// Sequence number, which increases with each heartbeat to this receiver.
    pub sequence: u64,
    /// Highest sequence number that arrived from the receiver, which confirms two-way contact.
    pub echo: u64,
    /// Active configuration version of the sender.
    pub config_version: ConfigVersion,
    /// Phase of the sender, which decides whether it may own anything.
    pub phase: MemberPhase,
    /// Load of the pools that the sender schedules.
    pub pools: Vec<PoolSummary>,
}

/// Lifecycle phase of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberPhase {
    /// The VM receives heartbeats and owns nothing yet.
    Joining,
    /// The VM may own something.
    Serving,
    /// The VM is about to stop and no longer owns anything.
    Leaving,
}

/// Summary of one data centre for the other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Sequence number, which increases with each digest of one sender.
    pub sequence: u64,
    /// Live VMs that are not leaving.
    pub vms: Vec<VmAddress>,
    /// Lowest active configuration version of its VMs.
    pub config_version: ConfigVersion,
    /// Load of its pools.
    pub pools: Vec<PoolSummary>,
    /// Whether the receiver must relay the digest inside its data centre.
    pub relay: bool,
}

/// VM with its address for messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAddress {
    /// The VM.
    pub vm: VmId,
    /// Address at which the VM receives messages.
    pub address: SocketAddr,
}

/// Load of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The model.
    pub model: ModelName,
    /// Number of sequences that can start now.
    pub free: u32,
    /// Number of waiting online requests.
    pub waiting: u32,
}
