//! Which texts of a job its readers hold.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use crate::gateway::JobItemResult;

/// What a pinned result costs beside its text: its ids and its entries here and in the budget.
const RESULT_OVERHEAD_BYTES: usize = 256;

struct PinnedResult {
    result: Rc<JobItemResult>,
    readers: usize,
}

/// Results of a job by position, each held once for all readers whose pages contain it.
#[derive(Default)]
pub(crate) struct PinnedResults {
    pinned: BTreeMap<u32, PinnedResult>,
    bytes: usize,
}

fn cost(result: &JobItemResult) -> usize {
    result.text.len() + RESULT_OVERHEAD_BYTES
}

impl PinnedResults {
    /// Returns the bytes of all pinned results.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns by how many bytes pinning a result would increase the total.
    pub(crate) fn missing_bytes(&self, position: u32, result: &JobItemResult) -> usize {
        if self.pinned.contains_key(&position) { 0 } else { cost(result) }
    }

    /// Pins a result for one more reader. A result never changes, so a pinned copy is kept.
    pub(crate) fn pin(&mut self, position: u32, result: Rc<JobItemResult>) {
        self.bytes += self.missing_bytes(position, &result);
        let entry = self.pinned.entry(position);
        entry.or_insert(PinnedResult { result, readers: 0 }).readers += 1;
    }

    /// Ends the pins of one reader.
    pub(crate) fn unpin(&mut self, positions: Range<u32>) {
        for position in positions {
            let Some(entry) = self.pinned.get_mut(&position) else { continue };
            entry.readers -= 1;
            if entry.readers == 0 {
                self.bytes -= cost(&entry.result);
                self.pinned.remove(&position);
            }
        }
    }

    /// Returns the result at a position if it is pinned.
    pub(crate) fn get(&self, position: u32) -> Option<Rc<JobItemResult>> {
        self.pinned.get(&position).map(|entry| Rc::clone(&entry.result))
    }
}
