//! Sending load reports, and passing on those of others.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::load::{LoadReport, LoadUpdate};
use crate::gateway::report_routes::ReportInterest;
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;

/// Load is reported at most this often; each report costs every other VM the reading of it.
const REPORT_INTERVAL: Duration = Duration::from_millis(15);
/// From about a hundred VMs on, each reports less often by this much for each member, so that the reports
/// of all arrive at a steady rate. With 0.5 ms, VMs of a fleet of 85 more often chose the same target.
const INTERVAL_PER_MEMBER: Duration = Duration::from_micros(150);
/// A report travels for this long, between data centres.
const REPORT_TRANSIT_TIME: Duration = Duration::from_millis(3);
/// Unchanged load is reported this often, several times within the lifetime of a report.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A datagram fits into a packet of the usual size with its headers.
const MAX_DATAGRAM_BYTES: usize = 1000;
/// The encoded size of a report without its lists, of one entry for a target and of one for a quota.
const REPORT_BYTES: (usize, usize, usize) = (40, 8, 16);

/// Whether a report tells anything that an earlier one of the same VM does not.
fn has_changes(report: &LoadReport, previous: &LoadReport) -> bool {
    report.targets != previous.targets
        || report.waiting != previous.waiting
        || report.quotas.iter().any(|spent| !previous.quotas.contains(spent))
}

fn report_bytes(report: &LoadReport) -> usize {
    let (base, target, quota) = REPORT_BYTES;
    base + (report.targets.len() + report.waiting.len()) * target + report.quotas.len() * quota
}

/// Splits reports into lists that fit into a datagram each.
fn pack_datagrams(reports: Vec<(VmId, LoadReport)>) -> Vec<Vec<(VmId, LoadReport)>> {
    let mut datagrams: Vec<Vec<(VmId, LoadReport)>> = Vec::new();
    let mut bytes = MAX_DATAGRAM_BYTES;
    for (vm, report) in reports {
        let size = report_bytes(&report);
        if bytes + size > MAX_DATAGRAM_BYTES {
            datagrams.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(datagram) = datagrams.last_mut() {
            datagram.push((vm, report));
        }
    }
    datagrams
}

impl GatewayCore {
    /// Takes reports that another VM sent or passed on.
    pub(crate) fn apply_load_update(self: &Rc<Self>, from: &VmId, update: &LoadUpdate) {
        let now = monotonic();
        self.peering.routes.borrow_mut().record_contact(now, from, update.interest);
        let new_reports = self.take_reports(&update.reports);
        let mut routes = self.peering.routes.borrow_mut();
        for (vm, report) in new_reports {
            routes.add(now, vm, report, vm == from);
        }
    }

    fn report_interval(&self) -> Duration {
        REPORT_INTERVAL.max(INTERVAL_PER_MEMBER * self.peering.member_count() as u32)
    }

    /// How old the reports of other VMs are at the mean: half an interval at each VM on their way.
    pub(crate) fn report_age(&self) -> Duration {
        self.report_interval() * self.peering.routes.borrow().hops() / 2 + REPORT_TRANSIT_TIME
    }

    fn send_report(&self, report: &LoadReport) {
        let now = monotonic();
        let local_vm = &self.settings.vm;
        let receivers = {
            let mut routes = self.peering.routes.borrow_mut();
            routes.add(now, local_vm, report, true);
            routes.receivers(now)
        };
        let encode = |interest| {
            let reports = vec![(local_vm.clone(), report.clone())];
            [self.peering.encode(LoadUpdate { interest, reports })]
        };
        for interest in [ReportInterest::Nothing, ReportInterest::Group, ReportInterest::All] {
            let mut matching =
                receivers.iter().filter(|(_, wanted)| *wanted == interest).peekable();
            if matching.peek().is_none() {
                continue;
            }
            let frames = encode(interest);
            for (vm, _) in matching {
                self.peering.send(now, vm, &frames);
            }
        }
    }

    fn forward_pending(&self) {
        let now = monotonic();
        let mut routes = self.peering.routes.borrow_mut();
        let pending = routes.take_pending();
        if pending.all.is_empty() {
            return;
        }
        let encode = |reports| {
            let frames = pack_datagrams(reports).into_iter().map(|reports| {
                self.peering.encode(LoadUpdate { interest: ReportInterest::Nothing, reports })
            });
            frames.collect::<Vec<_>>()
        };
        let (group, all) = (encode(pending.group), encode(pending.all));
        for (vm, interest) in routes.subscribers(now) {
            let frames = if interest == ReportInterest::All { &all } else { &group };
            self.peering.send(now, vm, frames);
        }
    }
}

/// Reports this VM's load as it changes.
pub(crate) async fn report_load(core: Rc<GatewayCore>) {
    let mut last = LoadReport::default();
    let mut last_at = Duration::ZERO;
    loop {
        tokio::time::sleep(core.report_interval()).await;
        let now = monotonic();
        let mut report = core.load_report(core.incarnation);
        if !has_changes(&report, &last) && now < last_at + HEARTBEAT_INTERVAL {
            continue;
        }
        report.sequence = last.sequence + 1;
        core.send_report(&report);
        last = report;
        last_at = now;
    }
}

/// Passes on the reports of others.
pub(crate) async fn forward_reports(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(core.report_interval()).await;
        core.forward_pending();
    }
}
