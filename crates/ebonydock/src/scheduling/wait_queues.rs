//! The requests of a pool that wait for a lease.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::{TargetId, VmId, WorkspaceId};
use crate::scheduling::messages::RequestDemand;
use crate::scheduling::{FairQueue, QueuePlace, RequestClass, WaiterId};

/// A request that waits.
#[derive(Debug)]
pub(crate) struct PoolWaiter {
    /// Its name.
    pub(crate) id: WaiterId,
    /// The VM that asks.
    pub(crate) holder: VmId,
    /// What it needs.
    pub(crate) demand: RequestDemand,
    /// Targets that it must not get.
    pub(crate) excluded: Vec<TargetId>,
}

#[derive(Debug)]
struct WaitPlace {
    queue: RequestClass,
    place: QueuePlace,
    deadline: Duration,
}

/// The requests that wait, online and batch, each with its deadline.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    online: FairQueue<PoolWaiter>,
    batch: FairQueue<PoolWaiter>,
    places: HashMap<WaiterId, WaitPlace>,
    deadlines: BTreeSet<(Duration, WaiterId)>,
}

impl WaitQueues {
    /// The requests of one class.
    pub(crate) fn of(&self, class: RequestClass) -> &FairQueue<PoolWaiter> {
        match class {
            RequestClass::Online => &self.online,
            RequestClass::Batch => &self.batch,
        }
    }

    /// The requests of one class, to account for service in.
    pub(crate) fn of_mut(&mut self, class: RequestClass) -> &mut FairQueue<PoolWaiter> {
        match class {
            RequestClass::Online => &mut self.online,
            RequestClass::Batch => &mut self.batch,
        }
    }

    /// Takes a request.
    pub(crate) fn push(
        &mut self,
        queue: RequestClass,
        workspace: &WorkspaceId,
        order: i64,
        deadline: Duration,
        waiter: PoolWaiter,
    ) {
        let id = waiter.id;
        let place = self.of_mut(queue).push(workspace, order, waiter);
        self.places.insert(id, WaitPlace { queue, place, deadline });
        self.deadlines.insert((deadline, id));
    }

    /// Takes a request out of its queue.
    pub(crate) fn cancel(&mut self, id: WaiterId) {
        let Some(wait) = self.remove_place(id) else { return };
        self.of_mut(wait.queue).remove(&wait.place);
    }

    /// Forgets the place of a request that was taken out of its queue.
    pub(crate) fn forget(&mut self, id: WaiterId) {
        self.remove_place(id);
    }

    fn remove_place(&mut self, id: WaiterId) -> Option<WaitPlace> {
        let wait = self.places.remove(&id)?;
        self.deadlines.remove(&(wait.deadline, id));
        Some(wait)
    }

    /// Removes the requests whose deadline has come.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<WaiterId> {
        let mut expired = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.cancel(id);
            expired.push(id);
        }
        expired
    }

    /// Forgets workspaces that neither wait nor run.
    pub(crate) fn prune(&mut self) {
        self.online.prune();
        self.batch.prune();
    }
}
