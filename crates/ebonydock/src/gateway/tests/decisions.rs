//! Tests of decisions without I/O: quotas over many VMs, splitting of events, and the rows of jobs.

use std::time::Duration;

use ntex::util::Bytes;
use proptest::prelude::*;

use crate::gateway::events::EventSplitter;
use crate::gateway::followers::TableUpdate;
use crate::gateway::job_records::{
    INPUT_TABLE, JobHead, JobIndex, JobName, JobProgress, encode, join_chunks, write_chunks,
};
use crate::gateway::load::SpentQuota;
use crate::gateway::quota::QuotaLedger;
use crate::ids::{VmId, WorkspaceId};
use crate::platform::rows::{RowTransaction, StoredRow};

/// Interval between quota reports, in ticks of 10 ms. Unless a partition separates
/// them, VMs see each other's use at most this late.
const REPORT_INTERVAL_TICKS: usize = 10;
const RATE: f64 = 87.0;
const BURST: f64 = 87.0;

/// Simulates a workspace that sends several times its rate while a network partition splits the VMs into
/// two groups during the ticks `partition`. Returns the ticks at which requests were admitted.
fn simulate_admissions(
    vms: usize,
    partition: std::ops::Range<usize>,
    weights: &[u32],
) -> Vec<usize> {
    let workspace = WorkspaceId::from("hot");
    let names: Vec<VmId> = (0..vms).map(|vm| VmId::from(format!("vm{vm}"))).collect();
    let mut ledgers: Vec<QuotaLedger> = (0..vms).map(|_| QuotaLedger::default()).collect();
    let group = |vm: usize| vm < vms / 2;
    let mut admitted = Vec::new();
    for tick in 0..2000 {
        let now = Duration::from_millis(tick as u64 * 10);
        for (vm, ledger) in ledgers.iter_mut().enumerate() {
            let reachable =
                (0..vms).filter(|other| !partition.contains(&tick) || group(*other) == group(vm));
            let live_fraction = reachable.count() as f64 / vms as f64;
            for _ in 0..weights[vm % weights.len()] {
                if ledger.admit(now, &workspace, RATE, BURST, live_fraction).is_ok() {
                    admitted.push(tick);
                }
            }
        }
        if tick % REPORT_INTERVAL_TICKS == 0 {
            let spent: Vec<u64> = ledgers
                .iter()
                .map(|ledger| {
                    ledger.spent(Duration::ZERO).first().map_or(0, |spent| spent.requests)
                })
                .collect();
            for (vm, ledger) in ledgers.iter_mut().enumerate() {
                for (other, spent) in spent.iter().enumerate().filter(|(other, _)| *other != vm) {
                    if !partition.contains(&tick) || group(other) == group(vm) {
                        let spent = SpentQuota { workspace: workspace.clone(), requests: *spent };
                        ledger.observe(now, (&names[other], 1), &spent, RATE);
                    }
                }
            }
        }
    }
    admitted
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn quota_holds_in_every_window(
        vms in 2_usize..12,
        from in 0_usize..1500,
        length in 0_usize..500,
        weights in prop::collection::vec(0_u32..3, 1..5),
    ) {
        let admitted = simulate_admissions(vms, from..from + length, &weights);
        let window = 500;
        let max_admitted = (RATE * 5.0 + BURST) * 1.1 + 20.0;
        for start in (0..2000 - window).step_by(20) {
            let count = admitted.iter().filter(|tick| (start..start + window).contains(*tick)).count();
            prop_assert!((count as f64) <= max_admitted, "{count} of {max_admitted} from {start}");
        }
    }

    #[test]
    fn event_splitting_ignores_chunk_boundaries(cuts in prop::collection::vec(1_usize..9, 1..60)) {
        let raw = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\ndata: bare\n\n: rest";
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut rest = raw.as_bytes();
        for cut in cuts.iter().cycle() {
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            splitter.push(part);
            while let Some(event) = splitter.next_event() {
                events.push((event.id, String::from_utf8(event.data()).unwrap()));
            }
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        let expected = [(Some(1), "one"), (Some(2), "two\nmore"), (None, "bare")];
        let expected = expected.map(|(id, data)| (id, data.to_owned()));
        prop_assert_eq!(events, expected.to_vec());
        prop_assert_eq!(splitter.take_rest(), Bytes::from_static(b": rest"));
    }

    #[test]
    fn chunked_value_round_trips(sizes in prop::collection::vec(0_usize..200_000, 1..4)) {
        let job = JobName::of(None, "j1");
        let values: Vec<Vec<u8>> =
            sizes.iter().map(|size| (0..*size).map(|byte| byte as u8).collect()).collect();
        let transaction = values.iter().enumerate().fold(
            RowTransaction::in_partition("00"),
            |transaction, (number, value)| write_chunks(transaction, INPUT_TABLE, &job, number, value),
        );
        let rows = transaction.writes.into_iter().map(|(id, value)| row(&id.key, value, 1));
        let joined = join_chunks(&rows.collect::<Vec<_>>());
        let expected: Vec<(usize, Vec<u8>)> =
            values.into_iter().enumerate().filter(|(_, value)| !value.is_empty()).collect();
        prop_assert_eq!(joined, expected);
    }
}

fn row(key: &str, value: Vec<u8>, version: u64) -> StoredRow {
    StoredRow { partition: "00".into(), key: key.to_owned(), value, version, deleted: false }
}

fn head(tokens: u64) -> JobHead {
    JobHead {
        workspace: Some(WorkspaceId::from("zlatnik")),
        route: "night".into(),
        host: "shop.example".into(),
        accepted_at: Duration::ZERO,
        due_at: Duration::from_secs(18),
        keep_until: Duration::from_mins(1),
        items: 2,
        tokens,
        lead: "vm1".into(),
        lead_incarnation: 7,
        ended: false,
    }
}

#[test]
fn waiting_tokens_drop_when_items_are_committed_or_job_ends() {
    let workspace = WorkspaceId::from("zlatnik");
    let job = JobName::of(Some(&workspace), "j1");
    let mut index = JobIndex::default();
    let rows = vec![
        // Rows of one transaction may arrive in any order.
        row(&job.progress_key(), encode(&JobProgress::default()), 5),
        row(&job.head_key(), encode(&head(1000)), 5),
    ];
    index.apply(TableUpdate::Changed(rows));
    assert_eq!(index.waiting_tokens(Some(&workspace), "night"), 1000);
    assert_eq!(index.waiting_tokens(Some(&workspace), "other"), 0);
    let progress = JobProgress { listed: 1, listed_tokens: 400, attempt: 1 };
    index.apply(TableUpdate::Changed(vec![row(&job.progress_key(), encode(&progress), 6)]));
    let older = row(&job.progress_key(), encode(&JobProgress::default()), 5);
    index.apply(TableUpdate::Changed(vec![older]));
    assert_eq!(index.waiting_tokens(Some(&workspace), "night"), 600);
    assert!(index.is_led_by(&job, &VmId::from("vm1"), 7));
    assert!(!index.is_led_by(&job, &VmId::from("vm1"), 8));
    let ended = JobHead { ended: true, ..head(1000) };
    index.apply(TableUpdate::Changed(vec![row(&job.head_key(), encode(&ended), 9)]));
    assert_eq!(index.waiting_tokens(Some(&workspace), "night"), 0);
    assert!(index.open_jobs().is_empty());
}

#[test]
fn job_ids_are_scoped_to_workspaces() {
    let zlatnik = WorkspaceId::from("zlatnik");
    let other = WorkspaceId::from("association");
    assert_ne!(JobName::of(Some(&zlatnik), "j1"), JobName::of(Some(&other), "j1"));
    assert_ne!(JobName::of(None, "j1"), JobName::of(Some(&zlatnik), "j1"));
}
