//! Tests of load reports over relays: the reports of every VM reach every other VM, also after losses.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use proptest::prelude::*;

use crate::gateway::load::LoadReport;
use crate::gateway::report_routes::{ReportInterest, ReportMember, ReportRoutes};
use crate::ids::{DataCentreId, VmId};

const TICK: Duration = Duration::from_millis(50);
/// Long enough for relays to time out, reports to expire and an exchange to complete.
const SETTLE_TICKS: u32 = 80;

fn members(vms: usize, data_centres: usize) -> Vec<ReportMember> {
    let member = |number: usize| ReportMember {
        vm: VmId::from(format!("vm{number}")),
        data_centre: DataCentreId::from(format!("dc{}", number % data_centres)),
        capacity: if number.is_multiple_of(4) { 500 } else { 120 },
    };
    (0..vms).map(member).collect()
}

/// VMs that exchange reports over a network without delays.
struct ReportFleet {
    routes: HashMap<VmId, ReportRoutes>,
    /// Newest report sequence of each other VM, by the VM that received it.
    received: HashMap<VmId, HashMap<VmId, u64>>,
    lost: BTreeSet<VmId>,
    now: Duration,
    datagrams: usize,
}

impl ReportFleet {
    fn open(members: &[ReportMember]) -> Self {
        let routes = members.iter().map(|member| {
            let mut routes = ReportRoutes::open(&member.vm);
            routes.set_members(members);
            (member.vm.clone(), routes)
        });
        Self {
            routes: routes.collect(),
            received: members.iter().map(|member| (member.vm.clone(), HashMap::new())).collect(),
            lost: BTreeSet::new(),
            now: Duration::from_secs(1),
            datagrams: 0,
        }
    }

    fn deliver(
        &mut self,
        from: &VmId,
        to: &VmId,
        interest: ReportInterest,
        reports: &[(VmId, LoadReport)],
    ) {
        self.datagrams += 1;
        if self.lost.contains(to) {
            return;
        }
        let (Some(routes), Some(received)) = (self.routes.get_mut(to), self.received.get_mut(to))
        else {
            return;
        };
        routes.record_contact(self.now, from, interest);
        for (vm, report) in reports.iter().filter(|(vm, _)| vm != to) {
            let known = received.entry(vm.clone()).or_default();
            if report.sequence > *known {
                *known = report.sequence;
                routes.add(self.now, vm, report, vm == from);
            }
        }
    }

    /// Sends one report of every VM, and forwards reports until none are pending.
    fn tick(&mut self, sequence: u64) {
        self.now += TICK;
        let vms: Vec<VmId> =
            self.routes.keys().filter(|vm| !self.lost.contains(*vm)).cloned().collect();
        let mut in_flight = VecDeque::new();
        for vm in &vms {
            let report = LoadReport { sequence, ..LoadReport::default() };
            let Some(routes) = self.routes.get_mut(vm) else { continue };
            routes.add(self.now, vm, &report, true);
            for (to, interest) in routes.receivers(self.now) {
                in_flight.push_back((vm.clone(), to, interest, vec![(vm.clone(), report.clone())]));
            }
        }
        loop {
            while let Some((from, to, interest, reports)) = in_flight.pop_front() {
                self.deliver(&from, &to, interest, &reports);
            }
            for vm in &vms {
                let Some(routes) = self.routes.get_mut(vm) else { continue };
                let pending = routes.take_pending();
                if pending.all.is_empty() {
                    continue;
                }
                for (to, interest) in routes.subscribers(self.now) {
                    let all = interest == ReportInterest::All;
                    let reports = if all { &pending.all } else { &pending.group };
                    let nothing = ReportInterest::Nothing;
                    in_flight.push_back((vm.clone(), to.clone(), nothing, reports.clone()));
                }
            }
            if in_flight.is_empty() {
                return;
            }
        }
    }

    fn settle(&mut self, from: u64) -> u64 {
        let last = from + u64::from(SETTLE_TICKS);
        for sequence in from..last {
            self.tick(sequence);
        }
        last
    }

    /// Returns the pairs of running VMs of which the first has not received the second's last report.
    fn missing(&self, sequence: u64) -> Vec<(VmId, VmId)> {
        let running: Vec<&VmId> =
            self.routes.keys().filter(|vm| !self.lost.contains(*vm)).collect();
        let pairs = running.iter().flat_map(|vm| running.iter().map(move |other| (*vm, *other)));
        pairs
            .filter(|(vm, other)| {
                vm != other && self.received[*vm].get(*other).copied().unwrap_or(0) < sequence
            })
            .map(|(vm, other)| (vm.clone(), other.clone()))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]
    #[test]
    fn reports_reach_all_vms_after_losses(
        vms in 1_usize..90,
        data_centres in 1_usize..5,
        lost in prop::collection::vec(0_usize..110, 0..40),
        back in prop::collection::vec(0_usize..40, 0..20),
    ) {
        let members = members(vms, data_centres);
        let mut fleet = ReportFleet::open(&members);
        let sequence = fleet.settle(1);
        prop_assert_eq!(fleet.missing(sequence - 1), vec![]);
        for number in &lost {
            fleet.lost.insert(VmId::from(format!("vm{}", number % vms)));
        }
        let sequence = fleet.settle(sequence);
        prop_assert_eq!(fleet.missing(sequence - 1), vec![]);
        for number in back.iter().filter_map(|number| lost.get(*number)) {
            fleet.lost.remove(&VmId::from(format!("vm{}", number % vms)));
        }
        let sequence = fleet.settle(sequence);
        prop_assert_eq!(fleet.missing(sequence - 1), vec![]);
    }
}

#[test]
fn lost_relay_causes_no_gap() {
    let members = members(85, 4);
    let mut fleet = ReportFleet::open(&members);
    let sequence = fleet.settle(1);
    // `vm0` is large and therefore a relay.
    fleet.lost.insert(VmId::from("vm0"));
    fleet.tick(sequence);
    assert_eq!(fleet.missing(sequence), vec![]);
}

#[test]
fn large_fleet_sends_few_datagrams() {
    let sent = |vms: usize| {
        let mut fleet = ReportFleet::open(&members(vms, 3));
        let sequence = fleet.settle(1);
        fleet.datagrams = 0;
        fleet.tick(sequence);
        fleet.datagrams as f64 / vms as f64
    };
    // Direct reports would take 299 datagrams per VM and tick in a fleet of 300.
    insta::assert_debug_snapshot!(
        [12, 24, 85, 300].map(|vms| format!("{vms} VMs: {:.0}", sent(vms)))
    );
}
