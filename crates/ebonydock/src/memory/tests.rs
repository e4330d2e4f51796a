use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;

use crate::memory::{
    AdmittedConnection, ConnectionAdmission, ConnectionTable, HolderId, MemoryBudget, MemoryKind,
    MemoryLedger, MemorySettings, MemoryShortage,
};

const MIB: u64 = 1024 * 1024;

fn settings() -> MemorySettings {
    MemorySettings::derive(Some(64 * MIB), Some(500)).unwrap()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy, Debug)]
enum BudgetStep {
    Add(MemoryKind, bool),
    /// Index of a holder and its new size.
    Resize(usize, u64),
    Progress(usize, u64),
    Complete(usize),
    Remove(usize),
    Wait(u64),
}

fn kinds() -> impl Strategy<Value = MemoryKind> {
    prop::sample::select(MemoryKind::ALL.to_vec())
}

fn steps() -> impl Strategy<Value = Vec<BudgetStep>> {
    let size = prop_oneof![0..100_000_u64, 0..8 * MIB, Just(u64::MAX)];
    let step = prop_oneof![
        2 => (kinds(), any::<bool>()).prop_map(|(kind, arrives)| BudgetStep::Add(kind, arrives)),
        5 => (any::<usize>(), size).prop_map(|(index, bytes)| BudgetStep::Resize(index, bytes)),
        2 => (any::<usize>(), 0..100_000_u64)
            .prop_map(|(index, bytes)| BudgetStep::Progress(index, bytes)),
        1 => any::<usize>().prop_map(BudgetStep::Complete),
        2 => any::<usize>().prop_map(BudgetStep::Remove),
        1 => (0..3000_u64).prop_map(BudgetStep::Wait),
    ];
    prop::collection::vec(step, 1..300)
}

/// A budget beside the sizes that its holders must have.
struct BudgetModel {
    budget: MemoryBudget,
    sizes: BTreeMap<HolderId, (MemoryKind, u64)>,
    now: Duration,
}

impl BudgetModel {
    fn open() -> Self {
        let budget = MemoryBudget::open(settings());
        Self { budget, sizes: BTreeMap::new(), now: Duration::ZERO }
    }

    fn holder(&self, index: usize) -> Option<HolderId> {
        let count = self.sizes.len();
        (count > 0).then(|| *self.sizes.keys().nth(index % count).unwrap())
    }

    fn resize(&mut self, id: HolderId, bytes: u64) -> Result<(), MemoryShortage> {
        for reclaimed in self.budget.resize(self.now, id, bytes)? {
            assert_ne!(reclaimed, id, "a holder lost its allocation for itself");
            self.sizes.remove(&reclaimed).expect("a holder lost its allocation twice");
        }
        self.sizes.get_mut(&id).unwrap().1 = bytes;
        Ok(())
    }

    fn run(&mut self, step: BudgetStep) {
        match step {
            BudgetStep::Add(kind, arrives) => {
                let id = self.budget.add(self.now, kind, arrives);
                self.sizes.insert(id, (kind, 0));
            }
            BudgetStep::Resize(index, bytes) => {
                // A shortage must change nothing, which `check` sees.
                let _ = self.holder(index).map(|id| self.resize(id, bytes));
            }
            BudgetStep::Progress(index, bytes) => {
                if let Some(id) = self.holder(index) {
                    self.budget.record_progress(self.now, id, bytes);
                }
            }
            BudgetStep::Complete(index) => {
                if let Some(id) = self.holder(index) {
                    self.budget.record_complete(id);
                }
            }
            BudgetStep::Remove(index) => {
                if let Some(id) = self.holder(index) {
                    self.budget.remove(id);
                    self.budget.remove(id);
                    self.sizes.remove(&id);
                }
            }
            BudgetStep::Wait(ms) => self.now += at(ms),
        }
    }

    fn check(&self) {
        let settings = settings();
        let sum = |kind: Option<MemoryKind>| -> u64 {
            let mut sizes = self.sizes.values().copied().collect::<Vec<_>>();
            sizes.retain(|(own, _)| kind.is_none_or(|kind| kind == *own));
            sizes.into_iter().map(|(_, bytes)| bytes).sum()
        };
        assert_eq!(self.budget.held(), sum(None), "units leaked");
        assert_eq!(self.budget.holders(), self.sizes.len(), "holders leaked");
        assert!(self.budget.held() <= settings.budget_bytes, "over the budget");
        let small = self.sizes.values().filter(|(kind, bytes)| {
            *kind == MemoryKind::RequestBody && *bytes <= settings.small_bytes
        });
        let large = sum(None) - small.map(|(_, bytes)| bytes).sum::<u64>();
        assert!(large <= settings.budget_bytes - settings.small_reserve_bytes, "reserve used");
        let responses = self.budget.held_by_kind(MemoryKind::Response);
        assert_eq!(responses, sum(Some(MemoryKind::Response)));
        assert!(responses <= settings.response_bytes, "responses over their part");
    }
}

proptest! {
    /// Guards against a sum over the budget, and against units that cancelled or reclaimed holders leave behind.
    #[test]
    fn budget_is_never_exceeded_and_nothing_leaks(steps in steps()) {
        let mut model = BudgetModel::open();
        for step in steps {
            model.run(step);
            model.check();
        }
        for id in model.sizes.keys() {
            model.budget.remove(*id);
        }
        prop_assert_eq!((model.budget.held(), model.budget.holders()), (0, 0));
    }

    /// Guards against small requests that starve while large bodies, responses or batches hold or ask for everything.
    #[test]
    fn small_request_is_admitted_whatever_large_ones_do(
        sizes in prop::collection::vec((kinds(), 65 * 1024..8 * MIB), 1..200),
        waits in prop::collection::vec(0..500_u64, 200),
        arrives in any::<bool>(),
    ) {
        let mut model = BudgetModel::open();
        for ((kind, bytes), wait) in sizes.into_iter().zip(waits) {
            // The chunks of responses are small, and there may be any number of them.
            let bytes = if kind == MemoryKind::Response { bytes / 128 } else { bytes };
            model.run(BudgetStep::Add(kind, arrives && kind == MemoryKind::RequestBody));
            model.now += at(wait);
            let large = *model.sizes.keys().last().unwrap();
            let _ = model.resize(large, bytes);
            model.run(BudgetStep::Add(MemoryKind::RequestBody, true));
            let small = *model.sizes.keys().last().unwrap();
            prop_assert!(model.resize(small, 64 * 1024).is_ok());
            model.budget.remove(small);
            model.sizes.remove(&small);
            model.check();
        }
    }
}

/// Guards against a crowd of small bodies that stop and so hold the part that is reserved for small ones.
#[test]
fn stalled_small_bodies_make_room_in_one_step() {
    let mut model = BudgetModel::open();
    loop {
        model.run(BudgetStep::Add(MemoryKind::RequestBody, true));
        let id = *model.sizes.keys().last().unwrap();
        if model.resize(id, 60_000).is_err() {
            break;
        }
    }
    let id = *model.sizes.keys().last().unwrap();
    model.now += at(1000);
    assert_eq!(model.resize(id, 60_000), Ok(()));
    model.check();
}

/// Guards against a fast body that loses its allocation although a slower one could.
#[test]
fn slowest_body_loses_its_allocation_first() {
    let mut budget = MemoryBudget::open(settings());
    let half = (settings().budget_bytes - settings().small_reserve_bytes) / 2;
    let bodies = [0, 1].map(|_| budget.add(at(0), MemoryKind::RequestBody, true));
    for id in bodies {
        assert_eq!(budget.resize(at(0), id, half), Ok(Vec::new()));
    }
    budget.record_progress(at(1900), bodies[0], 1000);
    budget.record_progress(at(1900), bodies[1], 900);
    let next = budget.add(at(2000), MemoryKind::RequestBody, true);
    assert_eq!(budget.resize(at(2000), next, 100_000), Ok(vec![bodies[1]]));
    // One that stalled goes before a slow one.
    budget.record_progress(at(3500), next, 1000);
    let last = budget.add(at(3600), MemoryKind::RequestBody, true);
    assert_eq!(budget.resize(at(3600), last, half), Ok(vec![bodies[0]]));
    // One that arrives fast, and one that is complete, keep theirs.
    budget.record_progress(at(3700), last, 10 * MIB);
    budget.record_complete(next);
    let refused = budget.add(at(4650), MemoryKind::RequestBody, true);
    assert_eq!(budget.resize(at(4650), refused, half * 2), Err(MemoryShortage));
}

/// Guards against bytes that stay in a body after it lost its allocation, and against units of dropped leases.
#[test]
fn ledger_frees_what_is_dropped_or_reclaimed() {
    let ledger = MemoryLedger::open(settings());
    let mut body = ledger.open_body(None).unwrap();
    for _ in 0..100_000 {
        body.push(b"x").unwrap();
    }
    let held = ledger.held_by_kind(MemoryKind::RequestBody);
    assert!((100_000..270_000).contains(&held), "{held}");
    let (bytes, lease) = body.finish();
    assert_eq!(bytes.len(), 100_000);
    assert_eq!(ledger.held_by_kind(MemoryKind::RequestBody), held);
    drop(lease);
    assert_eq!(ledger.held_by_kind(MemoryKind::RequestBody), 0);
    assert!(ledger.open_body(Some(64 * MIB as usize)).is_err());
    assert_eq!((ledger.held_by_kind(MemoryKind::RequestBody), ledger.refused()), (0, 1));
}

#[test]
fn limits_that_are_too_low_are_rejected() {
    assert!(MemorySettings::derive(Some(MIB), None).unwrap_err().starts_with("memory: 1048576"));
    assert!(MemorySettings::derive(None, Some(100)).unwrap_err().starts_with("descriptors: 100"));
    let changed = MemorySettings { response_bytes: u64::MAX, ..settings() };
    assert!(changed.check().unwrap_err().starts_with("response_bytes: "));
    for memory in [48, 120, 512] {
        for descriptors in [400, 3075, 10_250] {
            let settings = MemorySettings::derive(Some(memory * MIB), Some(descriptors)).unwrap();
            assert_eq!(settings.check(), Ok(()));
            // A forwarded request takes two connections, and 200 descriptors are for files.
            let most = 2 * settings.max_caller_connections + settings.max_idle_connections;
            assert!(most + 200 < descriptors);
        }
    }
    assert_eq!(MemorySettings::default().check(), Ok(()));
}

fn admitted(admission: ConnectionAdmission) -> AdmittedConnection {
    match admission {
        ConnectionAdmission::Admitted(id) | ConnectionAdmission::AdmittedFor(id, _) => id,
        ConnectionAdmission::Refused => panic!("refused"),
    }
}

/// Guards against connections that wait for a descriptor while others are idle, and against closing busy ones.
#[test]
fn longest_idle_connection_is_closed_at_limit() {
    let mut table = ConnectionTable::open(3);
    let open: Vec<_> = (0..3).map(|ms| admitted(table.admit(at(ms)))).collect();
    table.begin_request(open[0]);
    table.begin_request(open[1]);
    table.end_request(at(5), open[1]);
    let ConnectionAdmission::AdmittedFor(next, closed) = table.admit(at(6)) else { panic!() };
    assert_eq!(closed, open[2]);
    table.begin_request(open[1]);
    table.begin_request(next);
    assert_eq!(table.admit(at(7)), ConnectionAdmission::Refused);
    table.remove(open[1]);
    table.remove(open[1]);
    assert_eq!(table.len(), 2);
    assert!(matches!(table.admit(at(8)), ConnectionAdmission::Admitted(_)));
}
