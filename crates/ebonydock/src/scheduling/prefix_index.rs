//! Index of the targets that probably hold a prompt prefix in their cache.
//!
//! The index records the prefixes of requests that this scheduler placed, and cache events of the
//! targets correct it. Events arrive late and with gaps: after a gap a full listing replaces the
//! target's entries, and after a restart they are cleared.

use std::collections::{HashMap, VecDeque};

use crate::ids::TargetId;

/// Maximum number of prefixes per target; the oldest is dropped first.
const MAX_PREFIXES_PER_TARGET: usize = 256;

#[derive(Debug, Default)]
struct TargetPrefixes {
    insertion_order: VecDeque<u64>,
    next_event: u64,
}

/// Report of a target on its prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheReport {
    /// Consecutively numbered events: prefixes stored or evicted.
    Events {
        /// The number of the first event.
        first_event: u64,
        /// Hashes of prefixes, with `true` if stored and `false` if evicted.
        events: Vec<(u64, bool)>,
    },
    /// All prefixes in the cache, before `next_event` is applied.
    Listing {
        /// The number of the next event.
        next_event: u64,
        /// Hashes of the prefixes.
        prefixes: Vec<u64>,
    },
}

/// Index of the targets that probably hold a prompt prefix in their cache, by the prefix's hash.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<TargetId>>,
    targets: HashMap<TargetId, TargetPrefixes>,
}

impl PrefixIndex {
    /// Returns the targets that probably hold a prefix, the newest holder first.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = &TargetId> {
        self.holders.get(&prefix).into_iter().flatten().rev()
    }

    /// Returns the number of known prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Records that a request with this prefix was placed on a target.
    pub fn insert(&mut self, target: &TargetId, prefix: u64) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(target) {
            return;
        }
        holders.push(target.clone());
        let prefixes = self.targets.entry(target.clone()).or_default();
        prefixes.insertion_order.push_back(prefix);
        if prefixes.insertion_order.len() > MAX_PREFIXES_PER_TARGET
            && let Some(oldest) = prefixes.insertion_order.pop_front()
        {
            self.remove_holder(target, oldest);
        }
    }

    /// Removes all entries of a target.
    pub fn clear(&mut self, target: &TargetId) {
        let Some(prefixes) = self.targets.remove(target) else { return };
        for prefix in prefixes.insertion_order {
            self.remove_holder(target, prefix);
        }
    }

    /// Returns the number of the next event expected from a target.
    pub fn next_event(&self, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |prefixes| prefixes.next_event)
    }

    /// Applies a report. Returns `false` if events are missing and a full listing is needed.
    pub fn apply(&mut self, target: &TargetId, report: CacheReport) -> bool {
        match report {
            CacheReport::Listing { next_event, prefixes } => {
                self.clear(target);
                for prefix in prefixes {
                    self.insert(target, prefix);
                }
                self.targets.entry(target.clone()).or_default().next_event = next_event;
                true
            }
            CacheReport::Events { first_event, events } => {
                let known = self.targets.entry(target.clone()).or_default().next_event;
                if first_event > known {
                    return false;
                }
                self.apply_events(target, known, first_event, events);
                true
            }
        }
    }

    fn apply_events(
        &mut self,
        target: &TargetId,
        known: u64,
        first_event: u64,
        events: Vec<(u64, bool)>,
    ) {
        let end = first_event + events.len() as u64;
        let skip = known.saturating_sub(first_event) as usize;
        for (prefix, stored) in events.into_iter().skip(skip) {
            if stored {
                self.insert(target, prefix);
                continue;
            }
            self.remove_holder(target, prefix);
            if let Some(prefixes) = self.targets.get_mut(target) {
                prefixes.insertion_order.retain(|other| *other != prefix);
            }
        }
        if let Some(prefixes) = self.targets.get_mut(target) {
            prefixes.next_event = prefixes.next_event.max(end);
        }
    }

    fn remove_holder(&mut self, target: &TargetId, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|holder| holder != target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}
