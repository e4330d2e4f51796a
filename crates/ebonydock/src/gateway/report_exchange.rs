//! Sending load reports, and passing on those of others.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::load::{LoadNews, LoadReport};
use crate::gateway::report_routes::ReportInterest;
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;

/// Load is reported at most this often; each report costs every other VM the reading of it.
const REPORT_INTERVAL: Duration = Duration::from_millis(15);
/// From about a hundred VMs on, each reports less often by this much for each member, so that the reports
/// of all arrive at a steady rate. With 0.5 ms, VMs of a fleet of 85 more often chose the same target.
const INTERVAL_PER_MEMBER: Duration = Duration::from_micros(150);
/// A report travels for this long, between data centres.
const REPORT_TRAVEL: Duration = Duration::from_millis(3);
/// Unchanged load is reported this often, several times within the lifetime of a report.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A datagram fits into a packet of the usual size with its headers.
const DATAGRAM_BYTES: usize = 1000;
/// The encoded size of a report without its lists, of one entry for a target and of one for a quota.
const REPORT_BYTES: (usize, usize, usize) = (40, 8, 16);

/// Whether a report tells anything that an earlier one of the same VM does not.
fn is_news(report: &LoadReport, before: &LoadReport) -> bool {
    report.targets != before.targets
        || report.waiting != before.waiting
        || report.quotas.iter().any(|spent| !before.quotas.contains(spent))
}

fn report_bytes(report: &LoadReport) -> usize {
    let (whole, target, quota) = REPORT_BYTES;
    whole + (report.targets.len() + report.waiting.len()) * target + report.quotas.len() * quota
}

/// Splits reports into lists that fit into a datagram each.
fn pack(reports: Vec<(VmId, LoadReport)>) -> Vec<Vec<(VmId, LoadReport)>> {
    let mut packs: Vec<Vec<(VmId, LoadReport)>> = Vec::new();
    let mut bytes = DATAGRAM_BYTES;
    for (vm, report) in reports {
        let size = report_bytes(&report);
        if bytes + size > DATAGRAM_BYTES {
            packs.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(pack) = packs.last_mut() {
            pack.push((vm, report));
        }
    }
    packs
}

impl GatewayCore {
    /// Takes reports that another VM sent or passed on.
    pub(crate) fn take_load_news(self: &Rc<Self>, from: &VmId, news: &LoadNews) {
        let now = monotonic();
        self.peering.routes.borrow_mut().hear(now, from, news.interest);
        let fresh = self.apply_reports(&news.reports);
        let mut routes = self.peering.routes.borrow_mut();
        for (vm, report) in fresh {
            routes.add(now, vm, report, vm == from);
        }
    }

    fn report_interval(&self) -> Duration {
        REPORT_INTERVAL.max(INTERVAL_PER_MEMBER * self.peering.member_count() as u32)
    }

    /// How old the reports of other VMs are at the mean: half an interval at each VM on their way.
    pub(crate) fn report_age(&self) -> Duration {
        self.report_interval() * self.peering.routes.borrow().hops() / 2 + REPORT_TRAVEL
    }

    fn send_report(&self, report: &LoadReport) {
        let now = monotonic();
        let own = &self.settings.vm;
        let receivers = {
            let mut routes = self.peering.routes.borrow_mut();
            routes.add(now, own, report, true);
            routes.receivers(now)
        };
        let encode = |interest| {
            let reports = vec![(own.clone(), report.clone())];
            [self.peering.encode(LoadNews { interest, reports })]
        };
        for interest in [ReportInterest::Nothing, ReportInterest::Group, ReportInterest::All] {
            let mut asked = receivers.iter().filter(|(_, own)| *own == interest).peekable();
            if asked.peek().is_none() {
                continue;
            }
            let frames = encode(interest);
            for (vm, _) in asked {
                self.peering.send(now, vm, &frames);
            }
        }
    }

    fn forward_round(&self) {
        let now = monotonic();
        let mut routes = self.peering.routes.borrow_mut();
        let round = routes.take_round();
        if round.all.is_empty() {
            return;
        }
        let encode = |reports| {
            let frames = pack(reports).into_iter().map(|reports| {
                self.peering.encode(LoadNews { interest: ReportInterest::Nothing, reports })
            });
            frames.collect::<Vec<_>>()
        };
        let (group, all) = (encode(round.group), encode(round.all));
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
        if !is_news(&report, &last) && now < last_at + HEARTBEAT_INTERVAL {
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
        core.forward_round();
    }
}
