//! The bodies of the operators' interface.

use serde::{Deserialize, Serialize};

use crate::configuration::{AccessEntry, Change, KeyHash, WorkspaceEntry};
use crate::ids::{ConfigVersion, DataCentreId, VmId, WorkspaceId};
use crate::membership::messages::MemberPhase;

/// An edit of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The version that the operator read.
    pub base_version: ConfigVersion,
    /// The changes, which take effect together.
    pub changes: Vec<Change>,
}

/// An accepted edit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EditReply {
    /// The version that the edit led to.
    pub version: ConfigVersion,
    /// VMs of this data centre and other data centres where it is not known to be in force yet.
    pub not_yet_in_force: Vec<String>,
}

/// The configuration as operators read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigReply {
    /// The version.
    pub version: ConfigVersion,
    /// The list of customers' plans.
    pub workspaces: Vec<WorkspaceEntry>,
    /// The list of what each plan may use.
    pub access: Vec<AccessEntry>,
    /// The keys, as hashes.
    pub keys: Vec<KeyEntry>,
    /// Data centres out of service.
    pub data_centres_out: Vec<DataCentreId>,
}

/// A key as operators read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The hash of the key.
    pub hash: KeyHash,
    /// The workspace that it is tied to.
    pub workspace: WorkspaceId,
}

/// The status of a VM and of what it sees.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// The VM that answers.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes requests.
    pub ready: bool,
    /// The configuration in force.
    pub config_version: ConfigVersion,
    /// Requests that run.
    pub running: usize,
    /// Buckets that it owns.
    pub buckets: usize,
    /// The share of its data centre that it has confirmed contact with.
    pub confirmed_share: f64,
    /// The other VMs of the data centre.
    pub members: Vec<MemberReport>,
    /// The other data centres.
    pub data_centres: Vec<DataCentreReport>,
    /// The targets of the pools that this VM schedules.
    pub targets: serde_json::Value,
    /// Messages and payload bytes sent to other VMs.
    pub peer_traffic: (u64, u64),
    /// UDP bytes sent to and received from other VMs.
    pub peer_wire_bytes: (u64, u64),
}

/// Another VM of the data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The VM.
    pub vm: VmId,
    /// Its phase.
    pub phase: MemberPhase,
    /// The configuration in force there.
    pub config_version: ConfigVersion,
}

/// Another data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it was heard of lately.
    pub reachable: bool,
    /// Whether it is out of service.
    pub out: bool,
    /// Its live VMs, as far as known.
    pub vms: usize,
    /// The lowest configuration in force there, as far as known.
    pub config_version: Option<ConfigVersion>,
}
