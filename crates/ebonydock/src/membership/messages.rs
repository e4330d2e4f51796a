//! Messages of membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentreId, ModelName, VmId};

/// A sign of life, sent to one VM of the same data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Where the sender takes messages.
    pub address: SocketAddr,
    /// Differs after each start of the sender.
    pub incarnation: u64,
    /// Grows with each heartbeat to this receiver.
    pub sequence: u64,
    /// The highest sequence received from the receiver, which confirms two-way contact.
    pub echo: u64,
    /// The configuration in force at the sender.
    pub config_version: ConfigVersion,
    /// Whether the sender may own something.
    pub phase: MemberPhase,
    /// The load of the pools that the sender schedules.
    pub pools: Vec<PoolSummary>,
}

/// The phase of a VM's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberPhase {
    /// It listens and owns nothing yet.
    Joining,
    /// It may own something.
    Serving,
    /// It is about to stop and owns nothing any more.
    Leaving,
}

/// What the VMs of one data centre tell the other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Grows with each digest of one sender.
    pub sequence: u64,
    /// The live VMs that are not leaving.
    pub vms: Vec<VmAddress>,
    /// The lowest configuration in force at its VMs.
    pub config_version: ConfigVersion,
    /// The load of its pools.
    pub pools: Vec<PoolSummary>,
    /// Whether the receiver still has to relay it inside its data centre.
    pub relay: bool,
}

/// A VM with its address for messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAddress {
    /// The VM.
    pub vm: VmId,
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// The load of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The model.
    pub model: ModelName,
    /// Sequences that could start now.
    pub free: u32,
    /// Online requests that wait.
    pub waiting: u32,
}
