//! Status and configuration of a VM as reported to operators.

use crate::clock::monotonic;
use crate::ids::ConfigVersion;
use crate::operators::messages::{
    ConfigReply, DataCentreReport, KeyEntry, MemberReport, StatusReply,
};
use crate::vm::VmShared;

/// Returns the status of a VM.
pub(crate) fn status(shared: &VmShared) -> StatusReply {
    let now = monotonic();
    let settings = &shared.settings;
    let config_version = shared.with_config(|config| config.version);
    let membership = shared.membership();
    let members = membership.members().map(|(vm, record)| MemberReport {
        vm: vm.clone(),
        phase: record.phase,
        config_version: record.config_version,
    });
    let members: Vec<MemberReport> = members.collect();
    let confirmed_share = membership.confirmed_share(now);
    drop(membership);
    StatusReply {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        ready: shared.is_ready(),
        config_version,
        running: shared.running(),
        buckets: shared.buckets().len(),
        confirmed_share,
        members,
        data_centres: data_centres(shared),
        targets: serde_json::to_value(shared.pools.target_reports()).unwrap_or_default(),
        peer_traffic: shared.peers.traffic(),
        peer_wire_bytes: shared.peers.wire_bytes(),
    }
}

fn data_centres(shared: &VmShared) -> Vec<DataCentreReport> {
    let now = monotonic();
    let settings = &shared.settings;
    let others = settings.data_centres.iter().filter(|id| **id != settings.data_centre);
    let report = |id: &crate::ids::DataCentreId| {
        let out = shared.with_config(|config| config.is_out_of_service(id));
        let fleet = shared.fleet();
        let digest = fleet.digest(now, id);
        DataCentreReport {
            data_centre: id.clone(),
            reachable: digest.is_some(),
            out,
            vms: digest.map_or(0, |digest| digest.vms.len()),
            config_version: digest.map(|digest| digest.config_version),
        }
    };
    others.map(report).collect()
}

/// Returns the VMs of this data centre and the other data centres where `version` is not known to be
/// active.
pub(crate) fn pending_activation(shared: &VmShared, version: ConfigVersion) -> Vec<String> {
    let status = status(shared);
    let vms = status.members.into_iter().filter(|member| member.config_version < version);
    let data_centres =
        status.data_centres.into_iter().filter(|report| report.config_version < Some(version));
    let data_centres = data_centres.map(|report| format!("data centre {}", report.data_centre));
    vms.map(|member| format!("VM {}", member.vm)).chain(data_centres).collect()
}

/// Returns the active configuration.
pub(crate) fn config(shared: &VmShared) -> ConfigReply {
    shared.with_config(|config| ConfigReply {
        version: config.version,
        workspaces: config.workspaces().cloned().collect(),
        access: config.access().cloned().collect(),
        keys: config
            .keys()
            .map(|(hash, workspace)| KeyEntry { hash: *hash, workspace: workspace.clone() })
            .collect(),
        data_centres_out: config.data_centres_out().cloned().collect(),
    })
}
