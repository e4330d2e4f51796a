//! Routing of load reports through a fleet.
//!
//! In a small fleet every VM reports to every other one. The number of connections and datagrams grows with
//! the square of the fleet size, so in a larger fleet the VMs of a data centre form groups. A VM reports to
//! two relays of its group; relays exchange the reports of their groups and forward all reports to the VMs
//! that report to them. A relay is any VM that others report to, so an unresponsive one is replaced
//! without coordination.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::EncodedReport;
use crate::ids::{DataCentreId, VmId};

/// Maximum size of a fleet that reports directly; relays would add hops and save little.
const MAX_DIRECT_VMS: usize = 24;
/// Maximum size of a group. A relay sends each of its members all reports of the fleet.
const MAX_GROUP_VMS: usize = 24;
/// Relays that a VM reports to; with two, the loss of one doesn't interrupt the reports.
const RELAYS_PER_GROUP: usize = 2;
/// Time without a message after which a relay is replaced; a relay sends at least every 400 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval at which an unresponsive relay is sent a report in addition to its replacements. It is used
/// again once it responds. Probing it in place of a replacement would interrupt the reports each time.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);
/// Time after which a subscription to reports expires unless it is renewed.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_millis(1500);

/// Reports that the sender of a report subscribes to at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportInterest {
    /// No reports, for example in a small fleet where all VMs report directly.
    Nothing,
    /// Reports that the receiver got directly from the VMs that they describe.
    Group,
    /// All reports.
    All,
}

/// VM that takes part in the exchange of load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportMember {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    /// Processor share in thousandths of a core; the largest VMs of a group are its relays.
    pub(crate) capacity: u32,
}

/// Reports to forward.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    /// Reports for relays of other groups: those received directly from the VMs that they describe.
    pub(crate) group: Vec<EncodedReport>,
    /// Reports for the VMs that report to this one.
    pub(crate) all: Vec<EncodedReport>,
}

struct PendingReport {
    report: EncodedReport,
    is_direct: bool,
}

/// Receivers and subscribers of one VM's reports, and the reports that it has to forward.
pub(crate) struct ReportRoutes {
    local_vm: VmId,
    /// VMs of each group, the preferred relays first. The first group is the local VM's.
    groups: Vec<Vec<VmId>>,
    is_direct: bool,
    last_seen_at: HashMap<VmId, Duration>,
    /// Time since which this VM reports to a relay without interruption.
    reporting_since: HashMap<VmId, Duration>,
    /// Unresponsive relays with the time of their next probe.
    unresponsive: HashMap<VmId, Duration>,
    subscribers: HashMap<VmId, (ReportInterest, Duration)>,
    pending: HashMap<VmId, PendingReport>,
}

impl ReportRoutes {
    /// Creates the routes of a VM that knows no other VM yet.
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

    /// Sets the members of the fleet, including the local VM.
    pub(crate) fn set_members(&mut self, members: &[ReportMember]) {
        let listed: HashSet<&VmId> = members.iter().map(|member| &member.vm).collect();
        let is_listed = |vm: &VmId| listed.contains(vm);
        self.is_direct = members.len() <= MAX_DIRECT_VMS;
        self.groups = group_members(&self.local_vm, members);
        self.last_seen_at.retain(|vm, _| is_listed(vm));
        self.unresponsive.retain(|vm, _| is_listed(vm));
        self.subscribers.retain(|vm, _| is_listed(vm));
    }

    /// Resets the liveness state of a VM that has restarted.
    pub(crate) fn reset_vm(&mut self, vm: &VmId) {
        self.unresponsive.remove(vm);
        self.reporting_since.remove(vm);
    }

    /// Records a message from a VM and renews its subscription.
    pub(crate) fn record_contact(&mut self, now: Duration, from: &VmId, interest: ReportInterest) {
        self.last_seen_at.insert(from.clone(), now);
        self.unresponsive.remove(from);
        // Forwarded reports carry no interest and leave the sender's subscription unchanged.
        if interest != ReportInterest::Nothing {
            self.subscribers.insert(from.clone(), (interest, now));
        }
    }

    /// Adds a new report to forward. `is_direct` tells whether it came from the VM that it describes.
    pub(crate) fn add(&mut self, now: Duration, report: EncodedReport, is_direct: bool) {
        if !self.has_subscribers(now) {
            return;
        }
        // A relay of another group also sends its own report; that group's relays forward it to the others.
        let subscriber = self.subscribers.get(&report.vm);
        let is_relay_of_other_group =
            subscriber.is_some_and(|(interest, _)| *interest == ReportInterest::Group);
        let is_direct = is_direct && !is_relay_of_other_group;
        self.pending.insert(report.vm.clone(), PendingReport { report, is_direct });
    }

    /// Returns whether any VM has a current subscription.
    pub(crate) fn has_subscribers(&self, now: Duration) -> bool {
        self.subscribers(now).next().is_some()
    }

    /// Removes and returns the reports to forward.
    pub(crate) fn take_pending(&mut self) -> PendingReports {
        let mut reports = PendingReports::default();
        for pending in self.pending.drain().map(|(_, pending)| pending) {
            if pending.is_direct {
                reports.group.push(pending.report.clone());
            }
            reports.all.push(pending.report);
        }
        reports
    }

    /// Returns the VMs with a current subscription.
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

    /// Returns the VMs to report to, with the reports that this VM subscribes to at each.
    pub(crate) fn receivers(&mut self, now: Duration) -> Vec<(VmId, ReportInterest)> {
        if self.is_direct {
            let others = self.groups.iter().flatten().filter(|vm| **vm != self.local_vm);
            return others.map(|vm| (vm.clone(), ReportInterest::Nothing)).collect();
        }
        self.mark_unresponsive(now);
        let group_relays = self.relays(now, 0);
        let position = group_relays.iter().position(|vm| *vm == self.local_vm);
        let mut receivers = Vec::new();
        let has_subscribers =
            self.subscribers(now).any(|(_, interest)| interest == ReportInterest::All);
        if has_subscribers || position.is_some() {
            // Members may report to other relays of the group than this one, as VMs find different ones after
            // losses.
            let others = group_relays.into_iter().filter(|vm| *vm != self.local_vm);
            receivers.extend(others.map(|vm| (vm, ReportInterest::All)));
            for group in 1..self.groups.len() {
                let relays = self.relays(now, group);
                let relays = counterparts(&relays, position);
                receivers.extend(relays.iter().map(|vm| (vm.clone(), ReportInterest::Group)));
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

    /// Returns the number of VMs at which a report waits for an interval, including its origin.
    pub(crate) fn hops(&self) -> u32 {
        if self.is_direct { 1 } else { 3 }
    }

    /// Returns the first VMs of a group, up to `RELAYS_PER_GROUP` live ones. For each unresponsive VM two
    /// more candidates are included, so that relays are found in a few rounds after the loss of many VMs.
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
            if live == RELAYS_PER_GROUP || relays.len() == RELAYS_PER_GROUP + 2 * unresponsive {
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

    /// Returns the unresponsive relays whose probe is due, and schedules their next probe.
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

/// Returns the relays of another group that a relay exchanges reports with. The first relays of all groups
/// exchange reports, and so do the second ones, so that two copies of each report travel between groups and
/// either is enough. After losses, candidates that are not known to be live are all included.
fn counterparts(relays: &[VmId], position: Option<usize>) -> &[VmId] {
    match position {
        Some(position) if relays.len() == RELAYS_PER_GROUP && position < relays.len() => {
            &relays[position..=position]
        }
        _ => relays,
    }
}

/// Splits the members of each data centre into groups; the group of `local_vm` comes first.
fn group_members(local_vm: &VmId, members: &[ReportMember]) -> Vec<Vec<VmId>> {
    let mut data_centres: BTreeMap<&DataCentreId, Vec<&ReportMember>> = BTreeMap::new();
    for member in members {
        data_centres.entry(&member.data_centre).or_default().push(member);
    }
    let mut groups = Vec::new();
    for mut listed in data_centres.into_values() {
        // Sorted by capacity and assigned round-robin, so that large VMs are spread over all groups.
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
