//! Tests of jobs.

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

    /// Whatever fails and however often a lead starts again, every chunk is committed exactly once.
    #[test]
    fn every_chunk_is_committed_once(
        total in 1u32..40,
        fates in prop::collection::vec((0usize..64, 0u8..4), 1..400),
    ) {
        let vms: Vec<VmId> = (0..3).map(|index| VmId::from(format!("vm-{index}"))).collect();
        let mut committed = std::collections::BTreeSet::new();
        let mut ledger = ChunkTracker::open(total, []);
        let mut running: Vec<u32> = Vec::new();
        let mut restarts = 0;
        let mut fates = fates.into_iter().cycle();
        while !ledger.is_complete() {
            while let Some((chunk, _)) = ledger.assign(&vms, 2) {
                prop_assert!(!running.contains(&chunk) && !committed.contains(&chunk));
                running.push(chunk);
            }
            prop_assert!(running.len() <= 6);
            let (index, fate) = fates.next().unwrap_or((0, 3));
            if fate == 0 && restarts < 10 {
                restarts += 1;
                ledger = ChunkTracker::open(total, committed.iter().copied());
                running.clear();
                continue;
            } else if !running.is_empty() {
                let chunk = running.swap_remove(index % running.len());
                let failed = fate == 1 && index % 3 != 0;
                ledger.finish(chunk, (!failed).then(|| report(chunk)));
                ledger.finish(chunk, Some(report(chunk)));
            }
            if fate >= 2 || ledger.is_idle() {
                let chunks: Vec<u32> = ledger.finished().keys().copied().collect();
                for chunk in &chunks {
                    prop_assert!(committed.insert(*chunk), "chunk {chunk} was committed twice");
                }
                ledger.commit(chunks);
            }
        }
        prop_assert_eq!(committed.len(), total as usize);
    }
}

#[test]
fn items_are_read_as_openai_clients_send_them() {
    let line = r#"{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0}}"#;
    let item: ItemLine = serde_json::from_str(line).unwrap();
    assert_eq!(item.body.messages.len(), 1);
    let unknown: Result<ItemLine, _> = serde_json::from_str(r#"{"custom_id":"a","bdy":{}}"#);
    assert!(unknown.is_err());
}
