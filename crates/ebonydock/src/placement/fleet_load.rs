//! Last load report of each other VM, and the sums over all of them.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ids::{ServiceName, VmId};
use crate::placement::load::{ReportedLoad, ReportedWait, VmReport, service_hash};

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportedUse {
    pub(crate) all: u32,
    pub(crate) batch: u32,
}

/// Last report of every live VM but the local one.
#[derive(Debug)]
pub(crate) struct FleetLoad {
    local_vm: VmId,
    vms: FxHashMap<VmId, VmLoad>,
    /// Sums over the reports in `vms`, by the target's and the service's hash. A report changes them by its
    /// difference to the VM's previous one, at a cost that doesn't depend on the size of the fleet.
    uses: FxHashMap<u32, ReportedUse>,
    waiting: FxHashMap<u32, u32>,
}

impl FleetLoad {
    /// Opens the view of a VM that has no report yet.
    pub(crate) fn open(local_vm: &VmId) -> Self {
        Self {
            local_vm: local_vm.clone(),
            vms: FxHashMap::default(),
            uses: FxHashMap::default(),
            waiting: FxHashMap::default(),
        }
    }

    /// Returns whether a report would be applied: it is newer than the VM's last one, and not the local VM's
    /// own, which relays send back to it.
    fn is_new(&self, vm: &str, incarnation: u64, sequence: u64) -> bool {
        let is_stale = self
            .vms
            .get(vm)
            .is_some_and(|load| load.incarnation == incarnation && load.sequence >= sequence);
        !is_stale && vm != self.local_vm.as_str()
    }

    /// Returns the VM of a received report if the report would be applied.
    pub(crate) fn new_report_vm(&self, vm: &str, incarnation: u64, sequence: u64) -> Option<VmId> {
        let is_new = self.is_new(vm, incarnation, sequence);
        let known = || self.vms.get_key_value(vm).map(|(vm, _)| vm.clone());
        is_new.then(|| known().unwrap_or_else(|| VmId::from(vm)))
    }

    /// Applies a report; returns false if it is not new.
    pub(crate) fn observe(&mut self, now: Duration, vm: &VmId, report: &impl VmReport) -> bool {
        if !self.is_new(vm.as_str(), report.incarnation(), report.sequence()) {
            return false;
        }
        let load = VmLoad {
            incarnation: report.incarnation(),
            sequence: report.sequence(),
            received_at: now,
            targets: report.targets().to_vec(),
            waiting: report.waiting().to_vec(),
        };
        if let Some(previous) = self.vms.remove(vm) {
            self.subtract(&previous);
        }
        self.add(&load);
        self.vms.insert(vm.clone(), load);
        true
    }

    /// Removes the VMs whose last report has expired, and returns them.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<VmId> {
        let is_expired = |load: &VmLoad| now.saturating_sub(load.received_at) > REPORT_LIFETIME;
        let expired: Vec<_> = self.vms.extract_if(|_, load| is_expired(load)).collect();
        for (_, load) in &expired {
            self.subtract(load);
        }
        expired.into_iter().map(|(vm, _)| vm).collect()
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
        self.waiting.get(&service_hash(service)).copied().unwrap_or_default()
    }

    /// Returns the requests of all other VMs at the target with this hash.
    pub(crate) fn use_of(&self, target: u32) -> ReportedUse {
        self.uses.get(&target).copied().unwrap_or_default()
    }

    fn add(&mut self, load: &VmLoad) {
        for target in &load.targets {
            let sum = self.uses.entry(target.target).or_default();
            sum.all += u32::from(target.online) + u32::from(target.batch);
            sum.batch += u32::from(target.batch);
        }
        for wait in &load.waiting {
            *self.waiting.entry(wait.service).or_default() += u32::from(wait.requests);
        }
    }

    /// Subtracts a load added before. Sums of zero are removed, because targets come and go.
    fn subtract(&mut self, load: &VmLoad) {
        for target in &load.targets {
            let Some(sum) = self.uses.get_mut(&target.target) else { continue };
            sum.all -= u32::from(target.online) + u32::from(target.batch);
            sum.batch -= u32::from(target.batch);
            if sum.all == 0 {
                self.uses.remove(&target.target);
            }
        }
        for wait in &load.waiting {
            let Some(sum) = self.waiting.get_mut(&wait.service) else { continue };
            *sum -= u32::from(wait.requests);
            if *sum == 0 {
                self.waiting.remove(&wait.service);
            }
        }
    }
}
