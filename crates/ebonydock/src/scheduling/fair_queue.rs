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
const SCAN_LIMIT: usize = 8;
/// Counter units per weighted token. Counters are integers because floats have no total order.
const COUNTER_SCALE: f64 = 1000.0;

#[derive(Debug)]
struct WorkspaceLine<T> {
    counter: u64,
    items: BTreeMap<(i64, u64), T>,
    running: u32,
}

/// Queue that is fair among workspaces and ordered within each workspace.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: HashMap<WorkspaceId, WorkspaceLine<T>>,
    waiting: BTreeSet<(u64, WorkspaceId)>,
    sequence: u64,
    floor: u64,
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
        Self { lines: HashMap::new(), waiting: BTreeSet::new(), sequence: 0, floor: 0, len: 0 }
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
        self.lines.len()
    }

    /// Adds an item. Within a workspace the item with the lowest `order` goes first.
    pub fn push(&mut self, workspace: &WorkspaceId, order: i64, item: T) -> QueuePlace {
        self.sequence += 1;
        let key = (order, self.sequence);
        let floor = self.floor;
        let line = self.lines.entry(workspace.clone()).or_insert_with(|| WorkspaceLine {
            counter: floor,
            items: BTreeMap::new(),
            running: 0,
        });
        if line.items.is_empty() {
            if line.running == 0 {
                line.counter = line.counter.max(floor);
            }
            self.waiting.insert((line.counter, workspace.clone()));
        }
        line.items.insert(key, item);
        self.len += 1;
        QueuePlace { workspace: workspace.clone(), key }
    }

    /// Removes and returns the item at `place`, if it still waits.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let line = self.lines.get_mut(&place.workspace)?;
        let item = line.items.remove(&place.key)?;
        if line.items.is_empty() {
            self.waiting.remove(&(line.counter, place.workspace.clone()));
        }
        self.len -= 1;
        Some(item)
    }

    /// Removes the first item for which `place` returns a placement, and returns both. The first
    /// items of a few workspaces are tried, the workspace with the least service first.
    pub fn pop_with<P>(
        &mut self,
        mut place: impl FnMut(&T, WorkspaceLoad) -> Option<P>,
    ) -> Option<(T, P)> {
        let mut heads = self.waiting.iter().take(SCAN_LIMIT);
        let (workspace, key, placed) = heads.find_map(|(_, workspace)| {
            let line = self.lines.get(workspace)?;
            let (key, item) = line.items.first_key_value()?;
            let load = WorkspaceLoad { waiting: line.items.len(), running: line.running };
            Some((workspace.clone(), *key, place(item, load)?))
        })?;
        if let Some((lowest, _)) = self.waiting.first() {
            self.floor = self.floor.max(*lowest);
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
        let idle = self.lines.get(workspace).is_some_and(|line| {
            line.items.is_empty() && line.running == 0 && line.counter <= self.floor
        });
        if idle {
            self.lines.remove(workspace);
        }
    }

    /// Drops the counters of idle workspaces that would be raised anyway.
    pub fn prune(&mut self) {
        let floor = self.floor;
        self.lines
            .retain(|_, line| !line.items.is_empty() || line.running > 0 || line.counter > floor);
        if self.len == 0 && self.lines.values().all(|line| line.running == 0) {
            self.lines.clear();
        }
    }

    fn charge(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64, running: i32) {
        let floor = self.floor;
        let line = self.lines.entry(workspace.clone()).or_insert_with(|| WorkspaceLine {
            counter: floor,
            items: BTreeMap::new(),
            running: 0,
        });
        let before = line.counter;
        let change = (cost / weight.max(f64::EPSILON) * COUNTER_SCALE) as i64;
        line.counter = line.counter.saturating_add_signed(change);
        line.running = line.running.saturating_add_signed(running);
        if !line.items.is_empty() {
            let after = line.counter;
            self.waiting.remove(&(before, workspace.clone()));
            self.waiting.insert((after, workspace.clone()));
        }
    }
}
