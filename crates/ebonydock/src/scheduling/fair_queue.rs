//! A queue that is fair among workspaces.
//!
//! Each workspace has a counter of weighted service; the waiting workspace with the lowest counter goes
//! first, and a workspace that was idle is lifted to the lowest counter in use, so that idleness earns
//! no credit ("Fairness in Serving Large Language Models", Sheng et al., 2024: virtual token counter).

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::WorkspaceId;

/// A workspace whose head cannot be placed is passed over; at most this many are looked at.
const SCAN_LIMIT: usize = 8;
/// Counters are kept as integers so that they order totally: thousandths of a weighted token.
const COUNTER_SCALE: f64 = 1000.0;

#[derive(Debug)]
struct WorkspaceLine<T> {
    counter: u64,
    items: BTreeMap<(i64, u64), T>,
    running: u32,
}

/// A queue that is fair among workspaces and ordered within one.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: HashMap<WorkspaceId, WorkspaceLine<T>>,
    waiting: BTreeSet<(u64, WorkspaceId)>,
    sequence: u64,
    floor: u64,
    len: usize,
}

/// How much of one workspace's work waits and runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceLoad {
    /// Items that wait.
    pub waiting: usize,
    /// Items that run.
    pub running: u32,
}

/// Where an item stands in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePlace {
    /// The workspace.
    pub workspace: WorkspaceId,
    key: (i64, u64),
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lines: HashMap::new(), waiting: BTreeSet::new(), sequence: 0, floor: 0, len: 0 }
    }
}

impl<T> FairQueue<T> {
    /// The number of items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of workspaces with a counter.
    pub fn workspaces(&self) -> usize {
        self.lines.len()
    }

    /// Adds an item; the lowest `order` of a workspace goes first.
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

    /// Removes an item.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let line = self.lines.get_mut(&place.workspace)?;
        let item = line.items.remove(&place.key)?;
        if line.items.is_empty() {
            self.waiting.remove(&(line.counter, place.workspace.clone()));
        }
        self.len -= 1;
        Some(item)
    }

    /// Takes the first item that `place` accepts, trying the head of a few workspaces in order of their
    /// service.
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

    /// Charges service to a workspace and counts one more running item.
    pub fn start(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64) {
        self.charge(workspace, cost, weight, 1);
    }

    /// Corrects the charge by `cost`, which may be negative, and counts one running item less.
    pub fn finish(&mut self, workspace: &WorkspaceId, cost: f64, weight: f64) {
        self.charge(workspace, cost, weight, -1);
        let idle = self.lines.get(workspace).is_some_and(|line| {
            line.items.is_empty() && line.running == 0 && line.counter <= self.floor
        });
        if idle {
            self.lines.remove(workspace);
        }
    }

    /// Drops the counters of idle workspaces that would be lifted anyway.
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
