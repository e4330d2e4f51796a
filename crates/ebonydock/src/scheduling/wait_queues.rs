//! Requests of a pool that wait for a lease.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::{TargetId, VmId, WorkspaceId};
use crate::scheduling::messages::RequestDemand;
use crate::scheduling::{FairQueue, QueuePlace, RequestClass, WaiterId};

/// Request that waits for a lease.
#[derive(Debug)]
pub(crate) struct PoolWaiter {
    /// Identifies the request.
    pub(crate) id: WaiterId,
    /// The VM that sent the request and will hold the lease.
    pub(crate) holder: VmId,
    /// What the request needs of a target.
    pub(crate) demand: RequestDemand,
    /// Targets that failed this request and must not be used again.
    pub(crate) excluded: Vec<TargetId>,
}

#[derive(Debug)]
struct WaitPlace {
    queue: RequestClass,
    place: QueuePlace,
    deadline: Duration,
}

/// Waiting requests, online and batch, each with its deadline.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    online: FairQueue<PoolWaiter>,
    batch: FairQueue<PoolWaiter>,
    places: HashMap<WaiterId, WaitPlace>,
    deadlines: BTreeSet<(Duration, WaiterId)>,
}

impl WaitQueues {
    /// Returns the queue of one class.
    pub(crate) fn of(&self, class: RequestClass) -> &FairQueue<PoolWaiter> {
        match class {
            RequestClass::Online => &self.online,
            RequestClass::Batch => &self.batch,
        }
    }

    /// Returns the queue of one class for changes, such as charges for service.
    pub(crate) fn of_mut(&mut self, class: RequestClass) -> &mut FairQueue<PoolWaiter> {
        match class {
            RequestClass::Online => &mut self.online,
            RequestClass::Batch => &mut self.batch,
        }
    }

    /// Adds a request.
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

    /// Removes a request from its queue.
    pub(crate) fn cancel(&mut self, id: WaiterId) {
        let Some(wait) = self.remove_place(id) else { return };
        self.of_mut(wait.queue).remove(&wait.place);
    }

    /// Removes the place and the deadline of a request that has left its queue.
    pub(crate) fn forget(&mut self, id: WaiterId) {
        self.remove_place(id);
    }

    fn remove_place(&mut self, id: WaiterId) -> Option<WaitPlace> {
        let wait = self.places.remove(&id)?;
        self.deadlines.remove(&(wait.deadline, id));
        Some(wait)
    }

    /// Removes and returns the requests whose deadline has passed.
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

    /// Removes workspaces without waiting or running requests.
    pub(crate) fn prune(&mut self) {
        self.online.prune();
        self.batch.prune();
    }
}
