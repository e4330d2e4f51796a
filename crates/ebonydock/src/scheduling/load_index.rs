//! Targets of a pool in order of their load, with totals for the pool.
//!
//! The index is updated with each change of a target, so that a scheduling decision takes logarithmic
//! instead of linear time in the number of targets.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::TargetId;
use crate::scheduling::TargetState;

/// Load from which a target is full, in thousandths of its capacity.
const FULL_LOAD: u32 = 1000;

/// Contribution of one target to the index.
#[derive(Clone, Copy, Debug)]
struct LoadEntry {
    load: u32,
    capacity: u32,
    in_flight: u32,
}

impl LoadEntry {
    fn from_state(state: &TargetState, now: Duration) -> Self {
        Self {
            load: state.load(now),
            capacity: if state.leaving { 0 } else { state.nominal_capacity() },
            in_flight: state.in_flight,
        }
    }
}

/// Targets of a pool in order of their load, with totals for the pool.
#[derive(Debug, Default)]
pub(crate) struct LoadIndex {
    by_load: BTreeSet<(u32, TargetId)>,
    entries: HashMap<TargetId, LoadEntry>,
    capacity: u32,
    in_flight: u32,
}

impl LoadIndex {
    /// Updates the entry of a target; `None` removes it.
    pub(crate) fn update(&mut self, now: Duration, target: &TargetId, state: Option<&TargetState>) {
        if let Some(old) = self.entries.remove(target) {
            self.by_load.remove(&(old.load, target.clone()));
            self.capacity -= old.capacity;
            self.in_flight -= old.in_flight;
        }
        let Some(state) = state else { return };
        let entry = LoadEntry::from_state(state, now);
        self.by_load.insert((entry.load, target.clone()));
        self.capacity += entry.capacity;
        self.in_flight += entry.in_flight;
        self.entries.insert(target.clone(), entry);
    }

    /// Returns the number of sequences that the pool can run.
    pub(crate) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the number of running sequences.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the targets that are not full, the least loaded first.
    pub(crate) fn least_loaded(&self) -> impl Iterator<Item = &TargetId> {
        self.by_load.iter().take_while(|(load, _)| *load < FULL_LOAD).map(|(_, target)| target)
    }
}
