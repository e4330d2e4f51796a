//! How load reports travel through a fleet.
//!
//! In a small fleet every VM reports to every other one, which costs connections and datagrams by the
//! square of the fleet. In a larger one the VMs of a data centre form groups. A VM reports to two relays of
//! its group; relays exchange the reports of their groups and pass all on to the VMs that report to
//! them. A relay is any VM that others report to, so a silent one is replaced without an agreement.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::LoadReport;
use crate::ids::{DataCentreId, VmId};

/// Fleets up to this size report directly: relays would add a hop and save little.
const MAX_DIRECT_VMS: usize = 24;
/// VMs of a group. A relay sends each of them all reports of the fleet.
const MAX_GROUP_VMS: usize = 24;
/// Relays that a VM reports to, so that one may be lost without a gap.
const RELAYS_PER_GROUP: usize = 2;
/// A relay that was not heard for this long is replaced; it sends at least every 400 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
/// A silent relay is sent a report this often beside those that replace it, and counts again once it
/// was heard. Used in their place, lost relays would leave a gap each time.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);
/// A VM that has not asked for reports for this long gets none.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_millis(1500);

/// What the sender of a report wants to be told in return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportInterest {
    /// Nothing: it hears from all VMs directly.
    Nothing,
    /// Reports that the receiver has from the VMs themselves.
    Group,
    /// All reports.
    All,
}

/// A VM that takes part in the exchange of reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportMember {
    /// The VM.
    pub(crate) vm: VmId,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// Its processor share in thousandths of a core; the largest VMs of a group relay.
    pub(crate) capacity: u32,
}

/// Reports to pass on, by their VMs.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    /// Reports for relays of other groups: those that came from the VMs themselves.
    pub(crate) group: Vec<(VmId, LoadReport)>,
    /// Reports for the VMs that report here.
    pub(crate) all: Vec<(VmId, LoadReport)>,
}

struct PendingReport {
    report: LoadReport,
    is_direct: bool,
}

/// Whom one VM reports to, and whose reports it passes on.
pub(crate) struct ReportRoutes {
    local_vm: VmId,
    /// The VMs of each group, the best relay first. The own group is the first one.
    groups: Vec<Vec<VmId>>,
    is_direct: bool,
    last_seen_at: HashMap<VmId, Duration>,
    /// Since when this VM reports to a relay.
    reporting_since: HashMap<VmId, Duration>,
    /// Relays that fell silent, with the time of their next probe.
    unresponsive: HashMap<VmId, Duration>,
    subscribers: HashMap<VmId, (ReportInterest, Duration)>,
    pending: HashMap<VmId, PendingReport>,
}

impl ReportRoutes {
    /// Routes of a VM that knows no other one yet.
    pub(crate) fn open(local_vm: &VmId) -> Self {
        Self {
            local_vm: local_vm.clone(),
            groups: vec![vec![local_vm.clone()]],
            is_direct: true,
            last_seen_at: HashMap::new(),
            reporting_since: HashMap::new(),
            unresponsive: HashMap::new(),
            subscribers: HashMap::new(),
            pending: HashMap::new(),
        }
    }

    /// Sets the members of the fleet, the VM itself included.
    pub(crate) fn set_members(&mut self, members: &[ReportMember]) {
        let is_listed = |vm: &VmId| members.iter().any(|member| member.vm == *vm);
        self.is_direct = members.len() <= MAX_DIRECT_VMS;
        self.groups = group_members(&self.local_vm, members);
        self.last_seen_at.retain(|vm, _| is_listed(vm));
        self.unresponsive.retain(|vm, _| is_listed(vm));
        self.subscribers.retain(|vm, _| is_listed(vm));
    }

    /// Forgets that a VM was silent, because it has started anew.
    pub(crate) fn reset_vm(&mut self, vm: &VmId) {
        self.unresponsive.remove(vm);
        self.reporting_since.remove(vm);
    }

    /// Notes that a VM was heard itself and what it wants to be told.
    pub(crate) fn record_contact(&mut self, now: Duration, from: &VmId, interest: ReportInterest) {
        self.last_seen_at.insert(from.clone(), now);
        self.unresponsive.remove(from);
        // A relay that passes reports on keeps what it asked for with its own report.
        if interest != ReportInterest::Nothing {
            self.subscribers.insert(from.clone(), (interest, now));
        }
    }

    /// Takes a new report to be passed on; `is_direct` if it came from its VM.
    pub(crate) fn add(&mut self, now: Duration, vm: &VmId, report: &LoadReport, is_direct: bool) {
        if self.subscribers(now).next().is_none() {
            return;
        }
        let pending = PendingReport { report: report.clone(), is_direct };
        self.pending.insert(vm.clone(), pending);
    }

    /// The reports to pass on.
    pub(crate) fn take_pending(&mut self) -> PendingReports {
        let mut reports = PendingReports::default();
        for (vm, pending) in self.pending.drain() {
            if pending.is_direct {
                reports.group.push((vm.clone(), pending.report.clone()));
            }
            reports.all.push((vm, pending.report));
        }
        reports
    }

    /// The VMs that want to be told reports.
    pub(crate) fn subscribers(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&VmId, ReportInterest)> {
        let current = self
            .subscribers
            .iter()
            .filter(move |(_, (_, at))| now.saturating_sub(*at) <= SUBSCRIPTION_LIFETIME);
        current.map(|(vm, (interest, _))| (vm, *interest))
    }

    /// The VMs to report to, with what this VM wants to be told by them.
    pub(crate) fn receivers(&mut self, now: Duration) -> Vec<(VmId, ReportInterest)> {
        if self.is_direct {
            let others = self.groups.iter().flatten().filter(|vm| **vm != self.local_vm);
            return others.map(|vm| (vm.clone(), ReportInterest::Nothing)).collect();
        }
        self.mark_unresponsive(now);
        let group_relays = self.relays(now, 0);
        let mut receivers = Vec::new();
        let has_subscribers =
            self.subscribers(now).any(|(_, interest)| interest == ReportInterest::All);
        if has_subscribers || group_relays.contains(&self.local_vm) {
            // A VM that only takes itself for a relay is not told reports by the others of its group.
            let interest =
                if has_subscribers { ReportInterest::Nothing } else { ReportInterest::All };
            let others = group_relays.into_iter().filter(|vm| *vm != self.local_vm);
            receivers.extend(others.map(|vm| (vm, interest)));
            for group in 1..self.groups.len() {
                let relays = self.relays(now, group).into_iter();
                receivers.extend(relays.map(|vm| (vm, ReportInterest::Group)));
            }
        } else {
            receivers.extend(group_relays.into_iter().map(|vm| (vm, ReportInterest::All)));
        }
        let subscribed =
            receivers.iter().filter(|(_, interest)| *interest != ReportInterest::Nothing);
        let subscribed: HashMap<VmId, Duration> = subscribed
            .map(|(vm, _)| (vm.clone(), self.reporting_since.get(vm).copied().unwrap_or(now)))
            .collect();
        self.reporting_since = subscribed;
        receivers.extend(self.probes(now));
        receivers
    }

    /// The VMs at which a report waits on its way, its own included.
    pub(crate) fn hops(&self) -> u32 {
        if self.is_direct { 1 } else { 3 }
    }

    /// The first VMs of a group, up to two that are heard. For each silent one another one is tried
    /// meanwhile, so that a group of which many were lost is found again in a few rounds.
    fn relays(&self, now: Duration, group: usize) -> Vec<VmId> {
        let group = &self.groups[group];
        let is_live = |vm: &VmId| {
            let last_seen_at = self.last_seen_at.get(vm);
            last_seen_at.is_some_and(|at| now.saturating_sub(*at) <= RELAY_TIMEOUT)
                || *vm == self.local_vm
        };
        let unresponsive = group.iter().filter(|vm| self.unresponsive.contains_key(*vm)).count();
        let mut relays = Vec::new();
        let mut live = 0;
        for vm in group.iter().filter(|vm| !self.unresponsive.contains_key(*vm)) {
            if live == RELAYS_PER_GROUP || relays.len() == RELAYS_PER_GROUP + unresponsive {
                break;
            }
            live += usize::from(is_live(vm));
            relays.push(vm.clone());
        }
        relays
    }

    fn mark_unresponsive(&mut self, now: Duration) {
        for (vm, since) in &self.reporting_since {
            let last_seen_at = self.last_seen_at.get(vm).copied().unwrap_or_default();
            if now.saturating_sub(last_seen_at.max(*since)) > RELAY_TIMEOUT {
                self.unresponsive.insert(vm.clone(), now + PROBE_INTERVAL);
            }
        }
    }

    /// Silent relays whose probe is due.
    fn probes(&mut self, now: Duration) -> Vec<(VmId, ReportInterest)> {
        let mut probes = Vec::new();
        for (vm, probe_at) in &mut self.unresponsive {
            if now >= *probe_at {
                *probe_at = now + PROBE_INTERVAL;
                let in_local_group = self.groups[0].contains(vm);
                let interest =
                    if in_local_group { ReportInterest::All } else { ReportInterest::Group };
                probes.push((vm.clone(), interest));
            }
        }
        probes
    }
}

/// Splits the members into groups of one data centre each; the group of `own` comes first.
fn group_members(local_vm: &VmId, members: &[ReportMember]) -> Vec<Vec<VmId>> {
    let mut data_centres: BTreeMap<&DataCentreId, Vec<&ReportMember>> = BTreeMap::new();
    for member in members {
        data_centres.entry(&member.data_centre).or_default().push(member);
    }
    let mut groups = Vec::new();
    for mut listed in data_centres.into_values() {
        // Dealt out in this order, every group has its part of the large VMs.
        listed.sort_by_key(|member| {
            (Reverse(member.capacity), xxh3_64(member.vm.as_str().as_bytes()))
        });
        let count = listed.len().div_ceil(MAX_GROUP_VMS);
        for group in 0..count {
            let selected = listed.iter().skip(group).step_by(count);
            groups.push(selected.map(|member| member.vm.clone()).collect::<Vec<_>>());
        }
    }
    let Some(position) = groups.iter().position(|group| group.contains(local_vm)) else {
        groups.insert(0, vec![local_vm.clone()]);
        return groups;
    };
    groups.swap(0, position);
    groups
}
