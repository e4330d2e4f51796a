//! Quotas over many VMs, and the rows of jobs.

use std::time::Duration;

use ntex::util::Bytes;
use proptest::prelude::*;

use crate::gateway::events::EventSplitter;
use crate::gateway::followers::TableNews;
use crate::gateway::job_book::{
    INPUT_TABLE, JobBook, JobHead, JobName, JobProgress, encode, join_chunks, write_chunks,
};
use crate::gateway::load::SpentQuota;
use crate::gateway::quota::QuotaLedger;
use crate::ids::{VmId, WorkspaceId};
use crate::platform::rows::{RowTransaction, StoredRow};

/// The most that the slowest report may lag behind, in ticks of 10 ms.
const REPORT_LAG: usize = 10;
const RATE: f64 = 87.0;
const BURST: f64 = 87.0;

/// Plays a workspace that sends several times its rate over VMs that are cut into two groups for a
/// while, and returns when requests were admitted, in ticks.
fn admitted(vms: usize, cut: std::ops::Range<usize>, weights: &[u32]) -> Vec<usize> {
    let workspace = WorkspaceId::from("hot");
    let names: Vec<VmId> = (0..vms).map(|vm| VmId::from(format!("vm{vm}"))).collect();
    let mut ledgers: Vec<QuotaLedger> = (0..vms).map(|_| QuotaLedger::default()).collect();
    let side = |vm: usize| vm < vms / 2;
    let mut admitted = Vec::new();
    for tick in 0..2000 {
        let now = Duration::from_millis(tick as u64 * 10);
        for (vm, ledger) in ledgers.iter_mut().enumerate() {
            let heard = (0..vms).filter(|other| !cut.contains(&tick) || side(*other) == side(vm));
            let share = heard.count() as f64 / vms as f64;
            for _ in 0..weights[vm % weights.len()] {
                if ledger.admit(now, &workspace, RATE, BURST, share).is_ok() {
                    admitted.push(tick);
                }
            }
        }
        if tick % REPORT_LAG == 0 {
            let spent: Vec<u64> = ledgers
                .iter()
                .map(|ledger| {
                    ledger.spent(Duration::ZERO).first().map_or(0, |spent| spent.requests)
                })
                .collect();
            for (vm, ledger) in ledgers.iter_mut().enumerate() {
                for (other, spent) in spent.iter().enumerate().filter(|(other, _)| *other != vm) {
                    if !cut.contains(&tick) || side(other) == side(vm) {
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
    fn no_window_admits_more_than_the_quota(
        vms in 2_usize..12,
        from in 0_usize..1500,
        length in 0_usize..500,
        weights in prop::collection::vec(0_u32..3, 1..5),
    ) {
        let admitted = admitted(vms, from..from + length, &weights);
        let window = 500;
        let most = (RATE * 5.0 + BURST) * 1.1 + 20.0;
        for start in (0..2000 - window).step_by(20) {
            let count = admitted.iter().filter(|tick| (start..start + window).contains(*tick)).count();
            prop_assert!((count as f64) <= most, "{count} of {most} from {start}");
        }
    }

    #[test]
    fn events_are_whole_however_their_bytes_arrive(cuts in prop::collection::vec(1_usize..9, 1..60)) {
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
    fn a_value_of_any_size_comes_back_from_its_rows(sizes in prop::collection::vec(0_usize..200_000, 1..4)) {
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
fn tokens_wait_until_their_items_are_listed_or_the_job_is_ended() {
    let workspace = WorkspaceId::from("zlatnik");
    let job = JobName::of(Some(&workspace), "j1");
    let mut book = JobBook::default();
    let news = vec![
        // Rows of one transaction may come in any order.
        row(&job.progress_key(), encode(&JobProgress::default()), 5),
        row(&job.head_key(), encode(&head(1000)), 5),
    ];
    book.apply(TableNews::Changed(news));
    assert_eq!(book.waiting_tokens(Some(&workspace), "night"), 1000);
    assert_eq!(book.waiting_tokens(Some(&workspace), "other"), 0);
    let progress = JobProgress { listed: 1, listed_tokens: 400, attempt: 1 };
    book.apply(TableNews::Changed(vec![row(&job.progress_key(), encode(&progress), 6)]));
    let older = row(&job.progress_key(), encode(&JobProgress::default()), 5);
    book.apply(TableNews::Changed(vec![older]));
    assert_eq!(book.waiting_tokens(Some(&workspace), "night"), 600);
    assert!(book.is_led_by(&job, &VmId::from("vm1"), 7));
    assert!(!book.is_led_by(&job, &VmId::from("vm1"), 8));
    let ended = JobHead { ended: true, ..head(1000) };
    book.apply(TableNews::Changed(vec![row(&job.head_key(), encode(&ended), 9)]));
    assert_eq!(book.waiting_tokens(Some(&workspace), "night"), 0);
    assert!(book.open_jobs().is_empty());
}

#[test]
fn jobs_of_two_workspaces_may_have_the_same_id() {
    let zlatnik = WorkspaceId::from("zlatnik");
    let other = WorkspaceId::from("association");
    assert_ne!(JobName::of(Some(&zlatnik), "j1"), JobName::of(Some(&other), "j1"));
    assert_ne!(JobName::of(None, "j1"), JobName::of(Some(&zlatnik), "j1"));
}
