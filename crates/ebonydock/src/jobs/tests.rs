//! Tests of chunk tracking and item parsing.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::ids::{ObjectName, VmId};
use crate::jobs::messages::ChunkReport;
use crate::jobs::{ChunkTracker, ItemLine};

fn report(chunk: u32) -> ChunkReport {
    ChunkReport { output: ObjectName::from(format!("out-{chunk}")), completed: 1, failed: 0 }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Chunks may fail and leaders may restart from the committed state at any time.
    #[test]
    fn every_chunk_is_committed_once(
        total in 1u32..40,
        events in prop::collection::vec((0usize..64, 0u8..4), 1..400),
    ) {
        let vms: Vec<VmId> = (0..3).map(|index| VmId::from(format!("vm-{index}"))).collect();
        let mut committed = std::collections::BTreeSet::new();
        let mut tracker = ChunkTracker::open(total, []);
        let mut running: Vec<u32> = Vec::new();
        let mut restarts = 0;
        let mut events = events.into_iter().cycle();
        while !tracker.is_complete() {
            while let Some((chunk, _)) = tracker.assign(&vms, 2) {
                prop_assert!(!running.contains(&chunk) && !committed.contains(&chunk));
                running.push(chunk);
            }
            prop_assert!(running.len() <= 6);
            let (index, event) = events.next().unwrap_or((0, 3));
            if event == 0 && restarts < 10 {
                restarts += 1;
                tracker = ChunkTracker::open(total, committed.iter().copied());
                running.clear();
                continue;
            } else if !running.is_empty() {
                let chunk = running.swap_remove(index % running.len());
                let failed = event == 1 && index % 3 != 0;
                tracker.finish(chunk, (!failed).then(|| report(chunk)));
                tracker.finish(chunk, Some(report(chunk)));
            }
            if event >= 2 || tracker.is_idle() {
                let chunks: Vec<u32> = tracker.finished().keys().copied().collect();
                for chunk in &chunks {
                    prop_assert!(committed.insert(*chunk), "chunk {chunk} was committed twice");
                }
                tracker.commit(chunks);
            }
        }
        prop_assert_eq!(committed.len(), total as usize);
    }
}

#[test]
fn openai_batch_lines_are_parsed() {
    let line = r#"{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0}}"#;
    let item: ItemLine = serde_json::from_str(line).unwrap();
    assert_eq!(item.body.messages.len(), 1);
    let unknown: Result<ItemLine, _> = serde_json::from_str(r#"{"custom_id":"a","bdy":{}}"#);
    assert!(unknown.is_err());
}
