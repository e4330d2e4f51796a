//! Request and response bodies of the operator API (JSON).

use serde::{Deserialize, Serialize};

use crate::configuration::{AccessEntry, Change, KeyHash, WorkspaceEntry};
use crate::ids::{ConfigVersion, DataCentreId, VmId, WorkspaceId};
use crate::membership::messages::MemberPhase;

/// Edit of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// Version that the edit is based on.
    pub base_version: ConfigVersion,
    /// Changes, which are applied together.
    pub changes: Vec<Change>,
}

/// Response to an accepted edit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EditReply {
    /// Version created by the edit.
    pub version: ConfigVersion,
    /// VMs of this data centre and other data centres where the version is not known to be active yet.
    pub not_yet_in_force: Vec<String>,
}

/// Active configuration of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Workspaces with their plans.
    pub workspaces: Vec<WorkspaceEntry>,
    /// Access of each plan.
    pub access: Vec<AccessEntry>,
    /// Hashes of the API keys.
    pub keys: Vec<KeyEntry>,
    /// Data centres out of service.
    pub data_centres_out: Vec<DataCentreId>,
}

/// API key, identified by its hash.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceId,
}

/// Status of a VM, with its view of other VMs, data centres and targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// VM that responds.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Whether the VM accepts requests.
    pub ready: bool,
    /// Version of the active configuration.
    pub config_version: ConfigVersion,
    /// Number of running requests.
    pub running: usize,
    /// Number of buckets that the VM owns.
    pub buckets: usize,
    /// Fraction of the VMs of its data centre with confirmed contact (0 to 1).
    pub confirmed_share: f64,
    /// Other VMs of the data centre.
    pub members: Vec<MemberReport>,
    /// Other data centres.
    pub data_centres: Vec<DataCentreReport>,
    /// Targets of the pools that this VM schedules.
    pub targets: serde_json::Value,
    /// Numbers of messages and payload bytes sent to other VMs.
    pub peer_traffic: (u64, u64),
    /// Numbers of UDP bytes sent to and received from other VMs.
    pub peer_wire_bytes: (u64, u64),
}

/// Status of another VM of the data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the VM.
    pub vm: VmId,
    /// Phase of the VM.
    pub phase: MemberPhase,
    /// Version of the active configuration of the VM.
    pub config_version: ConfigVersion,
}

/// Status of another data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// Whether a recent digest of the data centre is known.
    pub reachable: bool,
    /// Whether the data centre is out of service.
    pub out: bool,
    /// Number of its live VMs in the last digest; 0 if no recent digest is known.
    pub vms: usize,
    /// Lowest version of the active configuration among its VMs, if a recent digest is known.
    pub config_version: Option<ConfigVersion>,
}
