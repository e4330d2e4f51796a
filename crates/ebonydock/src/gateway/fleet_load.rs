//! Last load report of each other VM.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::{LoadReport, ReportedLoad, ReportedWait, service_hash};
use crate::ids::{ServiceName, VmId};

/// Time after which a VM's last report expires; several times the report interval.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct VmLoad {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
    targets: Vec<ReportedLoad>,
    waiting: Vec<ReportedWait>,
}

/// Requests of all other VMs at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedUse {
    pub(crate) all: u32,
    pub(crate) batch: u32,
}

/// Last report of every live VM but the local one.
#[derive(Debug)]
pub(crate) struct FleetLoad {
    local_vm: VmId,
    vms: HashMap<VmId, VmLoad>,
}

impl FleetLoad {
    /// Opens the view of a VM that has no report yet.
    pub(crate) fn open(local_vm: &VmId) -> Self {
        Self { local_vm: local_vm.clone(), vms: HashMap::new() }
    }

    /// Applies a report; returns false if it is no newer than the known one, or the local VM's own, which
    /// relays send back to it.
    pub(crate) fn observe(&mut self, now: Duration, vm: &VmId, report: &LoadReport) -> bool {
        if *vm == self.local_vm {
            return false;
        }
        let stale = self.vms.get(vm).is_some_and(|load| {
            load.incarnation == report.incarnation && load.sequence >= report.sequence
        });
        if stale {
            return false;
        }
        let load = VmLoad {
            incarnation: report.incarnation,
            sequence: report.sequence,
            received_at: now,
            targets: report.targets.clone(),
            waiting: report.waiting.clone(),
        };
        self.vms.insert(vm.clone(), load);
        true
    }

    /// Removes the VMs whose last report has expired, and returns them.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<VmId> {
        let is_expired = |load: &VmLoad| now.saturating_sub(load.received_at) > REPORT_LIFETIME;
        self.vms.extract_if(|_, load| is_expired(load)).map(|(vm, _)| vm).collect()
    }

    /// Returns the VMs with a current report.
    pub(crate) fn live_vms(&self) -> impl ExactSizeIterator<Item = &VmId> {
        self.vms.keys()
    }

    /// Returns whether a VM has a current report.
    pub(crate) fn is_live(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm)
    }

    /// Returns the number of online requests for a service that wait at other VMs.
    pub(crate) fn waiting(&self, service: &ServiceName) -> u32 {
        let service = service_hash(service);
        let waits = self.vms.values().flat_map(|load| &load.waiting);
        waits.filter(|wait| wait.service == service).map(|wait| u32::from(wait.requests)).sum()
    }

    /// Returns the requests of all other VMs by the target's hash.
    pub(crate) fn use_by_target(&self) -> HashMap<u32, ReportedUse> {
        let mut uses: HashMap<u32, ReportedUse> = HashMap::new();
        for load in self.vms.values().flat_map(|load| &load.targets) {
            let target_use = uses.entry(load.target).or_default();
            target_use.all += u32::from(load.online) + u32::from(load.batch);
            target_use.batch += u32::from(load.batch);
        }
        uses
    }
}
