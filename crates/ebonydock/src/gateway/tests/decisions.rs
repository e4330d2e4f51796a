//! Tests of decisions without I/O: splitting of events, and the rows of jobs.

use std::time::Duration;

use ntex::util::Bytes;
use proptest::prelude::*;

use crate::gateway::events::{EventSplitter, MAX_EVENT_BYTES, OversizedEvent};
use crate::gateway::followers::TableUpdate;
use crate::gateway::job_records::{
    INPUT_TABLE, JobHead, JobIndex, JobName, JobProgress, encode, join_chunks, write_chunks,
};
use crate::ids::{VmId, WorkspaceId};
use crate::platform::rows::{RowTransaction, StoredRow};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn event_splitting_ignores_chunk_boundaries(cuts in prop::collection::vec(1_usize..9, 1..60)) {
        let raw = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\ndata: bare\n\n: rest";
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut rest = raw.as_bytes();
        for cut in cuts.iter().cycle() {
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            splitter.push(part);
            while let Some(event) = splitter.next_event().unwrap() {
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

#[test]
fn event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let mut pushed = 0;
    while splitter.next_event() == Ok(None) {
        splitter.push(&[b'x'; 1000]);
        pushed += 1000;
    }
    assert_eq!(splitter.next_event(), Err(OversizedEvent));
    assert!(pushed <= MAX_EVENT_BYTES + 1000);
}

#[test]
fn events_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: a\r\ndata: b\r\n\r\nid: 2\ndata: c\n\nid: 3\r\n\r");
    let first = splitter.next_event().unwrap().unwrap();
    assert_eq!((first.id, first.data()), (Some(1), b"a\nb".to_vec()));
    assert_eq!(first.raw, Bytes::from_static(b"id: 1\r\ndata: a\r\ndata: b\r\n\r\n"));
    let second = splitter.next_event().unwrap().unwrap();
    assert_eq!((second.id, second.data()), (Some(2), b"c".to_vec()));
    assert_eq!(splitter.next_event().unwrap(), None);
    splitter.push(b"\n");
    assert_eq!(splitter.next_event().unwrap().and_then(|event| event.id), Some(3));
}
