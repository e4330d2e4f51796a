//! Tests of load reports over relays: the reports of every VM reach every other VM, also after losses.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway::load::{EncodedReport, LoadReport, SpentQuota};
use crate::gateway::report_exchange::{MAX_DATAGRAM_BYTES, report_interval};
use crate::gateway::report_routes::{ReportInterest, ReportMember, ReportRoutes};
use crate::ids::{DataCentreId, ServiceName, VmId, WorkspaceId};
use crate::placement::fleet_load::{FleetLoad, ReportedUse};
use crate::placement::load::{ReportedLoad, ReportedWait, service_hash};

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
    data_centres: HashMap<VmId, DataCentreId>,
    /// Copies of each VM's reports that entered another data centre.
    copies: HashMap<(VmId, DataCentreId), usize>,
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
            data_centres: members
                .iter()
                .map(|member| (member.vm.clone(), member.data_centre.clone()))
                .collect(),
            copies: HashMap::new(),
        }
    }

    fn deliver(
        &mut self,
        from: &VmId,
        to: &VmId,
        interest: ReportInterest,
        reports: &[EncodedReport],
    ) {
        self.datagrams += 1;
        let data_centre = &self.data_centres[to];
        if self.data_centres[from] != *data_centre {
            for report in
                reports.iter().filter(|report| self.data_centres[&report.vm] != *data_centre)
            {
                let copies =
                    self.copies.entry((report.vm.clone(), data_centre.clone())).or_default();
                *copies += 1;
            }
        }
        if self.lost.contains(to) {
            return;
        }
        let (Some(routes), Some(received)) = (self.routes.get_mut(to), self.received.get_mut(to))
        else {
            return;
        };
        routes.record_contact(self.now, from, interest);
        for report in reports.iter().filter(|report| report.vm != *to) {
            let known = received.entry(report.vm.clone()).or_default();
            let sequence = report.frame().sequence;
            if sequence > *known {
                *known = sequence;
                let copy = EncodedReport::copy(&report.vm, &report.frame());
                routes.add(self.now, copy, report.vm == *from);
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
            let report = EncodedReport::encode(vm, &report);
            let Some(routes) = self.routes.get_mut(vm) else { continue };
            routes.add(self.now, report.clone(), true);
            for (to, interest) in routes.receivers(self.now) {
                in_flight.push_back((vm.clone(), to, interest, vec![report.clone()]));
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

/// Traffic between data centres is expensive. Relays send their own reports in addition, which renews their
/// subscriptions.
#[test]
fn reports_cross_to_each_group_of_other_data_centres_twice() {
    let members = members(195, 5);
    let mut fleet = ReportFleet::open(&members);
    let sequence = fleet.settle(1);
    fleet.copies.clear();
    fleet.tick(sequence);
    let groups_per_data_centre = 2;
    let mut copies: Vec<usize> = fleet.copies.values().copied().collect();
    copies.sort_unstable();
    assert_eq!(copies.len(), 195 * 4);
    assert_eq!(copies[copies.len() / 2], 2 * groups_per_data_centre);
    assert!(copies[copies.len() - 1] <= 4 * groups_per_data_centre, "{copies:?}");
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

/// Step of a random exchange of reports.
#[derive(Clone, Debug)]
enum ReportStep {
    Report { vm: u8, incarnation: u64, sequence: u64, loads: Vec<(u32, u8, u8)>, waiting: u16 },
    Pass { ms: u64 },
}

fn report_step() -> impl Strategy<Value = ReportStep> {
    let loads = prop::collection::vec((0_u32..6, any::<u8>(), any::<u8>()), 0..5);
    let report = (0_u8..6, 0_u64..3, 0_u64..20, loads, 0_u16..4).prop_map(
        |(vm, incarnation, sequence, loads, waiting)| ReportStep::Report {
            vm,
            incarnation,
            sequence,
            loads,
            waiting,
        },
    );
    prop_oneof![5 => report, 1 => (1_u64..2000).prop_map(|ms| ReportStep::Pass { ms })]
}

proptest! {
    /// Late, repeated and lost reports, restarts and silent VMs: no load is counted twice or left behind.
    #[test]
    fn sums_of_load_equal_last_reports(steps in prop::collection::vec(report_step(), 1..80)) {
        let service = ServiceName::from("llm");
        let mut fleet = FleetLoad::open(&VmId::from("vm0"));
        let mut last: BTreeMap<VmId, (LoadReport, Duration)> = BTreeMap::new();
        let mut now = Duration::from_secs(1);
        for step in steps {
            match step {
                ReportStep::Pass { ms } => {
                    now += Duration::from_millis(ms);
                    for vm in fleet.expire(now) {
                        last.remove(&vm);
                    }
                }
                ReportStep::Report { vm, incarnation, sequence, loads, waiting } => {
                    let vm = VmId::from(format!("vm{vm}"));
                    let load = |(target, online, batch)| ReportedLoad { target, online, batch };
                    let report = LoadReport {
                        incarnation,
                        sequence,
                        targets: loads.into_iter().map(load).collect(),
                        waiting: vec![ReportedWait {
                            service: service_hash(&service),
                            requests: waiting,
                        }],
                        ..LoadReport::default()
                    };
                    let encoded = EncodedReport::encode(&vm, &report);
                    let is_new = {
                        let frame = encoded.frame();
                        fleet.new_report_vm(frame.vm, frame.incarnation, frame.sequence).is_some()
                    };
                    prop_assert_eq!(encoded.frame().decode().unwrap(), report.clone());
                    prop_assert_eq!(fleet.observe(now, &vm, &report), is_new);
                    if is_new {
                        last.insert(vm, (report, now));
                    }
                }
            }
            prop_assert!(!last.contains_key(&VmId::from("vm0")), "own reports are counted");
            for target in 0..6 {
                let loads = last.values().flat_map(|(report, _)| &report.targets);
                let mut expected = ReportedUse::default();
                for load in loads.filter(|load| load.target == target) {
                    expected.all += u32::from(load.online) + u32::from(load.batch);
                    expected.batch += u32::from(load.batch);
                }
                prop_assert_eq!(fleet.use_of(target), expected);
            }
            let waits = last.values().flat_map(|(report, _)| &report.waiting);
            let expected: u32 = waits.map(|wait| u32::from(wait.requests)).sum();
            prop_assert_eq!(fleet.waiting(&service), expected);
        }
    }
}

/// Bytes for QUIC, UDP and the acknowledgement of a datagram.
const DATAGRAM_OVERHEAD_BYTES: usize = 110;
/// Requests per second and VM, and the slots that each VM uses on average.
const REQUESTS_PER_VM: f64 = 2.4;
const SLOTS_PER_VM: usize = 2;

/// Bytes per second sent and received by a VM.
#[derive(Clone, Copy, Debug, Default)]
struct VmTraffic {
    sent: f64,
    received: f64,
}

/// Plays the exchange of a fleet under load for some intervals and counts the bytes of every VM.
fn measure_traffic(vms: usize, data_centres: usize) -> BTreeMap<VmId, (VmTraffic, bool)> {
    let members = members(vms, data_centres);
    let mut fleet = ReportFleet::open(&members);
    fleet.settle(1);
    let interval = report_interval(vms);
    // Starts, ends and the quotas spent are reported at the next interval.
    let changes = 1.0 - (-2.0 * REQUESTS_PER_VM * interval.as_secs_f64()).exp();
    let mut random = StdRng::seed_from_u64(1);
    let mut bytes: BTreeMap<VmId, (usize, usize)> = BTreeMap::new();
    let intervals = 60;
    let size = |reports: &[EncodedReport]| {
        let content: usize =
            reports.iter().map(|report| postcard::to_stdvec(&report.frame()).unwrap().len()).sum();
        let datagrams = content.div_ceil(MAX_DATAGRAM_BYTES);
        content + datagrams * DATAGRAM_OVERHEAD_BYTES
    };
    let names: Vec<VmId> = members.iter().map(|member| member.vm.clone()).collect();
    for number in 0..intervals {
        fleet.now += interval;
        let mut sent: Vec<(VmId, VmId, ReportInterest, Vec<EncodedReport>)> = Vec::new();
        for vm in &names {
            if random.random::<f64>() >= changes {
                continue;
            }
            let load = |_| ReportedLoad { target: random.random(), online: 1, batch: 0 };
            let targets = (0..SLOTS_PER_VM).map(load).collect();
            let quota = |number: usize| SpentQuota {
                workspace: WorkspaceId::from(format!("abcd{number:03}")),
                requests: 300,
                age_ms: 20_000,
            };
            let report = LoadReport {
                incarnation: u64::MAX >> 1,
                sequence: 1000 + number,
                targets,
                quotas: (0..SLOTS_PER_VM).map(quota).collect(),
                ..LoadReport::default()
            };
            let report = EncodedReport::encode(vm, &report);
            let Some(routes) = fleet.routes.get_mut(vm) else { continue };
            routes.add(fleet.now, report.clone(), true);
            for (to, interest) in routes.receivers(fleet.now) {
                sent.push((vm.clone(), to, interest, vec![report.clone()]));
            }
        }
        // Relays forward what arrived in the interval before.
        for vm in &names {
            let Some(routes) = fleet.routes.get_mut(vm) else { continue };
            let pending = routes.take_pending();
            for (to, interest) in routes.subscribers(fleet.now) {
                let all = interest == ReportInterest::All;
                let reports = if all { &pending.all } else { &pending.group };
                if !reports.is_empty() {
                    sent.push((vm.clone(), to.clone(), ReportInterest::Nothing, reports.clone()));
                }
            }
        }
        for (from, to, interest, reports) in sent {
            let size = size(&reports);
            bytes.entry(from.clone()).or_default().0 += size;
            bytes.entry(to.clone()).or_default().1 += size;
            fleet.deliver(&from, &to, interest, &reports);
        }
    }
    let seconds = interval.as_secs_f64() * intervals as f64;
    let traffic = bytes.into_iter().map(|(vm, (sent, received))| {
        let is_relay = fleet.routes[&vm].has_subscribers(fleet.now);
        let per_second = |bytes: usize| bytes as f64 / seconds;
        let traffic = VmTraffic { sent: per_second(sent), received: per_second(received) };
        (vm, (traffic, is_relay))
    });
    traffic.collect()
}

/// KB per second: a VM that is no relay at the median, and the relay that sends most.
#[test]
fn report_traffic_by_fleet_size() {
    let describe = |vms: usize| {
        let traffic = measure_traffic(vms, 5);
        let mut members: Vec<VmTraffic> = traffic
            .values()
            .filter(|(_, is_relay)| !is_relay)
            .map(|(traffic, _)| *traffic)
            .collect();
        members.sort_by(|a, b| a.received.total_cmp(&b.received));
        let member = members.get(members.len() / 2).copied().unwrap_or_default();
        let relays = traffic.values().filter(|(_, is_relay)| *is_relay);
        let relay = relays.map(|(traffic, _)| *traffic).max_by(|a, b| a.sent.total_cmp(&b.sent));
        let relay = relay.unwrap_or_default();
        let kb = |bytes: f64| (bytes / 1000.0).round();
        format!(
            "{vms} VMs: member sends {} and receives {}, relay sends {} and receives {}",
            kb(member.sent),
            kb(member.received),
            kb(relay.sent),
            kb(relay.received)
        )
    };
    insta::assert_debug_snapshot!([12, 85, 195].map(describe));
}
