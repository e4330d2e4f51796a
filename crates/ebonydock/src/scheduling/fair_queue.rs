//! Queue with weighted fairness among workspaces.
//!
//! Each workspace has a counter of weighted service, and the waiting workspace with the lowest
//! counter goes first. The counter of a workspace that was idle is raised to the lowest counter in
//! use, so that idle time gives no credit ("Fairness in Serving Large Language Models", Sheng et
//! al., 2024: virtual token counter).

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::WorkspaceId;

/// Maximum number of workspaces whose first items are tried. A workspace whose first item cannot be
/// placed is skipped.
const MAX_SCANNED_WORKSPACES: usize = 8;
/// Counter units per weighted token. Counters are integers because floats have no total order.
const COUNTER_SCALE: f64 = 1000.0;

#[derive(Debug)]
struct WorkspaceQueue<T> {
    counter: u64,
    items: BTreeMap<(i64, u64), T>,
    running: u32,
}

/// Queue that is fair among workspaces and ordered within each workspace.
#[derive(Debug)]
pub struct FairQueue<T> {
    queues: HashMap<WorkspaceId, WorkspaceQueue<T>>,
    waiting: BTreeSet<(u64, WorkspaceId)>,
    sequence: u64,
    min_counter: u64,
    len: usize,
}

/// Numbers of waiting and running items of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceLoad {
    /// Waiting items.
    pub waiting: usize,
    /// Running items.
    pub running: u32,
}

/// Place of an item in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePlace {
    /// The workspace that the item belongs to.
    pub workspace: WorkspaceId,
    key: (i64, u64),
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            waiting: BTreeSet::new(),
            sequence: 0,
            min_counter: 0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of workspaces that have a counter.
    pub fn workspaces(&self) -> usize {
        self.queues.len()
    }

    /// Adds an item. Within a workspace the item with the lowest `order` goes first.
    pub fn push(&mut self, workspace: &WorkspaceId, order: i64, item: T) -> QueuePlace {
        self.sequence += 1;
        let key = (order, self.sequence);
        let min_counter = self.min_counter;
        let queue = self.queues.entry(workspace.clone()).or_insert_with(|| WorkspaceQueue {
            counter: min_counter,
            items: BTreeMap::new(),
            running: 0,
        });
        if queue.items.is_empty() {
            if queue.running == 0 {
                queue.counter = queue.counter.max(min_counter);
            }
            self.waiting.insert((queue.counter, workspace.clone()));
        }
        queue.items.insert(key, item);
        self.len += 1;
        QueuePlace { workspace: workspace.clone(), key }
    }

    /// Removes and returns the item at `place`, if it still waits.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let queue = self.queues.get_mut(&place.workspace)?;
        let item = queue.items.remove(&place.key)?;
        if queue.items.is_empty() {
            self.waiting.remove(&(queue.counter, place.workspace.clone()));
        }
        self.len -= 1;
        Some(item)
    }

    /// Removes the first item for which `try_place` returns a placement, and returns both. The first
    /// items of a few workspaces are tried, the workspace with the least service first.
    pub fn pop_with<P>(
        &mut self,
        mut try_place: impl FnMut(&T, WorkspaceLoad) -> Option<P>,
    ) -> Option<(T, P)> {
        let mut heads = self.waiting.iter().take(MAX_SCANNED_WORKSPACES);
        let (workspace, key, placed) = heads.find_map(|(_, workspace)| {
            let queue = self.queues.get(workspace)?;
            let (key, item) = queue.items.first_key_value()?;
            let load = WorkspaceLoad { waiting: queue.items.len(), running: queue.running };
            Some((workspace.clone(), *key, try_place(item, load)?))
        })?;
        if let Some((lowest, _)) = self.waiting.first() {
            self.min_counter = self.min_counter.max(*lowest);
        }
        let item = self.remove(&QueuePlace { workspace: workspace.clone(), key })?;
        Some((item, placed))
    }

    /// Charges `cost` to a workspace and counts one more running item.
    pub fn start(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64) {
        self.charge(workspace, cost, weight, 1);
    }

    /// Adjusts the charge by `cost`, which may be negative, and counts one running item less.
    pub fn finish(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64) {
        self.charge(workspace, cost, weight, -1);
        let idle = self.queues.get(workspace).is_some_and(|queue| {
            queue.items.is_empty() && queue.running == 0 && queue.counter <= self.min_counter
        });
        if idle {
            self.queues.remove(workspace);
        }
    }

    /// Drops the counters of idle workspaces that would be raised anyway.
    pub fn prune(&mut self) {
        let min_counter = self.min_counter;
        self.queues.retain(|_, queue| {
            !queue.items.is_empty() || queue.running > 0 || queue.counter > min_counter
        });
        if self.len == 0 && self.queues.values().all(|queue| queue.running == 0) {
            self.queues.clear();
        }
    }

    fn charge(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64, running: i32) {
        let min_counter = self.min_counter;
        let queue = self.queues.entry(workspace.clone()).or_insert_with(|| WorkspaceQueue {
            counter: min_counter,
            items: BTreeMap::new(),
            running: 0,
        });
        let before = queue.counter;
        let change = (cost / weight.max(f64::EPSILON) * COUNTER_SCALE) as i64;
        queue.counter = queue.counter.saturating_add_signed(change);
        queue.running = queue.running.saturating_add_signed(running);
        if !queue.items.is_empty() {
            let after = queue.counter;
            self.waiting.remove(&(before, workspace.clone()));
            self.waiting.insert((after, workspace.clone()));
        }
    }
}
